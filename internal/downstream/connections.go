package downstream

import (
	"net"
	"net/http"
	"sync"
)

// connections bounds how many callers' connections are open, so that they never take the descriptors of
// the upstream side. When all are in use an idle one gives way to a new one, which has a request to bring.
type connections struct {
	mu    sync.Mutex
	free  *sync.Cond
	left  int
	quiet map[net.Conn]http.ConnState // idle, or new and silent so far
}

func newConnections(most int) *connections {
	c := &connections{left: most, quiet: map[net.Conn]http.ConnState{}}
	c.free = sync.NewCond(&c.mu)
	return c
}

// changed follows net/http's states.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.quiet, conn)
	switch state {
	case http.StateNew:
		c.quiet[conn] = state
	case http.StateIdle:
		c.quiet[conn] = state
		c.free.Signal()
	case http.StateClosed, http.StateHijacked:
		c.left++
		c.free.Signal()
	}
}

// claim waits until there is room for one more connection.
func (c *connections) claim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.left == 0 {
		for conn, state := range c.quiet {
			if state == http.StateIdle {
				delete(c.quiet, conn)
				_ = conn.Close() // between requests: the client takes another
				break
			}
		}
		c.free.Wait()
	}
	c.left--
}

// closeQuiet closes every connection on which no request has begun.
func (c *connections) closeQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.quiet {
		_ = conn.Close()
	}
}

func (c *connections) unclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left++
	c.free.Signal()
}

// limited is a listener that accepts only when there is room.
type limited struct {
	net.Listener
	conns *connections
}

func (l *limited) Accept() (net.Conn, error) {
	l.conns.claim()
	conn, err := l.Listener.Accept()
	if err != nil {
		l.conns.unclaim()
	}
	return conn, err
}
