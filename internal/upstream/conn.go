package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/stream"
)

const (
	bodyMost   = 64 << 10               // bytes of any message's body
	answerMost = bodyMost + 32<<10      // of an answer with its heads, 1xx ones included, and its framing
	restWithin = 300 * time.Millisecond // from an answer's first byte to its last: more than a lost packet takes
	bodyFirst  = 4 << 10                // to begin with
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	host      balance.EndpointID
	addr      string // the host's, as discovery lists it
	use       purpose
	idleSince time.Time
	way       time.Duration // there and back, as its opening took

	limit *io.LimitedReader // HTTP: what may still come of the present answer
	in    *bufio.Reader     // HTTP
	seq   int32             // Thrift: of the last call
}

func newConn(nc net.Conn, id balance.EndpointID, addr string, use purpose) *conn {
	c := &conn{Conn: nc, host: id, addr: addr, use: use}
	if use.protocol == "" {
		c.limit = &io.LimitedReader{R: nc}
		c.in = bufio.NewReaderSize(c.limit, 2<<10)
	}
	return c
}

// quiet tells whether the other side has neither closed an idle connection nor said anything on it.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.in != nil && c.in.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}

// interrupt makes what is under way on the connection return at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.Conn.Close() } // nothing that is still wanted is lost by an error here

// answer is an upstream host's final answer, read whole.
type answer struct {
	status     int
	turnedAway bool
	tried      budget.Tried
	mediaType  string
	body       []byte
	reusable   bool // the connection may carry another request
}

// read reads one final answer. An error means that there was none, or that it can't be told whole. It reads
// so much and no more, for a head need not end and 1xx answers need not stop coming; and once an answer has
// begun it waits for the rest of it so long and no longer, as one that stops half-way will not go on.
func (c *conn) read(ctx context.Context, until time.Time) (answer, error) {
	c.limit.N = answerMost
	for {
		if _, err := c.in.Peek(1); err != nil {
			return answer{}, c.fault(err)
		}
		if rest := time.Now().Add(restWithin); rest.Before(until) {
			c.wait(ctx, rest)
		}
		res, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return answer{}, c.fault(err)
		}
		if res.StatusCode < 200 { // the final answer may take its time
			c.wait(ctx, until)
			continue
		}
		a := answer{status: res.StatusCode, turnedAway: res.Header.Get("X-Turned-Away") == "1",
			mediaType: res.Header.Get("Content-Type"), tried: budget.ReadTried(res.Header.Get(budget.TriedHeader))}
		if a.body, err = readBody(res); err != nil {
			return answer{}, c.fault(err)
		}
		a.reusable = !res.Close && c.in.Buffered() == 0
		return a, nil
	}
}

// wait sets how long reading may take, unless it has been interrupted.
func (c *conn) wait(ctx context.Context, until time.Time) {
	_ = c.SetReadDeadline(until) // on a connection that is broken the next read says so
	if ctx.Err() != nil {
		c.interrupt() // it may have come before
	}
}

// fault tells an answer that breaks the protocol from a connection that does not bring one.
func (c *conn) fault(err error) error {
	var broken net.Error
	switch begun := c.limit.N < answerMost; {
	case errors.Is(err, os.ErrDeadlineExceeded) && begun:
	case c.limit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)):
		return fmt.Errorf("upstream: read: %w", err)
	}
	return fmt.Errorf("%w: %w", errBadAnswer, err)
}

// readBody reads a body of a stated length as it comes. One that lasts until the connection ends can't be
// told whole.
func readBody(res *http.Response) ([]byte, error) {
	n := res.ContentLength
	if n > bodyMost || n < 0 && len(res.TransferEncoding) == 0 {
		return nil, errBadAnswer
	}
	body := bytes.NewBuffer(make([]byte, 0, max(0, min(n, bodyFirst))+bytes.MinRead))
	if _, err := body.ReadFrom(io.LimitReader(res.Body, bodyMost+1)); err != nil {
		return nil, err
	}
	if body.Len() > bodyMost {
		return nil, errBadAnswer
	}
	return body.Bytes(), nil
}

// encode writes a request in one piece, so that it leaves whole or not at all in all but rare cases.
func encode(b []byte, req *stream.Request, left time.Duration) []byte {
	b = append(b, req.Operation...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Authority...)
	b = header(b, "X-Txn", req.Txn)
	b = header(b, "X-Lane", req.ClassName)
	b = fmt.Appendf(b, "\r\nX-Remaining-Ms: %d", max(1, left.Milliseconds()))
	b = header(b, "Idempotency-Key", req.Key)
	b = header(b, "X-Labels", req.Labels)
	b = header(b, "Content-Type", req.MediaType)
	b = header(b, "Baggage", req.Baggage)
	if req.Repeated {
		b = header(b, "X-Resent", "1")
	}
	if len(req.Body) > 0 || req.Operation == http.MethodPost {
		b = fmt.Appendf(b, "\r\nContent-Length: %d", len(req.Body))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, req.Body...)
}

func header(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
