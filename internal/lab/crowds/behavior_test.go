package crowds

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// write sends bytes, unless the other side doesn't take them for writeStall.
func write(conn net.Conn, content []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeStall))
	_, err := conn.Write(content)
	return err == nil
}

// silent sends nothing.
func silent(net.Conn, int) {}

// sendThen returns a behavior that sends a start and then repeats a piece up to a number of bytes.
func sendThen(start string, piece []byte, limit int) behavior {
	return func(conn net.Conn, _ int) {
		if !write(conn, []byte(start)) {
			return
		}
		for sent := 0; len(piece) > 0 && sent < limit && write(conn, piece); sent += len(piece) {
		}
	}
}

// shortFields are fields of a head, all of different names and as short as can be.
var shortFields = func() []byte {
	var fields bytes.Buffer
	for i := 0; fields.Len() < headBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.Bytes()
}()

// fieldsWithin returns short fields of a number of bytes at most.
func fieldsWithin(size int) string {
	fields := shortFields[:size]
	return string(fields[:bytes.LastIndex(fields, []byte("\r\n"))+2])
}

var longLine = bytes.Repeat([]byte("x"), headBytes)

var emptyLines = bytes.Repeat([]byte("\r\n"), headBytes/2)

// zeros is a piece of a body.
var zeros = make([]byte, 64<<10)

// gzipped returns the compressed form of so many zeros.
func gzipped(t *testing.T, size int) []byte {
	t.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	for range size / len(zeros) {
		if _, err := w.Write(zeros); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

// post returns the head of a request with a body of a length; negative: in chunks.
func post(path, fields string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n" + fields + framing + "\r\n\r\n"
}

// sendAndReadNothing returns a behavior that sends whole requests and reads no answer.
func sendAndReadNothing(request string) behavior {
	return func(conn net.Conn, _ int) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		write(conn, []byte(request))
	}
}

// sendAndAwaitAnswer returns a behavior that sends a whole request, and waits until its answer begins.
func sendAndAwaitAnswer(request string) behavior {
	return func(conn net.Conn, _ int) {
		if !write(conn, []byte(request)) {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(slowAnswerTime))
		_, err := conn.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF) {
			return // refused
		}
	}
}
