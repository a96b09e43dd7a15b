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

// A paced watch by script: what it asks, what it is answered, and how many hosts the decisions have been told of since.
func TestPaced(t *testing.T) {
	list := func(revision int, complete bool, n int, phase string) string {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`{"id":"h%d","host_port":"127.0.0.%d:1","phase":%q}`, i, i+1, phase))
		}
		return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(all, ","))
	}
	type step struct {
		asks    string // prefix of the target
		status  string // "" is 200
		body    string
		told    int  // hosts in the list that is then taken over; -1: none is
		again   int  // hosts in the list that is told anew after that, none of them a guess; 0: none is
		newConn bool // the call comes on another connection than the one before
	}
	const whole, busy = "/catalog/members", "503 Busy\r\nRetry-After: 0.1"
	first := step{asks: whole, body: list(41, true, 4, "Ready"), told: 4}
	for name, c := range map[string]struct {
		since int64
		steps []step
	}{
		"a refusal keeps the connection": {0, []step{{asks: whole, status: busy, told: -1}, {asks: whole, status: busy, told: -1}, first}},
		"a broken answer does not":       {0, []step{{asks: whole, body: "nonsense", told: -1}, {asks: whole, body: list(41, true, 4, "Ready"), told: 4, newConn: true}}},
		"what is held is not asked for again": {41, []step{{asks: whole + "?since=41&timeout_ms=0", body: list(43, false, 1, "Terminating"), told: 1, again: 2},
			{asks: whole + "?since=43&timeout_ms=", body: list(43, false, 0, ""), told: 0}}},
		"a service that does not know the revision answers whole": {41, []step{{asks: whole + "?since=41&timeout_ms=0", body: list(7, true, 4, "Ready"), told: 4},
			{asks: whole + "?since=7&", body: list(7, false, 0, ""), told: 0}}},
		"one that has forgotten it and does not say so is asked for all": {41, []step{{asks: whole + "?since=41&timeout_ms=0", body: list(3, false, 0, ""), told: -1},
			{asks: whole, body: list(3, true, 4, "Ready"), told: 4}}},
		"so it is in the middle of a watch": {0, []step{first, {asks: whole + "?since=41&", body: list(2, false, 0, ""), told: -1},
			{asks: whole, body: list(2, true, 4, "Ready"), told: 4}}},
		"an empty list is asked for again, and not taken when it was a slip": {0, []step{first, {asks: whole + "?since=41&", body: list(44, true, 0, ""), told: -1},
			{asks: whole, body: list(42, true, 4, "Ready"), told: 4}}},
		"and taken when it is said twice": {0, []step{first, {asks: whole + "?since=41&", body: list(44, true, 0, ""), told: -1}, {asks: whole, body: list(44, true, 0, ""), told: 0}}},
		"a list of a quarter is doubted":  {0, []step{first, {asks: whole + "?since=41&", body: list(44, true, 1, "Ready"), told: -1}, {asks: whole, body: list(44, true, 4, "Ready"), told: 4}}},
		"one of half is not":              {0, []step{first, {asks: whole + "?since=41&", body: list(44, true, 2, "Ready"), told: 2}}},
		"an older list is doubted":        {0, []step{first, {asks: whole + "?since=41&", body: list(40, true, 4, "Ready"), told: -1}, {asks: whole, body: list(41, true, 4, "Ready"), told: 4}}},
		"drains by changes are not":       {0, []step{first, {asks: whole + "?since=41&", body: list(44, false, 4, "Terminating"), told: 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			w, table := newWorld()
			if c.since > 0 {
				table.StaleCache = true
				table.Apply(balance.ListCached, List{Revision: c.since, Members: []Member{member("h0", "127.0.0.1:1", balance.Ready),
					member("h9", "127.0.0.9:1", balance.Ready)}})
				for _, e := range <-w.lists {
					if !e.Guess {
						t.Errorf("%+v of an old list is no guess", e)
					}
				}
			}
			ctx, end := context.WithCancel(context.Background())
			ended := make(chan struct{})
			watcher := Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
				Pacing: &Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, Watch: time.Second}, Revision: c.since}}
			go func() {
				watcher.Run(ctx, func() {})
				close(ended)
			}()
			var conn net.Conn
			for i, s := range c.steps {
				at := <-a.calls
				if !strings.HasPrefix(at.target, s.asks) || s.asks == whole && at.target != whole {
					t.Fatalf("step %d: it asks %s, want %s", i, at.target, s.asks)
				}
				if i > 0 && (at.conn != conn) != s.newConn {
					t.Errorf("step %d: on another connection: %v", i, at.conn != conn)
				}
				conn = at.conn
				if s.status != "" {
					fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", s.status)
				} else {
					at.answer(s.body)
				}
				if s.told >= 0 {
					if got := len(<-w.lists); got != s.told {
						t.Errorf("step %d: %d hosts were told, want %d", i, got, s.told)
					}
				}
				if s.again > 0 {
					again := <-w.lists
					if len(again) != s.again || slices.ContainsFunc(again, func(e balance.Entry) bool { return e.Guess }) {
						t.Errorf("step %d: told anew %+v, want %d hosts that are no guess", i, again, s.again)
					}
				}
			}
			<-a.calls // by then whatever was taken has been told
			if n := len(w.lists); n != 0 {
				t.Errorf("%d more lists were told", n)
			}
			end()
			<-ended
		})
	}
}

