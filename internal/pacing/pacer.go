// Package pacing decides when one instance of a fleet calls the shared list service, and for how long a call may wait there
// (Pacer); and when it opens a connection to an upstream host (HandshakeLimiter). The cluster and upstream packages call it.
//
// It is pure: times and results of calls in, times out; random draws come from the caller's source. No instance knows of another
// one: how often a fleet may call together follows from what the settings tell each instance, and from the service's own
// responses. The types are not safe for concurrent use.
//
// Each instance has one turn in each period of instances / rate seconds, drawn at random, and calls at its turns alone: whatever
// happens, two of its calls are at least seven eighths of a period apart, so that n instances make no more than n calls in that
// time. Turns that are drawn at random, and not by rank, work where ranks are equal or missing, clocks differ, or only a third of
// the fleet is up. A call that the service rejects or answers late halves the instance's own rate, and each quick response gives
// an eighth of it back: additive increase, multiplicative decrease (Chiu and Jain 1989), at each instance by itself, for a fleet
// whose size is configured wrong or a service that can do less than was stated.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	watchRateShare  = 0.5              // of the rate, for watches that end without changes
	maxWatchWait    = 55 * time.Second // the protocol allows 60 s
	maxCallInterval = 15 * time.Second // whatever the service responds, but for a Retry-After
	maxRetryAfter   = time.Minute      // that is followed
	maxLateness     = 1.0 / 8          // of a period, by which a call may be late without losing the next turn
	maxDrift        = 1.0 / 16         // of a period, by which the turn drifts with each call but the first that found nobody listening

	minRate          = 1.0 / 16               // of an instance's own share of the rate
	rateIncrease     = 1.0 / 8                // with a quick response
	slowResponse     = 500 * time.Millisecond // a response that takes longer shows a queue, at any service
	slowDecrease     = 0.75                   // factor of the rate after such a response
	overloadDecrease = 0.5                    // and after a call that was rejected or timed out

	initialTimeout = 5 * time.Second        // of a list: a retry costs the service as much again,
	maxTimeout     = 16 * time.Second       // and where the service is seen to be slow
	baseRetryDelay = 100 * time.Millisecond // after a failure, for a fleet so small that a period is less,
	maxRetryDelay  = 800 * time.Millisecond // and after many in a row

	maxBackoffShift = 8 // of the exponential backoff
)

// Fleet is what the settings tell an instance of its fleet.
type Fleet struct {
	Instances    int     // that call the same service
	Rate         float64 // calls a second that all of them may make together
	Burst        int     // simultaneous calls for which the service has capacity
	MinWatchWait time.Duration
}

// Period is the time in which each instance may make one call.
func (f Fleet) Period() time.Duration {
	return time.Duration(float64(max(1, f.Instances)) / f.Rate * float64(time.Second))
}

// MaxWatchWait is how long a watch waits for changes at most, while the service is quick.
func (f Fleet) MaxWatchWait() time.Duration {
	return min(maxWatchWait, max(f.MinWatchWait, time.Duration(float64(f.Period())/watchRateShare))+f.Period())
}

// startWindow is the time over which first calls are spread: those for which the service has capacity at once need not be.
func (f Fleet) startWindow() time.Duration {
	return time.Duration(float64(max(0, f.Instances-f.Burst)) / f.Rate * float64(time.Second))
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota // with a list, or with changes
	NoChange                   // a watch timed out without changes
	Overloaded                 // the service rejected the call, or closed the connection of one that does not wait
	Unreachable                // nobody listens, or the connection of a watch was lost
	TimedOut
)

// Result is how a call ended, and how long it took.
type Result struct {
	Outcome    Outcome
	Latency    time.Duration // of the service: without the wait of a watch, and without the time for which this process was stopped
	RetryAfter time.Duration // that the service has asked for; 0: none
}

// Pacer decides when one instance makes its calls. Its times are of a monotonic clock.
type Pacer struct {
	fleet    Fleet
	rand     *rand.Rand
	rate     float64       // share of the instance's own rate, from minRate to 1
	timeout  time.Duration // of a list
	failures int           // in a row
	called   bool          // lastCall is set
	lastCall time.Duration
	turn     time.Duration // one of its turns; the others are periods away
	next     time.Duration // when the next call is to be made
}

