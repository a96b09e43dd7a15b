// Package overload bounds what the clients of a process's HTTP listeners can make it hold, from the first byte of a connection to the last byte of
// the last answer (Envoy: overload manager). Each listener has a Manager with a number of connections and a number of bytes.
//
// Every connection has an account: what it costs by itself, the parsed form of the head that is being received, and what handlers reserve for bodies and
// answers. An account of up to smallAccountBytes is always granted, so that ordinary requests are served beside any crowd. Larger ones share what is left
// of the bytes. Where nothing is left, the connections that have been receiving a request for longest are closed; a request that has been received whole
// is never cut off for want of bytes.
//
// At the limit of connections, a new one takes the place of another: of one whose request is overdue, then of the one that has been idle for longest, then of
// the one that has been receiving for longest, and last of one whose client has not read its answer for some time.
package overload

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connectionBytes is what a connection costs by itself: a goroutine's stack, the buffers of net/http and the request's fields.
	connectionBytes = 20 << 10
	// smallAccountBytes is the size up to which an account is always granted, beside connectionBytes.
	smallAccountBytes = 16 << 10

	headGrace    = 100 * time.Millisecond // a client that has a request to send has sent its head by then
	minHeadGrace = 25 * time.Millisecond  // the same, while most connections have yet to bring a request
	bodyGrace    = 3 * time.Second        // age of a request from which on its unfinished body is overdue
	writeGrace   = 2 * time.Second        // that a client may read nothing before it may be displaced

	admissionInterval = 10 * time.Millisecond // between two looks for a place, while no connection is overdue
	sweepInterval     = 250 * time.Millisecond

	// maxSweepStep is the time that a sweep counts at most. A process that was suspended has yet to read what came meanwhile.
	maxSweepStep = 2 * sweepInterval
)

// Limits are the bounds of a Manager.
type Limits struct {
	Connections int   // open at once
	Bytes       int64 // of all accounts; 0: unlimited
}

// Timeouts bound how long a connection may take. 0: no bound.
type Timeouts struct {
	Header time.Duration // from the first byte of a request to the last of its head
	Idle   time.Duration // between requests, before the first one, and between two pieces of a body
}

// ConnectionsWithin returns the number of connections whose small accounts fit into bytes.
func ConnectionsWithin(bytes int64) int {
	return int(bytes / (connectionBytes + smallAccountBytes))
}

// Manager bounds the connections of one listener and the bytes of their accounts. It is safe for concurrent use.
type Manager struct {
	limits Limits

	mu       sync.Mutex
	freed    *sync.Cond // broadcast when a connection is closed, or may be displaced
	timeouts Timeouts
	open     map[*Conn]struct{}
	used     int64 // bytes of all accounts
	heads    *list.List
	bodies   *list.List
	idle     *list.List
	ended    bool // the listener is closed

	clock     time.Duration // passed since the start, without suspensions
	lastSweep time.Time
	displaced Displaced
}

// Displaced counts the connections that were closed before their clients were done.
type Displaced struct {
	ForConnections uint64 `json:"forConnections"` // for a new connection
	ForBytes       uint64 `json:"forBytes"`       // for another request's bytes
	TimedOut       uint64 `json:"timedOut"`
}

// Use is what the clients of a Manager hold at present.
type Use struct {
	Connections    int       `json:"connections"`
	MaxConnections int       `json:"maxConnections"`
	Idle           int       `json:"idle"` // connections between two requests
	Bytes          int64     `json:"bytes"`
	MaxBytes       int64     `json:"maxBytes"`
	Displaced      Displaced `json:"displaced"`
}

// NewManager returns a manager without connections.
func NewManager(limits Limits) *Manager {
	if limits.Bytes > 0 {
		limits.Connections = min(limits.Connections, max(1, ConnectionsWithin(limits.Bytes)))
	}
	m := &Manager{limits: limits, open: map[*Conn]struct{}{}, heads: list.New(), bodies: list.New(), idle: list.New(), lastSweep: time.Now()}
	m.freed = sync.NewCond(&m.mu)
	return m
}

