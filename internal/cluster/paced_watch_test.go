package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// fullList is the target of a call for the complete list.
const fullList = "/catalog/members"

// pacedStep is a call that a paced watch is to make, the response, and what the decisions are to get.
type pacedStep struct {
	target  string // prefix of the call's target
	status  string // of the response; empty: 200
	body    string
	hosts   int  // in the list that is then taken over; -1: none is
	again   int  // hosts in the list that the decisions get after that, none of them a guess; 0: there is none
	newConn bool // the call comes on another connection than the one before
}

// A paced watch by script: its calls, the responses, and how many hosts the decisions got after each.
func TestPacedWatch(t *testing.T) {
	list := func(revision int, complete bool, n int, phase string) string {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`{"id":"h%d","host_port":"127.0.0.%d:1","phase":%q}`, i, i+1, phase))
		}
		return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(all, ","))
	}
	const busy = "503 Busy\r\nRetry-After: 0.1"
	first := pacedStep{target: fullList, body: list(41, true, 4, "Ready"), hosts: 4}
	for name, c := range map[string]struct {
		since int64
		steps []pacedStep
	}{
		"overload keeps the connection": {0, []pacedStep{{target: fullList, status: busy, hosts: -1}, {target: fullList, status: busy, hosts: -1}, first}},
		"an invalid response does not":  {0, []pacedStep{{target: fullList, body: "nonsense", hosts: -1}, {target: fullList, body: list(41, true, 4, "Ready"), hosts: 4, newConn: true}}},
		"a cached list is not fetched again": {41, []pacedStep{{target: fullList + "?since=41&timeout_ms=0", body: list(43, false, 1, "Terminating"), hosts: 1, again: 2},
			{target: fullList + "?since=43&timeout_ms=", body: list(43, false, 0, ""), hosts: 0}}},
		"a service that does not know the revision sends the complete list": {41, []pacedStep{{target: fullList + "?since=41&timeout_ms=0", body: list(7, true, 4, "Ready"), hosts: 4},
			{target: fullList + "?since=7&", body: list(7, false, 0, ""), hosts: 0}}},
		"one that has forgotten it and sends changes gets another call": {41, []pacedStep{{target: fullList + "?since=41&timeout_ms=0", body: list(3, false, 0, ""), hosts: -1},
			{target: fullList, body: list(3, true, 4, "Ready"), hosts: 4}}},
		"so does one in the middle of a watch": {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(2, false, 0, ""), hosts: -1},
			{target: fullList, body: list(2, true, 4, "Ready"), hosts: 4}}},
		"an empty list is confirmed, and not taken over when it was a mistake": {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(44, true, 0, ""), hosts: -1},
			{target: fullList, body: list(42, true, 4, "Ready"), hosts: 4}}},
		"and taken over when it comes twice": {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(44, true, 0, ""), hosts: -1}, {target: fullList, body: list(44, true, 0, ""), hosts: 0}}},
		"a list of a quarter is suspicious":  {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(44, true, 1, "Ready"), hosts: -1}, {target: fullList, body: list(44, true, 4, "Ready"), hosts: 4}}},
		"one of half is not":                 {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(44, true, 2, "Ready"), hosts: 2}}},
		"an older list is suspicious":        {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(40, true, 4, "Ready"), hosts: -1}, {target: fullList, body: list(41, true, 4, "Ready"), hosts: 4}}},
		"drains by changes are not":          {0, []pacedStep{first, {target: fullList + "?since=41&", body: list(44, false, 4, "Terminating"), hosts: 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			playPacedWatch(t, c.since, c.steps)
		})
	}
}

