package model

import "time"

// pressure watches whether a cold server is sent more than it stands. In every window of the spec's length,
// the work sent must stay within CollapseMultiple times the integral of what it can do. Before its start it counts
// as having been able to do what it can at its start, so that a burst right then is judged at once, against
// a whole window.
//
// Whether it falls is exact. Both integrals are kept as marks, one at each arrival and at each change of
// capacity; between marks the excess is a straight line, so that it is highest where a mark enters the window
// or leaves it, which is where it is judged. What is sent is judged as it comes; a loss of capacity alone may
// tell only at the next mark.
type pressure struct {
	active       bool
	window       time.Duration
	multiple     float64     // 0 is never
	expired      observation // the last that has left the window
	observations fifo[observation]
	peak         float64
}

// mark is both integrals at one moment.
type observation struct {
	at       time.Duration
	sent     time.Duration // before what came at this moment
	possible rateIntegral  // from this moment on
}

func (p *pressure) begin(spec Spec, now, sent time.Duration, able *rateIntegral) {
	p.end()
	p.active = spec.CollapseWindow > 0
	p.window, p.multiple = spec.CollapseWindow, spec.CollapseMultiple
	p.expired = observation{now, sent, *able}
}

func (p *pressure) end() {
	p.active = false
	p.observations.clear()
}

// next is when the oldest mark leaves the window.
func (p *pressure) next() time.Duration {
	if p.observations.len() == 0 {
		return Never
	}
	return p.observations.front().at + p.window
}

// mark notes an arrival, before which sent was before, or a change of capacity. It says whether that was
// too much.
func (p *pressure) record(now, before, sent time.Duration, able *rateIntegral) bool {
	if !p.active {
		return false
	}
	p.observations.push(observation{now, before, *able})
	return p.exceeded(now, sent, able)
}

// leave lets the oldest mark go. It says whether the window up to then had too much.
func (p *pressure) expire(sent time.Duration, able *rateIntegral) bool {
	now := p.next()
	over := p.exceeded(now, sent, able)
	p.expired = p.observations.pop()
	return over
}

// over judges the window that ends now; the oldest mark counts as within.
func (p *pressure) exceeded(now, sent time.Duration, able *rateIntegral) bool {
	work := float64(sent - p.observations.front().sent)
	could := able.at(now) - p.expired.possible.at(now-p.window)
	if work <= 0 {
		return false
	}
	if could > 0 {
		p.peak = max(p.peak, work/could)
	}
	return p.multiple > 0 && work > p.multiple*could
}
