package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

const (
	bodyMost    = 64 << 10 // bytes of any message's body
	interimMost = 8        // 1xx answers before the final one
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	in        *bufio.Reader
	host      balance.EndpointID
	addr      string
	idleSince time.Time
}

func newConn(nc net.Conn, id balance.EndpointID, addr string) *conn {
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, 2<<10), host: id, addr: addr}
}

// quiet tells whether the other side has neither closed an idle connection nor said anything on it.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.in.Buffered() > 0 {
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
	mediaType  string
	body       []byte
	reusable   bool // the connection may carry another request
}

// read reads one final answer. An error means that there was none, or that it can't be told whole.
func (c *conn) read() (answer, error) {
	for range interimMost {
		res, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return answer{}, fmt.Errorf("upstream: read: %w", err)
		}
		if res.StatusCode < 200 {
			continue
		}
		a := answer{status: res.StatusCode, turnedAway: res.Header.Get("X-Turned-Away") == "1",
			mediaType: res.Header.Get("Content-Type")}
		if a.body, err = readBody(res); err != nil {
			return answer{}, err
		}
		a.reusable = !res.Close && c.in.Buffered() == 0
		return a, nil
	}
	return answer{}, errBadAnswer
}

// readBody reads a body of a stated length. One that lasts until the connection ends can't be told whole.
func readBody(res *http.Response) ([]byte, error) {
	switch n := res.ContentLength; {
	case n > bodyMost:
		return nil, errBadAnswer
	case n >= 0:
		body := make([]byte, n)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return nil, fmt.Errorf("upstream: read body: %w", err)
		}
		return body, nil
	case len(res.TransferEncoding) == 0:
		return nil, errBadAnswer
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bodyMost+1))
	if err != nil {
		return nil, fmt.Errorf("upstream: read body: %w", err)
	}
	if len(body) > bodyMost {
		return nil, errBadAnswer
	}
	return body, nil
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
