// Package pace decides when one instance of a fleet asks the list service, and for how long it may be kept waiting there; and
// when it opens a connection to an upstream host (HandshakeLimit). It
// is pure: times and answers in, times out. No instance knows of another one: what a fleet may ask together follows from
// what the settings tell each of them, and from the service's own answers.
//
// Time is divided into slots. An instance has one moment in each period of instances / rate seconds, drawn at random, and
// asks at such moments alone: whatever happens, two of its calls are seven eighths of a period apart at least, so that n
// instances make no more than n calls in that time. Moments drawn at random, and not by rank, hold where ranks are equal or missing, clocks
// differ, or a third of the fleet is there. What the service turns away or answers late halves the instance's own rate, and
// each quick answer gives an eighth of it back: additive increase, multiplicative decrease (Chiu and Jain 1989), at each
// instance by itself, for a fleet whose number is told wrong or a service that can do less than was stated.
package pacing

import (
	"math/rand/v2"
	"time"
)

// Tunables.
const (
	watchRateShare   = 0.5                    // of the rate, for watches that end without news
	maxWatchWait     = 55 * time.Second       // that a watch waits; the protocol allows 60 s
	maxCallInterval  = 15 * time.Second       // between two calls, whatever the service answers, but for what it asks for itself
	maxRetryAfter    = time.Minute            // that a Retry-After is followed
	minRate          = 1.0 / 16               // of an instance's own part of the rate
	maxLateness      = 1.0 / 8                // of a period that a call may go out late
	maxDrift         = 1.0 / 16               // of a period by which a moment drifts with each call but the first for which nobody was there
	rateIncrease     = 1.0 / 8                // that a quick answer gives back
	slowResponse     = 500 * time.Millisecond // an answer that takes longer tells of a line, whatever the service is
	slowDecrease     = 0.75                   // of the rate after such an answer
	overloadDecrease = 0.5                    // and after one that was turned away
	initialTimeout   = 5 * time.Second        // a list is waited for so long at first, for to ask again costs the service as much again,
	maxTimeout       = 16 * time.Second       // and up to so long where the service is seen to be slow
	baseRetryDelay   = 100 * time.Millisecond // after a failure, for a fleet so small that a period is less,
	maxRetryDelay    = 800 * time.Millisecond // and after many in a row
)

// Fleet is what an instance is told.
type Fleet struct {
	Instances    int           // that ask the same service
	Rate         float64       // calls a second that all of them may make together
	Burst        int           // calls at once that the service has room for
	MinWatchWait time.Duration // that a watch waits at least
}

// Period is the time in which each instance may ask once.
func (f Fleet) Period() time.Duration {
	return time.Duration(float64(max(1, f.Instances)) / f.Rate * float64(time.Second))
}

// MaxWatchWait is how long a watch waits for news at most, while the service is quick.
func (f Fleet) MaxWatchWait() time.Duration {
	return min(maxWatchWait, max(f.MinWatchWait, time.Duration(float64(f.Period())/watchRateShare))+f.Period())
}

// window is the time over which first calls are spread: what the service has room for at once need not be.
func (f Fleet) startWindow() time.Duration {
	return time.Duration(float64(max(0, f.Instances-f.Burst)) / f.Rate * float64(time.Second))
}

// Outcome says how a call ended.
type Outcome uint8

// The ends of a call.
const (
	Answered    Outcome = iota // a list, or changes: to a question that does not wait, or news
	NoChange                   // a watch ran out with no news
	Overloaded                 // the service had no room: it said so, or broke off a question that does not wait
	Unreachable                // nobody listens there, or the connection was lost while there was nothing to say
	TimedOut                   // no answer in time
)

// Result is how a call ended.
type Result struct {
	Outcome    Outcome
	Latency    time.Duration // the service's: less the wait that a watch asked for, and the time for which this process was stopped
	RetryAfter time.Duration // that the service asks for; 0 is nothing
}

