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
	slice     = 500 * time.Millisecond  // the clock is looked at so often while there is something to wait for
	stopLeast = 400 * time.Millisecond  // that a slice must be late by before the process counts as having been stopped
	doubtMost = 2500 * time.Millisecond // a list that is doubted is taken then at the latest: hosts it says are gone get nothing new after 3 s
	doubtKeep = 0.5                     // a whole list that has less of the hosts that are held is doubted
)

// Paced is how a list service that a whole fleet asks is to be spared.
type Paced struct {
	Fleet pacing.Fleet
	Whole time.Duration // the whole list is asked for anew so often; 0 is never
	Since int64         // the revision of a list that is held already; 0 is none, and the whole list is asked for
}

// elsewhere is how another service is to be spared: its revisions may not compare.
func (p *Paced) elsewhere() *Paced { return &Paced{Fleet: p.Fleet, Whole: p.Whole} }

// errBroken is a watch that was broken off because the whole list is wanted.
var errBroken = errors.New("cluster: broken off")

// question is what one call asks.
type question struct {
	target string
	wait   time.Duration // for news
	watch  bool          // what is newer than a revision, and not the whole list
	due    uint64        // the whole list is wanted out of turn; 0 is not
	at     time.Time
}

// paced is a watch that asks at its own moments.
type paced struct {
	*watch
	Paced
	pacer     *pacing.Pacer
	begun     time.Time
	wholeAt   time.Duration // when the last whole list came
	doubted   *List         // one that waits for another to say the same
	doubtEnds time.Duration
	told      bool // by the service, in this life
}

func (w *watch) paced(how Paced) *paced {
	p := &paced{watch: w, Paced: how, begun: time.Now()}
	p.pacer = pacing.New(how.Fleet, w.rand, 0)
	w.revision, w.have, w.sliced = how.Since, how.Since > 0, true
	p.wholeAt = -time.Duration(w.rand.Float64() * float64(how.Whole))
	return p
}

func (p *paced) now() time.Duration { return time.Since(p.begun) }