// New returns the pacer of an instance that makes its first call within the start window from now on.
func New(f Fleet, r *rand.Rand, now time.Duration) *Pacer {
	p := &Pacer{fleet: f, rand: r, rate: 1, timeout: initialTimeout}
	p.next = now + p.randomUpTo(f.startWindow())
	p.turn = p.next
	return p
}

// Next returns when the next call is to be made.
func (p *Pacer) Next() time.Duration { return p.next }

// WatchWait returns how long the next watch is to wait for changes: so long that all watches together take watchRateShare of the rate,
// and a little less than a number of periods, so that it ends before the instance's next turn.
func (p *Pacer) WatchWait() time.Duration {
	period := p.period()
	long := min(maxWatchWait, max(p.fleet.MinWatchWait, time.Duration(float64(period)/watchRateShare)))
	if period < p.fleet.MinWatchWait/4 { // turns are so frequent that the jitter alone spreads the ends of watches
		return p.jitter(long)
	}
	return min(maxWatchWait, (long+period-1)/period*period-period/16)
}

// Timeout returns the time-out of a list. Half of it is the time-out of a watch beyond its wait.
func (p *Pacer) Timeout() time.Duration { return p.timeout }

// Sent records that a call is made. One that is a little late does not cost the instance its next turn.
func (p *Pacer) Sent(now time.Duration) {
	p.called, p.lastCall = true, max(p.next, now-time.Duration(maxLateness*float64(p.period())))
}

// Done records how the call ended, after which Next returns when the next one is to be made.
func (p *Pacer) Done(now time.Duration, r Result) {
	failuresBefore := p.failures
	p.adapt(r)
	switch {
	case r.Outcome == Overloaded || r.Outcome == TimedOut: // others had the same turn, perhaps: this one draws another
		p.turn = now + p.randomUpTo(p.period())
	case r.Outcome == Unreachable && failuresBefore > 0: // nor may the turn be in step with a service that comes and goes
		p.turn = p.lastCall + p.period() + p.randomUpTo(time.Duration(maxDrift*float64(p.period())))
	}
	p.next = p.nextTurn(now)
	if p.failures > 0 {
		p.next = max(p.next, now+p.jitter(min(maxRetryDelay, baseRetryDelay<<min(failuresBefore, maxBackoffShift))))
	}
	if r.RetryAfter > 0 {
		p.next = max(p.next, now+min(maxRetryAfter, r.RetryAfter)+p.randomUpTo(p.period()))
	}
}

// adapt changes the rate and the time-out by how a call ended. An unreachable service changes neither: the call cost it nothing.
func (p *Pacer) adapt(r Result) {
	p.failures++
	switch r.Outcome {
	case Answered, NoChange:
		p.failures = 0
		if r.Latency > slowResponse {
			p.rate *= slowDecrease
			p.timeout = min(maxTimeout, max(p.timeout, 2*r.Latency))
		} else {
			p.rate += rateIncrease
			p.timeout = initialTimeout
		}
	case Overloaded:
		p.rate *= overloadDecrease
	case TimedOut:
		p.rate *= overloadDecrease
		p.timeout = min(maxTimeout, 2*p.timeout)
	}
	p.rate = max(minRate, min(1, p.rate))
}

// Resumed records that the process was stopped for a while: instances that were stopped with it resume now, too, and each draws
// another turn.
func (p *Pacer) Resumed(now time.Duration) {
	p.turn = now + p.randomUpTo(p.period())
	p.next = p.nextTurn(now)
}

// period returns the present time between two calls.
func (p *Pacer) period() time.Duration {
	own := p.fleet.Period()
	return max(own, min(maxCallInterval/2, time.Duration(float64(own)/p.rate)))
}

// nextTurn returns the instance's first turn that is not before now, nor less than a period after its last call.
func (p *Pacer) nextTurn(now time.Duration) time.Duration {
	period := p.period()
	if p.called {
		now = max(now, p.lastCall+period)
	}
	if ahead := p.turn - now; ahead >= 0 {
		return now + ahead%period
	}
	return now + (period-(now-p.turn)%period)%period
}

// randomUpTo returns a random time from 0 to d.
func (p *Pacer) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(d))
}

// jitter returns a random time between three quarters of d and d.
func (p *Pacer) jitter(d time.Duration) time.Duration { return 3*d/4 + p.randomUpTo(d/4) }