// Pacer is one instance's. Times are of a clock that never goes back.
type Pacer struct {
	fleet    Fleet
	rand     *rand.Rand
	rate     float64 // of its own part
	timeout  time.Duration
	failures int // in a row
	called   bool
	lastCall time.Duration // when it asked last
	turn     time.Duration // one of its moments
	next     time.Duration
}

// New returns an instance's that asks for the first time within the window from now on.
func New(f Fleet, r *rand.Rand, now time.Duration) *Pacer {
	p := &Pacer{fleet: f, rand: r, rate: 1, timeout: initialTimeout}
	p.next = now + p.randomUpTo(f.startWindow())
	p.turn = p.next
	return p
}

// Next is when the next call goes out.
func (p *Pacer) At() time.Duration { return p.next }

// WatchWait is how long the next watch is to wait for news: so long that all watches together take a part of the rate, and a
// little less than a number of periods, so that its end comes before the instance's next moment.
func (p *Pacer) Wait() time.Duration {
	period := p.period()
	long := min(maxWatchWait, max(p.fleet.MinWatchWait, time.Duration(float64(period)/watchRateShare)))
	if period < p.fleet.MinWatchWait/4 { // moments are everywhere, and what is drawn spreads the ends
		return p.jitter(long)
	}
	return min(maxWatchWait, (long+period-1)/period*period-period/16)
}

// Timeout is how long a list may take. Half of it is what a watch may take beyond its wait.
func (p *Pacer) Within() time.Duration { return p.timeout }

// Sent notes that a call goes out. One that goes out a little after its moment does not cost the instance the next one.
func (p *Pacer) Ask(now time.Duration) {
	p.called, p.lastCall = true, max(p.next, now-time.Duration(maxLateness*float64(p.period())))
}

// Done takes how the call ended, after which At says when the next one goes out.
func (p *Pacer) Ended(now time.Duration, e Result) {
	failed := p.failures
	p.failures++
	switch e.Outcome {
	case Answered, NoChange:
		p.failures = 0
		if e.Latency > slowResponse {
			p.rate *= slowDecrease
			p.timeout = min(maxTimeout, max(p.timeout, 2*e.Latency))
		} else {
			p.rate += rateIncrease
			p.timeout = initialTimeout
		}
	case Overloaded:
		p.rate *= overloadDecrease
	case TimedOut:
		p.rate *= overloadDecrease
		p.timeout = min(maxTimeout, 2*p.timeout)
	case Unreachable: // it costs the service nothing to be asked, so that the instance need not stand back
		if failed > 0 { // nor may it be in step with a service that comes and goes
			p.turn = p.lastCall + p.period() + p.randomUpTo(time.Duration(maxDrift*float64(p.period())))
		}
	}
	p.rate = max(minRate, min(1, p.rate))
	if e.Outcome == Overloaded || e.Outcome == TimedOut { // others had the same moment, perhaps: it draws another
		p.turn = now + p.randomUpTo(p.period())
	}
	p.next = p.nextTurn(now)
	if p.failures > 0 {
		p.next = max(p.next, now+p.jitter(min(maxRetryDelay, baseRetryDelay<<min(failed, 8))))
	}
	if e.RetryAfter > 0 {
		p.next = max(p.next, now+min(maxRetryAfter, e.RetryAfter)+p.randomUpTo(p.period()))
	}
}

// Resumed says that the process has not run for a while: whoever was stopped with it wakes now, too, and each draws another
// moment.
func (p *Pacer) Resumed(now time.Duration) {
	p.turn = now + p.randomUpTo(p.period())
	p.next = p.nextTurn(now)
}

// period is the present time between two calls.
func (p *Pacer) period() time.Duration {
	own := p.fleet.Period()
	return max(own, min(maxCallInterval/2, time.Duration(float64(own)/p.rate)))
}

// moment is the instance's first one that is no sooner than now, and a period after its last call.
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

// randomUpTo is a random time from 0 to most.
func (p *Pacer) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(most))
}

// spread is a random time between three quarters of most and most.
func (p *Pacer) jitter(most time.Duration) time.Duration { return 3*most/4 + p.randomUpTo(most/4) }
