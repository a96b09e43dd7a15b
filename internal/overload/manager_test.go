package overload

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")) // it sleeps after an answer that ends a connection
}

// testServer is a server whose connections a manager bounds. Its handler reads the body, reports its error, and waits for a token where the path is /wait.
type testServer struct {
	manager *Manager
	address string
	tokens  chan struct{}
	bodies  chan error // of requests with a body
}

func startServer(t *testing.T, limits Limits) *testServer {
	s := &testServer{manager: NewManager(limits), tokens: make(chan struct{}), bodies: make(chan error, 100)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.manager.Attach(server)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(s.manager.Listen(listener))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_, err := ConnOf(r.Context()).ReadBody(r.Body, r.ContentLength, 0)
		s.bodies <- err
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if r.URL.Path == "/wait" {
		<-s.tokens
	}
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testClient {
	conn, err := net.Dial("tcp4", s.address)
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = conn.Close() })
	So(conn.SetDeadline(time.Now().Add(30*time.Second)), ShouldBeNil)
	return &testClient{Conn: conn, in: bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	_, err := io.WriteString(c, text)
	So(err, ShouldBeNil)
}

// status reads an answer; 0: the connection is closed.
func (c *testClient) status() int {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// await polls until a condition on what is in use holds.
func (s *testServer) await(holds func(Use) bool) {
	for until := time.Now().Add(30 * time.Second); !holds(s.manager.Use()); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			So(s.manager.Use(), ShouldEqual, Use{})
		}
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestBytesOfConnectionsAreGivenBack(t *testing.T) {
	Convey("What a request holds is given back when it ends, and everything when its connection is closed", t, func() {
		s := startServer(t, Limits{Connections: 10, Bytes: 1 << 20})
		client := s.dial(t)
		client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000))
		So(client.status(), ShouldEqual, http.StatusOK)
		s.await(func(u Use) bool { return u.Bytes <= connectionBytes+100_000 })
		client.send(get)
		So(client.status(), ShouldEqual, http.StatusOK)
		s.await(func(u Use) bool { return u.Connections == 1 && u.Bytes <= connectionBytes+HeadCost([]byte(get)) })
		_ = client.Close()
		s.await(func(u Use) bool { return u.Connections == 0 && u.Bytes == 0 })
	})
}

func TestOldestLargeRequestGivesWay(t *testing.T) {
	Convey("Where bytes run out, the request that has been received for longest is closed, and small ones are served", t, func() {
		s := startServer(t, Limits{Connections: 10, Bytes: 600 << 10})
		var crowd []*testClient
		const fitting = 2 // requests
		for i := range 4 {
			client := s.dial(t)
			before := s.manager.Use()
			client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 150_000))
			s.await(func(u Use) bool {
				return i < fitting && u.Bytes >= before.Bytes+200_000 || u.Displaced.ForBytes > before.Displaced.ForBytes
			})
			crowd = append(crowd, client)
		}
		s.await(func(u Use) bool { return u.Displaced.ForBytes >= 2 })
		So(s.manager.Use().Bytes, ShouldBeLessThanOrEqualTo, 600<<10)
		So(crowd[0].status(), ShouldEqual, 0)

		ordinary := s.dial(t)
		ordinary.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder")
		So(ordinary.status(), ShouldEqual, http.StatusOK)
		crowd[3].send(strings.Repeat("x", 150_000))
		So(crowd[3].status(), ShouldEqual, http.StatusOK)
	})
}

func TestReceivedRequestIsNotCutOffForBytes(t *testing.T) {
	Convey("A request that is whole keeps its bytes, and one that doesn't fit beside it is refused", t, func() {
		s := startServer(t, Limits{Connections: 10, Bytes: 600 << 10})
		whole := s.dial(t)
		whole.send("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000))
		So(<-s.bodies, ShouldBeNil)
		other := s.dial(t)
		other.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 260_000))
		So(errors.Is(<-s.bodies, ErrNoRoom), ShouldBeTrue)
		s.tokens <- struct{}{}
		So(whole.status(), ShouldEqual, http.StatusOK)
	})
}

