package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the search for slow periods and of the warm-up.
const (
	maxSlowPeriods    = 6    // at all endpoints, and at each
	minSlowScore      = 25.0 // log-likelihood ratio: speeds vary a little in ways that no distribution here has
	minSlowFactor     = 1.15 // a smaller factor is ignored
	initialBoundStep  = 0.4  // seconds, of the first steps of a period's bounds
	minWarmupAttempts = 30   // attempts during warm-ups, for an estimate
	minSlowPeriod     = 150 * time.Millisecond
	warmupRounds      = 4
	warmupPriorSigma  = 0.5 // standard deviation of the logarithm of the settings' warm-up values around the truth
)

var slowFactors = []float64{1.2, 1.4, 1.7, 2, 2.5, 3.2, 4.5, 7}

// findFaults finds the slow periods of all endpoints together, then those of each, and then the partial faults: slowness
// must not be taken for missing responses.
func (m *fittedModel) findFaults(v *history) {
	m.slowPeriods = nil
	for h := -1; h < len(v.endpoints); h++ {
		m.findSlowPeriods(v, h)
	}
	m.findPartialFaults(v)
}

// findSlowPeriods finds the slow periods of an endpoint, or of all (-1).
func (m *fittedModel) findSlowPeriods(v *history, endpointIndex int) {
	for range maxSlowPeriods {
		var all []workPiece
		for h := range v.endpoints {
			if endpointIndex < 0 || endpointIndex == h {
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
			if endpointIndex < 0 && !m.warmup.known && m.wasWarmingUp(v, a) {
				continue
			}
			if endpointIndex >= 0 && p.censored { // nor missing responses for slowness
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
		s := slowPeriod{endpoint: endpointIndex, from: middle(all[best.from]), to: middle(all[best.to-1]), factor: factor}
		m.slowPeriods = append(m.slowPeriods, s)
		if m.refineSlowPeriod(v, len(m.slowPeriods)-1); m.slowPeriods[len(m.slowPeriods)-1].factor < minSlowFactor {
			m.slowPeriods = m.slowPeriods[:len(m.slowPeriods)-1]
			return
		}
		if endpointIndex < 0 {
			m.fitDistributions(v, 2)
		}
	}
}

// wasWarmingUp reports whether an attempt was at an endpoint that may have been warming up.
func (m *fittedModel) wasWarmingUp(v *history, a *attempt) bool {
	return slices.ContainsFunc(v.endpoints[a.endpoint].starts, func(at time.Duration) bool {
		return a.ended > at && a.started < at+max(m.warmup.duration, v.settings.WarmupDuration)
	})
}

// refineSlowPeriod fits a slow period's bounds and factor.
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

// fitWarmup fits the warm-up, if there are enough attempts during warm-ups.
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
		sum := -priorPenalty(from, v.settings.WarmupInitialShare) - priorPenalty(takes, v.settings.WarmupDuration.Seconds())
		for _, h := range of {
			sum += m.likelihood(v, h)
		}
		return sum
	}
	coordinateAscent(high, []parameter{{&from, minInitialShare, 1, 0.1}, {&takes, 0.2, 60, 2}}, warmupRounds, 60)
	high()
	m.warmup.known = true
}

// priorPenalty is the negative log-density of a value given that of the settings: a few attempts alone would fit anything.
func priorPenalty(value, configured float64) float64 {
	if configured <= 0 {
		return 0
	}
	z := math.Log(value/configured) / warmupPriorSigma
	return z * z / 2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
