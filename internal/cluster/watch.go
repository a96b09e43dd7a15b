package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// Tunables. A watch that has fallen silent looks like one without news until its wait is over, so that is how late a
// release is learned of at worst.
const (
	watchWait  = 1000 * time.Millisecond // how long discovery may hold a call that waits, at most
	watchGrace = 300 * time.Millisecond  // and how long beyond that it may be silent
	answerSoon = 600 * time.Millisecond  // how long a first call, and one after a failure, may take: an agent answers at once
	answerIn   = 2 * time.Second         // and one after several failures: an agent may be slow, and not silent
	redialMost = 100 * time.Millisecond  // after a failure: well within the 200 ms that keep a watch going
	redialLast = 180 * time.Millisecond  // and after many in a row: an agent that is back counts what it has as told at once
	turnedLast = 800 * time.Millisecond  // the same where it says that it has no room: it is not to be asked harder the worse it does
	listMost   = 8 << 20                 // bytes of an answer
	nestedMost = 100                     // objects and lists within one another there: reading them takes stack
)

// Watcher follows discovery over HTTP/1.1 and applies what it hears.
type Watcher struct {
	Addr  string
	Moves <-chan string // addresses that take the place of Addr, one after the other
	After time.Duration // the first call is made then, and not at once
	Table *Table
	Rand  *rand.Rand // spreads the calls, so that those of many sidecars don't fall into step
	Log   zerolog.Logger
	Paced *Paced // spares a list service that a whole fleet asks; nil: an agent of the machine's own is asked
	// Heard is told that an answer has been taken over, to a question that was asked at that time. Nil: nobody is.
	Heard func(asked time.Time)

	whole afresh
	dial  dial // nil: the machine's
}

// dial opens a connection, as net.Dialer does.
type dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Refresh has the whole list be asked for out of turn: at once, or of a list service that is spared, at this instance's next
// moment. What is waited for meanwhile is broken off.
func (w *Watcher) Refresh() { w.whole.want() }

// Run follows discovery until ctx ends, and calls synced after the first fetch. When discovery moves, the
// old watch is left at once and all is asked anew: the new agent's revisions may not compare with the old
// one's. The list that is held stays in force meanwhile.
func (w *Watcher) Run(ctx context.Context, synced func()) {
	once := sync.OnceFunc(synced)
	paced := w.Paced
	addr := w.first(ctx)
	if paced != nil && addr != w.Addr {
		paced = paced.elsewhere()
	}
	for addr != "" {
		life, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			at := &watch{addr: addr, table: w.Table, rand: w.Rand, log: w.Log, whole: &w.whole, heard: w.Heard, dial: w.dial}
			if paced == nil {
				at.follow(life, once)
				return
			}
			at.paced(*paced).follow(life, once)
		}()
		addr = w.moved(ctx, addr)
		leave()
		<-left
		if paced != nil {
			paced = paced.elsewhere()
		}
	}
}

// first waits for the time of the first call, and returns where discovery is by then; the empty address says that ctx has
// ended. Who hands on a move is not held up until then.
func (w *Watcher) first(ctx context.Context) string {
	after := time.NewTimer(w.After)
	defer after.Stop()
	for addr := w.Addr; ; {
		select {
		case addr = <-w.Moves:
		case <-after.C:
			return addr
		case <-ctx.Done():
			return ""
		}
	}
}

// moved waits until discovery has another address; the empty one says that ctx has ended.
func (w *Watcher) moved(ctx context.Context, from string) string {
	for {
		select {
		case to := <-w.Moves:
			if to != from {
				w.Log.Info().Str("from", from).Str("to", to).Msg("discovery moves")
				return to
			}
		case <-ctx.Done():
			return ""
		}
	}
}

// watch is what is kept of one agent: its address, the connection to it and its revision.
type watch struct {
	addr     string
	table    *Table
	rand     *rand.Rand
	log      zerolog.Logger
	conn     net.Conn
	in       *bufio.Reader
	late     *late // of a paced watch: what in reads from
	sliced   bool  // there is to be one
	revision int64
	have     bool // the whole list has come from this agent
	whole    *afresh
	heard    func(asked time.Time) // nil: nobody
	dial     dial                  // nil: the machine's
}

var (
	errForgotten = errors.New("cluster: the revision has gone back")
	errPart      = errors.New("cluster: a part of the list instead of the whole")
)

