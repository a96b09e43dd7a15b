// Package pacing decides when one instance of a fleet calls the shared list service and how long a call may wait there
// (Pacer), and when it opens a connection to an upstream host (HandshakeLimiter). Packages cluster and upstream call
// it.
//
// It is pure: the caller passes times and results of calls, and gets times; random numbers come from the caller's
// source. No instance has information about another one: the call rate of a fleet follows from each instance's settings
// and from the service's responses. The types are not safe for concurrent use.
//
// Each instance has one turn in each period of instances / rate seconds, drawn at random, and makes calls only at its
// turns. Two of its calls are always at least seven eighths of a period apart, so that n instances make at most n calls
// in that time. Turns are drawn at random and not by rank, because that also works if ranks are equal or missing,
// clocks differ, or only a third of the fleet is up.
//
// A call that the service rejects or does not answer in time halves the instance's present rate, a slow response
// reduces it by a quarter, and each quick response adds an eighth of the full rate: additive increase, multiplicative
// decrease (Chiu and Jain 1989). Each instance does so by itself. This covers fleets whose configured size is wrong,
// and a service with less capacity than configured.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	watchRateShare   = 0.5              // share of the rate that is used by watches that end without changes
	maxWatchWait     = 55 * time.Second // the protocol allows 60 s
	maxCallInterval  = 15 * time.Second // bound of the time between calls while the rate is reduced, except after a Retry-After
	maxRetryAfter    = time.Minute      // longest Retry-After that is followed
	maxLatenessShare = 1.0 / 8          // share of a period by which a call may be late without losing the next turn
	maxDriftShare    = 1.0 / 16         // share of a period by which the turn moves at most when the service is unreachable again

	minRateShare     = 1.0 / 16               // minimum share of an instance's configured rate
	rateIncrease     = 1.0 / 8                // share that is added after a quick response
	slowResponse     = 500 * time.Millisecond // a response that takes longer indicates a queue at the service
	slowDecrease     = 0.75                   // factor of the rate after a slow response
	overloadDecrease = 0.5                    // factor of the rate after a call that was rejected or timed out

	initialTimeout = 5 * time.Second        // of a list; long, since a retry costs the service as much again
	maxTimeout     = 16 * time.Second       // of a list while the service is slow
	baseRetryDelay = 100 * time.Millisecond // minimum delay after a failure, for a small fleet with a shorter period
	maxRetryDelay  = 800 * time.Millisecond // the same after many consecutive failures

	maxBackoffShift = 8 // maximum exponent of the backoff
)

// Fleet holds an instance's settings about its fleet.
type Fleet struct {
	Instances    int     // number of instances that call the same service
	Rate         float64 // maximum number of calls a second from all of them
	Burst        int     // number of concurrent calls for which the service has capacity
	MinWatchWait time.Duration
}

// Period returns the time in which each instance may make one call.
func (f Fleet) Period() time.Duration {
	return time.Duration(float64(max(1, f.Instances)) / f.Rate * float64(time.Second))
}

// MaxWatchWait returns the maximum time that a watch waits for changes while the service is quick.
func (f Fleet) MaxWatchWait() time.Duration {
	return min(maxWatchWait, max(f.MinWatchWait, time.Duration(float64(f.Period())/watchRateShare))+f.Period())
}

// startWindow returns the time over which the first calls of all instances are spread. Burst calls need not be spread,
// since the service has capacity for them at once.
func (f Fleet) startWindow() time.Duration {
	return time.Duration(float64(max(0, f.Instances-f.Burst)) / f.Rate * float64(time.Second))
}

// Outcome tells how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	Answered    Outcome = iota // with a list, or with changes
	NoChange                   // a watch timed out without changes
	Overloaded                 // the service rejected the call, or closed the connection of a call that is not a watch
	Unreachable                // no process accepts connections, or the connection of a watch was lost
	TimedOut
)

// Result holds a call's outcome and latency.
type Result struct {
	Outcome    Outcome
	Latency    time.Duration // of the service, without the wait of a watch and the time for which this process was stopped
	RetryAfter time.Duration // delay that the service requested; 0: none
}

