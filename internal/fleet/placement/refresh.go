package placement

import (
	"math"
	"slices"
	"time"
)

// resolve solves a table again where an input has shifted significantly, or its inputs are due for a refresh.
func (s *service) refresh(now, target time.Duration, t *table) {
	if t.solved && now-t.solvedAt < minSolveInterval {
		return
	}
	p := s.newProblem(now, target, t)
	if t.solved && now-t.solvedAt < maxSolveInterval && !p.changedSince(&t.solvedFrom) {
		t.solvedAt = now - minSolveInterval/2 // looked at again soon
		return
	}
	solved := p.solve(t.rows)
	t.rows, t.payoffBefore, t.payoffAfter = solved.rows, solved.before, solved.after
	t.solvedFrom, t.solved, t.solvedAt = p, true, now
}

// problem gathers what a table is solved from. An endpoint without calls begins at the mean of the others.
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
	prior := pooled.fit(delayFit{base: priorDelay, spread: priorSpread})
	total := 0.0
	for _, e := range s.endpoints {
		p.delays = append(p.delays, e.delay.fit(delayFit{base: prior.base, spread: prior.spread}))
		p.failureShares = append(p.failureShares, max(e.failureShare, e.faults.share(now, s.callRate)))
		total += e.sendRate.now(now)
	}
	for _, e := range s.endpoints {
		beside := 0.0
		if total > own && total > 0 {
			beside = e.sendRate.rate * (total - own) / total
		}
		p.otherRates = append(p.otherRates, beside)
	}
	return p
}

// shifted tells whether an input differs significantly from that of a former problem.
func (p *problem) changedSince(former *problem) bool {
	if len(p.delays) != len(former.delays) {
		return true
	}
	for e := range p.delays {
		was, is := former.delays[e], p.delays[e]
		if math.Abs(is.base-was.base) > significantDelayChange*was.base+0.01 || math.Abs(p.failureShares[e]-former.failureShares[e]) > significantFailureChange {
			return true
		}
	}
	return false
}

// Share is one endpoint's share of a row.
type Share struct {
	Endpoint string  `json:"endpoint"`
	Share    float64 `json:"share"`
}

// TableView is a table as operators see it.
type TableView struct {
	Service      string               `json:"service"`
	TargetMs     int64                `json:"targetMs"`
	Rows         [bucketCount][]Share `json:"rows"`
	PayoffBefore float64              `json:"payoffBefore"` // the last solve
	PayoffAfter  float64              `json:"payoffAfter"`
}

// Tables shows all tables, ordered by service and target.
func (p *Placer) Tables() []TableView {
	var views []TableView
	for name, s := range p.services {
		for target, t := range s.tables {
			v := TableView{Service: name, TargetMs: target.Milliseconds(), PayoffBefore: t.payoffBefore, PayoffAfter: t.payoffAfter}
			for k, row := range t.rows {
				for i, share := range row {
					v.Rows[k] = append(v.Rows[k], Share{Endpoint: s.endpoints[i].ID, Share: share})
				}
			}
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b TableView) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		return int(a.TargetMs - b.TargetMs)
	})
	return views
}