// Guards against a doubt that keeps sending to hosts that are gone: with no second answer the list is taken in time.
func TestDoubtEnds(t *testing.T) {
	a := newAgent(t)
	w, table := newWorld()
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	watcher := Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		Pacing: &Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, Watch: time.Second}}}
	go func() {
		watcher.Run(ctx, func() {})
		close(ended)
	}()
	(<-a.calls).answer(document)
	<-w.lists
	from := time.Now()
	(<-a.calls).answer(`{"revision":50,"complete":true,"members":[]}`)
	if c := <-a.calls; c.target != "/catalog/members" { // and it is never answered
		t.Errorf("it asks %s", c.target)
	}
	if got := len(<-w.lists); got != 0 {
		t.Errorf("%d hosts were told", got)
	}
	if took := time.Since(from); took < maxConfirmDelay/2 {
		t.Errorf("the list was taken after %s already", took)
	}
	go func() { // the calls that go on
		for {
			select {
			case <-a.calls:
			case <-ended:
				return
			}
		}
	}()
	end()
	<-ended
}

// sleepy is a connection that has nothing to say, and of which a read takes a while longer than its deadline allows: the
// process was stopped. Its clock is the test's.
type sleepy struct {
	net.Conn
	stops []time.Duration
	reads int
}

func (s *sleepy) SetReadDeadline(time.Time) error { return nil }

func (s *sleepy) Read([]byte) (int, error) {
	s.reads++
	if len(s.stops) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(readSlice + s.stops[0])
	s.stops = s.stops[1:]
	return 0, os.ErrDeadlineExceeded
}

// A stop of the process is added to the time in which an answer may come, and told apart from the service's slowness.
func TestStopsAreNotSilence(t *testing.T) {
	l := &stopDetector{ctx: context.Background(), conn: &sleepy{stops: []time.Duration{0, minStop + 200*time.Millisecond}}, deadline: time.Now().Add(readSlice + readSlice/2)}
	_, err := l.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	if l.stopped < minStop {
		t.Errorf("%s were lost to a stop of 600 ms", l.stopped)
	}
	if n := l.conn.(*sleepy).reads; n < 3 {
		t.Errorf("it was read %d times: not again after the stop", n)
	}
}

// Guards against a doubt that outlasts its time because the service can't even be reached: the call is over with the doubt.
func TestDoubtBoundsTheCall(t *testing.T) {
	a := newAgent(t)
	_, table := newWorld()
	w := &watch{addr: a.addr, table: table, rand: rand.New(rand.NewPCG(1, 2)), log: zerolog.Nop(), refresh: &refreshRequests{}}
	p := w.newPacedWatch(Pacing{Fleet: pacing.Fleet{Instances: 1, Rate: 1000, Watch: time.Second}})
	p.unconfirmed, p.confirmDeadline = &List{}, p.now() // it is over already: not even a connection is waited for
	if _, end, _, err := p.poll(context.Background(), pollRequest{target: "/catalog/members"}); err == nil || end.How != pacing.Down {
		t.Errorf("a call beyond the doubt ended as %+v, %v; it is to end with the dial", end, err)
	}
}
