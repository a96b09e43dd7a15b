package loopback

import "sync"

// connectionPool is the idle connections to one address. It is safe for concurrent use.
type connectionPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn // the one used last is last
}

// take removes and returns the idle connection that was used last; nil if there is none. Those that the other end has closed, or on
// which something came that nobody asked for, are handed to closeConnection.
func (p *connectionPool) take(closeConnection func(*clientConn)) *clientConn {
	for conn := p.pop(); conn != nil; conn = p.pop() {
		if conn.idleState() == idleClean {
			return conn
		}
		closeConnection(conn)
	}
	return nil
}

// pop removes and returns the connection that was used last, in whatever state; nil if there is none.
func (p *connectionPool) pop() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

func (p *connectionPool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

func (p *connectionPool) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0
}
