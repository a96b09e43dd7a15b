// Package peek looks at what the other side of a connection has done, and takes nothing from it.
package connstate

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what there is to see of a connection's other side.
type State uint8

// The states.
const (
	NoData      State = iota // nothing that is not read yet: it has neither said anything more nor closed
	DataPending              // bytes that are not read yet
	Closed                   // it has closed the connection, or its sending; or the connection was closed here
	Unknown                  // such a connection can't be looked at
)

// Peek is one call to the kernel.
func Peek(conn net.Conn) State {
	l := peekers.Get().(*peeker)
	defer peekers.Put(l)
	if l.state = Closed; !control(conn, l.look) {
		return Unknown
	}
	return l.state
}

// looker spares a look what it would allocate.
type peeker struct {
	state State
	one   [1]byte
	look  func(fd uintptr)
}

var peekers = sync.Pool{New: func() any {
	l := &peeker{}
	l.look = l.peek
	return l
}}

func (l *peeker) peek(fd uintptr) {
	switch n, _, err := syscall.Recvfrom(int(fd), l.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		l.state = NoData
	case n > 0:
		l.state = DataPending
	}
}

// PeerClosed tells whether the other side has closed the connection, or its sending, also behind bytes that are not read yet.
func PeerClosed(conn net.Conn) bool {
	switch Peek(conn) {
	case Closed:
		return true
	case DataPending: // another request, a stray byte or a body's beginning: the end may lie behind it
		return peerHungUp(conn)
	}
	return false
}

func peerHungUp(conn net.Conn) (up bool) {
	control(conn, func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		up = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return up
}

// control has do look at the connection's descriptor, unless it was closed here. It returns whether there can be one.
func control(conn net.Conn, do func(fd uintptr)) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(do) // an error says that it was closed here
	}
	return true
}
