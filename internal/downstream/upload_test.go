package downstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/stream"
)

// startUploadServer runs a server with that handler.
func startUploadServer(t *testing.T, h handlerFunc) net.Addr {
	t.Helper()
	return serve(t, newServer(h))
}

const uploadHead = "POST /charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n"

// Guards against a long body that is buffered, changed, or taken for complete when it was cut off, by either framing, and
// against a connection that is closed without need, or reused with half of a body on it.
func TestStreamedBodies(t *testing.T) {
	body := strings.Repeat("two lenses, please; ", maxBufferedBody/10)
	chunks := fmt.Sprintf("%x;why=not\r\n%s\r\n%x\r\n%s\r\n", maxBufferedBody+1, body[:maxBufferedBody+1], len(body)-maxBufferedBody-1, body[maxBufferedBody+1:])
	for name, c := range map[string]struct {
		head, first, rest string
		cut               bool
	}{
		"stated":       {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body[:10], body[10:], false},
		"stated, cut":  {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body[:10], body[10 : len(body)-1], true},
		"chunked":      {"Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n", chunks[:maxBufferedBody+100], chunks[maxBufferedBody+100:] + "0\r\nX-End: 1\r\n\r\n", false},
		"chunked, cut": {"Transfer-Encoding: chunked\r\n\r\n", chunks[:maxBufferedBody+100], chunks[maxBufferedBody+100:], true},
	} {
		begun, got := make(chan struct{}), make(chan string, 1)
		addr := startUploadServer(t, func(_ context.Context, req *stream.Request) stream.Response {
			if req.Upload == nil {
				t.Errorf("%s: %d bytes were buffered", name, len(req.Body))
				return stream.Response{}
			}
			close(begun)
			rest, err := io.ReadAll(req.Upload)
			if (err != nil) != c.cut {
				t.Errorf("%s: the body ends with %v", name, err)
			}
			got <- string(req.Body) + string(rest)
			if err != nil {
				return stream.Response{Outcome: stream.BodyIncomplete}
			}
			return stream.Response{Body: []byte("ok")}
		})
		conn, in := dial(t, addr)
		_, _ = io.WriteString(conn, uploadHead+c.head+c.first)
		<-begun // before the rest has been sent
		_, _ = io.WriteString(conn, c.rest)
		if c.cut {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		if all := <-got; !c.cut && all != body {
			t.Errorf("%s: %d bytes of %d, or others", name, len(all), len(body))
		}
		res := readResponse(t, in)
		if want := map[bool]int{false: 200, true: 400}[c.cut]; res.StatusCode != want {
			t.Errorf("%s: status %d, want %d", name, res.StatusCode, want)
		}
		conn.Close()
	}
}

// Guards against a response that waits for a stalled body: what is refused is so at once, and the rest of the body is not taken
// for another request.
func TestResponseBeforeBodyEnds(t *testing.T) {
	reading := make(chan struct{})
	addr := startUploadServer(t, func(_ context.Context, req *stream.Request) stream.Response {
		go func() {
			b := make([]byte, 10)
			_, _ = req.Upload.Read(b)
			close(reading)
			_, _ = req.Upload.Read(b) // nothing more comes
		}()
		<-reading
		return stream.Response{Outcome: stream.RejectedLocally}
	})
	conn, in := dial(t, addr)
	defer conn.Close()
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n0123456789", uploadHead, 2*maxBufferedBody)
	res, err := http.ReadResponse(bufio.NewReader(in), nil)
	if err != nil || res.StatusCode != 503 || !res.Close {
		t.Fatalf("got %+v, %v", res, err)
	}
}
