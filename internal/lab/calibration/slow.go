package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tunables of slowness.
const (
	maxSlowPeriods    = 6    // at all hosts, and at one
	minSlowScore      = 25.0 // log-likelihood ratio: hosts' speeds wander a little in ways that no law here knows
	minSlowFactor     = 1.15 // a smaller factor is not worth a fault
	initialBoundStep  = 0.4  // seconds: by so much the ends of a slow time are moved at first
	minWarmupAttempts = 30   // attempts at cold hosts that tell how those warm up
	minSlowPeriod     = 150 * time.Millisecond
	warmupRounds      = 4
	warmupPriorSigma  = 0.5 // standard deviation of the logarithms of what the settings say of cold hosts, against the truth
)

var slowFactors = []float64{1.2, 1.4, 1.7, 2, 2.5, 3.2, 4.5, 7}

// findFaults finds the times in which work took longer at all hosts, then those of each host, and then what hosts
// did not answer: slowness must not pass for silence.
func (m *fittedModel) findFaults(v *history) {
	m.slowPeriods = nil
	for h := -1; h < len(v.endpoints); h++ {
		m.findSlowPeriods(v, h)
	}
	m.findPartialFaults(v)
}

// findSlowPeriods finds those of a host, or of all.
func (m *fittedModel) findSlowPeriods(v *history, host int) {
	for range maxSlowPeriods {
		var all []workPiece
		for h := range v.endpoints {
			if host < 0 || host == h {
				all = m.pieces(v, h, all)
			}
		}
		middle := func(p workPiece) time.Duration {
			return (v.attempts[p.attempt].started + v.attempts[p.attempt].ended) / 2
		}
		slices.SortFunc(all, func(a, b workPiece) int {
			return cmp.Or(cmp.Compare(middle(a), middle(b)), cmp.Compare(a.attempt, b.attempt))
		})
		slopes, infos := make([]float64, len(all)), make([]float64, len(all))
		for i, p := range all {
			a := &v.attempts[p.attempt]
			if host < 0 && !m.warmup.known && m.wasWarmingUp(v, a) {
				continue
			}
			if host >= 0 && p.censored { // silence must not pass for slowness either
				continue
			}
			_, slopes[i], infos[i] = m.distributions[a.class].score(p.work, p.censored)
		}
		best, factor := segment{}, 1.0
		scores := make([]float64, len(all))
		for _, f := range slowFactors {
			less := math.Log(f)
			for i := range scores {
				scores[i] = -slopes[i]*less - infos[i]*less*less/2
			}
			if r := maxScoringSegment(scores); r.score > best.score {
				best, factor = r, f
			}
		}
		if best.score < minSlowScore {
			return
		}
		s := slowPeriod{endpoint: host, from: middle(all[best.from]), to: middle(all[best.to-1]), factor: factor}
		m.slowPeriods = append(m.slowPeriods, s)
		if m.refineSlowPeriod(v, len(m.slowPeriods)-1); m.slowPeriods[len(m.slowPeriods)-1].factor < minSlowFactor {
			m.slowPeriods = m.slowPeriods[:len(m.slowPeriods)-1]
			return
		}
		if host < 0 {
			m.fitDistributions(v, 2)
		}
	}
}

// warming tells whether an attempt was at a host that may still have been cold.
func (m *fittedModel) wasWarmingUp(v *history, a *attempt) bool {
	return slices.ContainsFunc(v.endpoints[a.endpoint].starts, func(at time.Duration) bool {
		return a.ended > at && a.started < at+max(m.warmup.duration, v.settings.ColdFor)
	})
}

// refineSlowPeriod moves a slow time's ends and factor to where they are likeliest.
func (m *fittedModel) refineSlowPeriod(v *history, i int) {
	s := &m.slowPeriods[i]
	from, to, factor := s.from.Seconds(), s.to.Seconds(), math.Log(s.factor)
	end := v.end.Seconds()
	high := func() float64 {
		s.from, s.to, s.factor = seconds(from), seconds(to), math.Exp(factor)
		if s.to < s.from+minSlowPeriod {
			return math.Inf(-1)
		}
		return m.totalLikelihood(v, s.endpoint)
	}
	coordinateAscent(high, []parameter{{&factor, 0, 3, 0.1}, {&from, 0, end, initialBoundStep}, {&to, 0, end, initialBoundStep}}, 5, 60)
	high()
}

// fitWarmup finds how hosts warm up, if enough was sent to cold ones.
func (m *fittedModel) fitWarmup(v *history) {
	n := 0
	var of []int
	for h := range v.endpoints {
		if len(v.endpoints[h].starts) == 0 {
			continue
		}
		of = append(of, h)
		for _, p := range m.pieces(v, h, nil) {
			n += boolToInt(m.wasWarmingUp(v, &v.attempts[p.attempt]) && !p.censored)
		}
	}
	if n < minWarmupAttempts {
		return
	}
	from, takes := m.warmup.initialShare, m.warmup.duration.Seconds()
	high := func() float64 {
		m.warmup.initialShare, m.warmup.duration = from, seconds(takes)
		sum := -priorPenalty(from, v.settings.ColdShare) - priorPenalty(takes, v.settings.ColdFor.Seconds())
		for _, h := range of {
			sum += m.likelihood(v, h)
		}
		return sum
	}
	coordinateAscent(high, []parameter{{&from, minInitialShare, 1, 0.1}, {&takes, 0.2, 60, 2}}, warmupRounds, 60)
	high()
	m.warmup.known = true
}

// doubt is how unlikely a value is that the settings put at another: a few attempts alone would say anything.
func priorPenalty(value, said float64) float64 {
	if said <= 0 {
		return 0
	}
	z := math.Log(value/said) / warmupPriorSigma
	return z * z / 2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
