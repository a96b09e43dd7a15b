package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// halfClosed sends a request, ends its own side of the connection once the endpoint has it, and returns the answer.
func (r *rig) halfClosed(path string, came <-chan struct{}) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		return nil, "", err
	}
	<-came
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against an answer that looks whole, or like a success, to a client that has ended its sending and still reads.
func TestHalfClosedClient(t *testing.T) {
	Convey("A client that ends its sending before an answer has begun gets no success", t, func() {
		came := make(chan struct{}, 4)
		silent := func(c net.Conn, _ *http.Request) {
			came <- struct{}{}
			_, _ = c.Read(make([]byte, 1)) // until the router lets go
		}
		response, _, err := newRig(t, newStandIn(t, "e1", silent)).halfClosed("/u/", came)
		if err == nil {
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("One that does so within an answer gets none that looks whole", t, func() {
		came := make(chan struct{}, 4)
		begins := func(c net.Conn, r *http.Request) {
			text(eventsHead)(c, r)
			_, _ = io.WriteString(c, "7\r\nid: 1\n\n\r\n")
			came <- struct{}{}
			_, _ = c.Read(make([]byte, 1))
		}
		_, _, err := newRig(t, newStandIn(t, "e1", begins)).halfClosed("/st/", came)
		So(err, ShouldNotBeNil)
	})
}
