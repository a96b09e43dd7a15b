package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

const (
	takeIn    = 5 * time.Second        // a host takes nothing of a body for so long at most
	lastWords = 100 * time.Millisecond // a host that has closed may have said why
	pieceMost = 32 << 10               // bytes
)

var pieces = sync.Pool{New: func() any { return new([pieceMost]byte) }}

// upload writes a message whose body still comes, and reads the answer. A host that takes no more, or answers before it
// has all, has never run the request, nor does it where the client leaves before the last piece. The error is the client's, who
// brings no more.
func (p *Pool) upload(ctx context.Context, c *conn, head []byte, req *stream.Request, a *answer) (status balance.Status, err error) {
	body := req.Upload
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if fault := c.piece(ctx, head); fault != nil {
		p.drop(c)
		return neverSent(ctx, fault), nil
	}
	buf, framed := pieces.Get().(*[pieceMost]byte), []byte(nil)
	defer pieces.Put(buf)
	for err != io.EOF {
		var n int
		if n, err = body.Read(buf[:]); err != nil && err != io.EOF {
			p.drop(c)
			return balance.Cancelled, fmt.Errorf("upstream: body: %w", err)
		}
		piece := buf[:n]
		if body.Length < 0 {
			if framed = chunk(framed[:0], piece); err == io.EOF {
				framed = append(framed, "0\r\n\r\n"...)
			}
			piece = framed
		}
		if len(piece) == 0 { // the last byte has gone: from here on it may have run
			continue
		}
		if !req.ClientRecentlyWaiting() {
			p.drop(c)
			return neverSent(ctx, errHeldBack), nil
		}
		if !c.quiet() {
			return p.early(ctx, c, nil, a), nil
		}
		if fault := c.piece(ctx, piece); fault != nil {
			return p.early(ctx, c, fault, a), nil
		}
	}
	body.Done()
	until := time.Now().Add(body.ClientTimeout)
	c.wait(ctx, until)
	if fault := c.read(ctx, until, a); fault != nil {
		p.drop(c)
		return noAnswer(ctx, fault), nil
	}
	return p.settle(c, !stop(), a.after(), judge(a)), nil
}

// piece writes a part of a message.
func (c *conn) piece(ctx context.Context, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(takeIn)) // on a connection that is broken the write says so
	if ctx.Err() != nil {
		c.interrupt()
	}
	_, err := c.Write(b)
	return err
}

// early reads what a host says that has not had all of a request, or has closed. Where that is nothing, it never ran.
func (p *Pool) early(ctx context.Context, c *conn, fault error, a *answer) balance.Status {
	defer p.drop(c)
	until := time.Now().Add(lastWords)
	c.wait(ctx, until)
	err := c.read(ctx, until, a)
	switch {
	case err == nil && a.status == http.StatusOK: // to a request that it has not had: another's, said twice or late; but who knows
		*a = answer{}
		return balance.Error
	case err == nil:
		return judge(a)
	case fault == nil:
		fault = err
	}
	return neverSent(ctx, fault)
}
