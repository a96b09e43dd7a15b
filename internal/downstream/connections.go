package downstream

import (
	"net"
	"net/http"
	"sync"
)

// connections bounds how many callers' connections are open, so that they never take the descriptors of
// the upstream side. When all are in use an idle one gives way to a new one, which has a request to bring.
type connections struct {
	mu   sync.Mutex
	free *sync.Cond
	left int
	idle map[net.Conn]struct{}
}

func newConnections(most int) *connections {
	c := &connections{left: most, idle: map[net.Conn]struct{}{}}
	c.free = sync.NewCond(&c.mu)
	return c
}

// changed follows net/http's states.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	switch state {
	case http.StateIdle:
		c.idle[conn] = struct{}{}
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
		for conn := range c.idle {
			delete(c.idle, conn)
			_ = conn.Close() // between requests: the client takes another
			break
		}
		c.free.Wait()
	}
	c.left--
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
