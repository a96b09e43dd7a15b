package upstream

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds on a streamed response.
const (
	streamStallTimeout = 5 * time.Second  // between two reads: cutting it off loses it, and waiting costs a connection
	maxStreamDuration  = 20 * time.Minute // of one that never ends, however slowly it comes: it holds two connections. As stream.UploadMost
)

// responseStream is the part of a response that is still to come. It is a stream.Response's Rest.
type responseStream struct {
	pool      *Pool
	conn      *conn
	body      io.ReadCloser
	keepAlive bool // the connection may carry another request after it
	deadline  time.Time
	complete  bool

	mu     sync.Mutex
	closed bool
}

// Read reads more of the response, within streamStallTimeout and not beyond the deadline.
func (r *responseStream) Read(b []byte) (int, error) {
	r.conn.deadlines.deadline, r.conn.deadlines.stallTimeout = r.deadline, streamStallTimeout
	n, err := r.body.Read(b)
	r.complete = err == io.EOF
	if err != nil && !r.complete {
		err = fmt.Errorf("upstream: rest: %w", err)
	}
	return n, err
}

// Interrupt makes Read fail from now on. It may be called beside Read and Close.
func (r *responseStream) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed { // the connection may carry another request by then
		r.conn.deadlines.aborted.Store(true)
		r.conn.interrupt()
	}
}

// Close lets go of the connection. It may carry another request where the response was read to its end.
func (r *responseStream) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	reusable := r.complete && r.keepAlive && r.conn.reader.Buffered() == 0 && !r.conn.deadlines.aborted.Load()
	r.pool.finish(r.conn, reusable)
}
