package downstream

import (
	"net"

	"pinelb.example/pinelb/internal/connstate"
)

// Left tells whether the other side of a connection has closed it, or its sending, also behind bytes that are not read yet.
// It takes nothing from the connection. One that was closed here has been left too.
func Left(conn net.Conn) (left bool) {
	if own, ok := conn.(*caller); ok {
		conn = own.Conn
	}
	return connstate.Left(conn)
}

func (c *caller) left() bool { return connstate.Left(c.Conn) }

// unread tells whether something has come that is not read yet.
func unread(conn net.Conn) bool { return connstate.Look(conn) == connstate.Unread }