// Use returns what is in use.
func (m *Manager) Use() Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Use{
		Connections: len(m.open), MaxConnections: m.limits.Connections, Idle: m.idle.Len(), Bytes: m.used, MaxBytes: m.limits.Bytes, Displaced: m.displaced,
	}
}

// Attach makes a server's connections those of the manager. The server must serve a listener that Listen has made, and no other.
func (m *Manager) Attach(server *http.Server) {
	server.ConnState = m.observe
	server.ConnContext = withConn
	server.Handler = m.handler(server.Handler)
}

// SetTimeouts changes the time that connections may take.
func (m *Manager) SetTimeouts(t Timeouts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeouts = t
}

// Sweep closes the connections that have exceeded their time. It is to be called several times a second, and does its work at sweepInterval.
func (m *Manager) Sweep(now time.Time) {
	m.mu.Lock()
	if now.Sub(m.lastSweep) < sweepInterval {
		m.mu.Unlock()
		return
	}
	m.clock += min(maxSweepStep, now.Sub(m.lastSweep))
	m.lastSweep = now
	for _, c := range m.overdue() {
		m.displaced.TimedOut++
		m.evict(c)
	}
	m.freed.Broadcast() // answers have become older that nobody reads
	m.mu.Unlock()
}

// overdue returns the connections that have exceeded their time. The lock is held.
func (m *Manager) overdue() (overdue []*Conn) {
	take := func(connections *list.List, isOverdue func(*Conn) bool) {
		for element := connections.Front(); element != nil; element = element.Next() {
			if c := element.Value.(*Conn); isOverdue(c) {
				overdue = append(overdue, c)
			}
		}
	}
	exceeds := func(since, limit time.Duration) bool { return limit > 0 && m.clock-since > limit }
	take(m.heads, func(c *Conn) bool {
		if c.silent {
			return exceeds(c.since, m.timeouts.Idle)
		}
		return exceeds(c.since, m.timeouts.Header)
	})
	take(m.bodies, func(c *Conn) bool { return exceeds(c.lastRead, m.timeouts.Idle) })
	take(m.idle, func(c *Conn) bool { return exceeds(c.since, m.timeouts.Idle) })
	return overdue
}

// admit waits until one more connection may be open, and adds it. It returns nil if the listener is closed before.
func (m *Manager) admit(conn net.Conn) *Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.open) >= m.limits.Connections && !m.ended {
		victim, wait := m.displaceable(time.Now())
		switch {
		case victim != nil:
			m.displaced.ForConnections++
			m.evict(victim)
		case wait > 0:
			m.pause(wait)
		default:
			m.freed.Wait()
		}
	}
	if m.ended {
		return nil
	}
	c := &Conn{Conn: conn, manager: m, begun: time.Now(), since: m.clock, lastRead: m.clock, silent: true}
	m.open[c] = struct{}{}
	m.used += connectionBytes
	m.enter(c, m.heads)
	return c
}

// pause waits. The lock is held, and released meanwhile.
func (m *Manager) pause(d time.Duration) {
	m.mu.Unlock()
	time.Sleep(d)
	m.mu.Lock()
}

// displaceable returns the connection whose place a new one may take. nil: there is none before wait has passed; 0: none before some connection's state changes.
// While most connections have yet to bring a request, new ones take the places of these, after minHeadGrace, rather than those of idle ones. The lock is held.
func (m *Manager) displaceable(now time.Time) (victim *Conn, wait time.Duration) {
	grace, isCrowd := headGrace, 2*m.heads.Len() >= len(m.open)
	if isCrowd {
		grace = minHeadGrace
	}
	head, body := front(m.heads), front(m.bodies)
	switch {
	case body != nil && now.Sub(body.begun) >= bodyGrace:
		return body, 0
	case head != nil && now.Sub(head.begun) >= grace:
		return head, 0
	case isCrowd:
		return nil, admissionInterval
	}
	if idle := front(m.idle); idle != nil {
		return idle, 0
	}
	if body != nil && now.Sub(body.begun) >= headGrace {
		return body, 0
	}
	if unread := m.unread(now); unread != nil {
		return unread, 0
	}
	if head != nil || body != nil {
		return nil, admissionInterval
	}
	return nil, 0
}

