package pollsim

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// Policies are the rules that were weighed, by name.
var Policies = map[string]Policy{
	"agent":   newAgent,   // as an agent of the machine's own is asked
	"backoff": newBackoff, // full jitter over a wait that doubles with each failure
	"window":  newWindow,  // full jitter over instances / rate, again after each failure
	"ranks":   newRanks,   // moments by rank, on a clock that all share
	"equal":   newEqual,   // the same where all are told the rank 0
	"pace":    newPacer,   // what the daemon does
}

func newPacer(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return pacing.New(f, r, now)
}

// plain is what the simple ones share: the next call, and how many in a row have failed.
type basePoller struct {
	next   time.Duration
	failures int
	rand   *rand.Rand
	watch  time.Duration
	retryAt  func(p *basePoller, now time.Duration) time.Duration // the next call after a failure
}

func (p *basePoller) At() time.Duration     { return p.next }
func (p *basePoller) Ask(time.Duration)     {}
func (p *basePoller) Wait() time.Duration   { return p.jitter(p.watch/4) + 3*p.watch/4 }
func (p *basePoller) Within() time.Duration { return 2 * time.Second }

func (p *basePoller) jitter(d time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(d))
}

func (p *basePoller) Ended(now time.Duration, e pacing.End) {
	if e.How == pacing.Told || e.How == pacing.Quiet {
		p.failures, p.next = 0, now
		return
	}
	p.next = p.retryAt(p, now)
	p.failures++
}

func newAgent(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return &basePoller{next: now, rand: r, watch: time.Second, retryAt: func(p *basePoller, now time.Duration) time.Duration {
		wait := min(800*time.Millisecond, 100*time.Millisecond<<min(p.failures, 8))
		return now + 3*wait/4 + p.jitter(wait/4)
	}}
}

func newBackoff(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	p := &basePoller{rand: r, watch: time.Second, retryAt: func(p *basePoller, now time.Duration) time.Duration {
		return now + p.jitter(min(30*time.Second, 100*time.Millisecond<<min(p.failures, 12)))
	}}
	p.next = now + p.jitter(time.Second)
	return p
}

func newWindow(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	p := &basePoller{rand: r, watch: max(time.Second, 2*f.Period()), retryAt: func(p *basePoller, now time.Duration) time.Duration { return now + p.jitter(f.Period()) }}
	p.next = now + p.jitter(f.Period())
	return p
}

// ranked asks at its rank's part of each period of the clock.
type rankedPoller struct {
	basePoller
	f    pacing.Fleet
	rank int
}

func (p *rankedPoller) Ended(now time.Duration, e pacing.End) {
	period := p.f.Period()
	own := time.Duration(float64(p.rank) / float64(p.f.Instances) * float64(period))
	p.next = (now-own+period)/period*period + own
}

func newRanks(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Poller {
	p := &rankedPoller{basePoller: basePoller{rand: r, watch: max(time.Second, 2*f.Period())}, f: f, rank: number}
	p.Ended(now, pacing.End{})
	return p
}

func newEqual(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return newRanks(f, 0, r, now)
}
