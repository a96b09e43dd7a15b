package placement

import (
	"math"
	"slices"
	"time"
)

// table is the rows of one service and target latency.
type table struct {
	rows       rows
	calls      [bucketCount]rateMeter // of this router
	solved     bool
	solvedAt   time.Duration
	solvedFrom problem

	payoffBefore, payoffAfter float64 // of the last solve
}

// remap adapts the rows to a new endpoint list. Shares move with their endpoints; a new endpoint starts at an even share.
func (t *table) remap(former, list []*Endpoint) {
	next := evenRows(len(list))
	for k := range next {
		sum := 0.0
		for i, e := range list {
			if at := slices.Index(former, e); at >= 0 {
				next[k][i] = t.rows[k][at]
			}
			sum += next[k][i]
		}
		for i := range next[k] {
			next[k][i] /= sum
		}
	}
	t.rows = next
	t.solved = false
}

// refresh solves a table again where an input has changed significantly, or maxSolveInterval after the last time.
func (s *service) refresh(now, target time.Duration, t *table) {
	if t.solved && now-t.solvedAt < minSolveInterval {
		return
	}
	p := s.newProblem(now, target, t)
	if t.solved && now-t.solvedAt < maxSolveInterval && !p.changedSince(&t.solvedFrom) {
		t.solvedAt = now - minSolveInterval/2 // compared again soon
		return
	}
	solved := p.solve(t.rows)
	t.rows, t.payoffBefore, t.payoffAfter = solved.rows, solved.before, solved.after
	t.solvedFrom, t.solved, t.solvedAt = p, true, now
}

// newProblem gathers what a table is solved from. An endpoint without calls starts at the mean of the others.
func (s *service) newProblem(now, target time.Duration, t *table) problem {
	p := problem{target: target.Seconds()}
	own := 0.0
	for k := range t.calls {
		p.rates[k] = t.calls[k].now(now)
		own += p.rates[k]
	}
	var pooled delayModel
	for _, e := range s.endpoints {
		pooled.add(&e.delay, 1/float64(len(s.endpoints)))
	}
	prior := pooled.fit(delayFit{base: priorDelay, deviation: priorDeviation})
	total := 0.0
	for _, e := range s.endpoints {
		p.delays = append(p.delays, e.delay.fit(delayFit{base: prior.base, deviation: prior.deviation}))
		p.failureShares = append(p.failureShares, max(e.failureShare, e.faults.share(now, s.callRate)))
		total += e.sendRate.now(now)
	}
	for _, e := range s.endpoints {
		other := 0.0
		if total > own && total > 0 {
			other = e.sendRate.rate * (total - own) / total
		}
		p.otherRates = append(p.otherRates, other)
	}
	return p
}

// changedSince reports whether an input differs significantly from that of a former problem.
func (p *problem) changedSince(former *problem) bool {
	if len(p.delays) != len(former.delays) {
		return true
	}
	for e := range p.delays {
		was, is := former.delays[e], p.delays[e]
		if math.Abs(is.base-was.base) > significantDelayChange*was.base+minDelayChange {
			return true
		}
		if math.Abs(p.failureShares[e]-former.failureShares[e]) > significantFailureChange {
			return true
		}
	}
	return false
}
