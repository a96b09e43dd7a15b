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
	maxWatchWait     = 1000 * time.Millisecond // how long discovery may hold a call that waits, at most
	watchGracePeriod = 300 * time.Millisecond  // and how long beyond that it may be silent
	minCallTimeout   = 600 * time.Millisecond  // how long a first call, and one after a failure, may take: an agent answers at once
	maxCallTimeout   = 2 * time.Second         // and one after several failures: an agent may be slow, and not silent
	baseRetryDelay   = 100 * time.Millisecond  // after a failure: well within the 200 ms that keep a watch going
	maxRetryDelay    = 180 * time.Millisecond  // and after many in a row: an agent that is back counts what it has as told at once
	maxOverloadDelay = 800 * time.Millisecond  // the same where it says that it has no room: it is not to be asked harder the worse it does
	maxListBytes     = 8 << 20                 // bytes of an answer
	maxJSONDepth     = 100                     // objects and lists within one another there: reading them takes stack
)

// Watcher follows discovery over HTTP/1.1 and applies what it hears.
type Watcher struct {
	Addr         string
	AddrChanges  <-chan string // addresses that take the place of Addr, one after the other
	InitialDelay time.Duration // the first call is made then, and not at once
	Table        *Table
	Rand         *rand.Rand // spreads the calls, so that those of many sidecars don't fall into step
	Log          zerolog.Logger
	Pacing       *Pacing // spares a list service that a whole fleet asks; nil: an agent of the machine's own is asked
	// OnUpdate is told that an answer has been taken over, to a question that was asked at that time. Nil: nobody is.
	OnUpdate func(asked time.Time)

	refresh refreshRequests
	dial    dialFunc // nil: the machine's
}

// dial opens a connection, as net.Dialer does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Refresh has the whole list be asked for out of turn: at once, or of a list service that is spared, at this instance's next
// moment. What is waited for meanwhile is broken off.
func (w *Watcher) Refresh() { w.refresh.request() }

// Run follows discovery until ctx ends, and calls synced after the first fetch. When discovery moves, the
// old watch is left at once and all is asked anew: the new agent's revisions may not compare with the old
// one's. The list that is held stays in force meanwhile.
func (w *Watcher) Run(ctx context.Context, synced func()) {
	once := sync.OnceFunc(synced)
	paced := w.Pacing
	addr := w.waitInitialDelay(ctx)
	if paced != nil && addr != w.Addr {
		paced = paced.withoutRevision()
	}
	for addr != "" {
		life, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			at := &watch{addr: addr, table: w.Table, rand: w.Rand, log: w.Log, refresh: &w.refresh, onUpdate: w.OnUpdate, dial: w.dial}
			if paced == nil {
				at.run(life, once)
				return
			}
			at.newPacedWatch(*paced).run(life, once)
		}()
		addr = w.waitAddrChange(ctx, addr)
		leave()
		<-left
		if paced != nil {
			paced = paced.withoutRevision()
		}
	}
}

// first waits for the time of the first call, and returns where discovery is by then; the empty address says that ctx has
// ended. Who hands on a move is not held up until then.
func (w *Watcher) waitInitialDelay(ctx context.Context) string {
	after := time.NewTimer(w.InitialDelay)
	defer after.Stop()
	for addr := w.Addr; ; {
		select {
		case addr = <-w.AddrChanges:
		case <-after.C:
			return addr
		case <-ctx.Done():
			return ""
		}
	}
}