// playPacedWatch runs a paced watch that has a cached list of a revision, if that is not 0, through steps.
func playPacedWatch(t *testing.T, since int64, steps []pacedStep) {
	a := newScriptedAgent(t)
	w, table := newRecorder()
	if since > 0 {
		table.StaleCache = true
		table.Apply(balance.ListCached, List{Revision: since, Members: []Member{member("h0", "127.0.0.1:1", balance.Ready),
			member("h9", "127.0.0.9:1", balance.Ready)}})
		for _, e := range <-w.lists {
			if !e.Cached {
				t.Errorf("%+v of a cached list is no guess", e)
			}
		}
	}
	watcher := newTestWatcher(a.addr, table)
	watcher.Pacing = &Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, MinWatchWait: time.Second}, Revision: since}
	stop := startWatcher(watcher, func() {})
	var conn net.Conn
	for i, s := range steps {
		call := <-a.calls
		if !strings.HasPrefix(call.target, s.target) || s.target == fullList && call.target != fullList {
			t.Fatalf("step %d: the call is %s, want %s", i, call.target, s.target)
		}
		if i > 0 && (call.conn != conn) != s.newConn {
			t.Errorf("step %d: on another connection: %v", i, call.conn != conn)
		}
		conn = call.conn
		if s.status != "" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", s.status)
		} else {
			call.respond(s.body)
		}
		if s.hosts >= 0 {
			if got := len(<-w.lists); got != s.hosts {
				t.Errorf("step %d: the decisions got %d hosts, want %d", i, got, s.hosts)
			}
		}
		if s.again > 0 {
			again := <-w.lists
			if len(again) != s.again || slices.ContainsFunc(again, func(e balance.Entry) bool { return e.Cached }) {
				t.Errorf("step %d: the decisions then got %+v, want %d hosts that are no guess", i, again, s.again)
			}
		}
	}
	<-a.calls // by then the decisions have every list
	if n := len(w.lists); n != 0 {
		t.Errorf("the decisions got %d more lists", n)
	}
	stop()
}

// Guards against a suspicious list that keeps hosts in use that are gone: without a second response it is taken over in time.
func TestConfirmDeadline(t *testing.T) {
	a := newScriptedAgent(t)
	w, table := newRecorder()
	watcher := Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		Pacing: &Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, MinWatchWait: time.Second}}}
	stop := startWatcher(&watcher, func() {})
	(<-a.calls).respond(document)
	<-w.lists
	from := time.Now()
	(<-a.calls).respond(`{"revision":50,"complete":true,"members":[]}`)
	if c := <-a.calls; c.target != "/catalog/members" { // and it gets no response
		t.Errorf("the call is %s", c.target)
	}
	if got := len(<-w.lists); got != 0 {
		t.Errorf("the decisions got %d hosts", got)
	}
	if took := time.Since(from); took < maxConfirmDelay/2 {
		t.Errorf("the list was taken over after %s already", took)
	}
	stopped := make(chan struct{})
	go func() { // later calls
		for {
			select {
			case <-a.calls:
			case <-stopped:
				return
			}
		}
	}()
	stop()
	close(stopped)
}

// stoppedConn is a connection without data, of which a read takes longer than its deadline allows: the process was stopped.
type stoppedConn struct {
	net.Conn
	stops []time.Duration
	reads int
}

func (s *stoppedConn) SetReadDeadline(time.Time) error { return nil }

func (s *stoppedConn) Read([]byte) (int, error) {
	s.reads++
	if len(s.stops) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(readSlice + s.stops[0])
	s.stops = s.stops[1:]
	return 0, os.ErrDeadlineExceeded
}

// A stop of the process extends the deadline of a response, and does not count as the service's slowness.
func TestStopDetector(t *testing.T) {
	l := &stopDetector{ctx: context.Background(), conn: &stoppedConn{stops: []time.Duration{0, minStop + 200*time.Millisecond}}, deadline: time.Now().Add(readSlice + readSlice/2)}
	_, err := l.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	if l.stopped < minStop {
		t.Errorf("%s were counted for a stop of 600 ms", l.stopped)
	}
	if n := l.conn.(*stoppedConn).reads; n < 3 {
		t.Errorf("%d reads: none after the stop", n)
	}
}

// Guards against a suspicious list that outlasts its deadline because the service can't be reached: the call ends at the deadline.
func TestConfirmDeadlineBoundsCall(t *testing.T) {
	a := newScriptedAgent(t)
	_, table := newRecorder()
	w := &watch{addr: a.addr, table: table, rand: rand.New(rand.NewPCG(1, 2)), log: zerolog.Nop(), refresh: &refreshRequests{}}
	p := w.newPacedWatch(Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, MinWatchWait: time.Second}})
	p.unconfirmed, p.confirmDeadline = &List{}, p.now() // the deadline is over already: not even connecting is waited for
	if _, end, _, err := p.poll(context.Background(), pollRequest{target: "/catalog/members"}); err == nil || end.Outcome != pacing.Unreachable {
		t.Errorf("a call beyond the deadline ended as %+v, %v; it is to end with the dial", end, err)
	}
}
