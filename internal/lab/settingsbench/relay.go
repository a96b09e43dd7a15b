package settingsbench

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards connections to an address. While regions are partitioned it drops all bytes, which neither end notices.
type relay struct {
	net.Listener
	addr, target string
	partitioned  *atomic.Bool

	mu      sync.Mutex
	conns   map[net.Conn]bool // nil: closed
	serving sync.WaitGroup
}

// newRelay makes a relay on a free loopback address.
func newRelay(target string, partitioned *atomic.Bool) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("settingsbench: %w", err)
	}
	r := &relay{Listener: l, addr: l.Addr().String(), target: target, partitioned: partitioned, conns: map[net.Conn]bool{}}
	r.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.serving.Go(func() { r.forward(c) })
		}
	})
	return r, nil
}

// track has a connection be closed with the relay; it closes it and returns false if the relay is closed already.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

// untrack closes a connection.
func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// forward forwards a connection in both directions until it ends.
func (r *relay) forward(from net.Conn) {
	if !r.track(from) {
		return
	}
	defer r.untrack(from)
	to, err := net.DialTimeout("tcp", r.target, callTimeout)
	if err != nil || !r.track(to) {
		return
	}
	defer r.untrack(to)
	var reverse sync.WaitGroup
	reverse.Go(func() { r.copyOneWay(from, to) })
	r.copyOneWay(to, from)
	reverse.Wait()
}

// copyOneWay copies until either end is closed, and closes both.
func (r *relay) copyOneWay(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	_, _ = io.Copy(partitionedWriter{to, r.partitioned}, from)
}

// partitionedWriter drops what is written during a partition.
type partitionedWriter struct {
	to          net.Conn
	partitioned *atomic.Bool
}

// Write implements io.Writer.
func (p partitionedWriter) Write(b []byte) (int, error) {
	if p.partitioned.Load() {
		return len(b), nil
	}
	return p.to.Write(b)
}

// close closes the relay and its connections, and waits for them.
func (r *relay) close() {
	_ = r.Close()
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	for c := range conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.serving.Wait()
}
