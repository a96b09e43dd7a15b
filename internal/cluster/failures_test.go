package cluster

import (
	"bufio"
	"context"
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

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// told is after which what discovery has counts as told, whatever fails meanwhile; toldMoved is the same of an agent that a new
// configuration has named.
const (
	told      = 6 * time.Second
	toldMoved = 4 * time.Second
)

// failure is what an agent does with a call in place of telling. It returns whether the connection can carry another.
type failure struct {
	name string
	do   func(a *failing, conn *net.TCPConn, in *bufio.Reader) bool
}

// says sends a text and has the connection be broken off after that, or rest until it is left.
func says(text string, then func(conn *net.TCPConn, in *bufio.Reader)) func(*failing, *net.TCPConn, *bufio.Reader) bool {
	return func(_ *failing, conn *net.TCPConn, in *bufio.Reader) bool {
		_, _ = io.WriteString(conn, text)
		then(conn, in)
		return false
	}
}

func resets(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) }
func ends(*net.TCPConn, *bufio.Reader)          {}
func rests(_ *net.TCPConn, in *bufio.Reader)    { _, _ = in.ReadByte() }

const half = head + "Content-Length: 900\r\n\r\n{\"revision\":43,\"complete\":true,\"members\":["

var failures = []failure{
	{"silent after the call", says("", rests)},
	{"silent within the head", says(head, rests)},
	{"silent within the body", says(half, rests)},
	{"reset after the call", says("", resets)},
	{"reset within the body", says(half, resets)},
	{"ends in place of telling", says("", ends)},
	{"ends within the body", says(half, ends)},
	{"ends a body of no length", says(head+"\r\n"+half[len(half)-41:], ends)},
	{"no list", says(head+"Content-Length: 2\r\n\r\n[]", ends)},
	{"no room", func(_ *failing, conn *net.TCPConn, _ *bufio.Reader) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
		return true
	}},
	{"goes away", func(a *failing, conn *net.TCPConn, _ *bufio.Reader) bool {
		_ = conn.SetLinger(0)
		a.away()
		return false
	}},
}

// failing is an agent that answers the first call with document, fails the next ones in turn, and then has news: by changes, or,
// if it is afresh, by the whole list, which leaves out the host that drains.
type failing struct {
	t      *testing.T
	addr   string
	row    []failure
	afresh bool
	moved  bool // it is another one's successor, and fails the first call already

	mu       sync.Mutex
	listener net.Listener
	calls    int
	since    time.Time // of the first failure, at which discovery had the news
	over     bool
	all      sync.WaitGroup
}

func (a *failing) listen(addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		a.t.Error(err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		l.Close()
		return
	}
	if a.listener = l; a.addr == "" {
		a.addr = l.Addr().String()
	}
	a.all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.all.Go(func() { a.serve(conn.(*net.TCPConn)) })
		}
	})
}

// away has the agent refuse connections for a while.
func (a *failing) away() {
	a.mu.Lock()
	l := a.listener
	a.mu.Unlock()
	l.Close()
	time.Sleep(500 * time.Millisecond)
	a.listen(a.addr)
}

func (a *failing) close() {
	a.mu.Lock()
	a.over = true
	a.listener.Close()
	a.mu.Unlock()
	a.all.Wait()
}

func (a *failing) serve(conn *net.TCPConn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.mu.Lock()
		n := a.calls
		a.calls++
		if !a.moved {
			n--
		}
		if n == 0 {
			a.since = time.Now()
		}
		a.mu.Unlock()
		body := drained
		switch {
		case n < 0:
			body = document
		case n < len(a.row):
			if !a.row[n].do(a, conn, in) {
				return
			}
			continue
		case n > len(a.row): // a watch with no news
			rests(conn, in)
			return
		case a.afresh || !strings.Contains(req.RequestURI, "since="):
			body = `{"revision":43,"complete":true,"members":[{"id":"s-3","host_port":"127.0.1.19:8080","phase":"Ready"}]}`
		}
		fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// inForce waits until the host that drains is held as such, or no more, and returns when that was.
func inForce(t *testing.T, w *world, table *Table) time.Time {
	late := time.After(time.Minute)
	for {
		select {
		case <-w.lists:
			if held := table.Snapshot().List.Members; !slices.ContainsFunc(held, func(m Member) bool { return m.ID == "s-5be2a07c" && m.State == balance.Ready }) {
				return time.Now()
			}
		case <-late:
			t.Error("the host that drains was held to the end")
			return time.Now()
		}
	}
}

// play has a watch follow agents, one after the other, to the last one's news, and returns how long that took from its first
// failure on.
func play(t *testing.T, agents ...*failing) time.Duration {
	w, table := newWorld()
	for _, a := range agents {
		a.t = t
		a.listen(fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))) // its own: nobody gets the port while it is away
	}
	ctx, end := context.WithCancel(t.Context())
	moves, ended := make(chan string), make(chan struct{})
	go func() {
		defer close(ended)
		(&Watcher{Addr: agents[0].addr, AddrChanges: moves, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}).Run(ctx, func() {})
	}()
	<-w.lists
	from := time.Now()
	for _, a := range agents[1:] {
		moves <- a.addr
	}
	at := inForce(t, w, table)
	last := agents[len(agents)-1]
	last.mu.Lock()
	if len(agents) == 1 {
		from = last.since
	}
	last.mu.Unlock()
	end()
	<-ended
	for _, a := range agents {
		a.close()
	}
	return at.Sub(from)
}

// Guards against a change that is learned of more than 6 s after discovery had it: over sockets, each failure of a watch, then
// three times each of them, and an agent that then tells by changes or by the whole list.
func TestFailuresInARow(t *testing.T) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, first := range failures {
		for _, then := range failures {
			for _, afresh := range []bool{false, true} {
				all.Go(func() {
					row := []failure{first, then, then, then}
					if took := play(t, &failing{row: row, afresh: afresh}); took > told {
						t.Errorf("%s, then %s, told afresh %v: learned of after %v", first.name, then.name, afresh, took)
					}
				})
			}
		}
	}
}

// Guards against what a new agent has being learned of more than 4 s after the configuration that names it, where its first
// calls fail.
func TestFailuresAfterAMove(t *testing.T) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, first := range failures {
		for _, second := range failures {
			all.Go(func() {
				took := play(t, &failing{row: slices.Repeat(failures[:1], 9)}, &failing{row: []failure{first, second}, moved: true})
				if took > toldMoved {
					t.Errorf("%s, then %s: learned of after %v", first.name, second.name, took)
				}
			})
		}
	}
}
