package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// minLogLikelihood bounds the log-likelihood of one attempt, which must not outweigh all others.
const minLogLikelihood = -20.0

// workPiece is the work that an endpoint did for an attempt, if it shares its cores evenly among those in its slots.
type workPiece struct {
	attempt  int     // index into the history's
	work     float64 // seconds of a standard core, up to its end
	rate     float64 // of its progress at its end: a core's speed times its share of one
	censored bool    // it was aborted before it was done
}

// attemptEdge is the start or the end of an attempt, by its index among its endpoint's.
type attemptEdge struct {
	at      time.Duration
	attempt int
	ends    bool
}

// edges returns the edges of the attempts that an endpoint worked on. They are cached until invalidateEdges.
func (v *history) edges(endpointIndex int) []attemptEdge {
	e := &v.endpoints[endpointIndex]
	if e.edges != nil {
		return e.edges
	}
	of := v.attemptsOf(endpointIndex)
	e.edges = make([]attemptEdge, 0, 2*len(of))
	for i := range of {
		if a := &of[i]; !a.lost && wasAccepted(a.status) && a.ended > a.started {
			e.edges = append(e.edges, attemptEdge{a.started, i, false}, attemptEdge{a.ended, i, true})
		}
	}
	slices.SortFunc(e.edges, func(a, b attemptEdge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.attempt, b.attempt)) })
	return e.edges
}

// invalidateEdges has to be called when other attempts of an endpoint count as lost than before.
func (v *history) invalidateEdges(endpointIndex int) { v.endpoints[endpointIndex].edges = nil }

// pieces reconstructs an endpoint's work: the starts and ends of its attempts are recorded, and so which of them shared its
// cores. Each attempt with a response then shows its work, and each other one a lower bound of it.
func (m *fittedModel) pieces(v *history, endpointIndex int, out []workPiece) []workPiece {
	first := v.endpoints[endpointIndex].firstAttempt
	of := v.attemptsOf(endpointIndex)
	const waits = -1
	begun := make([]float64, len(of)) // attained service of all when it started to run, or waits
	var queue []int
	p, hint := m.capacityOf(v, endpointIndex), 0
	gained, last, running := 0.0, 0.0, 0
	for _, e := range v.edges(endpointIndex) {
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

// coreShare is the share of a core that each of n running requests has.
func (m *fittedModel) coreShare(n int) float64 {
	return float64(min(m.cores, max(n, 1))) / float64(max(n, 1))
}

// wasAccepted reports whether the endpoint accepted the request.
func wasAccepted(s balance.Status) bool {
	return s != balance.ConnectFailed && s != balance.Rejected && s != balance.NotSent
}

// likelihood is the log-likelihood of the times at which an endpoint's attempts ended: that of their work, times its rate
// of progress then. Without that factor, times would be likelier with fewer cores, as all work would come out smaller.
func (m *fittedModel) likelihood(v *history, endpointIndex int) float64 {
	sum := 0.0
	for _, p := range m.pieces(v, endpointIndex, nil) {
		l, _, _ := m.distributions[v.attempts[p.attempt].class].score(p.work, p.censored)
		if sum += max(l, minLogLikelihood); !p.censored {
			sum += math.Log(p.rate)
		}
	}
	return sum
}

// totalLikelihood is the log-likelihood of one endpoint, or of all (-1).
func (m *fittedModel) totalLikelihood(v *history, endpointIndex int) float64 {
	if endpointIndex >= 0 {
		return m.likelihood(v, endpointIndex)
	}
	sum := 0.0
	for endpointIndex := range v.endpoints {
		sum += m.likelihood(v, endpointIndex)
	}
	return sum
}

// fitDistributions fits each class's distribution of work with the present capacities, and then the endpoints' speeds.
func (m *fittedModel) fitDistributions(v *history, rounds int) {
	for range rounds {
		by := make([][]workPiece, len(m.distributions))
		for endpointIndex := range v.endpoints {
			for _, p := range m.pieces(v, endpointIndex, nil) {
				// The work of a request is correlated between its two attempts: only the one with the response may count.
				if a := &v.attempts[p.attempt]; !a.lostRace {
					by[a.class] = append(by[a.class], p)
				}
			}
		}
		for c := range m.distributions {
			m.distributions[c].fit(by[c])
		}
		for endpointIndex := range v.endpoints {
			slope, info := 0.0, 1.0 // a prior of one observation for no change
			for _, p := range m.pieces(v, endpointIndex, nil) {
				_, s, i := m.distributions[v.attempts[p.attempt].class].score(p.work, p.censored)
				slope, info = slope+s, info+i
			}
			m.speeds[endpointIndex] *= math.Exp(min(max(slope/info, -0.5), 0.5))
		}
		m.normalise()
	}
}

// normalise scales the mean speed to 1, and work with it: only their ratios show.
func (m *fittedModel) normalise() {
	mean := 0.0
	for _, s := range m.speeds {
		mean += s / float64(len(m.speeds))
	}
	for endpointIndex := range m.speeds {
		m.speeds[endpointIndex] /= mean
	}
	for c := range m.distributions {
		m.distributions[c].mean /= mean
		m.distributions[c].mu -= math.Log(mean)
	}
}
