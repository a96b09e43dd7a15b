package downstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/connstate"
)

// PeerClosed is connstate.PeerClosed for a connection that a Frontend was given.
func PeerClosed(conn net.Conn) bool {
	if client, ok := conn.(*clientConn); ok {
		conn = client.Conn
	}
	return connstate.PeerClosed(conn)
}

func (c *clientConn) peerClosed() bool { return connstate.PeerClosed(c.Conn) }

// hasUnread reports whether something has come that is not read yet.
func hasUnread(conn net.Conn) bool { return connstate.Peek(conn) == connstate.DataPending }

// UnreadBytes returns how many bytes have come on a connection that are not read yet; 0 where that can't be known.
func UnreadBytes(conn net.Conn) (n int) {
	if client, ok := conn.(*clientConn); ok {
		conn = client.Conn
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	closed := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if closed != nil || err != nil {
		return 0
	}
	return n
}
