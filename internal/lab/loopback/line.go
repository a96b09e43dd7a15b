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

// line is one connection of a caller, which carries one request at a time.
type clientConn struct {
	conn         *net.TCPConn
	raw          syscall.RawConn
	remaining    io.LimitedReader // what may still come of the present answer
	reader       *bufio.Reader
	writeBuffer  []byte
	body         bytes.Buffer // of an answer over HTTP
	used         bool         // an answer has come on it
	lastAnswered uint64       // the request that was answered on it last; 0 while one is under way
}

func newClientConn(conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("live: %w", err)
	}
	l := &clientConn{conn: conn, raw: raw, remaining: io.LimitedReader{R: conn}}
	l.reader = bufio.NewReaderSize(&l.remaining, readBufferSize)
	return l, nil
}

// state is what an idle connection is found in.
type idleState uint8

const (
	idleClean          idleState = iota // open, with nothing to read
	idleUnexpectedData                  // there are bytes that nobody asked for
	idleClosed                          // closed by the other side
)

// look finds out without waiting and without reading anything.
func (l *clientConn) idleState() idleState {
	if l.reader.Buffered() > 0 {
		return idleUnexpectedData
	}
	found := idleClosed // also where it has been closed here
	l.raw.Control(func(fd uintptr) {
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

// unread says whether a request that was written whole has been read by nobody, when reading its answer gave
// err. Linux resets a connection that is closed with bytes unread and answers bytes for a closed one with a
// reset; a process that has read the request and then closes, or dies, ends the connection in order.
func (l *clientConn) requestUnread(err error) bool {
	if errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) {
		return true
	}
	reset := false
	l.raw.Control(func(fd uintptr) {
		// After the other end's FIN a reset shows as EPIPE, while reads still give the end of the stream.
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err == nil && code == int(unix.EPIPE)
		if !reset { // or the reset is on its way: the bytes have not been acknowledged
			left, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			reset = err == nil && left > 0
		}
	})
	return reset
}

// descriptorLimit is how many descriptors this process may hold.
func descriptorLimit() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("live: %w", err)
	}
	return int(min(l.Cur, 1<<20)), nil
}
