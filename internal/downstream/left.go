package downstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Left tells whether the other side of a connection has closed it, or its sending, also behind bytes that are not read yet.
// It takes nothing from the connection. One that was closed here has been left too.
func Left(conn net.Conn) (left bool) {
	if own, ok := conn.(*caller); ok {
		conn = own.Conn
	}
	n, err := peek(conn, func(fd uintptr) {
		// Another request, a stray byte or a body's beginning: the end may lie behind it.
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || n == 0 && err != errSilent
}

func (c *caller) left() bool { return Left(c.Conn) }

// unread tells whether something has come that is not read yet.
func unread(conn net.Conn) bool {
	n, _ := peek(conn, nil)
	return n > 0
}

// errSilent says that nothing has come, and that the other side has neither closed the connection nor its sending.
var errSilent = errors.New("downstream: the connection is silent")

// peek looks whether bytes have come on a connection; 0 without errSilent is its end. Where there are some, more is called, if
// it is not nil. A connection that can't be looked at is silent.
func peek(conn net.Conn, more func(fd uintptr)) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errSilent
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	fault := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			n, err = 0, errSilent
		case n > 0 && more != nil:
			more(fd)
		}
	})
	if fault != nil {
		return 0, fault
	}
	return max(0, n), err
}