// follow asks for the list, and then for its changes, until ctx ends.
func (p *paced) follow(ctx context.Context, synced func()) {
	defer p.hangUp()
	failing := false
	for p.awaits(ctx) {
		if woken := p.now() - p.pacer.At(); woken > stopLeast { // the process was stopped, and others with it
			p.log.Info().Dur("late", woken).Msg("was stopped; discovery is asked a little later")
			p.pacer.Woke(p.now())
			continue
		}
		q := p.question()
		p.pacer.Ask(p.now())
		list, end, stopped, err := p.ask(ctx, q)
		if ctx.Err() != nil {
			return
		}
		p.pacer.Ended(p.now(), end)
		if errors.Is(err, errBroken) {
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
		if p.hears(list, q) {
			synced()
		}
	}
}

// awaits waits for the next moment; while there is no list the decisions are told when that is.
func (p *paced) awaits(ctx context.Context) bool {
	at := p.pacer.At()
	if !p.told {
		p.table.decisions.Expect(at - p.now())
	}
	return p.until(ctx, at)
}

// question is what is to be asked now.
func (p *paced) question() question {
	whole := p.Whole > 0 && p.now()-p.wholeAt > p.Whole
	q := question{at: time.Now(), due: p.whole.due()}
	switch {
	case !p.have || p.doubted != nil || whole && p.told || q.due > 0:
		q.target = "/catalog/members"
	case !p.told: // it may be far behind, and the service may know nothing of that revision
		q.target, q.watch = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=0", p.revision), true
	default:
		q.wait, q.watch = p.pacer.Wait(), true
		q.target = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=%d", p.revision, q.wait.Milliseconds())
	}
	return q
}

// ask makes one call and says how it ended. Stopped is for how long the process did not run meanwhile: so much longer the
// answer was waited for, and the service is not to blame for it.
func (p *paced) ask(ctx context.Context, q question) (list List, end pacing.End, stopped time.Duration, err error) {
	from := p.now()
	dialled := p.conn == nil
	limit := p.pacer.Within()
	if q.wait > 0 { // a service of many may be that slow, and is asked at its moments whatever this is: no bound on it keeps an agent's 2 s
		limit = q.wait + limit/2
	}
	if p.doubted != nil {
		limit = min(limit, p.doubtEnds-from)
		var over context.CancelFunc
		ctx, over = context.WithTimeout(ctx, limit) // a dial that hangs must not outlast the doubt
		defer over()
	}
	list, broken, err := p.interruptible(ctx, q.wait > 0, q.target, limit)
	if p.late != nil {
		stopped = p.late.lost
	}
	end.Took = max(0, p.now()-from-stopped)
	var turned *turnedAway
	var lost *net.OpError
	switch {
	case broken: // the service had nothing to say, and is asked again at the next moment
		p.hangUp()
		return list, pacing.End{How: pacing.Quiet}, stopped, errBroken
	case err == nil && q.wait > 0 && len(list.Members) == 0 && !list.Complete:
		end.How, end.Took = pacing.Quiet, max(0, end.Took-q.wait)
		return list, end, stopped, nil
	case err == nil:
		if q.wait > 0 {
			end.Took = 0 // how long news took on its way can't be told
		}
		return list, end, stopped, nil
	case errors.As(err, &turned):
		end.How, end.RetryAfter = pacing.Turned, turned.after
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
		p.hangUp()
	}
	return list, end, stopped, err
}

// hears takes an answer over, or doubts it. It returns whether there is a list from the service now.
func (p *paced) hears(list List, q question) bool {
	if q.watch && !list.Complete && list.Revision < p.revision {
		p.log.Warn().Int64("held", p.revision).Int64("told", list.Revision).Msg("discovery has forgotten the revision; the whole list is asked for")
		p.have, p.revision = false, 0 // what it says now is no older for its revisions
		return p.told
	}
	if why := p.doubt(list); why != "" && p.doubted == nil {
		p.log.Warn().Str("why", why).Int64("held", p.revision).Int64("told", list.Revision).Int("members", len(list.Members)).
			Msg("a list is doubted until discovery says the same again")
		p.doubted, p.doubtEnds = &list, p.now()+doubtMost
		return p.told
	}
	p.doubted = nil
	if list.Complete {
		p.wholeAt = p.now()
		p.whole.done(q.due)
	}
	p.take(list)
	p.hear(q.at)
	return true
}

// take takes a list over.
func (p *paced) take(list List) {
	p.apply(list)
	if !p.told && !list.Complete { // what changes since a held revision leave out is as it was held, and no guess any more
		p.table.Apply(balance.ListCached, p.table.Held().List)
	}
	p.told = true
}

// doubt says what is odd about a whole list; empty is nothing.
func (p *paced) doubt(list List) string {
	if !list.Complete {
		return ""
	}
	held, ready := p.table.ready(list)
	switch {
	case held > 0 && ready == 0:
		return "none of the hosts that are held is in it"
	case p.told && list.Revision < p.revision:
		return "it is older than the one that is held"
	case p.told && float64(ready) < doubtKeep*float64(held):
		return "most of the hosts that are held are not in it"
	}
	return ""
}

// until waits for a time; false if ctx ends before. A list that is doubted for too long is taken meanwhile.
func (p *paced) until(ctx context.Context, at time.Duration) bool {
	if p.doubted != nil && p.doubtEnds < at {
		sleep(ctx, p.doubtEnds-p.now())
		if ctx.Err() == nil {
			list := *p.doubted
			p.doubted = nil
			p.take(list)
		}
	}
	sleep(ctx, at-p.now())
	return ctx.Err() == nil
}

// turnedAway is an answer that says that the service has no room.
type turnedAway struct {
	status int
	after  time.Duration // Retry-After; 0 is none
}

func (e *turnedAway) Error() string { return fmt.Sprintf("cluster: turned away with %d", e.status) }

// late reads a connection in slices until a deadline, and adds to that what the process was stopped for: a slice that ends
// far too late tells so.
type late struct {
	ctx  context.Context // once it ends, so does what is read
	conn net.Conn
	end  time.Time
	lost time.Duration
}

func (l *late) Read(b []byte) (int, error) {
	for {
		now := time.Now()
		if l.ctx.Err() != nil || !now.Before(l.end) {
			return 0, os.ErrDeadlineExceeded
		}
		due := now.Add(min(slice, l.end.Sub(now)))
		if err := l.conn.SetReadDeadline(due); err != nil {
			return 0, err
		}
		n, err := l.conn.Read(b)
		if over := time.Since(due); over > stopLeast {
			l.lost += over
			l.end = time.Now().Add(max(slice, l.end.Sub(due))) // what was there before is read at least
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// ready counts the hosts that are held and ready, and how many of these a list has as well. A host is the same if its id is,
// or its address: ids may be told anew.
func (t *Table) ready(list List) (held, both int) {
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
