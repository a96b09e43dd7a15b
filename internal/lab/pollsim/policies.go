package pollsim

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// Policies are the rules that were compared, by name.
var Policies = map[string]Policy{
	"agent":   newAgent,   // as the daemon polls an agent of its machine
	"backoff": newBackoff, // full jitter over a wait that doubles with each failure
	"window":  newWindow,  // full jitter over instances / rate, again after each failure
	"ranks":   newRanks,   // time slots by rank, on a clock that all share
	"equal":   newEqual,   // the same if all have rank 0
	"pace":    newPacer,   // package pacing, as in the daemon
}

// newPacer makes the daemon's own pacer.
func newPacer(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return pacing.New(f, r, now)
}

// listTimeout is the time-out of a call for the list by the simple rules.
const listTimeout = 2 * time.Second

// basePoller is what the simple rules share.
type basePoller struct {
	next     time.Duration
	failures int // in a row
	rand     *rand.Rand
	watch    time.Duration
	retryAt  func(p *basePoller, now time.Duration) time.Duration // time of the next call after a failure
}

// Next implements Poller.
func (p *basePoller) Next() time.Duration { return p.next }

// Sent implements Poller.
func (p *basePoller) Sent(time.Duration) {}

// WatchWait implements Poller: three quarters of the watch to all of it.
func (p *basePoller) WatchWait() time.Duration { return p.jitter(p.watch/4) + 3*p.watch/4 }

// Timeout implements Poller.
func (p *basePoller) Timeout() time.Duration { return listTimeout }

// jitter returns a random duration below d.
func (p *basePoller) jitter(d time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(d))
}

// Done implements Poller: the next call is at once after an answer, and at retryAt after a failure.
func (p *basePoller) Done(now time.Duration, e pacing.Result) {
	if e.Outcome == pacing.Answered || e.Outcome == pacing.NoChange {
		p.failures, p.next = 0, now
		return
	}
	p.next = p.retryAt(p, now)
	p.failures++
}

// newAgent retries after a wait that doubles from 100 ms to 800 ms, with a quarter of jitter.
func newAgent(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return &basePoller{next: now, rand: r, watch: time.Second, retryAt: func(p *basePoller, now time.Duration) time.Duration {
		wait := min(800*time.Millisecond, 100*time.Millisecond<<min(p.failures, 8))
		return now + 3*wait/4 + p.jitter(wait/4)
	}}
}

// newBackoff retries with full jitter over a wait that doubles from 100 ms to 30 s.
func newBackoff(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	p := &basePoller{rand: r, watch: time.Second, retryAt: func(p *basePoller, now time.Duration) time.Duration {
		return now + p.jitter(min(30*time.Second, 100*time.Millisecond<<min(p.failures, 12)))
	}}
	p.next = now + p.jitter(time.Second)
	return p
}

// newWindow starts and retries with full jitter over the period of the fleet.
func newWindow(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	p := &basePoller{rand: r, watch: max(time.Second, 2*f.Period()), retryAt: func(p *basePoller, now time.Duration) time.Duration { return now + p.jitter(f.Period()) }}
	p.next = now + p.jitter(f.Period())
	return p
}

// rankedPoller polls at the time slot of its rank in each period of the clock.
type rankedPoller struct {
	basePoller
	f    pacing.Fleet
	rank int
}

// Done implements Poller.
func (p *rankedPoller) Done(now time.Duration, e pacing.Result) {
	period := p.f.Period()
	slot := time.Duration(float64(p.rank) / float64(p.f.Instances) * float64(period))
	p.next = (now-slot+period)/period*period + slot
}

// newRanks gives each instance the rank of its number.
func newRanks(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Poller {
	p := &rankedPoller{basePoller: basePoller{rand: r, watch: max(time.Second, 2*f.Period())}, f: f, rank: number}
	p.Done(now, pacing.Result{})
	return p
}

// newEqual gives all instances rank 0.
func newEqual(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Poller {
	return newRanks(f, 0, r, now)
}
