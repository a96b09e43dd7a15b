// Package connstate looks at what the peer of a TCP connection has done, without consuming anything that is to be read from the
// connection. It keeps no state. The packages that own connections (upstream, downstream) call it, from any goroutine, also
// beside a Read or a Close.
package connstate

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what is to be seen of a connection's peer.
type State uint8

// The states.
const (
	NoData      State = iota // nothing is unread: the peer has neither sent anything more nor closed
	DataPending              // bytes have come that are not read yet
	Closed                   // the peer has closed the connection or its sending side, or the connection was closed here
	Unknown                  // a connection of this type has no descriptor to look at
)

// Peek returns the state of a connection. It makes one system call, recvfrom with MSG_PEEK.
func Peek(conn net.Conn) State {
	p := peekers.Get().(*peeker)
	defer peekers.Put(p)
	if p.state = Closed; !control(conn, p.peek) {
		return Unknown
	}
	return p.state
}

// peeker has the state and the method value of a Peek, which each would otherwise allocate.
type peeker struct {
	state State
	buf   [1]byte
	peek  func(fd uintptr) // the method recv, bound once
}

var peekers = sync.Pool{New: func() any {
	p := &peeker{}
	p.peek = p.recv
	return p
}}

func (p *peeker) recv(fd uintptr) {
	switch n, _, err := syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		p.state = NoData
	case n > 0:
		p.state = DataPending
	}
}

// PeerClosed reports whether the peer has closed the connection or its sending side, also where bytes before that are not read
// yet. It is true for a connection that was closed here, and false where nothing can be seen.
func PeerClosed(conn net.Conn) bool {
	switch Peek(conn) {
	case Closed:
		return true
	case DataPending: // a pipelined request, a stray byte or the beginning of a body: the end may have come after it
		return peerHungUp(conn)
	}
	return false
}

func peerHungUp(conn net.Conn) (hungUp bool) {
	control(conn, func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp
}

// control calls f with the connection's descriptor, unless it was closed here. It reports whether the connection's type has
// descriptors.
func control(conn net.Conn, f func(fd uintptr)) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(f) // an error says that the connection was closed here
	}
	return true
}