func TestHeadsAreCountedByTheirParsedForm(t *testing.T) {
	Convey("A head of many fields that doesn't fit beside a request in progress is closed, and its bytes are given back", t, func() {
		s := startServer(t, Limits{Connections: 10, Bytes: 300 << 10})
		holder := s.dial(t)
		holder.send("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000))
		So(<-s.bodies, ShouldBeNil)
		var head bytes.Buffer
		for i := range 1500 {
			fmt.Fprintf(&head, "%x:\r\n", i)
		}
		client := s.dial(t)
		_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n"+head.String())
		So(client.status(), ShouldBeIn, []int{0, http.StatusBadRequest})
		s.await(func(u Use) bool { return u.Connections == 1 })
		So(s.manager.Use().Bytes, ShouldBeLessThanOrEqualTo, 300<<10)
		s.tokens <- struct{}{}
		So(holder.status(), ShouldEqual, http.StatusOK)
	})
	Convey("Requests that come together, and heads that come before the answer to the request before them, are counted and served", t, func() {
		s := startServer(t, Limits{Connections: 10, Bytes: 300 << 10})
		client := s.dial(t)
		client.send(strings.Repeat(get, 50))
		for range 50 {
			So(client.status(), ShouldEqual, http.StatusOK)
		}
		_ = client.Close()
		s.await(func(u Use) bool { return u.Connections == 0 && u.Bytes == 0 })
	})
}

func TestConnectionsGiveWayInOrder(t *testing.T) {
	Convey("A connection whose request is overdue gives way before an idle one", t, func() {
		s := startServer(t, Limits{Connections: 3})
		idle, silent, another := s.dial(t), s.dial(t), s.dial(t)
		for _, client := range []*testClient{idle, another} {
			client.send(get)
			So(client.status(), ShouldEqual, http.StatusOK)
		}
		time.Sleep(2 * headGrace) // makes silent overdue
		last := s.dial(t)
		last.send(get)
		So(last.status(), ShouldEqual, http.StatusOK)
		So(silent.status(), ShouldEqual, 0)
		idle.send(get)
		So(idle.status(), ShouldEqual, http.StatusOK)
	})
	Convey("One that has been idle for longest gives way before one whose request may be on its way", t, func() {
		s := startServer(t, Limits{Connections: 3})
		first, second, third := s.dial(t), s.dial(t), s.dial(t)
		for i, client := range []*testClient{first, second, third} {
			client.send(get)
			So(client.status(), ShouldEqual, http.StatusOK)
			s.await(func(u Use) bool { return u.Idle == i+1 })
		}
		s.manager.mu.Lock()
		fresh := &Conn{manager: s.manager, begun: time.Now()}
		s.manager.enter(fresh, s.manager.heads)
		victim, _ := s.manager.displaceable(time.Now())
		s.manager.leave(fresh)
		s.manager.mu.Unlock()
		So(victim.RemoteAddr().String(), ShouldEqual, first.LocalAddr().String())
	})
	Convey("A request in progress doesn't give way: a new connection waits for its end", t, func() {
		s := startServer(t, Limits{Connections: 1})
		busy := s.dial(t)
		busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		s.await(func(u Use) bool { return u.Connections == 1 })
		waiting := s.dial(t)
		waiting.send(get)
		s.tokens <- struct{}{}
		So(busy.status(), ShouldEqual, http.StatusOK)
		So(waiting.status(), ShouldEqual, http.StatusOK)
	})
}

// countBegunHeads returns the number of connections of whose heads something has been read. The caller holds the lock.
func countBegunHeads(m *Manager) (count int) {
	for element := m.heads.Front(); element != nil; element = element.Next() {
		if !element.Value.(*Conn).silent {
			count++
		}
	}
	return count
}

func TestOverdueConnectionsAreClosed(t *testing.T) {
	timeouts := Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}
	sweep := func(m *Manager, passed time.Duration) {
		for ; passed > 0; passed -= sweepInterval {
			m.Sweep(m.lastSweep.Add(sweepInterval))
		}
	}
	Convey("A head may take the time for heads, silence and bodies the time between requests", t, func() {
		s := startServer(t, Limits{Connections: 10})
		s.manager.SetTimeouts(timeouts)
		silent, stalled, uploading := s.dial(t), s.dial(t), s.dial(t)
		stalled.send("GET / HT")
		uploading.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nbegun")
		s.await(func(Use) bool {
			s.manager.mu.Lock()
			defer s.manager.mu.Unlock()
			return s.manager.heads.Len() == 2 && countBegunHeads(s.manager) == 1 && s.manager.bodies.Len() == 1
		})
		sweep(s.manager, timeouts.Header)
		So(s.manager.Use().Displaced.TimedOut, ShouldEqual, 0)
		sweep(s.manager, time.Second)
		So(s.manager.Use().Displaced.TimedOut, ShouldEqual, 1)
		So(stalled.status(), ShouldEqual, 0)
		sweep(s.manager, timeouts.Idle)
		So(s.manager.Use().Displaced.TimedOut, ShouldEqual, 3)
		So(silent.status(), ShouldEqual, 0)
		So(<-s.bodies, ShouldNotBeNil)
		_ = uploading.Close()
		s.await(func(u Use) bool { return u.Connections == 0 })
	})
	Convey("The time during which the process was suspended doesn't count", t, func() {
		s := startServer(t, Limits{Connections: 10})
		s.manager.SetTimeouts(timeouts)
		client := s.dial(t)
		client.send("GET / HT")
		s.manager.Sweep(s.manager.lastSweep.Add(time.Hour))
		client.send("TP/1.1\r\nHost: h\r\n\r\n")
		So(client.status(), ShouldEqual, http.StatusOK)
	})
}

