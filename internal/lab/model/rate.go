package model

import (
	"math"
	"time"
)

// meter integrates a rate that is constant between changes. Reading it leaves it as it is, to the last bit,
// and it adds up only where the rate changes, which keeps rounding rare.
type meter struct {
	since time.Duration
	total float64 // up to since
	rate  float64
}

// read is the integral up to now. The conversion keeps the product from being fused with the sum, which some
// processors would and others would not.
func (m *meter) read(now time.Duration) float64 {
	return m.total + float64(m.rate*float64(now-m.since))
}

func (m *meter) set(now time.Duration, rate float64) {
	if rate != m.rate {
		m.total, m.since, m.rate = m.read(now), now, rate
	}
}

// virtual is the work, in ns on the standard core, that a job would have got that has run since the server was
// last idle. The running jobs share the cores evenly, so that all gain the same at any moment: a job ends when
// this reaches what it was at its start plus its work, and the order of ends changes with arrivals alone.
type virtual struct {
	meter
	due time.Duration // when the first of the running jobs ends
}

// reach is the end of a segment: times are whole ns and virtual work is not, so the two are brought together.
func (v *virtual) reach(now time.Duration, end float64) {
	v.total, v.since = max(v.read(now), end), now
}

// idle starts it again from 0, where floating point is finest.
func (v *virtual) idle(now time.Duration) {
	v.meter = meter{since: now}
	v.due = Never
}

// aim finds the time at which it will be end, rounded up to a whole ns.
func (v *virtual) aim(now time.Duration, end float64) {
	v.due = Never
	if v.rate <= 0 {
		return
	}
	wait := math.Ceil((end - v.total) / v.rate)
	if wait < float64(Never-v.since) {
		v.due = max(now, v.since+time.Duration(wait))
	}
}

// settle sets the rates anew after a change.
func (s *Server) settle() {
	s.could.set(s.now, s.able())
	n := len(s.running)
	if n == 0 {
		s.virtual.idle(s.now)
	} else {
		s.virtual.set(s.now, s.rate(n))
		s.virtual.aim(s.now, s.running[0].end)
	}
	if s.warmth.cold() {
		s.warmth.pace(s.now, s.busy(n))
	}
}

// able is what it can do but for crowding, connections and pauses, in standard cores: the capacity that its
// pressure is held against. What callers make worse by sending too much is left out of that, as it would
// count twice.
func (s *Server) able() float64 {
	if s.phase() != Up {
		return 0
	}
	return float64(s.spec.Cores) * s.spec.Speed * s.warmth.share / s.faults.slow
}

// efficiency is the share of that which is left, with what it holds and the connections it has.
func (s *Server) efficiency() float64 {
	e := 1.0
	if at, held := s.spec.CrowdAt, s.inWork+s.waiting.n; at > 0 && held > at {
		e /= 1 + s.spec.CrowdLoss*float64(held-at)/float64(at)
	}
	if s.spec.Connections > 0 {
		e *= 1 - s.spec.TableTax*float64(s.conns)/float64(s.spec.Connections)
	}
	return e
}

// rate is that of each of n running jobs, in standard cores.
func (s *Server) rate(n int) float64 {
	if s.pauses.paused {
		return 0
	}
	return s.able() * s.efficiency() / float64(max(n, s.spec.Cores))
}

// busy is the cores at work with n running jobs.
func (s *Server) busy(n int) int {
	if s.pauses.paused {
		return 0
	}
	return min(n, s.spec.Cores)
}

// attained is the work done on a running job's present segment.
func (s *Server) attained(j *job) time.Duration {
	work := j.work()
	left := j.end - s.virtual.read(s.now)
	return min(max(work-time.Duration(math.Ceil(left)), 0), work)
}
