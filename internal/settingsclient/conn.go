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

// maxAnswerBytes is how many bytes of an answer are read: a state, and its head with the marks of its chunks.
const maxAnswerBytes = settingsstore.MaxStateBytes + 16<<10

// answer is what a distributor says. No state: there is nothing new.
type answer struct {
	state      *settingsstore.State
	retryAfter time.Duration // 0: none
}

// statusError is an answer that is none: no room, or nothing to say yet.
type statusError struct {
	status     int
	retryAfter time.Duration
}

func (e *statusError) Error() string { return fmt.Sprintf("follow: answered %d", e.status) }

// unusable is an answer that began and can't be used.
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
	addr     string // empty: there is none
	net.Conn
	in        *bufio.Reader
	remaining int   // bytes that may still be read of the answer
	readErr   error // that reading it met; who parses what came before may make another one of it
}

// Read reads what there is room for: an answer without an end would fill the memory before its time was up.
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

// call asks for a target on the kept connection or a new one, and hangs up unless the answer was whole. The time is the connect's
// as well. It returns at once when ctx ends.
func (c *conn) do(ctx context.Context, addr, target string, within time.Duration) (answer, error) {
	end := time.Now().Add(within)
	kept := c.addr == addr
	if !kept {
		c.disconnect()
		if err := c.dial(ctx, addr, end); err != nil {
			return answer{}, fmt.Errorf("follow: dial: %w", err)
		}
	}
	release := c.closeWith(ctx)
	a, again, err := c.roundTrip(target, end)
	if !release() || !again || err != nil {
		c.disconnect()
	}
	var late net.Error
	if kept && errors.Is(err, errNoAnswer) && !(errors.As(err, &late) && late.Timeout()) {
		err = errConnectionLost
	}
	return a, err
}

func (c *conn) dial(ctx context.Context, addr string, end time.Time) error {
	ctx, over := context.WithDeadline(ctx, end)
	defer over()
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

// closeWith closes the connection when ctx ends, until release is called, which returns whether it is still open.
func (c *conn) closeWith(ctx context.Context) (release func() bool) {
	open := c.Conn
	return context.AfterFunc(ctx, func() { _ = open.Close() }) // what is read of it then fails, which is looked at
}

// errNoAnswer is wrapped by what failed before the answer began.
var errNoAnswer = errors.New("no answer")

// exchange asks and reads the answer; again tells whether the connection can be used once more.
func (c *conn) roundTrip(target string, end time.Time) (a answer, again bool, err error) {
	c.remaining, c.readErr = maxAnswerBytes, nil
	if err := c.SetDeadline(end); err != nil {
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
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return a, false, c.answerError(err)
	}
	a, err = parseAnswer(res, body)
	return a, !res.Close && c.in.Buffered() == 0, err
}

// spoilt is an answer that broke off; one that was only not there in time may be a slow distributor's.
func (c *conn) answerError(err error) error {
	var late net.Error
	switch {
	case errors.As(c.readErr, &late) && late.Timeout():
		return fmt.Errorf("follow: %w", c.readErr)
	case c.readErr == errAnswerTooLong:
		err = errAnswerTooLong
	}
	return &invalidAnswerError{err}
}

// read is what a whole answer says.
func parseAnswer(res *http.Response, body []byte) (answer, error) {
	retryAfter := pacing.Advice(res.Header.Get("Retry-After"))
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
		_ = c.Close() // nothing is lost: all that it said has been read
		c.addr, c.Conn = "", nil
	}
}
