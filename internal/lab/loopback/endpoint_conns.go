package loopback

import (
	"net"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// pastDeadline ends reads and writes that are blocked, and all later ones.
var pastDeadline = time.Unix(1, 0)

// freeze makes the host unresponsive: nothing is read or written any more, and calls in flight end. The lock is held.
func (e *endpoint) freeze() {
	for conn := range e.connections {
		conn.frozen = true
		_ = conn.tcp.SetDeadline(pastDeadline) // it fails only on a broken connection, where nothing passes either
	}
	for _, request := range e.requests {
		request.cancel()
	}
}

// resetConnections resets all connections. The lock is held.
func (e *endpoint) resetConnections() {
	for conn := range e.connections {
		delete(e.connections, conn)
		conn.counted = false
		e.markClosed(conn)
		resetConn(conn.tcp)
		if conn.dripping != nil {
			e.finishDrip(conn, e.run.elapsed())
		}
	}
}

// resetConn closes a connection with a TCP reset. What fails here has been closed already, and needs none.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// markClosed marks a connection as of no more use. The lock is held.
func (e *endpoint) markClosed(conn *serverConn) {
	if !conn.isClosed {
		conn.isClosed = true
		close(conn.closed)
	}
}

// accept takes over a new connection, or resets it if the model refuses it.
func (e *endpoint) accept(tcp *net.TCPConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	admission := model.ConnectionRefused
	if !e.closed {
		admission = e.model.Connect(e.run.elapsed())
		e.advance()
	}
	if admission == model.ConnectionRefused {
		resetConn(tcp)
		return
	}
	e.lastConnectionID++
	conn := newServerConn(e, tcp)
	conn.id = uint64(e.index)<<32 | e.lastConnectionID
	e.connections[conn] = struct{}{}
	if admission == model.ConnectionDropped { // it came up in the moment in which the host became unresponsive
		conn.frozen = true
		return
	}
	conn.counted = true
	e.run.recorder.addConnection(trace.Connection{At: e.run.elapsed(), Endpoint: e.index, Sidecar: -1})
	e.goroutines.Go(conn.readLoop)
	e.goroutines.Go(conn.writeLoop)
}

// extendDeadline sets when a connection's reader next checks whether it is idle, which it isn't once a request has started. It
// returns false if the connection has been idle for the idle time-out, or is frozen or closed.
func (e *endpoint) extendDeadline(conn *serverConn, requestStarted bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if conn.frozen || conn.isClosed {
		return false
	}
	now := time.Now()
	conn.busy = conn.busy || requestStarted
	since := conn.idleSince
	if conn.busy {
		since = now
	}
	conn.deadline = since.Add(e.idleTimeout)
	return now.Before(conn.deadline) && conn.tcp.SetReadDeadline(conn.deadline) == nil
}

// closeConnection closes a connection, on which its reader ends. An unresponsive host doesn't say that it closes.
func (e *endpoint) closeConnection(conn *serverConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !conn.frozen {
		_ = conn.tcp.Close() // if it is closed already, all the better
	}
}

// isFrozen reports whether the host has become unresponsive while the connection was up.
func (e *endpoint) isFrozen(conn *serverConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return conn.frozen
}

// markIdle marks a connection as free for the next request.
func (e *endpoint) markIdle(conn *serverConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	conn.busy, conn.idleSince = false, time.Now()
}

// removeConnection ends a connection that its sender or the endpoint has closed. Its reader calls it, once.
func (e *endpoint) removeConnection(conn *serverConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = conn.tcp.Close() // it may be closed already
	e.markClosed(conn)
	close(conn.responses)
	now := e.run.elapsed()
	if conn.dripping != nil {
		e.finishDrip(conn, now)
	}
	if conn.counted { // otherwise the model has dropped it by itself
		conn.counted = false
		delete(e.connections, conn)
		if conn.pending != nil {
			e.cancelRequest(conn, now)
		}
		e.model.Disconnect(now)
	}
	e.advance()
}
