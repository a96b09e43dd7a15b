package loopback

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const readBufferSize = 4 << 10

// clientConn is one connection of the transport; it carries one request at a time.
type clientConn struct {
	tcp          *net.TCPConn
	raw          syscall.RawConn
	remaining    io.LimitedReader // limits the present response
	reader       *bufio.Reader
	writeBuffer  []byte
	body         bytes.Buffer // of a response over HTTP
	used         bool         // a response has come on it
	lastAnswered uint64       // transaction id of the last request that was answered; 0 while one is in flight
}

func newClientConn(conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close() // of no use
		return nil, fmt.Errorf("loopback: %w", err)
	}
	c := &clientConn{tcp: conn, raw: raw, remaining: io.LimitedReader{R: conn}}
	c.reader = bufio.NewReaderSize(&c.remaining, readBufferSize)
	return c, nil
}

// idleState is the state of an idle connection.
type idleState uint8

const (
	idleClean          idleState = iota // open, with nothing to read
	idleUnexpectedData                  // bytes have come that no request asked for
	idleClosed                          // closed by either side
)

// idleState checks the connection without blocking and without reading anything.
func (c *clientConn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return idleUnexpectedData
	}
	found := idleClosed
	_ = c.raw.Control(func(fd uintptr) { // it fails where the connection has been closed here
		var b [1]byte
		switch n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
		case n > 0:
			found = idleUnexpectedData
		case err == unix.EAGAIN:
			found = idleClean
		}
	})
	return found
}

// requestUnread reports whether nobody has read a request that was written completely, when reading its response gave err. Linux
// resets a connection that is closed with bytes unread, and answers bytes for a closed one with a reset; a process that has read
// the request and then closes, or dies, ends the connection with a FIN.
func (c *clientConn) requestUnread(err error) bool {
	if errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) {
		return true
	}
	reset := false
	_ = c.raw.Control(func(fd uintptr) { // it fails where the connection has been closed here
		// After the other end's FIN a reset shows as EPIPE, while reads still give the end of the stream.
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err == nil && code == int(unix.EPIPE)
		if !reset { // or the reset is still to come: bytes have not been acknowledged
			unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			reset = err == nil && unacknowledged > 0
		}
	})
	return reset
}

// maxDescriptorLimit bounds what is taken of an unlimited number of descriptors.
const maxDescriptorLimit = 1 << 20

// descriptorLimit is the number of file descriptors that this process may have open.
func descriptorLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("loopback: descriptor limit: %w", err)
	}
	return int(min(limit.Cur, maxDescriptorLimit)), nil
}
