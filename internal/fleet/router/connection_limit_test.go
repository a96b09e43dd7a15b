package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/overload"
)

const testConnections = 3

// limitedServer is a server with testConnections, whose handler waits for a token where the path is /wait.
type limitedServer struct {
	address string
	tokens  chan struct{}
	servers *httpServers
	manager *overload.Manager
}

func newLimitedServer(t *testing.T) *limitedServer {
	s := &limitedServer{tokens: make(chan struct{}), servers: &httpServers{environment: &environment{log: zap.NewNop()}}}
	probe, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.address = probe.Addr().String()
	So(probe.Close(), ShouldBeNil)
	s.manager = overload.NewManager(overload.Limits{Connections: testConnections})
	_, err = s.servers.listen(s.address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.tokens
		}
	}), s.manager, maxClientHeaderBytes)
	So(err, ShouldBeNil)
	t.Cleanup(func() {
		s.servers.close()
		s.servers.tasks.Wait()
	})
	return s
}

// testConn is a client's kept connection.
type testConn struct {
	net.Conn
	in *bufio.Reader
}

func (s *limitedServer) dial(t *testing.T) *testConn {
	conn, err := net.Dial("tcp4", s.address)
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = conn.Close() })
	So(conn.SetDeadline(time.Now().Add(30*time.Second)), ShouldBeNil)
	return &testConn{Conn: conn, in: bufio.NewReader(conn)}
}

func (c *testConn) send(path string) {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
}

// status reads a response and returns its status; 0: the connection was closed.
func (c *testConn) status() int {
	response, err := http.ReadResponse(c.in, nil)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return 0
	}
	So(err, ShouldBeNil)
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a router that neither its operator nor other routers reach any longer, since clients' connections have taken all descriptors.
func TestClientsConnectionsLeaveDescriptors(t *testing.T) {
	Convey("Clients have three eighths of the descriptors that are not reserved", t, func() {
		So(descriptorsFor(&settings.Settings{Limits: settings.Limits{FileDescriptors: 4100}}, clientDescriptorParts), ShouldEqual, 1425)
		So(descriptorsFor(&settings.Settings{}, clientDescriptorParts), ShouldEqual, minConnections)
	})
	Convey("At the limit the connection that has been idle for longest gives way", t, func() {
		s := newLimitedServer(t)
		var conns []*testConn
		for range testConnections + 1 {
			conn := s.dial(t)
			conn.send("/")
			So(conn.status(), ShouldEqual, http.StatusOK)
			conns = append(conns, conn)
			for s.manager.Use().Idle < min(len(conns), testConnections) { // the order in which they become idle decides
				time.Sleep(time.Millisecond)
			}
		}
		So(conns[0].status(), ShouldEqual, 0)
		last := conns[len(conns)-1]
		last.send("/")
		So(last.status(), ShouldEqual, http.StatusOK)
	})
	Convey("A connection with a request is not closed: a new one waits for it", t, func() {
		s := newLimitedServer(t)
		var busy []*testConn
		for range testConnections {
			conn := s.dial(t)
			conn.send("/wait")
			busy = append(busy, conn)
		}
		waiting := s.dial(t)
		waiting.send("/")
		s.tokens <- struct{}{}
		So(waiting.status(), ShouldEqual, http.StatusOK)
		for range testConnections - 1 {
			s.tokens <- struct{}{}
		}
		answered := 0
		for _, conn := range busy {
			if conn.status() == http.StatusOK {
				answered++
			}
		}
		So(answered, ShouldEqual, testConnections)
	})
}
