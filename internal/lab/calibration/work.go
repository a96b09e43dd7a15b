package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// minLogLikelihood is a logarithm: one attempt that is beyond all laws must not outweigh all others.
const minLogLikelihood = -20.0

// piece is the work that a host did for an attempt, if it shares its cores evenly among those in its slots.
type workPiece struct {
	attempt  int     // index into the view's
	work     float64 // seconds of a standard core, as far as it got
	rate     float64 // at which it got on at its end: of a core, and its part of one
	censored bool    // it was given up before it was done
}

// edge is the beginning or the end of an attempt, the ith of its host.
type attemptEdge struct {
	at      time.Duration
	attempt int
	ends    bool
}

// edges are those of a host's attempts that took part in its work. They are kept until reconsider.
func (v *history) edges(host int) []attemptEdge {
	h := &v.endpoints[host]
	if h.edges != nil {
		return h.edges
	}
	of := v.attemptsOf(host)
	h.edges = make([]attemptEdge, 0, 2*len(of))
	for i := range of {
		if a := &of[i]; !a.lost && wasAccepted(a.status) && a.ended > a.started {
			h.edges = append(h.edges, attemptEdge{a.started, i, false}, attemptEdge{a.ended, i, true})
		}
	}
	slices.SortFunc(h.edges, func(a, b attemptEdge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.attempt, b.attempt)) })
	return h.edges
}

// reconsider is to be called when other attempts of a host count as lost than before.
func (v *history) invalidateEdges(host int) { v.endpoints[host].edges = nil }

// pieces replays a host: what it was sent and what it let go is on record, and so is therefore who shared its
// cores with whom. Each answered attempt then shows its work, and each other one how much it had at least.
func (m *fittedModel) pieces(v *history, host int, out []workPiece) []workPiece {
	first := v.endpoints[host].firstAttempt
	of := v.attemptsOf(host)
	const waits = -1
	begun := make([]float64, len(of)) // gained when it began to run, or waits
	var queue []int
	p, hint := m.capacityOf(v, host), 0
	gained, last, running := 0.0, 0.0, 0
	for _, e := range v.edges(host) {
		sum, rate := p.at(e.at, &hint)
		gained += (sum - last) * m.coreShare(running)
		last = sum
		if !e.ends {
			if running < m.slots {
				running++
				begun[e.attempt] = gained
			} else {
				begun[e.attempt] = waits
				queue = append(queue, e.attempt)
			}
			continue
		}
		a := &of[e.attempt]
		if begun[e.attempt] == waits {
			queue = slices.DeleteFunc(queue, func(i int) bool { return i == e.attempt })
			continue
		}
		rate *= m.coreShare(running)
		running--
		if a.status == balance.OK || a.status == balance.Timeout || a.status == balance.Cancelled || a.status == balance.Reset {
			out = append(out, workPiece{attempt: first + e.attempt, work: gained - begun[e.attempt], rate: rate, censored: a.status != balance.OK})
		}
		if len(queue) > 0 {
			begun[queue[0]] = gained
			queue = queue[1:]
			running++
		}
	}
	return out
}

// part is that of a core which each of n running requests has.
func (m *fittedModel) coreShare(n int) float64 {
	return float64(min(m.cores, max(n, 1))) / float64(max(n, 1))
}

// took tells whether the host took the request.
func wasAccepted(s balance.Status) bool {
	return s != balance.ConnectFailed && s != balance.Full && s != balance.Moot
}

// likelihood of when a host's attempts ended: that of the works by then, times how fast these grew. Without the
// latter, times would be likelier the fewer cores a host is said to have, as all works come out smaller.
func (m *fittedModel) likelihood(v *history, host int) float64 {
	sum := 0.0
	for _, p := range m.pieces(v, host, nil) {
		l, _, _ := m.distributions[v.attempts[p.attempt].class].score(p.work, p.censored)
		if sum += max(l, minLogLikelihood); !p.censored {
			sum += math.Log(p.rate)
		}
	}
	return sum
}

// likelihoods is that of all hosts, or of one.
func (m *fittedModel) totalLikelihood(v *history, host int) float64 {
	if host >= 0 {
		return m.likelihood(v, host)
	}
	sum := 0.0
	for h := range v.endpoints {
		sum += m.likelihood(v, h)
	}
	return sum
}

// fitDistributions finds how each class's work spreads, the hosts' capacities being as they are, and then the hosts' speeds.
func (m *fittedModel) fitDistributions(v *history, rounds int) {
	for range rounds {
		by := make([][]workPiece, len(m.distributions))
		for h := range v.endpoints {
			for _, p := range m.pieces(v, h, nil) {
				// How long a request would have taken at the host that was beaten hangs together with how long it
				// took at the other: only one of the two may count.
				if a := &v.attempts[p.attempt]; !a.lostRace {
					by[a.class] = append(by[a.class], p)
				}
			}
		}
		for c := range m.distributions {
			m.distributions[c].fit(by[c])
		}
		for h := range v.endpoints {
			slope, info := 0.0, 1.0 // one observation's worth for staying
			for _, p := range m.pieces(v, h, nil) {
				_, s, i := m.distributions[v.attempts[p.attempt].class].score(p.work, p.censored)
				slope, info = slope+s, info+i
			}
			m.speeds[h] *= math.Exp(min(max(slope/info, -0.5), 0.5))
		}
		m.normalise()
	}
}

// normalise has the mean speed be 1 and the works go with it: only their ratios show.
func (m *fittedModel) normalise() {
	mean := 0.0
	for _, s := range m.speeds {
		mean += s / float64(len(m.speeds))
	}
	for h := range m.speeds {
		m.speeds[h] /= mean
	}
	for c := range m.distributions {
		m.distributions[c].mean /= mean
		m.distributions[c].mu -= math.Log(mean)
	}
}
