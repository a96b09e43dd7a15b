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

const bufferSize = 4 << 10

// line is one connection of a caller, which carries one request at a time.
type line struct {
	conn *net.TCPConn
	raw  syscall.RawConn
	rest io.LimitedReader // what may still come of the present answer
	in   *bufio.Reader
	out  []byte
	body bytes.Buffer // of an answer over HTTP
	used bool         // an answer has come on it
	last uint64       // the request that was answered on it last; 0 while one is under way
}

func newLine(conn *net.TCPConn) (*line, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("live: %w", err)
	}
	l := &line{conn: conn, raw: raw, rest: io.LimitedReader{R: conn}}
	l.in = bufio.NewReaderSize(&l.rest, bufferSize)
	return l, nil
}

// state is what an idle connection is found in.
type state uint8

const (
	quiet state = iota // open, with nothing to read
	talks              // there are bytes that nobody asked for
	ended              // closed by the other side
)

// look finds out without waiting and without reading anything.
func (l *line) look() state {
	if l.in.Buffered() > 0 {
		return talks
	}
	found := ended // also where it has been closed here
	l.raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
		case n > 0:
			found = talks
		case err == unix.EAGAIN:
			found = quiet
		}
	})
	return found
}

// unread says whether a request that was written whole has been read by nobody, when reading its answer gave
// err. Linux resets a connection that is closed with bytes unread and answers bytes for a closed one with a
// reset; a process that has read the request and then closes, or dies, ends the connection in order.
func (l *line) unread(err error) bool {
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
