package cluster

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// recorder records what a table calls its Hosts and its Decisions with.
type recorder struct {
	addrs map[balance.EndpointID]string
	lists chan []balance.Entry
	kinds []balance.ListKind

	cordons  []cordonCall
	draining map[balance.EndpointID]bool
	removed  int
}

func newRecorder() (*recorder, *Table) {
	w := &recorder{addrs: map[balance.EndpointID]string{}, draining: map[balance.EndpointID]bool{}, lists: make(chan []balance.Entry, 10)}
	return w, NewTable([]string{"z0", "z1"}, []string{"k0", "k1"}, w, w)
}

func (w *recorder) Set(id balance.EndpointID, addr string)     { w.addrs[id] = addr }
func (w *recorder) SetDraining(id balance.EndpointID, on bool) { w.draining[id] = on }
func (w *recorder) Remove(id balance.EndpointID)               { delete(w.addrs, id); w.removed++ }
func (w *recorder) Membership(kind balance.ListKind, entries []balance.Entry, _ uint32) {
	w.kinds = append(w.kinds, kind)
	w.lists <- entries
}

func (w *recorder) Cordon(id balance.EndpointID, out bool) {
	w.cordons = append(w.cordons, cordonCall{id, out})
}

func (w *recorder) Expect(time.Duration) {}

// cordonCall is a call of Decisions.Cordon.
type cordonCall struct {
	id  balance.EndpointID
	out bool
}

func member(id, addr string, state balance.Availability) Member {
	return Member{ID: id, Addr: addr, State: state, Zone: "z1", Kind: "k1"}
}

// scriptedAgent is a discovery agent whose calls the test responds to.
type scriptedAgent struct {
	addr  string
	calls chan agentCall
}

type agentCall struct {
	target string
	conn   net.Conn
}

func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	a := &scriptedAgent{addr: l.Addr().String(), calls: make(chan agentCall)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					a.calls <- agentCall{req.RequestURI, conn}
				}
			}()
		}
	}()
	return a
}

func (c agentCall) respond(body string) {
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newTestWatcher returns a watcher of an agent with reproducible jitter.
func newTestWatcher(addr string, table *Table) *Watcher {
	return &Watcher{Addr: addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}
}

// startWatcher runs a watcher. stop ends it and waits until it has ended.
func startWatcher(w *Watcher, synced func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, synced)
	}()
	return func() {
		cancel()
		<-done
	}
}
