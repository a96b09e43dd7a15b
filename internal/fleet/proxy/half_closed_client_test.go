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

// halfClosedClient is a client that can close the sending side of its connection and still read.
type halfClosedClient struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dialHalfClosed connects and sends a request. Both sides of the connection stay open.
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

// looksComplete reports whether a response's body can be read to its end without an error.
func looksComplete(response *http.Response) bool {
	defer response.Body.Close()
	_, err := io.ReadAll(response.Body)
	return err == nil
}

// Guards against a success, or a response that looks complete, for a client that has closed the sending side of its connection and
// still reads.
func TestHalfClosedClient(t *testing.T) {
	received := make(chan struct{}, 4)
	hang := func(c net.Conn, _ *http.Request) {
		received <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // until the proxy closes the connection
	}
	startThenHang := func(c net.Conn, r *http.Request) {
		respond(eventStreamHead)(c, r)
		_, _ = io.WriteString(c, "7\r\nid: 1\n\n\r\n")
		hang(c, r)
	}
	Convey("A client that closes its sending side before the response has started receives no success", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", hang)).dialHalfClosed("/u/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-received
		So(client.conn.CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(client.reader, nil)
		if err == nil {
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("A client that closes its sending side within the response receives none that looks complete", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", startThenHang)).dialHalfClosed("/st/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-received
		response, err := http.ReadResponse(client.reader, nil) // the head is sent with the first piece of the body: the response has started
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(client.conn.CloseWrite(), ShouldBeNil)
		So(looksComplete(response), ShouldBeFalse)
	})
	Convey("A client that closes its sending side as the response starts receives a failure, or none that looks complete", t, func() {
		client, err := newTestProxy(t, newFakeEndpoint(t, "e1", startThenHang)).dialHalfClosed("/st/")
		So(err, ShouldBeNil)
		defer func() { _ = client.conn.Close() }()
		<-received
		So(client.conn.CloseWrite(), ShouldBeNil)
		response, err := http.ReadResponse(client.reader, nil)
		if err == nil && response.StatusCode != http.StatusBadGateway {
			So(looksComplete(response), ShouldBeFalse)
		}
	})
}
