package cluster

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// maxUpdateDelay is after which what discovery has counts as reported, whatever fails meanwhile; maxAddrChangeDelay is the same for
// an agent that a new configuration names.
const (
	maxUpdateDelay     = 6 * time.Second
	maxAddrChangeDelay = 4 * time.Second
)

// failure is what an agent does with a call instead of responding. It returns whether the connection can carry another call.
type failure struct {
	name string
	do   func(a *failingAgent, conn *net.TCPConn, in *bufio.Reader) bool
}

// writeThen writes a text, and then ends the connection or hangs until the client closes it.
func writeThen(text string, then func(conn *net.TCPConn, in *bufio.Reader)) func(*failingAgent, *net.TCPConn, *bufio.Reader) bool {
	return func(_ *failingAgent, conn *net.TCPConn, in *bufio.Reader) bool {
		_, _ = io.WriteString(conn, text)
		then(conn, in)
		return false
	}
}

func reset(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) }
func closeOrderly(*net.TCPConn, *bufio.Reader) {}
func hang(_ *net.TCPConn, in *bufio.Reader)    { _, _ = in.ReadByte() }

const halfResponse = responseHead + "Content-Length: 900\r\n\r\n{\"revision\":43,\"complete\":true,\"members\":["

var failures = []failure{
	{"silent after the call", writeThen("", hang)},
	{"silent within the head", writeThen(responseHead, hang)},
	{"silent within the body", writeThen(halfResponse, hang)},
	{"reset after the call", writeThen("", reset)},
	{"reset within the body", writeThen(halfResponse, reset)},
	{"ends without a response", writeThen("", closeOrderly)},
	{"ends within the body", writeThen(halfResponse, closeOrderly)},
	{"ends a body of no length", writeThen(responseHead+"\r\n"+halfResponse[len(halfResponse)-41:], closeOrderly)},
	{"no list", writeThen(responseHead+"Content-Length: 2\r\n\r\n[]", closeOrderly)},
	{"overload", func(_ *failingAgent, conn *net.TCPConn, _ *bufio.Reader) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
		return true
	}},
	{"goes away", func(a *failingAgent, conn *net.TCPConn, _ *bufio.Reader) bool {
		_ = conn.SetLinger(0)
		a.goDown()
		return false
	}},
}

// failingAgent is an agent that responds to the first call with document, fails the next ones in turn, and then has an update: as
// changes, or, if fullUpdate is set, as the complete list, which leaves out the host that drains.
type failingAgent struct {
	t          *testing.T
	addr       string
	failures   []failure
	fullUpdate bool
	successor  bool // it follows another agent, and fails the first call already

	mu           sync.Mutex
	listener     net.Listener
	calls        int
	firstFailure time.Time // at which discovery had the update
	closed       bool
	goroutines   sync.WaitGroup
}

func (a *failingAgent) listen(addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		a.t.Error(err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		_ = l.Close()
		return
	}
	if a.listener = l; a.addr == "" {
		a.addr = l.Addr().String()
	}
	a.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.goroutines.Go(func() { a.serve(conn.(*net.TCPConn)) })
		}
	})
}

// goDown makes the agent refuse connections for a while.
func (a *failingAgent) goDown() {
	a.mu.Lock()
	l := a.listener
	a.mu.Unlock()
	_ = l.Close()
	time.Sleep(500 * time.Millisecond)
	a.listen(a.addr)
}

func (a *failingAgent) close() {
	a.mu.Lock()
	a.closed = true
	_ = a.listener.Close()
	a.mu.Unlock()
	a.goroutines.Wait()
}

func (a *failingAgent) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.mu.Lock()
		n := a.calls
		a.calls++
		if !a.successor {
			n--
		}
		if n == 0 {
			a.firstFailure = time.Now()
		}
		a.mu.Unlock()
		body := drainUpdate
		switch {
		case n < 0:
			body = document
		case n < len(a.failures):
			if !a.failures[n].do(a, conn, in) {
				return
			}
			continue
		case n > len(a.failures): // a watch without changes
			hang(conn, in)
			return
		case a.fullUpdate || !strings.Contains(req.RequestURI, "since="):
			body = `{"revision":43,"complete":true,"members":[{"id":"s-3","host_port":"127.0.1.19:8080","phase":"Ready"}]}`
		}
		_, _ = fmt.Fprintf(conn, responseHead+"Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// waitForDrain waits until the host that drains is listed as such, or no more, and returns when that was.
func waitForDrain(t *testing.T, w *recorder, table *Table) time.Time {
	late := time.After(time.Minute)
	for {
		select {
		case <-w.lists:
			if listed := table.Snapshot().List.Members; !slices.ContainsFunc(listed, func(m Member) bool { return m.ID == "s-5be2a07c" && m.State == balance.Ready }) {
				return time.Now()
			}
		case <-late:
			t.Error("the host that drains was listed as ready to the end")
			return time.Now()
		}
	}
}

// measureDelay makes a watcher follow agents, one after the other, to the last one's update, and returns how long that took from
// its first failure on.
func measureDelay(t *testing.T, agents ...*failingAgent) time.Duration {
	w, table := newRecorder()
	for _, a := range agents {
		a.t = t
		a.listen(fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))) // an address of its own: nothing else gets the port while it is down
	}
	addrChanges := make(chan string)
	watcher := newTestWatcher(agents[0].addr, table)
	watcher.AddrChanges = addrChanges
	stop := startWatcher(watcher, func() {})
	<-w.lists
	from := time.Now()
	for _, a := range agents[1:] {
		addrChanges <- a.addr
	}
	at := waitForDrain(t, w, table)
	last := agents[len(agents)-1]
	last.mu.Lock()
	if len(agents) == 1 {
		from = last.firstFailure
	}
	last.mu.Unlock()
	stop()
	for _, a := range agents {
		a.close()
	}
	return at.Sub(from)
}

// Guards against a change that is seen more than 6 s after discovery had it: over sockets, with each failure of a watch, then three
// times each of them, and an agent that then responds with changes or with the complete list.
func TestConsecutiveFailures(t *testing.T) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, first := range failures {
		for _, then := range failures {
			for _, fullUpdate := range []bool{false, true} {
				all.Go(func() {
					row := []failure{first, then, then, then}
					if took := measureDelay(t, &failingAgent{failures: row, fullUpdate: fullUpdate}); took > maxUpdateDelay {
						t.Errorf("%s, then %s, full update %v: seen after %v", first.name, then.name, fullUpdate, took)
					}
				})
			}
		}
	}
}

// Guards against what a new agent has being seen more than 4 s after the configuration that names it, where its first calls fail.
func TestFailuresAfterAddrChange(t *testing.T) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, first := range failures {
		for _, second := range failures {
			all.Go(func() {
				took := measureDelay(t, &failingAgent{failures: slices.Repeat(failures[:1], 9)}, &failingAgent{failures: []failure{first, second}, successor: true})
				if took > maxAddrChangeDelay {
					t.Errorf("%s, then %s: seen after %v", first.name, second.name, took)
				}
			})
		}
	}
}