// follow fetches the list and then watches its changes until ctx ends. A silent or broken agent costs
// nothing but its news.
func (w *watch) follow(ctx context.Context, synced func()) {
	defer w.hangUp()
	failures := 0 // in a row
	fail := func(err error) {
		w.hangUp()
		if failures == 0 { // once, not ten times a second for as long as it is down
			w.log.Warn().Err(err).Msg("discovery did not answer")
		}
		pause := redialAfter(failures)
		if turned := (*turnedAway)(nil); errors.As(err, &turned) {
			pause = min(turnedLast, redialMost<<min(failures, 8))
		}
		sleep(ctx, w.spread(pause))
		failures++
	}
	for ctx.Err() == nil {
		target, within := "/catalog/members", patience(failures)
		due, waits := w.whole.due(), false
		if w.have && due == 0 {
			wait := w.spread(watchWait)
			if failures > 0 { // what was missed is there already
				wait = min(wait, within-watchGrace)
			}
			waits = true
			target = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=%d", w.revision, wait.Milliseconds())
			within = wait + watchGrace
		}
		asked := time.Now()
		list, broken, err := w.interruptible(ctx, waits, target, within)
		switch {
		case ctx.Err() != nil: // an agent that was left has no more say
			return
		case broken:
			w.hangUp()
			continue
		case err != nil:
			fail(err)
			continue
		case w.have && list.Revision < w.revision:
			// The agent has begun anew and names nobody who went meanwhile, or this is a late answer: another connection tells.
			w.have = false
			fail(errForgotten)
			continue
		}
		w.apply(list)
		if !waits && !list.Complete { // its news counts, but whoever it leaves out would stay for ever
			synced()
			fail(errPart)
			continue
		}
		if failures > 0 {
			failures = 0
			w.log.Info().Msg("discovery answers again")
		}
		w.whole.done(due)
		w.hear(asked)
		synced()
	}
}

// hear passes on that an answer to a question of that time has been taken over.
func (w *watch) hear(asked time.Time) {
	if w.heard != nil {
		w.heard(asked)
	}
}

// redialAfter is how long at most discovery is left alone after so many failures in a row before the last: twice as long
// each time, up to redialLast.
func redialAfter(failures int) time.Duration { return min(redialLast, redialMost<<min(failures, 8)) }

// patience is how long a call that finds news there may take after so many failures in a row: twice as long each time from the
// third on, up to answerIn. Several silences in a row so cost well under the 4 s after which what a new agent has counts as
// told, and the 6 s of a watch that has fallen silent.
func patience(failures int) time.Duration {
	return min(answerIn, answerSoon<<min(max(0, failures-2), 8))
}

// spread is a random time between three quarters of most and most.
func (w *watch) spread(most time.Duration) time.Duration {
	return time.Duration((0.75 + 0.25*w.rand.Float64()) * float64(most))
}

// apply takes over an answer.
func (w *watch) apply(list List) {
	kind := balance.ListDelta
	if list.Complete {
		kind = balance.ListFull
	}
	w.table.Apply(kind, list)
	if list.Complete || len(list.Members) > 0 {
		w.log.Info().Int64("revision", list.Revision).Bool("complete", list.Complete).
			Int("members", len(list.Members)).Msg("cluster changed")
	}
	w.revision, w.have = list.Revision, w.have || list.Complete
}

// call makes one call on the kept connection, or a new one.
func (w *watch) call(ctx context.Context, target string, within time.Duration) (List, error) {
	end := time.Now().Add(within) // of the connect as well, or an agent that is slow to take one would be silent for twice as long
	if w.conn == nil {
		if err := w.connect(ctx, end); err != nil {
			return List{}, fmt.Errorf("cluster: dial: %w", err)
		}
	}
	if w.late != nil { // how long a service of many takes to be reached is no part of how long it takes to answer
		end = time.Now().Add(within)
		w.late.ctx, w.late.end, w.late.lost = ctx, end, 0
	}
	if err := w.conn.SetDeadline(end); err != nil {
		return List{}, fmt.Errorf("cluster: deadline: %w", err)
	}
	defer interrupt(ctx, w.conn)()
	if _, err := fmt.Fprintf(w.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, w.addr); err != nil {
		return List{}, fmt.Errorf("cluster: write: %w", err)
	}
	res, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, listMost))
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	if res.Close && res.StatusCode != http.StatusOK {
		defer w.hangUp()
	}
	if s := res.StatusCode; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
		return List{}, &turnedAway{s, pacing.Advice(res.Header.Get("Retry-After"))}
	}
	if res.StatusCode != http.StatusOK || nested(body, nestedMost) || !gjson.ValidBytes(body) {
		return List{}, fmt.Errorf("cluster: answer %d of %d bytes is no list", res.StatusCode, len(body))
	}
	list, err := ParseList(gjson.ParseBytes(body))
	list.From = w.addr
	if err == nil && res.Close {
		w.hangUp()
	}
	return list, err
}

// nested tells whether more objects and lists than that stand within one another in a JSON text, which may be a faulty one.
func nested(text []byte, most int) bool {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > most {
				return true
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return false
}

// connect opens the connection, until end; a paced watch until answerIn from now.
func (w *watch) connect(ctx context.Context, end time.Time) error {
	if w.sliced {
		end = time.Now().Add(answerIn)
	}
	ctx, over := context.WithDeadline(ctx, end)
	defer over()
	open := w.dial
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	conn, err := open(ctx, "tcp", w.addr)
	if err != nil {
		return err
	}
	w.conn, w.in = conn, bufio.NewReader(conn)
	if w.sliced {
		w.late = &late{conn: conn}
		w.in.Reset(w.late)
	}
	return nil
}

// interrupt has what is under way on a connection return at once when ctx ends, until release is called. The connection may be
// another's from then on: what is about to interrupt it is waited for.
func interrupt(ctx context.Context, conn net.Conn) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // one that is broken returns by itself
		close(done)
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

func (w *watch) hangUp() {
	if w.conn != nil {
		_ = w.conn.Close() // nothing is lost: all that it said has been read
		w.conn, w.in, w.late = nil, nil, nil
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
