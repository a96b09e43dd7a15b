package placement

import (
	"math"
	"slices"
	"time"
)

// table holds the rows of one service and target latency.
type table struct {
	rows          rows
	calls         [bucketCount]rateMeter // rates of this router's calls
	solved        bool
	solvedAt      time.Duration
	solvedProblem problem

	payoffBefore, payoffAfter float64 // of the last solve
}

// remap adapts the rows to a new list of endpoints. Endpoints in both lists keep their shares, a new endpoint starts with an
// even share, and each row is then scaled to sum to one.
func (t *table) remap(previous, list []*Endpoint) {
	next := evenRows(len(list))
	for k := range next {
		sum := 0.0
		for i, e := range list {
			if at := slices.Index(previous, e); at >= 0 {
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

// refresh solves a table again if an input has changed significantly or the last solve is older than maxSolveInterval, but
// not more often than every minSolveInterval.
func (s *service) refresh(now, target time.Duration, t *table) {
	if t.solved && now-t.solvedAt < minSolveInterval {
		return
	}
	p := s.newProblem(now, target, t)
	if t.solved && now-t.solvedAt < maxSolveInterval && !p.changedSince(&t.solvedProblem) {
		t.solvedAt = now - minSolveInterval/2 // check again after half of minSolveInterval
		return
	}
	solved := p.solve(t.rows)
	t.rows, t.payoffBefore, t.payoffAfter = solved.rows, solved.before, solved.after
	t.solvedProblem, t.solved, t.solvedAt = p, true, now
}

// newProblem collects the inputs for solving a table. The delay of an endpoint without calls is assumed to be the
// mean of all endpoints.
func (s *service) newProblem(now, target time.Duration, t *table) problem {
	p := problem{target: target.Seconds()}
	tableRate := 0.0
	for k := range t.calls {
		p.rates[k] = t.calls[k].now(now)
		tableRate += p.rates[k]
	}
	var pooled delayModel
	for _, e := range s.endpoints {
		pooled.add(&e.delay, 1/float64(len(s.endpoints)))
	}
	prior := pooled.fit(delayFit{base: priorDelay, deviation: priorDeviation})
	totalRate := 0.0
	for _, e := range s.endpoints {
		p.delays = append(p.delays, e.delay.fit(delayFit{base: prior.base, deviation: prior.deviation}))
		p.failureShares = append(p.failureShares, max(e.failureShare, e.faults.share(now, s.callRate)))
		totalRate += e.sendRate.now(now)
	}
	for _, e := range s.endpoints {
		otherRate := 0.0
		if totalRate > tableRate && totalRate > 0 {
			otherRate = e.sendRate.rate * (totalRate - tableRate) / totalRate
		}
		p.otherRates = append(p.otherRates, otherRate)
	}
	return p
}

// changedSince reports whether an input differs significantly from that of a previous problem.
func (p *problem) changedSince(previous *problem) bool {
	if len(p.delays) != len(previous.delays) {
		return true
	}
	for e := range p.delays {
		previousFit, fit := previous.delays[e], p.delays[e]
		if math.Abs(fit.base-previousFit.base) > significantDelayChange*previousFit.base+minDelayChange {
			return true
		}
		if math.Abs(p.failureShares[e]-previous.failureShares[e]) > significantFailureChange {
			return true
		}
	}
	return false
}
