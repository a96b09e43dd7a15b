package downstream

import (
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
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			left = true
		default: // another request, a stray byte or a body's beginning: the end may lie behind it
			p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(p, 0)
			left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return left || err != nil
}

func (c *caller) left() bool { return Left(c.Conn) }
