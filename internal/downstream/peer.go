package downstream

import (
	"net"

	"pinelb.example/pinelb/internal/connstate"
)

// PeerClosed tells whether the other side of a connection has closed it, or its sending, also behind bytes that are not read yet.
// It takes nothing from the connection. One that was closed here has been left too.
func PeerClosed(conn net.Conn) (left bool) {
	if own, ok := conn.(*clientConn); ok {
		conn = own.Conn
	}
	return connstate.PeerClosed(conn)
}

func (c *clientConn) peerClosed() bool { return connstate.PeerClosed(c.Conn) }

// unread tells whether something has come that is not read yet.
func hasUnread(conn net.Conn) bool { return connstate.Peek(conn) == connstate.DataPending }