// unread returns a connection whose client has read nothing of its answer for writeGrace; nil if there is none. The lock is held.
func (m *Manager) unread(now time.Time) *Conn {
	for c := range m.open {
		if begun := c.writeBegun.Load(); begun != 0 && now.UnixNano()-begun >= int64(writeGrace) {
			return c
		}
	}
	return nil
}

func front(connections *list.List) *Conn {
	if element := connections.Front(); element != nil {
		return element.Value.(*Conn)
	}
	return nil
}

// evict closes a connection and gives back its bytes and its place; its goroutine ends by itself. The lock is held.
func (m *Manager) evict(c *Conn) {
	m.leave(c)
	m.forget(c)
	_ = c.Conn.Close() // its goroutine notices, and closes the rest
}

// forget gives back the place and the bytes of a connection, once. The lock is held.
func (m *Manager) forget(c *Conn) {
	if c.evicted {
		return
	}
	c.evicted = true
	delete(m.open, c)
	m.used -= c.account + connectionBytes
	c.account = 0
	m.freed.Broadcast()
}

// leave takes a connection from the list of its state. The lock is held.
func (m *Manager) leave(c *Conn) {
	if c.place != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
}

// enter puts a connection at the end of the list of its new state; nil: it has none, and can't be displaced. The lock is held.
func (m *Manager) enter(c *Conn, connections *list.List) {
	m.leave(c)
	if connections != nil && !c.evicted {
		c.list, c.place = connections, connections.PushBack(c)
	}
}

// reserve counts n more bytes in an account. It closes other connections for them where that helps, and returns false where it doesn't. The lock is held.
func (m *Manager) reserve(c *Conn, n int64) bool {
	if c.evicted {
		return false
	}
	if m.limits.Bytes > 0 && c.account+n > smallAccountBytes && !m.makeRoom(c, n) {
		return false
	}
	c.account += n
	m.used += n
	return true
}

// makeRoom closes the connections that have been receiving large requests for longest until n bytes are free. It does not close one that has been
// receiving for less long than c. The lock is held.
func (m *Manager) makeRoom(c *Conn, n int64) bool {
	for m.used+n > m.limits.Bytes {
		victim := m.oldestLarge()
		if victim == nil || victim == c || c.place != nil && c.begun.Before(victim.begun) {
			return false
		}
		m.displaced.ForBytes++
		m.evict(victim)
	}
	return true
}

// oldestLarge returns the connection that has been receiving for longest, of those whose account is not small; nil if there is none. The lock is held.
func (m *Manager) oldestLarge() (oldest *Conn) {
	for _, connections := range []*list.List{m.heads, m.bodies} {
		for element := connections.Front(); element != nil; element = element.Next() {
			c := element.Value.(*Conn)
			if c.account <= smallAccountBytes {
				continue
			}
			if oldest == nil || c.begun.Before(oldest.begun) {
				oldest = c
			}
			break
		}
	}
	return oldest
}

// end makes admit return.
func (m *Manager) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.freed.Broadcast()
}

// Listen returns a listener whose connections the manager bounds.
func (m *Manager) Listen(l net.Listener) net.Listener { return &listener{Listener: l, manager: m} }

type listener struct {
	net.Listener
	manager *Manager
}

// Accept waits for a connection, and for a place for it.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.manager.admit(conn)
	if c == nil {
		_ = conn.Close() // nothing of it was read
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close closes the listener. Its connections stay open.
func (l *listener) Close() error {
	l.manager.end()
	return l.Listener.Close()
}