// moved waits until discovery has another address; the empty one says that ctx has ended.
func (w *Watcher) waitAddrChange(ctx context.Context, from string) string {
	for {
		select {
		case to := <-w.AddrChanges:
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
	addr        string
	table       *Table
	rand        *rand.Rand
	log         zerolog.Logger
	conn        net.Conn
	reader      *bufio.Reader
	stops       *stopDetector // of a paced watch: what in reads from
	detectStops bool          // there is to be one
	revision    int64
	synced      bool // the whole list has come from this agent
	refresh     *refreshRequests
	onUpdate    func(asked time.Time) // nil: nobody
	dial        dialFunc              // nil: the machine's
}

var (
	errRevisionWentBack = errors.New("cluster: the revision has gone back")
	errIncompleteList   = errors.New("cluster: a part of the list instead of the whole")
)

// follow fetches the list and then watches its changes until ctx ends. A silent or broken agent costs
// nothing but its news.
func (w *watch) run(ctx context.Context, synced func()) {
	defer w.disconnect()
	failures := 0 // in a row
	fail := func(err error) {
		w.disconnect()
		if failures == 0 { // once, not ten times a second for as long as it is down
			w.log.Warn().Err(err).Msg("discovery did not answer")
		}
		pause := retryDelay(failures)
		if turned := (*overloadError)(nil); errors.As(err, &turned) {
			pause = min(maxOverloadDelay, baseRetryDelay<<min(failures, 8))
		}
		sleep(ctx, w.jitter(pause))
		failures++
	}
	for ctx.Err() == nil {
		target, within := "/catalog/members", callTimeout(failures)
		due, waits := w.refresh.pending(), false
		if w.synced && due == 0 {
			wait := w.jitter(maxWatchWait)
			if failures > 0 { // what was missed is there already
				wait = min(wait, within-watchGracePeriod)
			}
			waits = true
			target = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=%d", w.revision, wait.Milliseconds())
			within = wait + watchGracePeriod
		}
		asked := time.Now()
		list, broken, err := w.fetchInterruptible(ctx, waits, target, within)
		switch {
		case ctx.Err() != nil: // an agent that was left has no more say
			return
		case broken:
			w.disconnect()
			continue
		case err != nil:
			fail(err)
			continue
		case w.synced && list.Revision < w.revision:
			// The agent has begun anew and names nobody who went meanwhile, or this is a late answer: another connection tells.
			w.synced = false
			fail(errRevisionWentBack)
			continue
		}
		w.applyList(list)
		if !waits && !list.Complete { // its news counts, but whoever it leaves out would stay for ever
			synced()
			fail(errIncompleteList)
			continue
		}
		if failures > 0 {
			failures = 0
			w.log.Info().Msg("discovery answers again")
		}
		w.refresh.complete(due)
		w.notifyUpdate(asked)
		synced()
	}
}

// hear passes on that an answer to a question of that time has been taken over.
func (w *watch) notifyUpdate(asked time.Time) {
	if w.onUpdate != nil {
		w.onUpdate(asked)
	}
}

// retryDelay is how long at most discovery is left alone after so many failures in a row before the last: twice as long
// each time, up to maxRetryDelay.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, baseRetryDelay<<min(failures, 8))
}

// patience is how long a call that finds news there may take after so many failures in a row: twice as long each time from the
// third on, up to maxCallTimeout. Several silences in a row so cost well under the 4 s after which what a new agent has counts as
// told, and the 6 s of a watch that has fallen silent.
func callTimeout(failures int) time.Duration {
	return min(maxCallTimeout, minCallTimeout<<min(max(0, failures-2), 8))
}

// spread is a random time between three quarters of most and most.
func (w *watch) jitter(most time.Duration) time.Duration {
	return time.Duration((0.75 + 0.25*w.rand.Float64()) * float64(most))
}

// apply takes over an answer.
func (w *watch) applyList(list List) {
	kind := balance.ListDelta
	if list.Complete {
		kind = balance.ListFull
	}
	w.table.Apply(kind, list)
	if list.Complete || len(list.Members) > 0 {
		w.log.Info().Int64("revision", list.Revision).Bool("complete", list.Complete).
			Int("members", len(list.Members)).Msg("cluster changed")
	}
	w.revision, w.synced = list.Revision, w.synced || list.Complete
}

// call makes one call on the kept connection, or a new one.
func (w *watch) fetch(ctx context.Context, target string, within time.Duration) (List, error) {
	end := time.Now().Add(within) // of the connect as well, or an agent that is slow to take one would be silent for twice as long
	if w.conn == nil {
		if err := w.connect(ctx, end); err != nil {
			return List{}, fmt.Errorf("cluster: dial: %w", err)
		}
	}
	if w.stops != nil { // how long a service of many takes to be reached is no part of how long it takes to answer
		end = time.Now().Add(within)
		w.stops.ctx, w.stops.deadline, w.stops.stopped = ctx, end, 0
	}
	if err := w.conn.SetDeadline(end); err != nil {
		return List{}, fmt.Errorf("cluster: deadline: %w", err)
	}
	defer interrupt(ctx, w.conn)()
	if _, err := fmt.Fprintf(w.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, w.addr); err != nil {
		return List{}, fmt.Errorf("cluster: write: %w", err)
	}
	res, err := http.ReadResponse(w.reader, nil)
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	if res.Close && res.StatusCode != http.StatusOK {
		defer w.disconnect()
	}
	if s := res.StatusCode; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
		return List{}, &overloadError{s, pacing.Advice(res.Header.Get("Retry-After"))}
	}
	if res.StatusCode != http.StatusOK || exceedsDepth(body, maxJSONDepth) || !gjson.ValidBytes(body) {
		return List{}, fmt.Errorf("cluster: answer %d of %d bytes is no list", res.StatusCode, len(body))
	}
	list, err := ParseList(gjson.ParseBytes(body))
	list.From = w.addr
	if err == nil && res.Close {
		w.disconnect()
	}
	return list, err
}

// nested tells whether more objects and lists than that stand within one another in a JSON text, which may be a faulty one.
func exceedsDepth(text []byte, most int) bool {
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

// connect opens the connection, until end; a paced watch until maxCallTimeout from now.
func (w *watch) connect(ctx context.Context, end time.Time) error {
	if w.detectStops {
		end = time.Now().Add(maxCallTimeout)
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
	w.conn, w.reader = conn, bufio.NewReader(conn)
	if w.detectStops {
		w.stops = &stopDetector{conn: conn}
		w.reader.Reset(w.stops)
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

func (w *watch) disconnect() {
	if w.conn != nil {
		_ = w.conn.Close() // nothing is lost: all that it said has been read
		w.conn, w.reader, w.stops = nil, nil, nil
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
