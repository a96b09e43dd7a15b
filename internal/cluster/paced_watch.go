package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/pacing"
)

// Tunables of a paced watch.
const (
	readSlice       = 500 * time.Millisecond  // the clock is looked at so often while there is something to wait for
	minStop         = 400 * time.Millisecond  // that a slice must be late by before the process counts as having been stopped
	maxConfirmDelay = 2500 * time.Millisecond // a list that is doubted is taken then at the latest: hosts it says are gone get nothing new after 3 s
	minKeptShare    = 0.5                     // a whole list that has less of the hosts that are held is doubted
)

// Pacing is how a list service that a whole fleet asks is to be spared.
type Pacing struct {
	Fleet          pacing.Fleet
	ResyncInterval time.Duration // the whole list is asked for anew so often; 0 is never
	Revision       int64         // the revision of a list that is held already; 0 is none, and the whole list is asked for
}

// elsewhere is how another service is to be spared: its revisions may not compare.
func (p *Pacing) withoutRevision() *Pacing {
	return &Pacing{Fleet: p.Fleet, ResyncInterval: p.ResyncInterval}
}

// errInterrupted is a watch that was broken off because the whole list is wanted.
var errInterrupted = errors.New("cluster: broken off")

// question is what one call asks.
type pollRequest struct {
	target      string
	wait        time.Duration // for news
	incremental bool          // what is newer than a revision, and not the whole list
	refreshID   uint64        // the whole list is wanted out of turn; 0 is not
	sentAt      time.Time
}

// paced is a watch that asks at its own moments.
type pacedWatch struct {
	*watch
	Pacing
	pacer           *pacing.Pacer
	startTime       time.Time
	lastFullList    time.Duration // when the last whole list came
	unconfirmed     *List         // one that waits for another to say the same
	confirmDeadline time.Duration
	received        bool // by the service, in this life
}

func (w *watch) newPacedWatch(how Pacing) *pacedWatch {
	p := &pacedWatch{watch: w, Pacing: how, startTime: time.Now()}
	p.pacer = pacing.New(how.Fleet, w.rand, 0)
	w.revision, w.synced, w.detectStops = how.Revision, how.Revision > 0, true
	p.lastFullList = -time.Duration(w.rand.Float64() * float64(how.ResyncInterval))
	return p
}

func (p *pacedWatch) now() time.Duration { return time.Since(p.startTime) }

// follow asks for the list, and then for its changes, until ctx ends.
func (p *pacedWatch) run(ctx context.Context, synced func()) {
	defer p.disconnect()
	failing := false
	for p.waitForTurn(ctx) {
		if woken := p.now() - p.pacer.At(); woken > minStop { // the process was stopped, and others with it
			p.log.Info().Dur("late", woken).Msg("was stopped; discovery is asked a little later")
			p.pacer.Woke(p.now())
			continue
		}
		q := p.nextRequest()
		p.pacer.Ask(p.now())
		list, end, stopped, err := p.poll(ctx, q)
		if ctx.Err() != nil {
			return
		}
		p.pacer.Ended(p.now(), end)
		if errors.Is(err, errInterrupted) {
			continue
		}
		if stopped > 0 {
			p.log.Info().Dur("stopped", stopped).Msg("was stopped while discovery was asked")
			p.pacer.Woke(p.now())
		}
		if err != nil {
			if !failing {
				p.log.Warn().Err(err).Msg("discovery did not answer")
			}
			failing = true
			continue
		}
		if failing {
			failing = false
			p.log.Info().Msg("discovery answers again")
		}
		if p.handle(list, q) {
			synced()
		}
	}
}

// awaits waits for the next moment; while there is no list the decisions are told when that is.
func (p *pacedWatch) waitForTurn(ctx context.Context) bool {
	at := p.pacer.At()
	if !p.received {
		p.table.decisions.Expect(at - p.now())
	}
	return p.waitUntil(ctx, at)
}

// question is what is to be asked now.
func (p *pacedWatch) nextRequest() pollRequest {
	whole := p.ResyncInterval > 0 && p.now()-p.lastFullList > p.ResyncInterval
	q := pollRequest{sentAt: time.Now(), refreshID: p.refresh.pending()}
	switch {
	case !p.synced || p.unconfirmed != nil || whole && p.received || q.refreshID > 0:
		q.target = "/catalog/members"
	case !p.received: // it may be far behind, and the service may know nothing of that revision
		q.target, q.incremental = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=0", p.revision), true
	default:
		q.wait, q.incremental = p.pacer.Wait(), true
		q.target = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=%d", p.revision, q.wait.Milliseconds())
	}
	return q
}