// Pacer decides when one instance makes its calls. Its times are those of a monotonic clock.
type Pacer struct {
	fleet               Fleet
	rand                *rand.Rand
	rate                float64       // share of the instance's configured rate, from minRateShare to 1
	timeout             time.Duration // of a list
	consecutiveFailures int           // number of consecutive failed calls
	called              bool          // lastCall is set
	lastCall            time.Duration
	turn                time.Duration // time of one turn; the others are whole periods apart from it
	next                time.Duration // time of the next call
}

// New returns the pacer of an instance that makes its first call at a random time within the start window after now.
func New(f Fleet, r *rand.Rand, now time.Duration) *Pacer {
	p := &Pacer{fleet: f, rand: r, rate: 1, timeout: initialTimeout}
	p.next = now + p.randomUpTo(f.startWindow())
	p.turn = p.next
	return p
}

// Next returns the time of the next call.
func (p *Pacer) Next() time.Duration { return p.next }

// WatchWait returns the time for which the next watch waits for changes. With that time all watches together use
// watchRateShare of the rate. It is slightly less than a whole number of periods, so that the watch ends before one of
// the instance's turns.
func (p *Pacer) WatchWait() time.Duration {
	period := p.period()
	wait := min(maxWatchWait, max(p.fleet.MinWatchWait, time.Duration(float64(period)/watchRateShare)))
	if period < p.fleet.MinWatchWait/4 { // turns are frequent, so that jitter is enough to spread the ends of watches
		return p.jitter(wait)
	}
	return min(maxWatchWait, (wait+period-1)/period*period-period/16)
}

// Timeout returns the time-out of a list. The time-out of a watch is its wait plus half of this.
func (p *Pacer) Timeout() time.Duration { return p.timeout }

// Sent records that a call is made now. A call that is slightly late does not cost the instance its next turn.
func (p *Pacer) Sent(now time.Duration) {
	p.called, p.lastCall = true, max(p.next, now-time.Duration(maxLatenessShare*float64(p.period())))
}

// Done records how the call ended and schedules the next one, whose time Next then returns.
func (p *Pacer) Done(now time.Duration, r Result) {
	failuresBefore := p.consecutiveFailures
	p.adapt(r)
	switch {
	case r.Outcome == Overloaded || r.Outcome == TimedOut: // other instances may have the same turn, so a new one is drawn
		p.turn = now + p.randomUpTo(p.period())
	case r.Outcome == Unreachable && failuresBefore > 0: // moves the turn, so that it is not in step with an intermittent service
		p.turn = p.lastCall + p.period() + p.randomUpTo(time.Duration(maxDriftShare*float64(p.period())))
	}
	p.next = p.nextTurn(now)
	if p.consecutiveFailures > 0 {
		p.next = max(p.next, now+p.jitter(min(maxRetryDelay, baseRetryDelay<<min(failuresBefore, maxBackoffShift))))
	}
	if r.RetryAfter > 0 {
		p.next = max(p.next, now+min(maxRetryAfter, r.RetryAfter)+p.randomUpTo(p.period()))
	}
}

// adapt changes the rate and the time-out by the result of a call. An unreachable service changes neither, since the
// call cost it nothing.
func (p *Pacer) adapt(r Result) {
	p.consecutiveFailures++
	switch r.Outcome {
	case Answered, NoChange:
		p.consecutiveFailures = 0
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
	p.rate = max(minRateShare, min(1, p.rate))
}

// Resumed records that the process runs again after it was stopped. Other instances may have been stopped and resumed
// at the same time, so a new turn is drawn.
func (p *Pacer) Resumed(now time.Duration) {
	p.turn = now + p.randomUpTo(p.period())
	p.next = p.nextTurn(now)
}

// period returns the time between two calls at the present rate.
func (p *Pacer) period() time.Duration {
	configured := p.fleet.Period()
	return max(configured, min(maxCallInterval/2, time.Duration(float64(configured)/p.rate)))
}

// nextTurn returns the instance's first turn that is at or after now and at least a period after its last call.
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
