package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// maxSource makes every wait with jitter as long as it can be.
type maxSource struct{}

func (maxSource) Uint64() uint64 { return math.MaxUint64 }

// stall is a way of becoming unresponsive: what an agent does with a connection, and with a call on it.
type stall struct {
	name    string
	connect time.Duration // until the connection is open
	writes  string        // once a call has come
	repeats string        // and that again and again
}

const responseHead = "HTTP/1.1 200 OK\r\n"

var stalls = []stall{
	{name: "after the call"},
	{name: "within the head", writes: responseHead},
	{name: "after the head", writes: responseHead + "Content-Length: 90\r\n\r\n"},
	{name: "within the body", writes: responseHead + "Content-Length: 90\r\n\r\n{\"revision\":43,"},
	{name: "a byte now and then", writes: responseHead + "Content-Length: 9000\r\n\r\n", repeats: " "},
	{name: "a body without end", writes: responseHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", repeats: "2\r\n  \r\n"},
	{name: "never connects", connect: time.Hour},
	{name: "connects late", connect: time.Second},
	{name: "connects later", connect: 1900 * time.Millisecond},
}

const drainUpdate = `{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`

// serve is an agent's side of one connection: it responds to as many calls as there are responses, and stalls at the next.
func (s stall) serve(conn net.Conn, responses ...string) {
	in := bufio.NewReader(conn)
	for _, body := range responses {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprintf(conn, responseHead+"Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.writes)
	for err == nil && s.repeats != "" {
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, s.repeats)
	}
	_, _ = in.ReadByte() // until the client closes the connection
}

// Guards against an update that comes later than 6 s after a watch became unresponsive, less a second for a busy machine, whatever
// its agent does at the next three attempts, and against a watch that is not opened again within 200 ms. In virtual time, with the
// longest waits.
func TestConsecutiveTimeouts(t *testing.T) {
	for _, first := range stalls[:6] { // the watch has its connection already
		for _, second := range stalls {
			for _, third := range stalls[6:] {
				row := []stall{first, second, third, stalls[8]}
				synctest.Test(t, func(t *testing.T) {
					if err := runStalls(t, row); err != nil {
						t.Errorf("%s, %s, %s, %s: %v", first.name, second.name, third.name, row[3].name, err)
					}
				})
			}
		}
	}
}

// runStalls runs a watch through a row of stalls, before an agent that responds at once.
func runStalls(t *testing.T, row []stall) (fault error) {
	w, table := newRecorder()
	var dials int
	var lastClosed atomic.Int64 // when the last connection was closed
	watcher := Watcher{Addr: "agent", Table: table, Rand: rand.New(maxSource{}), Log: zerolog.Nop(),
		dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if away := time.Since(time.Unix(0, lastClosed.Load())); dials > 0 && away > 200*time.Millisecond {
				fault = fmt.Errorf("attempt %d came %v after the last", dials, away)
			}
			n := dials
			dials++
			s := stall{}
			if n < len(row) {
				s = row[n]
			}
			select {
			case <-time.After(s.connect):
			case <-ctx.Done():
				lastClosed.Store(time.Now().UnixNano())
				return nil, ctx.Err()
			}
			ours, theirs := net.Pipe()
			responses := map[int][]string{0: {document}, len(row): {drainUpdate}}
			go func() {
				defer theirs.Close()
				s.serve(theirs, responses[n]...)
				lastClosed.Store(time.Now().UnixNano())
			}()
			return ours, nil
		}}
	stop := startWatcher(&watcher, func() {})
	<-w.lists
	from := time.Now() // when the watch was sent
	<-w.lists
	took := time.Since(from)
	stop()
	if took > 5*time.Second {
		return fmt.Errorf("the drain was seen after %v", took)
	}
	return fault
}

// Guards against lists of an agent that has restarted, or responds late, or in part: hosts that they leave out would stay for ever,
// and a drain would be undone.
func TestUnexpectedResponses(t *testing.T) {
	const (
		empty = `{"revision":%d,"complete":false,"members":[]}`
		other = `{"revision":5,"complete":true,"members":[{"id":"b","host_port":"127.0.1.19:8080","phase":"Ready"}]}`
	)
	type step struct {
		target    string // prefix of the call's target; fullList is all of it
		responses []string
		listed    string // the hosts that are listed from then on, and their states
	}
	const ready, draining, both = "s-5be2a07c 1", "s-5be2a07c 2", "b 1 s-5be2a07c 1"
	first := step{fullList, []string{document}, ready}
	for name, steps := range map[string][]step{
		"a change from before":      {first, {fullList + "?since=41&", []string{fmt.Sprintf(empty, 7)}, ready}, {fullList, []string{other}, "b 1"}, {fullList + "?since=5&", nil, ""}},
		"a change with no revision": {first, {fullList + "?since=41&", []string{`{"members":[]}`}, ready}, {fullList, []string{other}, "b 1"}, {fullList + "?since=5&", nil, ""}},
		"an empty change":           {first, {fullList + "?since=41&", []string{fmt.Sprintf(empty, 41)}, ready}, {fullList + "?since=41&", nil, ""}},
		"a change that skips some":  {first, {fullList + "?since=41&", []string{drainUpdate}, draining}, {fullList + "?since=43&", nil, ""}},
		"a late response after the current one": {first, {fullList + "?since=41&", []string{drainUpdate, document}, draining}, {fullList + "?since=43&", nil, draining},
			{fullList, []string{strings.Replace(drainUpdate, "false", "true", 1)}, draining}, {fullList + "?since=43&", nil, ""}},
		"the same response twice": {first, {fullList + "?since=41&", []string{drainUpdate, drainUpdate}, draining}, {fullList + "?since=43&", nil, draining},
			{fullList + "?since=43&", nil, ""}},
		"a part instead of the complete list": {{fullList, []string{strings.Replace(document, "true", "false", 1)}, ready}, {fullList, []string{other}, "b 1"},
			{fullList + "?since=5&", nil, ""}},
		"a part of another agent's": {first, {fullList + "?since=41&", []string{strings.NewReplacer("5,", "42,", "true", "false").Replace(other)}, both},
			{fullList + "?since=42&", nil, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newScriptedAgent(t)
			w, table := newRecorder()
			stop := startWatcher(newTestWatcher(a.addr, table), func() {})
			listed := ""
			for i, s := range steps {
				c := <-a.calls // by then the responses before are taken over, or are not
				if !strings.HasPrefix(c.target, s.target) || s.target == fullList && c.target != fullList {
					t.Fatalf("step %d: the call is %s, want %s", i, c.target, s.target)
				}
				if got := memberStates(table); got != listed {
					t.Errorf("step %d: %q are listed, want %q", i, got, listed)
				}
				var all strings.Builder
				for _, body := range s.responses {
					fmt.Fprintf(&all, responseHead+"Content-Length: %d\r\n\r\n%s", len(body), body)
				}
				_, _ = io.WriteString(c.conn, all.String()) // with one write
				listed = s.listed
			}
			for len(w.lists) > 0 {
				<-w.lists
			}
			go func() { // a call that is still on its way
				for range a.calls {
				}
			}()
			stop()
		})
	}
}

// memberStates returns the hosts that are listed, and their states.
func memberStates(t *Table) string {
	var all []string
	for _, m := range t.Snapshot().List.Members {
		all = append(all, fmt.Sprint(m.ID, " ", m.State))
	}
	return strings.Join(all, " ")
}

// Guards against address changes that wait for the first call, and block their sender; and against a call of a new agent since the
// old one's revision.
func TestAddrChangeBeforeFirstCall(t *testing.T) {
	for name, paced := range map[string]*Pacing{"at once": nil, "paced": {Revision: 41}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, table := newRecorder()
				addrChanges, calls := make(chan string), make(chan string)
				stop := startWatcher(&Watcher{Addr: "a", AddrChanges: addrChanges, InitialDelay: 5 * time.Second, Table: table,
					Rand: rand.New(maxSource{}), Log: zerolog.Nop(), Pacing: paced,
					dial: func(_ context.Context, _, addr string) (net.Conn, error) {
						ours, theirs := net.Pipe()
						go func() {
							defer func() { _ = theirs.Close() }()
							if req, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
								calls <- addr + req.RequestURI
							}
						}()
						return ours, nil
					}}, func() {})
				from := time.Now()
				addrChanges <- "b"
				addrChanges <- "c"
				if took := time.Since(from); took > 0 {
					t.Errorf("the changes were received after %v", took)
				}
				if got := <-calls; got != "c/catalog/members" || time.Since(from).Round(time.Second) != 5*time.Second {
					t.Errorf("after %v the call is %s", time.Since(from), got)
				}
				stop()
			})
		})
	}
}

