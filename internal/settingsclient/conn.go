package settingsclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/settingsstore"
)

// maxAnswerBytes bounds an answer: a state, and its HTTP header with the framing of chunks.
const maxAnswerBytes = settingsstore.MaxStateBytes + 16<<10

// answer is a distributor's valid answer. Without a state there is nothing newer.
type answer struct {
	state      *settingsstore.State
	retryAfter time.Duration // 0: none
}

// statusError is an answer that declines the request: the distributor is overloaded, or is starting.
type statusError struct {
	status     int
	retryAfter time.Duration
}

func (e *statusError) Error() string { return fmt.Sprintf("follow: answered %d", e.status) }

// invalidAnswerError is an answer that began and is invalid.
type invalidAnswerError struct{ err error }

func (e *invalidAnswerError) Error() string {
	return fmt.Sprintf("follow: an answer that can't be used: %v", e.err)
}
func (e *invalidAnswerError) Unwrap() error { return e.err }

var (
	errConnectionLost = errors.New("follow: a kept connection was lost")
	errAnswerTooLong  = fmt.Errorf("over %d bytes", maxAnswerBytes)
)

// conn is the connection to a distributor, kept from one call to the next.
type conn struct {
	dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)
	addr     string // empty: not connected
	net.Conn
	in        *bufio.Reader
	remaining int   // bytes of the answer that may still be read
	readErr   error // of the last Read; the parser may replace it by one of its own
}

// Read reads within maxAnswerBytes: an answer without an end would fill the memory before its time-out.
func (c *conn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		c.readErr = errAnswerTooLong
		return 0, errAnswerTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	c.readErr = err
	return n, err
}

// do sends a request on the kept connection or on a new one, which it keeps if the answer was complete. The time-out includes
// connecting. It returns at once when ctx is done.
func (c *conn) do(ctx context.Context, addr, target string, timeout time.Duration) (answer, error) {
	deadline := time.Now().Add(timeout)
	reused := c.addr == addr
	if !reused {
		c.disconnect()
		if err := c.dial(ctx, addr, deadline); err != nil {
			return answer{}, fmt.Errorf("follow: dial: %w", err)
		}
	}
	release := c.closeWith(ctx)
	a, reusable, err := c.roundTrip(target, deadline)
	if !release() || !reusable || err != nil {
		c.disconnect()
	}
	var netErr net.Error
	if reused && errors.Is(err, errNoAnswer) && !(errors.As(err, &netErr) && netErr.Timeout()) {
		err = errConnectionLost
	}
	return a, err
}

func (c *conn) dial(ctx context.Context, addr string, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	c.addr, c.Conn = addr, conn
	if c.in == nil {
		c.in = bufio.NewReader(c)
	}
	c.in.Reset(c)
	return nil
}

// closeWith closes the connection when ctx is done, until release is called, which reports whether it is still open.
func (c *conn) closeWith(ctx context.Context) (release func() bool) {
	open := c.Conn
	return context.AfterFunc(ctx, func() { _ = open.Close() }) // the error is that of the Read which then fails
}

// errNoAnswer is wrapped by errors from before the answer began.
var errNoAnswer = errors.New("no answer")

// roundTrip sends the request and reads the answer, and reports whether the connection can be used again.
func (c *conn) roundTrip(target string, deadline time.Time) (a answer, reusable bool, err error) {
	c.remaining, c.readErr = maxAnswerBytes, nil
	if err := c.SetDeadline(deadline); err != nil {
		return a, false, fmt.Errorf("follow: %w: %w", errNoAnswer, err)
	}
	if _, err := fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr); err != nil {
		return a, false, fmt.Errorf("follow: %w: %w", errNoAnswer, err)
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		if c.remaining == maxAnswerBytes {
			return a, false, fmt.Errorf("follow: %w: %w", errNoAnswer, err)
		}
		return a, false, c.answerError(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return a, false, c.answerError(err)
	}
	a, err = parseAnswer(res, body)
	return a, !res.Close && c.in.Buffered() == 0, err
}

// answerError returns the error for an answer that was cut off. One that was only too slow isn't invalid.
func (c *conn) answerError(err error) error {
	var netErr net.Error
	switch {
	case errors.As(c.readErr, &netErr) && netErr.Timeout():
		return fmt.Errorf("follow: %w", c.readErr)
	case c.readErr == errAnswerTooLong:
		err = errAnswerTooLong
	}
	return &invalidAnswerError{err}
}

// parseAnswer returns what a complete answer says.
func parseAnswer(res *http.Response, body []byte) (answer, error) {
	retryAfter := pacing.ParseRetryAfter(res.Header.Get("Retry-After"))
	switch res.StatusCode {
	case http.StatusNoContent:
		return answer{retryAfter: retryAfter}, nil
	case http.StatusOK:
		s, err := settingsstore.Parse(body)
		if err != nil {
			return answer{}, &invalidAnswerError{err}
		}
		return answer{state: &s}, nil
	}
	return answer{}, &statusError{res.StatusCode, retryAfter}
}

func (c *conn) disconnect() {
	if c.addr != "" {
		_ = c.Close() // its answer has been read
		c.addr, c.Conn = "", nil
	}
}
