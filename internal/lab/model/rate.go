package model

import (
	"math"
	"time"
)

// meter integrates a rate that is constant between changes. Reading it leaves it as it is, to the last bit,
// and it adds up only where the rate changes, which keeps rounding rare.
type rateIntegral struct {
	since time.Duration
	total float64 // up to since
	rate  float64
}

// read is the integral up to now. The conversion keeps the product from being fused with the sum, which some
// processors would and others would not.
func (m *rateIntegral) at(now time.Duration) float64 {
	return m.total + float64(m.rate*float64(now-m.since))
}

func (m *rateIntegral) setRate(now time.Duration, rate float64) {
	if rate != m.rate {
		m.total, m.since, m.rate = m.at(now), now, rate
	}
}

// virtual is the work, in ns on the standard core, that a job would have got that has run since the server was
// last idle. The running jobs share the cores evenly, so that all gain the same at any moment: a job ends when
// this reaches what it was at its start plus its work, and the order of ends changes with arrivals alone.
type virtualClock struct {
	rateIntegral
	nextEnd time.Duration // when the first of the running jobs ends
}

// reach is the end of a segment: times are whole ns and virtual work is not, so the two are brought together.
func (v *virtualClock) reach(now time.Duration, end float64) {
	v.total, v.since = max(v.at(now), end), now
}

// idle starts it again from 0, where floating point is finest.
func (v *virtualClock) idle(now time.Duration) {
	v.rateIntegral = rateIntegral{since: now}
	v.nextEnd = Never
}

// aim finds the time at which it will be end, rounded up to a whole ns.
func (v *virtualClock) schedule(now time.Duration, end float64) {
	v.nextEnd = Never
	if v.rate <= 0 {
		return
	}
	wait := math.Ceil((end - v.total) / v.rate)
	if wait < float64(Never-v.since) {
		v.nextEnd = max(now, v.since+time.Duration(wait))
	}
}

// settle sets the rates anew after a change.
func (s *Endpoint) updateRates() {
	s.possibleWork.setRate(s.now, s.nominalCapacity())
	n := len(s.running)
	if n == 0 {
		s.virtualWork.idle(s.now)
	} else {
		s.virtualWork.setRate(s.now, s.jobRate(n))
		s.virtualWork.schedule(s.now, s.running[0].end)
	}
	if s.warmup.inProgress() {
		s.warmup.setSpeed(s.now, s.busyCores(n))
	}
}

// able is what it can do but for crowding, connections and pauses, in standard cores: the capacity that its
// pressure is held against. What callers make worse by sending too much is left out of that, as it would
// count twice.
func (s *Endpoint) nominalCapacity() float64 {
	if s.currentPhase() != Up {
		return 0
	}
	return float64(s.spec.Cores) * s.spec.Speed * s.warmup.share / s.faults.slowFactor
}

// efficiency is the share of that which is left, with what it holds and the connections it has.
func (s *Endpoint) efficiency() float64 {
	e := 1.0
	if at, held := s.spec.OverloadAt, s.usedSlots+s.queue.n; at > 0 && held > at {
		e /= 1 + s.spec.OverloadLoss*float64(held-at)/float64(at)
	}
	if s.spec.MaxConnections > 0 {
		e *= 1 - s.spec.ConnectionTableLoss*float64(s.connections)/float64(s.spec.MaxConnections)
	}
	return e
}

// rate is that of each of n running jobs, in standard cores.
func (s *Endpoint) jobRate(n int) float64 {
	if s.pauses.paused {
		return 0
	}
	return s.nominalCapacity() * s.efficiency() / float64(max(n, s.spec.Cores))
}

// busy is the cores at work with n running jobs.
func (s *Endpoint) busyCores(n int) int {
	if s.pauses.paused {
		return 0
	}
	return min(n, s.spec.Cores)
}

// attained is the work done on a running job's present segment.
func (s *Endpoint) attainedWork(j *job) time.Duration {
	work := j.work()
	left := j.endsAt - s.virtualWork.at(s.now)
	return min(max(work-time.Duration(math.Ceil(left)), 0), work)
}
