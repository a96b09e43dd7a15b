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
	writeStallTimeout    = 5 * time.Second        // that a host may accept no byte of a body
	earlyResponseTimeout = 100 * time.Millisecond // for the response of a host that ends an upload
	uploadChunkSize      = 32 << 10               // bytes
)

var uploadBuffers = sync.Pool{New: func() any { return new([uploadChunkSize]byte) }}

// upload writes a request whose body is still coming, and reads the response. The host may run it before it has all of it, so that
// neither a host that accepts no more nor a client that leaves before the last chunk proves that it has not. The error is the client's,
// whose body breaks off.
func (p *Pool) upload(ctx context.Context, c *conn, head []byte, req *stream.Request, resp *hostResponse) (status balance.Status, err error) {
	body := req.Upload
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if writeErr := c.writeChunk(ctx, head); writeErr != nil {
		p.discard(c)
		return c.failureStatus(ctx, writeErr), nil
	}
	buf, framed := uploadBuffers.Get().(*[uploadChunkSize]byte), []byte(nil)
	defer uploadBuffers.Put(buf)
	for err != io.EOF {
		var n int
		if n, err = body.Read(buf[:]); err != nil && err != io.EOF {
			p.discard(c)
			return balance.Cancelled, fmt.Errorf("upstream: body: %w", err)
		}
		chunk := buf[:n]
		if body.Length < 0 {
			if framed = appendChunk(framed[:0], chunk); err == io.EOF {
				framed = append(framed, "0\r\n\r\n"...)
			}
			chunk = framed
		}
		if len(chunk) == 0 { // the last byte has gone before: the request may have run
			continue
		}
		if !req.ClientRecentlyWaiting() {
			p.discard(c)
			return balance.Cancelled, nil
		}
		if !c.nothingToRead() {
			return p.earlyResponse(ctx, c, nil, resp), nil
		}
		if writeErr := c.writeChunk(ctx, chunk); writeErr != nil {
			return p.earlyResponse(ctx, c, writeErr, resp), nil
		}
	}
	body.Done()
	deadline := time.Now().Add(body.ClientTimeout)
	c.setReadDeadline(ctx, deadline)
	if readErr := c.readResponse(ctx, deadline, resp); readErr != nil {
		p.discard(c)
		return c.failureStatus(ctx, readErr), nil
	}
	return p.dispose(c, !stop(), resp.disposition(), responseStatus(resp)), nil
}

// writeChunk writes a part of a request within writeStallTimeout.
func (c *conn) writeChunk(ctx context.Context, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // on a broken connection the write returns the error
	if ctx.Err() != nil {
		c.interrupt()
	}
	_, err := c.Write(b)
	return err
}

// earlyResponse reads the response of a host that has not had the complete request, or has closed the connection; writeErr is
// nil if the last write succeeded.
func (p *Pool) earlyResponse(ctx context.Context, c *conn, writeErr error, resp *hostResponse) balance.Status {
	defer p.discard(c)
	deadline := time.Now().Add(earlyResponseTimeout)
	c.setReadDeadline(ctx, deadline)
	err := c.readResponse(ctx, deadline, resp)
	switch {
	case err == nil && resp.status == http.StatusOK: // to another request, sent twice or late; it can't be this one's, but that is no proof
		*resp = hostResponse{}
		return balance.Error
	case err == nil:
		return responseStatus(resp)
	case writeErr == nil:
		writeErr = err
	}
	return c.failureStatus(ctx, writeErr)
}
