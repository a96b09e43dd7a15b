package handover

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// lineReader reads lines of a bounded length. A read that exceeds its deadline loses nothing of a line that has come in part.
type lineReader struct {
	in   *bufio.Reader
	part []byte // of a line, from reads that exceeded their deadline
}

func newLineReader(conn net.Conn) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(conn, maxLineBytes)}
}

// next returns the next line with its end; it is valid until the next call. A line that is too long is bufio.ErrBufferFull.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.part = append(r.part, line...)
		return nil, err
	}
	if len(r.part) > 0 {
		line, r.part = append(r.part, line...), nil
	}
	if len(line) > maxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	return line, err
}

// receiveLines passes lines to onLine until the connection ends. The acknowledgement that Ready did not wait for is left out.
func receiveLines(conn net.Conn, in *lineReader, onLine func([]byte)) {
	_ = conn.SetReadDeadline(time.Time{})
	for {
		line, err := in.next()
		if err != nil {
			return
		}
		if string(line) != ackLine+"\n" {
			onLine(line)
		}
	}
}

// writeLine sends a line. It closes the connection where the other side doesn't read it in time: lines must not be left out.
func writeLine(conn net.Conn, line []byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	if _, err := conn.Write(append(line, '\n')); err != nil {
		_ = conn.Close()
	}
}
