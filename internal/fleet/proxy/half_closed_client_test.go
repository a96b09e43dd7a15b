package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// halfClosedClient is a client connection that closes its sending side while it still reads.
type halfClosedClient struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dialHalfClosed sends a request and leaves the connection open.
func (r *testProxy) dialHalfClosed(path string) (*halfClosedClient, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &halfClosedClient{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// looksComplete reports whether a response can be read to what looks like its end.
func looksComplete(response *http.Response) bool {
	defer response.Body.Close()
	_, err := io.ReadAll(response.Body)
	return err == nil
}

// Guards against an answer that looks complete, or like a success, to a client that has closed its sending side and still reads.
func TestHalfClosedClient(t *testing.T) {
	came := make(chan struct{}, 4)
	hang := func(c net.Conn, _ *http.Request) {
		came <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // until the router closes
	}
	startThenHang := func(c net.Conn, r *http.Request) {
		respond(eventStreamHead)(c, r)
		_, _ = io.WriteString(c, "7\r\nid: 1\n\n\r\n")
		hang(c, r)
	}
	Convey("A client that closes its sending side before an answer has started gets no success", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", hang)).dialHalfClosed("/u/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-came
		So(client.conn.CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(client.reader, nil)
		if err == nil {
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("One that does so within an answer gets none that looks complete", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", startThenHang)).dialHalfClosed("/st/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-came
		response, err := http.ReadResponse(client.reader, nil) // the head goes with the first piece: the answer has started
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(client.conn.CloseWrite(), ShouldBeNil)
		So(looksComplete(response), ShouldBeFalse)
	})
	Convey("One that does so as its answer starts gets a failure, or none that looks complete", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", startThenHang)).dialHalfClosed("/st/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-came
		So(client.conn.CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(client.reader, nil)
		if err == nil && response.StatusCode != http.StatusBadGateway {
			So(looksComplete(response), ShouldBeFalse)
		}
	})
}