// Guards against a response that crashes the process: validating JSON recurses as deep as the text does, until the stack overflows.
func TestJSONDepth(t *testing.T) {
	a := newScriptedAgent(t)
	w := &watch{addr: a.addr, rand: rand.New(maxSource{}), log: zerolog.Nop(), refresh: &refreshRequests{}}
	defer w.disconnect()
	go func() { (<-a.calls).respond(`{"members":` + strings.Repeat("[", maxListBytes-100)) }()
	if _, err := w.fetch(t.Context(), "/catalog/members", maxCallTimeout); err == nil || !strings.Contains(err.Error(), "is no list") {
		t.Errorf("the response is accepted: %v", err)
	}
	for text, want := range map[string]int{`7`: 0, `[]`: 1, `[[],[]]`: 2, `[[[]]]`: 3, `[{"[[[\\":[]},[]]`: 3, `["[[[\"[[[",[]]`: 2, `{"{{":{}}`: 2, document: 4} {
		if exceedsDepth([]byte(text), want) || want > 0 && !exceedsDepth([]byte(text), want-1) {
			t.Errorf("%s is not %d deep", text, want)
		}
	}
}

// Guards against a list service that many share, and that is overloaded, being called harder the worse it does.
func TestOverloadBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newRecorder()
		dials := 0
		watcher := Watcher{Addr: "service", Table: table, Rand: rand.New(maxSource{}), Log: zerolog.Nop(),
			dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				ours, theirs := net.Pipe()
				go func() {
					defer theirs.Close()
					_, _ = http.ReadRequest(bufio.NewReader(theirs))
					_, _ = io.WriteString(theirs, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				}()
				return ours, nil
			}}
		ctx, over := context.WithTimeout(t.Context(), 10*time.Second)
		defer over()
		watcher.Run(ctx, func() {})
		if dials < 10 || dials > 20 {
			t.Errorf("called %d times in 10 s, want 10 to 20", dials)
		}
	})
}