// ask makes one call and says how it ended. Stopped is for how long the process did not run meanwhile: so much longer the
// answer was waited for, and the service is not to blame for it.
func (p *pacedWatch) poll(ctx context.Context, q pollRequest) (list List, end pacing.End, stopped time.Duration, err error) {
	from := p.now()
	dialled := p.conn == nil
	limit := p.pacer.Within()
	if q.wait > 0 { // a service of many may be that slow, and is asked at its moments whatever this is: no bound on it keeps an agent's 2 s
		limit = q.wait + limit/2
	}
	if p.unconfirmed != nil {
		limit = min(limit, p.confirmDeadline-from)
		var over context.CancelFunc
		ctx, over = context.WithTimeout(ctx, limit) // a dial that hangs must not outlast the doubt
		defer over()
	}
	list, broken, err := p.fetchInterruptible(ctx, q.wait > 0, q.target, limit)
	if p.stops != nil {
		stopped = p.stops.stopped
	}
	end.Took = max(0, p.now()-from-stopped)
	var turned *overloadError
	var lost *net.OpError
	switch {
	case broken: // the service had nothing to say, and is asked again at the next moment
		p.disconnect()
		return list, pacing.End{How: pacing.Quiet}, stopped, errInterrupted
	case err == nil && q.wait > 0 && len(list.Members) == 0 && !list.Complete:
		end.How, end.Took = pacing.Quiet, max(0, end.Took-q.wait)
		return list, end, stopped, nil
	case err == nil:
		if q.wait > 0 {
			end.Took = 0 // how long news took on its way can't be told
		}
		return list, end, stopped, nil
	case errors.As(err, &turned):
		end.How, end.RetryAfter = pacing.Turned, turned.retryAfter
	case errors.As(err, &lost) && lost.Op == "dial":
		end.How = pacing.Down
	case errors.Is(err, os.ErrDeadlineExceeded):
		end.How = pacing.Silent
	case q.wait > 0 || !dialled: // it had nothing to say, or the connection was an old one
		end.How = pacing.Down
	default:
		end.How = pacing.Turned
	}
	if turned == nil {
		p.disconnect()
	}
	return list, end, stopped, err
}

// hears takes an answer over, or doubts it. It returns whether there is a list from the service now.
func (p *pacedWatch) handle(list List, q pollRequest) bool {
	if q.incremental && !list.Complete && list.Revision < p.revision {
		p.log.Warn().Int64("held", p.revision).Int64("told", list.Revision).Msg("discovery has forgotten the revision; the whole list is asked for")
		p.synced, p.revision = false, 0 // what it says now is no older for its revisions
		return p.received
	}
	if why := p.suspicion(list); why != "" && p.unconfirmed == nil {
		p.log.Warn().Str("why", why).Int64("held", p.revision).Int64("told", list.Revision).Int("members", len(list.Members)).
			Msg("a list is doubted until discovery says the same again")
		p.unconfirmed, p.confirmDeadline = &list, p.now()+maxConfirmDelay
		return p.received
	}
	p.unconfirmed = nil
	if list.Complete {
		p.lastFullList = p.now()
		p.refresh.complete(q.refreshID)
	}
	p.accept(list)
	p.notifyUpdate(q.sentAt)
	return true
}

// take takes a list over.
func (p *pacedWatch) accept(list List) {
	p.applyList(list)
	if !p.received && !list.Complete { // what changes since a held revision leave out is as it was held, and no guess any more
		p.table.Apply(balance.ListCached, p.table.Snapshot().List)
	}
	p.received = true
}

// doubt says what is odd about a whole list; empty is nothing.
func (p *pacedWatch) suspicion(list List) string {
	if !list.Complete {
		return ""
	}
	held, ready := p.table.countReady(list)
	switch {
	case held > 0 && ready == 0:
		return "none of the hosts that are held is in it"
	case p.received && list.Revision < p.revision:
		return "it is older than the one that is held"
	case p.received && float64(ready) < minKeptShare*float64(held):
		return "most of the hosts that are held are not in it"
	}
	return ""
}

// until waits for a time; false if ctx ends before. A list that is doubted for too long is taken meanwhile.
func (p *pacedWatch) waitUntil(ctx context.Context, at time.Duration) bool {
	if p.unconfirmed != nil && p.confirmDeadline < at {
		sleep(ctx, p.confirmDeadline-p.now())
		if ctx.Err() == nil {
			list := *p.unconfirmed
			p.unconfirmed = nil
			p.accept(list)
		}
	}
	sleep(ctx, at-p.now())
	return ctx.Err() == nil
}

// overloadError is an answer that says that the service has no room.
type overloadError struct {
	status     int
	retryAfter time.Duration // Retry-After; 0 is none
}

func (e *overloadError) Error() string { return fmt.Sprintf("cluster: turned away with %d", e.status) }

// late reads a connection in slices until a deadline, and adds to that what the process was stopped for: a slice that ends
// far too late tells so.
type stopDetector struct {
	ctx      context.Context // once it ends, so does what is read
	conn     net.Conn
	deadline time.Time
	stopped  time.Duration
}

func (l *stopDetector) Read(b []byte) (int, error) {
	for {
		now := time.Now()
		if l.ctx.Err() != nil || !now.Before(l.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		due := now.Add(min(readSlice, l.deadline.Sub(now)))
		if err := l.conn.SetReadDeadline(due); err != nil {
			return 0, err
		}
		n, err := l.conn.Read(b)
		if over := time.Since(due); over > minStop {
			l.stopped += over
			l.deadline = time.Now().Add(max(readSlice, l.deadline.Sub(due))) // what was there before is read at least
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// ready counts the hosts that are held and ready, and how many of these a list has as well. A host is the same if its id is,
// or its address: ids may be told anew.
func (t *Table) countReady(list List) (held, both int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, addrs := map[string]bool{}, map[string]bool{}
	for _, m := range list.Members {
		if m.State == balance.Ready {
			ids[m.ID], addrs[m.Addr] = true, true
		}
	}
	for _, m := range t.listed {
		if m.State != balance.Ready {
			continue
		}
		held++
		if ids[m.ID] || addrs[m.Addr] {
			both++
		}
	}
	return held, both
}
