package stubfleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Frontend is one address of the service, with counters of its own.
type Frontend struct {
	service *Service
	name    string
	addr    string
	server  *http.Server // nil: down
	serving sync.WaitGroup

	calls, rejected, conns, in, out atomic.Int64
}

// Counts are the counters of a frontend since its opening. Bytes are those of HTTP, without the overhead of TCP.
type Counts struct{ Calls, Rejected, Connections, In, Out int64 }

// Open opens a frontend of that name on a free loopback address.
func (s *Service) Open(name string) (*Frontend, error) {
	f := &Frontend{service: s, name: name, addr: "127.0.0.1:0"}
	return f, f.Up()
}

// Up listens on the address of the last time.
func (f *Frontend) Up() error {
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return fmt.Errorf("stubfleet: list service: %w", err)
	}
	f.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", f.members)
	f.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.(*countingConn).number)
	}}
	server := f.server
	f.serving.Go(func() { _ = server.Serve(&countingListener{l, f}) }) // it returns when the server is closed
	return nil
}

// Down closes all connections and the listener, and waits for them.
func (f *Frontend) Down() {
	if f.server != nil {
		_ = f.server.Close() // the connections are closed either way
		f.server = nil
	}
	f.serving.Wait()
}

// Counts returns the counters.
func (f *Frontend) Counts() Counts {
	return Counts{f.calls.Load(), f.rejected.Load(), f.conns.Load(), f.in.Load(), f.out.Load()}
}

// connKey is the context key of the number of a connection.
type connKey struct{}

// members serves a call for the list.
func (f *Frontend) members(w http.ResponseWriter, req *http.Request) {
	call := Call{Frontend: f.name, Conn: req.Context().Value(connKey{}).(int64), Sequence: f.calls.Add(1), Target: req.RequestURI}
	since, wait, ok := parseWatch(req)
	if !ok {
		http.Error(w, "since and timeout_ms are whole numbers", http.StatusBadRequest)
		return
	}
	f.service.mu.Lock()
	treat := f.service.treatment
	f.service.mu.Unlock()
	if treat != nil {
		switch treat(call) {
		case Reject:
			f.reject(w)
			return
		case Abort:
			panic(http.ErrAbortHandler)
		case Hang:
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if !f.service.acquireCapacity(req.Context()) {
		f.reject(w)
		return
	}
	text, ok := f.service.await(req.Context(), since, wait)
	if !ok {
		panic(http.ErrAbortHandler) // the caller is gone
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // a caller that is gone polls again
}

// reject responds 503.
func (f *Frontend) reject(w http.ResponseWriter) {
	f.rejected.Add(1)
	http.Error(w, "the list service has no room", http.StatusServiceUnavailable)
}

// parseWatch reads the revision and the wait of a call; since 0 asks for the complete list.
func parseWatch(req *http.Request) (since int64, wait time.Duration, ok bool) {
	q := req.URL.Query()
	if !q.Has("since") {
		return 0, 0, true
	}
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	ms, msErr := strconv.ParseUint(q.Get("timeout_ms"), 10, 31)
	return since, min(time.Duration(ms)*time.Millisecond, maxWatch), err == nil && msErr == nil
}

// countingListener counts connections and their bytes.
type countingListener struct {
	net.Listener
	frontend *Frontend
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.frontend, l.frontend.conns.Add(1)}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	frontend *Frontend
	number   int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.frontend.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.frontend.out.Add(int64(n))
	return n, err
}
