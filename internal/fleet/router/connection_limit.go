package router

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connectionLimit bounds the open connections of an HTTP server, so that its clients leave descriptors for everything else. At the limit, a new
// connection takes the place of the one that has been idle for longest; if none is idle, it waits in the listener's queue.
type connectionLimit struct {
	max int

	mu     sync.Mutex
	closed *sync.Cond // broadcast when a connection is closed
	open   int
	idle   *list.List // of net.Conn, the longest idle one first
	places map[net.Conn]*list.Element
	ended  bool // the listener is closed
}

func newConnectionLimit(maxConnections int) *connectionLimit {
	l := &connectionLimit{max: maxConnections, idle: list.New(), places: map[net.Conn]*list.Element{}}
	l.closed = sync.NewCond(&l.mu)
	return l
}

// observe is the server's ConnState hook.
func (l *connectionLimit) observe(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place := l.places[conn]; place != nil {
		l.idle.Remove(place)
		delete(l.places, conn)
	}
	if state == http.StateIdle {
		l.places[conn] = l.idle.PushBack(conn)
		l.closed.Broadcast()
	}
}

// reserve waits until one more connection may be accepted. It returns false if the listener is closed before.
func (l *connectionLimit) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.max && !l.ended {
		if longest := l.idle.Front(); longest != nil {
			l.closeIdle(longest)
			continue
		}
		l.closed.Wait()
	}
	if l.ended {
		return false
	}
	l.open++
	return true
}

// closeIdle closes an idle connection. The lock is held, and released meanwhile: closing calls release.
func (l *connectionLimit) closeIdle(place *list.Element) {
	conn := place.Value.(net.Conn)
	l.idle.Remove(place)
	delete(l.places, conn)
	l.mu.Unlock()
	_ = conn.Close() // the client may have closed it
	l.mu.Lock()
}

func (l *connectionLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.closed.Broadcast()
}

func (l *connectionLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.closed.Broadcast()
}

// limitedListener is a listener whose connections are bounded by a connectionLimit.
type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept waits for a connection, and for room for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.limit.reserve() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.limit.release()
		return nil, err
	}
	return &limitedConnection{Conn: conn, limit: l.limit}, nil
}

// Close closes the listener. Its connections stay open.
func (l *limitedListener) Close() error {
	l.limit.end()
	return l.Listener.Close()
}

// limitedConnection gives its place back when it is closed.
type limitedConnection struct {
	net.Conn
	limit *connectionLimit
	once  sync.Once
}

// CloseWrite ends the sending side, as net/http does before it closes a connection with unread bytes, which would reset it.
func (c *limitedConnection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *limitedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.limit.release)
	return err
}
