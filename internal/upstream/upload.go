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
	writeStallTimeout    = 5 * time.Second        // a host takes nothing of a body for so long at most
	earlyResponseTimeout = 100 * time.Millisecond // a host that has closed may have said why
	uploadChunkSize      = 32 << 10               // bytes
)

var uploadBuffers = sync.Pool{New: func() any { return new([uploadChunkSize]byte) }}

// upload writes a message whose body still comes, and reads the answer. A host that takes no more, or answers before it
// has all, has never run the request, nor does it where the client leaves before the last piece. The error is the client's, who
// brings no more.
func (p *Pool) upload(ctx context.Context, c *conn, head []byte, req *stream.Request, a *hostResponse) (status balance.Status, err error) {
	body := req.Upload
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if fault := c.writeChunk(ctx, head); fault != nil {
		p.discard(c)
		return notSentStatus(ctx, fault), nil
	}
	buf, framed := uploadBuffers.Get().(*[uploadChunkSize]byte), []byte(nil)
	defer uploadBuffers.Put(buf)
	for err != io.EOF {
		var n int
		if n, err = body.Read(buf[:]); err != nil && err != io.EOF {
			p.discard(c)
			return balance.Cancelled, fmt.Errorf("upstream: body: %w", err)
		}
		piece := buf[:n]
		if body.Length < 0 {
			if framed = appendChunk(framed[:0], piece); err == io.EOF {
				framed = append(framed, "0\r\n\r\n"...)
			}
			piece = framed
		}
		if len(piece) == 0 { // the last byte has gone: from here on it may have run
			continue
		}
		if !req.StillWanted() {
			p.discard(c)
			return notSentStatus(ctx, errSendRefused), nil
		}
		if !c.peerSilent() {
			return p.earlyResponse(ctx, c, nil, a), nil
		}
		if fault := c.writeChunk(ctx, piece); fault != nil {
			return p.earlyResponse(ctx, c, fault, a), nil
		}
	}
	body.Whole()
	deadline := time.Now().Add(body.Left)
	c.setReadDeadline(ctx, deadline)
	if fault := c.readResponse(ctx, deadline, a); fault != nil {
		p.discard(c)
		return noResponseStatus(ctx, fault), nil
	}
	return p.dispose(c, !stop(), a.disposition(), responseStatus(a)), nil
}

// piece writes a part of a message.
func (c *conn) writeChunk(ctx context.Context, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // on a connection that is broken the write says so
	if ctx.Err() != nil {
		c.interrupt()
	}
	_, err := c.Write(b)
	return err
}

// early reads what a host says that has not had all of a request, or has closed. Where that is nothing, it never ran.
func (p *Pool) earlyResponse(ctx context.Context, c *conn, fault error, a *hostResponse) balance.Status {
	defer p.discard(c)
	deadline := time.Now().Add(earlyResponseTimeout)
	c.setReadDeadline(ctx, deadline)
	err := c.readResponse(ctx, deadline, a)
	switch {
	case err == nil && a.status == http.StatusOK: // to a request that it has not had: another's, said twice or late; but who knows
		*a = hostResponse{}
		return balance.Error
	case err == nil:
		return responseStatus(a)
	case fault == nil:
		fault = err
	}
	return notSentStatus(ctx, fault)
}
