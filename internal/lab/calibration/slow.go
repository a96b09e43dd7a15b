package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tunables of slowness.
const (
	mostSlows  = 6    // at all hosts, and at one
	slowScore  = 25.0 // log-likelihood ratio: hosts' speeds wander a little in ways that no law here knows
	leastSlow  = 1.15 // a smaller factor is not worth a fault
	boundStep  = 0.4  // seconds: by so much the ends of a slow time are moved at first
	leastCold  = 30   // attempts at cold hosts that tell how those warm up
	shortest   = 150 * time.Millisecond
	coldRounds = 4
	coldDoubt  = 0.5 // standard deviation of the logarithms of what the settings say of cold hosts, against the truth
)

var slowFactors = []float64{1.2, 1.4, 1.7, 2, 2.5, 3.2, 4.5, 7}

// findFaults finds the times in which work took longer at all hosts, then those of each host, and then what hosts
// did not answer: slowness must not pass for silence.
func (m *servers) findFaults(v *view) {
	m.slows = nil
	for h := -1; h < len(v.hosts); h++ {
		m.slowsOf(v, h)
	}
	m.findShares(v)
}

// slowsOf finds those of a host, or of all.
func (m *servers) slowsOf(v *view, host int) {
	for range mostSlows {
		var all []piece
		for h := range v.hosts {
			if host < 0 || host == h {
				all = m.pieces(v, h, all)
			}
		}
		middle := func(p piece) time.Duration { return (v.attempts[p.attempt].began + v.attempts[p.attempt].ended) / 2 }
		slices.SortFunc(all, func(a, b piece) int {
			return cmp.Or(cmp.Compare(middle(a), middle(b)), cmp.Compare(a.attempt, b.attempt))
		})
		slopes, infos := make([]float64, len(all)), make([]float64, len(all))
		for i, p := range all {
			a := &v.attempts[p.attempt]
			if host < 0 && !m.cold.known && m.warming(v, a) {
				continue
			}
			if host >= 0 && p.censored { // silence must not pass for slowness either
				continue
			}
			_, slopes[i], infos[i] = m.laws[a.class].tells(p.work, p.censored)
		}
		best, factor := run{}, 1.0
		scores := make([]float64, len(all))
		for _, f := range slowFactors {
			less := math.Log(f)
			for i := range scores {
				scores[i] = -slopes[i]*less - infos[i]*less*less/2
			}
			if r := strongest(scores); r.score > best.score {
				best, factor = r, f
			}
		}
		if best.score < slowScore {
			return
		}
		s := slow{host: host, from: middle(all[best.from]), to: middle(all[best.to-1]), factor: factor}
		m.slows = append(m.slows, s)
		if m.refineSlow(v, len(m.slows)-1); m.slows[len(m.slows)-1].factor < leastSlow {
			m.slows = m.slows[:len(m.slows)-1]
			return
		}
		if host < 0 {
			m.fitLaws(v, 2)
		}
	}
}

// warming tells whether an attempt was at a host that may still have been cold.
func (m *servers) warming(v *view, a *attempt) bool {
	return slices.ContainsFunc(v.hosts[a.host].starts, func(at time.Duration) bool {
		return a.ended > at && a.began < at+max(m.cold.takes, v.settings.WarmupDuration)
	})
}

// refineSlow moves a slow time's ends and factor to where they are likeliest.
func (m *servers) refineSlow(v *view, i int) {
	s := &m.slows[i]
	from, to, factor := s.from.Seconds(), s.to.Seconds(), math.Log(s.factor)
	end := v.end.Seconds()
	high := func() float64 {
		s.from, s.to, s.factor = seconds(from), seconds(to), math.Exp(factor)
		if s.to < s.from+shortest {
			return math.Inf(-1)
		}
		return m.likelihoods(v, s.host)
	}
	climb(high, []knob{{&factor, 0, 3, 0.1}, {&from, 0, end, boundStep}, {&to, 0, end, boundStep}}, 5, 60)
	high()
}

// fitCold finds how hosts warm up, if enough was sent to cold ones.
func (m *servers) fitCold(v *view) {
	n := 0
	var of []int
	for h := range v.hosts {
		if len(v.hosts[h].starts) == 0 {
			continue
		}
		of = append(of, h)
		for _, p := range m.pieces(v, h, nil) {
			n += b2i(m.warming(v, &v.attempts[p.attempt]) && !p.censored)
		}
	}
	if n < leastCold {
		return
	}
	from, takes := m.cold.from, m.cold.takes.Seconds()
	high := func() float64 {
		m.cold.from, m.cold.takes = from, seconds(takes)
		sum := -doubt(from, v.settings.WarmupInitialShare) - doubt(takes, v.settings.WarmupDuration.Seconds())
		for _, h := range of {
			sum += m.likelihood(v, h)
		}
		return sum
	}
	climb(high, []knob{{&from, leastShare, 1, 0.1}, {&takes, 0.2, 60, 2}}, coldRounds, 60)
	high()
	m.cold.known = true
}

// doubt is how unlikely a value is that the settings put at another: a few attempts alone would say anything.
func doubt(value, said float64) float64 {
	if said <= 0 {
		return 0
	}
	z := math.Log(value/said) / coldDoubt
	return z * z / 2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