// bounded returns a connection of a manager with a number of bytes beside small accounts.
func bounded(maxBytes int64) *Conn {
	m := NewManager(Limits{Connections: 1, Bytes: maxBytes})
	return &Conn{manager: m}
}

// Guards against a process that is killed for its memory because clients announce long bodies, or send many at a time.
func TestBodiesStayWithinTheirBytes(t *testing.T) {
	Convey("The bytes for bodies", t, func() {
		conn := bounded(1 << 20)

		Convey("are not used by an announcement, however long", func() {
			for _, announced := range []int64{1 << 36, math.MaxInt64} {
				before := conn.account
				_, err := conn.ReadBody(strings.NewReader("short"), announced, 0)
				So(err, ShouldEqual, io.ErrUnexpectedEOF)
				So(conn.account-before, ShouldEqual, firstBodyBytes)
			}
		})
		Convey("are used by what has come", func() {
			content := bytes.Repeat([]byte("x"), 300<<10)
			for _, announced := range []int64{-1, int64(len(content))} {
				conn := bounded(1 << 20)
				body, err := conn.ReadBody(iotest.OneByteReader(bytes.NewReader(content)), announced, 0)
				So(err, ShouldBeNil)
				So(bytes.Equal(body, content), ShouldBeTrue)
				So(conn.account, ShouldBeBetweenOrEqual, len(content), 2*len(content))
				So(conn.manager.used, ShouldEqual, conn.account)
			}
		})
		Convey("are not exceeded, by one or by two together", func() {
			_, err := conn.ReadBody(bytes.NewReader(make([]byte, 2<<20)), 2<<20, 0)
			So(err, ShouldEqual, ErrNoRoom)
			So(conn.manager.used, ShouldBeLessThanOrEqualTo, 1<<20)
			other := &Conn{manager: conn.manager}
			_, err = other.ReadBody(bytes.NewReader(make([]byte, 600<<10)), 600<<10, 0)
			So(err, ShouldEqual, ErrNoRoom)
			So(conn.manager.used, ShouldBeLessThanOrEqualTo, 1<<20)
		})
		Convey("don't change what a body is: one byte more than allowed is read, and a short one is an error", func() {
			body, err := conn.ReadBody(strings.NewReader("123456"), -1, 4)
			So(err, ShouldBeNil)
			So(len(body), ShouldEqual, 5)
			_, err = conn.ReadBody(strings.NewReader("1234"), 5, 0)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
		})
	})
}
