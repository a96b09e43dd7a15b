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

// longest has every wait that is spread be as long as it can be.
type longest struct{}

func (longest) Uint64() uint64 { return math.MaxUint64 }

// A way of falling silent: what an agent does with a connection, and with a call on it.
type silence struct {
	name    string
	connect time.Duration // until the connection is there
	says    string        // then, once a call has come
	drip    string        // and that again and again
}

const head = "HTTP/1.1 200 OK\r\n"

var silences = []silence{
	{name: "after the call"},
	{name: "within the head", says: head},
	{name: "after the head", says: head + "Content-Length: 90\r\n\r\n"},
	{name: "within the body", says: head + "Content-Length: 90\r\n\r\n{\"revision\":43,"},
	{name: "a byte now and then", says: head + "Content-Length: 9000\r\n\r\n", drip: " "},
	{name: "a body without end", says: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", drip: "2\r\n  \r\n"},
	{name: "never connects", connect: time.Hour},
	{name: "connects late", connect: time.Second},
	{name: "connects later", connect: 1900 * time.Millisecond},
}

const drained = `{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","host_port":"127.0.1.18:8080","phase":"Terminating"}]}`

// serve plays an agent on one connection: as many calls as there are answers are answered, and the next meets silence.
func (s silence) serve(conn net.Conn, answers ...string) {
	in := bufio.NewReader(conn)
	for _, body := range answers {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.says)
	for err == nil && s.drip != "" {
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, s.drip)
	}
	_, _ = in.ReadByte() // until it is left
}

// Guards against news that comes later than 6 s after a watch fell silent, less a second for a machine that is busy, whatever its
// agent does at the next three attempts, and against a watch that is not opened anew within 200 ms. In virtual time, with the
// longest waits.
func TestSilencesInARow(t *testing.T) {
	for _, first := range silences[:6] { // the watch is connected already
		for _, second := range silences {
			for _, third := range silences[6:] {
				row := []silence{first, second, third, silences[8]}
				synctest.Test(t, func(t *testing.T) {
					if err := silentFor(t, row); err != nil {
						t.Errorf("%s, %s, %s, %s: %v", first.name, second.name, third.name, row[3].name, err)
					}
				})
			}
		}
	}
}

// silentFor has a watch go through a row of silences, before an agent that answers at once.
func silentFor(t *testing.T, row []silence) (fault error) {
	w, table := newWorld()
	var dials int
	var left atomic.Int64 // when the agent was
	watcher := Watcher{Addr: "agent", Table: table, Rand: rand.New(longest{}), Log: zerolog.Nop(),
		dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if away := time.Since(time.Unix(0, left.Load())); dials > 0 && away > 200*time.Millisecond {
				fault = fmt.Errorf("attempt %d came %v after the last", dials, away)
			}
			n := dials
			dials++
			s := silence{}
			if n < len(row) {
				s = row[n]
			}
			select {
			case <-time.After(s.connect):
			case <-ctx.Done():
				left.Store(time.Now().UnixNano())
				return nil, ctx.Err()
			}
			ours, theirs := net.Pipe()
			answers := map[int][]string{0: {document}, len(row): {drained}}
			go func() {
				defer theirs.Close()
				s.serve(theirs, answers[n]...)
				left.Store(time.Now().UnixNano())
			}()
			return ours, nil
		}}
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		watcher.Run(ctx, func() {})
		close(ended)
	}()
	<-w.lists
	from := time.Now() // at which the watch was sent
	<-w.lists
	took := time.Since(from)
	end()
	<-ended
	if took > 5*time.Second {
		return fmt.Errorf("the drain was learned of after %v", took)
	}
	return fault
}

