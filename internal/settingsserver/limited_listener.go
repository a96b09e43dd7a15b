package settingsserver

import (
	"net"
	"sync"
)

// limitedListener has at most as many open connections as slots has capacity. A further one is closed at once.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection for which there is a slot.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn holds a slot until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
