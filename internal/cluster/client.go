package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/pacing"
)

// Bounds on a response.
const (
	maxListBytes = 8 << 20
	maxJSONDepth = 100 // of nested objects and arrays: validating them takes stack
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// overloadError is a response by which discovery rejects a call for want of capacity (503 or 429).
type overloadError struct {
	status     int
	retryAfter time.Duration // 0: not stated
}

func (e *overloadError) Error() string { return fmt.Sprintf("cluster: turned away with %d", e.status) }

// fetch makes one call on the present connection, or on a new one.
func (w *watch) fetch(ctx context.Context, target string, timeout time.Duration) (List, error) {
	deadline := time.Now().Add(timeout) // of connecting as well, or an agent that is slow to accept would get twice the time
	if w.conn == nil {
		if err := w.connect(ctx, deadline); err != nil {
			return List{}, fmt.Errorf("cluster: dial: %w", err)
		}
	}
	if w.stops != nil { // how long a shared service takes to be reached does not count as the time that it takes to respond
		deadline = time.Now().Add(timeout)
		w.stops.ctx, w.stops.deadline, w.stops.stopped = ctx, deadline, 0
	}
	if err := w.conn.SetDeadline(deadline); err != nil {
		return List{}, fmt.Errorf("cluster: deadline: %w", err)
	}
	defer interrupt(ctx, w.conn)()
	if _, err := fmt.Fprintf(w.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, w.addr); err != nil {
		return List{}, fmt.Errorf("cluster: write: %w", err)
	}
	return w.readList()
}

// readList reads the response of fetch.
func (w *watch) readList() (List, error) {
	res, err := http.ReadResponse(w.reader, nil)
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	if res.Close && res.StatusCode != http.StatusOK {
		defer w.disconnect()
	}
	if status := res.StatusCode; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return List{}, &overloadError{status, pacing.ParseRetryAfter(res.Header.Get("Retry-After"))}
	}
	if res.StatusCode != http.StatusOK || exceedsDepth(body, maxJSONDepth) || !gjson.ValidBytes(body) {
		return List{}, fmt.Errorf("cluster: answer %d of %d bytes is no list", res.StatusCode, len(body))
	}
	list, err := ParseList(gjson.ParseBytes(body))
	list.From = w.addr
	if err == nil && res.Close {
		w.disconnect()
	}
	return list, err
}

// exceedsDepth reports whether objects and arrays are nested deeper than maxDepth in a JSON text, which may be invalid.
func exceedsDepth(text []byte, maxDepth int) bool {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > maxDepth {
				return true
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return false
}

// connect opens the connection, until the deadline; with a stopDetector until maxCallTimeout from now.
func (w *watch) connect(ctx context.Context, deadline time.Time) error {
	if w.detectStops {
		deadline = time.Now().Add(maxCallTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := w.dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", w.addr)
	if err != nil {
		return err
	}
	w.conn, w.reader = conn, bufio.NewReader(conn)
	if w.detectStops {
		w.stops = &stopDetector{conn: conn}
		w.reader.Reset(w.stops)
	}
	return nil
}

// interrupt makes reading and writing on a connection return at once when ctx ends, until release is called. As the connection
// may be used by another call from then on, release waits for an interruption that has begun.
func interrupt(ctx context.Context, conn net.Conn) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // a broken connection returns by itself
		close(done)
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// disconnect closes the connection. Its error is dropped: everything that was wanted from it has been read.
func (w *watch) disconnect() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn, w.reader, w.stops = nil, nil, nil
	}
}
