package model

import "time"

// pressure decides whether an endpoint that is warming up collapses. In every window of the spec's length, the work sent
// must stay within CollapseMultiple times the integral of the nominal capacity. Before the start that capacity counts as
// it is at the start, so that a burst right then is judged at once, against a full window.
//
// The decision is exact. Both integrals are kept as observations, one at each arrival and at each change of capacity.
// Between observations the excess is linear, so that it is highest where one enters or leaves the window, which is where
// it is compared. What is sent is compared as it comes; a loss of capacity alone may show only at the next observation.
type pressure struct {
	active       bool
	window       time.Duration
	multiple     float64     // 0 is never
	expired      observation // the last that has left the window
	observations fifo[observation]
	peak         float64
}

// observation is both integrals at one moment.
type observation struct {
	at       time.Duration
	sent     time.Duration // before what came at this moment
	possible rateIntegral  // from this moment on
}

func (p *pressure) begin(spec Spec, now, sent time.Duration, possible *rateIntegral) {
	p.end()
	p.active = spec.CollapseWindow > 0
	p.window, p.multiple = spec.CollapseWindow, spec.CollapseMultiple
	p.expired = observation{now, sent, *possible}
}

func (p *pressure) end() {
	p.active = false
	p.observations.clear()
}

// next is when the oldest observation leaves the window.
func (p *pressure) next() time.Duration {
	if p.observations.len() == 0 {
		return Never
	}
	return p.observations.front().at + p.window
}

// record adds an observation: an arrival, before which sent was before, or a change of capacity. It reports whether the
// limit is exceeded.
func (p *pressure) record(now, before, sent time.Duration, possible *rateIntegral) bool {
	if !p.active {
		return false
	}
	p.observations.push(observation{now, before, *possible})
	return p.exceeded(now, sent, possible)
}

// expire removes the oldest observation. It reports whether the limit was exceeded in the window up to then.
func (p *pressure) expire(sent time.Duration, possible *rateIntegral) bool {
	now := p.next()
	exceeded := p.exceeded(now, sent, possible)
	p.expired = p.observations.pop()
	return exceeded
}

// exceeded compares the window that ends now; the oldest observation counts as within.
func (p *pressure) exceeded(now, sent time.Duration, possible *rateIntegral) bool {
	work := float64(sent - p.observations.front().sent)
	possibleWork := possible.at(now) - p.expired.possible.at(now-p.window)
	if work <= 0 {
		return false
	}
	if possibleWork > 0 {
		p.peak = max(p.peak, work/possibleWork)
	}
	return p.multiple > 0 && work > p.multiple*possibleWork
}
