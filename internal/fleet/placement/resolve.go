package placement

import (
	"math"
	"slices"
	"time"
)

// resolve solves a table again where an input has shifted significantly, or its inputs are due for a refresh.
func (s *service) resolve(now, target time.Duration, t *table) {
	if t.solved && now-t.solvedAt < solveGap {
		return
	}
	p := s.problem(now, target, t)
	if t.solved && now-t.solvedAt < delayRefresh && !p.shifted(&t.from) {
		t.solvedAt = now - solveGap/2 // looked at again soon
		return
	}
	solved := p.solve(t.rows)
	t.rows, t.before, t.after = solved.rows, solved.before, solved.after
	t.from, t.solved, t.solvedAt = p, true, now
}

// problem gathers what a table is solved from. An endpoint without calls begins at the mean of the others.
func (s *service) problem(now, target time.Duration, t *table) problem {
	p := problem{target: target.Seconds()}
	own := 0.0
	for k := range t.calls {
		p.rates[k] = t.calls[k].now(now)
		own += p.rates[k]
	}
	var pooled delayModel
	for _, e := range s.endpoints {
		pooled.add(&e.model, 1/float64(len(s.endpoints)))
	}
	prior := pooled.fit(fit{base: priorDelay, spread: priorSpread})
	total := 0.0
	for _, e := range s.endpoints {
		p.fits = append(p.fits, e.model.fit(fit{base: prior.base, spread: prior.spread}))
		p.fails = append(p.fails, max(e.fails, e.evidence.share(now, s.callRate)))
		total += e.rate.now(now)
	}
	for _, e := range s.endpoints {
		beside := 0.0
		if total > own && total > 0 {
			beside = e.rate.rate * (total - own) / total
		}
		p.other = append(p.other, beside)
	}
	return p
}

// shifted tells whether an input differs significantly from that of a former problem.
func (p *problem) shifted(former *problem) bool {
	if len(p.fits) != len(former.fits) {
		return true
	}
	for e := range p.fits {
		was, is := former.fits[e], p.fits[e]
		if math.Abs(is.base-was.base) > shiftFit*was.base+0.01 || math.Abs(p.fails[e]-former.fails[e]) > shiftFail {
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
			v := TableView{Service: name, TargetMs: target.Milliseconds(), PayoffBefore: t.before, PayoffAfter: t.after}
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