// Guards against lists of an agent that has begun anew, or answers late, or in part: whoever they leave out would stay for
// ever, and a drain that was told would be undone.
func TestOddAnswers(t *testing.T) {
	const (
		whole = "/catalog/members"
		empty = `{"revision":%d,"complete":false,"members":[]}`
		other = `{"revision":5,"complete":true,"members":[{"id":"b","host_port":"127.0.1.19:8080","phase":"Ready"}]}`
	)
	type step struct {
		asks string // prefix of the target; whole is all of it
		says []string
		held string // the hosts that are held from then on, and their states
	}
	const ready, draining, both = "s-5be2a07c 1", "s-5be2a07c 2", "b 1 s-5be2a07c 1"
	first := step{whole, []string{document}, ready}
	for name, steps := range map[string][]step{
		"a change from before":       {first, {whole + "?since=41&", []string{fmt.Sprintf(empty, 7)}, ready}, {whole, []string{other}, "b 1"}, {whole + "?since=5&", nil, ""}},
		"a change with no revision":  {first, {whole + "?since=41&", []string{`{"members":[]}`}, ready}, {whole, []string{other}, "b 1"}, {whole + "?since=5&", nil, ""}},
		"a change that says nothing": {first, {whole + "?since=41&", []string{fmt.Sprintf(empty, 41)}, ready}, {whole + "?since=41&", nil, ""}},
		"a change that skips some":   {first, {whole + "?since=41&", []string{drained}, draining}, {whole + "?since=43&", nil, ""}},
		"a late answer after the true one": {first, {whole + "?since=41&", []string{drained, document}, draining}, {whole + "?since=43&", nil, draining},
			{whole, []string{strings.Replace(drained, "false", "true", 1)}, draining}, {whole + "?since=43&", nil, ""}},
		"the same answer twice": {first, {whole + "?since=41&", []string{drained, drained}, draining}, {whole + "?since=43&", nil, draining},
			{whole + "?since=43&", nil, ""}},
		"a part for the whole": {{whole, []string{strings.Replace(document, "true", "false", 1)}, ready}, {whole, []string{other}, "b 1"},
			{whole + "?since=5&", nil, ""}},
		"a part of another agent's": {first, {whole + "?since=41&", []string{strings.NewReplacer("5,", "42,", "true", "false").Replace(other)}, both},
			{whole + "?since=42&", nil, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			w, table := newWorld()
			ctx, end := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				(&Watcher{Addr: a.addr, Table: table, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop()}).Run(ctx, func() {})
				close(ended)
			}()
			held := ""
			for i, s := range steps {
				c := <-a.calls // by then what was said before is held, or is not
				if !strings.HasPrefix(c.target, s.asks) || s.asks == whole && c.target != whole {
					t.Fatalf("step %d: it asks %s, want %s", i, c.target, s.asks)
				}
				if got := states(table); got != held {
					t.Errorf("step %d: it holds %q, want %q", i, got, held)
				}
				var all strings.Builder
				for _, body := range s.says {
					fmt.Fprintf(&all, head+"Content-Length: %d\r\n\r\n%s", len(body), body)
				}
				_, _ = io.WriteString(c.conn, all.String()) // in one piece
				held = s.held
			}
			for len(w.lists) > 0 {
				<-w.lists
			}
			end()
			go func() { // a call that is still on its way
				for range a.calls {
				}
			}()
			<-ended
		})
	}
}

// states are the hosts that are held.
func states(t *Table) string {
	var all []string
	for _, m := range t.Snapshot().List.Members {
		all = append(all, fmt.Sprint(m.ID, " ", m.State))
	}
	return strings.Join(all, " ")
}

// Guards against moves that wait for the first call, and hold up whoever hands them on; and against a new agent being asked
// since the old one's revision.
func TestMovesBeforeTheFirstCall(t *testing.T) {
	for name, paced := range map[string]*Pacing{"at once": nil, "paced": {Revision: 41}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, table := newWorld()
				moves, asked := make(chan string), make(chan string)
				ctx, end := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					(&Watcher{Addr: "a", AddrChanges: moves, InitialDelay: 5 * time.Second, Table: table, Rand: rand.New(longest{}), Log: zerolog.Nop(), Pacing: paced,
						dial: func(_ context.Context, _, addr string) (net.Conn, error) {
							ours, theirs := net.Pipe()
							go func() {
								defer theirs.Close()
								if req, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
									asked <- addr + req.RequestURI
								}
							}()
							return ours, nil
						}}).Run(ctx, func() {})
					close(ended)
				}()
				from := time.Now()
				moves <- "b"
				moves <- "c"
				if took := time.Since(from); took > 0 {
					t.Errorf("the moves were taken after %v", took)
				}
				if got := <-asked; got != "c/catalog/members" || time.Since(from).Round(time.Second) != 5*time.Second {
					t.Errorf("after %v it asked %s", time.Since(from), got)
				}
				end()
				<-ended
			})
		})
	}
}

// Guards against an answer that ends the process: what checks JSON goes as deep as the text does, until the stack is used up.
func TestDeepAnswers(t *testing.T) {
	a := newAgent(t)
	w := &watch{addr: a.addr, rand: rand.New(longest{}), log: zerolog.Nop(), refresh: &refreshRequests{}}
	defer w.disconnect()
	go func() { (<-a.calls).answer(`{"members":` + strings.Repeat("[", maxListBytes-100)) }()
	if _, err := w.fetch(t.Context(), "/catalog/members", maxCallTimeout); err == nil || !strings.Contains(err.Error(), "is no list") {
		t.Errorf("the answer is taken: %v", err)
	}
	for text, want := range map[string]int{`7`: 0, `[]`: 1, `[[],[]]`: 2, `[[[]]]`: 3, `[{"[[[\\":[]},[]]`: 3, `["[[[\"[[[",[]]`: 2, `{"{{":{}}`: 2, document: 4} {
		if exceedsDepth([]byte(text), want) || want > 0 && !exceedsDepth([]byte(text), want-1) {
			t.Errorf("%s is not %d deep", text, want)
		}
	}
}

// Guards against a list service that many ask, and that has no room, being asked harder the worse it does.
func TestTurnedAwayAsksLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newWorld()
		dials := 0
		watcher := Watcher{Addr: "service", Table: table, Rand: rand.New(longest{}), Log: zerolog.Nop(),
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
			t.Errorf("asked %d times in 10 s, want 10 to 20", dials)
		}
	})
}
