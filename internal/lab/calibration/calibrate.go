package calibration

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Tunables of the calibration.
const (
	playsPerTrial   = 5           // plays a try, with the same draws for each: one alone would chase its own noise
	gainThreshold   = 4.0         // standard errors that a gain has to be beyond: chance does that once in a hundred tries
	minGain         = 0.03        // of the loss: where the model fits, the direct fit is better than what a try of a few plays shows
	trialSeedOffset = 1000        // the calibration's draws are not those of the rehearsal, which it is judged by
	countInterval   = time.Second // of the counts that are compared
	totalsWeight    = 4.0         // of how the streams ended over the whole run, beside that by second
	latencyWeight   = 4.0         // what a whole mismatch of attempts' times counts for, beside that of counts
	speedStep       = 0.04        // of the work's scale; the direct fit is within a few percent
	slowFactorStep  = 0.08        // of a slow time's factor
	warmupStepSize  = 0.3         // of the capacity that cold hosts begin with
)

// quantiles of the attempts' times that are compared.
var quantiles = []float64{0.25, 0.5, 0.75, 0.9, 0.97}

// turn is one thing that the calibration may change.
type adjustment struct {
	apply func(way float64)
	undo  func()
}

// calibrate plays the rehearsal with one thing changed after another, and keeps what brings it closer to the
// record: it corrects what the model of a host leaves out, and finds what the direct fit could not see, such as
// when a host would have answered again that nobody asked. It stops as soon as the record could be a play itself:
// what is left is chance then.
func (r *Replay) adjust(m *fittedModel, o Options) error {
	plays := o.Evaluations
	if plays == 0 {
		plays = DefaultEvaluations
	}
	want := r.history.marks()
	var seen [playsPerTrial]*statistics // by the last plays
	losses := func() (out [playsPerTrial]float64, err error) {
		s := m.buildScenario(r.history)
		plays -= playsPerTrial
		for i := range out {
			v, err := r.play(s, r.Seed+trialSeedOffset+uint64(i))
			if err != nil {
				return out, err
			}
			seen[i] = v.marks()
			out[i] = want.distance(seen[i])
		}
		return out, nil
	}
	if plays < playsPerTrial {
		return nil
	}
	best, err := losses()
	if err != nil {
		return err
	}
	chance := maxSpread(&seen)
	for _, k := range m.adjustments() {
		for _, way := range []float64{1, -1} {
			if plays < playsPerTrial || mean(&best) <= chance {
				break
			}
			k.apply(way)
			l, err := losses()
			if err != nil {
				return err
			}
			if significantlyBetter(&best, &l) {
				best = l
				break
			}
			k.undo()
		}
	}
	r.Scenario = m.buildScenario(r.history)
	return nil
}

// scatter is how far the play that is farthest from the others is from them.
func maxSpread(of *[playsPerTrial]*statistics) (most float64) {
	for i, a := range of {
		sum := 0.0
		for k, b := range of {
			if k != i {
				sum += a.distance(b) / (playsPerTrial - 1)
			}
		}
		most = max(most, sum)
	}
	return most
}

func mean(of *[playsPerTrial]float64) (m float64) {
	for _, x := range of {
		m += x / playsPerTrial
	}
	return m
}

// better tells whether losses are lower than others with the same draws, beyond what draws explain.
func significantlyBetter(than, l *[playsPerTrial]float64) bool {
	gain, squares := mean(than)-mean(l), 0.0
	for i := range l {
		off := than[i] - l[i] - gain
		squares += off * off
	}
	deviation := math.Sqrt(squares / (playsPerTrial - 1) / playsPerTrial) // of the mean
	return gain > gainThreshold*deviation && gain > minGain*mean(than)
}

// turns are what may be changed, what the record shows least first.
func (m *fittedModel) adjustments() (out []adjustment) {
	for i := range m.partialFaults {
		s := &m.partialFaults[i]
		if s.kind != "hang" || s.to == neverEnds || s.to < s.minEnd+2*resumeLag {
			continue
		}
		was := s.to
		out = append(out, adjustment{func(way float64) { // 1 is the earliest end; others lie between
			s.to = was - time.Duration((1+way)/2*float64(was-s.minEnd-time.Millisecond))
		}, func() { s.to = was }})
	}
	scale := func(of []*float64, step float64) {
		was := make([]float64, len(of))
		for i := range of {
			was[i] = *of[i]
		}
		set := func(way float64) {
			for i := range of {
				*of[i] = was[i] * math.Exp(way*step)
			}
		}
		out = append(out, adjustment{set, func() { set(0) }})
	}
	speeds := make([]*float64, len(m.speeds))
	for h := range m.speeds {
		speeds[h] = &m.speeds[h]
	}
	scale(speeds, speedStep)
	for i := range m.slowPeriods {
		scale([]*float64{&m.slowPeriods[i].factor}, slowFactorStep)
	}
	if m.warmup.known {
		scale([]*float64{&m.warmup.initialShare}, warmupStepSize)
	}
	return out
}

// marks is what a play and the record are compared by.
type statistics struct {
	logLatencies [][]float64 // logarithms of the answered attempts' quantiles, by class
	latencyShare []float64   // by class: its part of them
	outcomes     map[int]int // streams by second and end
	totals       map[int]int // streams by end
	attempts     map[int]int // attempts by host, second and whether they were answered
}

func (v *history) marks() *statistics {
	k := &statistics{outcomes: map[int]int{}, totals: map[int]int{}, attempts: map[int]int{}}
	took := make([][]float64, len(v.settings.ClassNames))
	all := 0.0
	for i := range v.attempts {
		a := &v.attempts[i]
		ok := a.status == balance.OK
		if ok {
			took[a.class] = append(took[a.class], math.Log(max(a.ended-a.started, time.Microsecond).Seconds()))
			all++
		}
		k.attempts[(int(a.started/countInterval)*len(v.endpoints)+a.endpoint)*2+boolToInt(ok)]++
	}
	for _, of := range took {
		slices.Sort(of)
		var at []float64
		for _, q := range quantiles {
			if len(of) > 0 {
				at = append(at, of[int(q*float64(len(of)-1))])
			}
		}
		k.logLatencies, k.latencyShare = append(k.logLatencies, at), append(k.latencyShare, float64(len(of))/max(all, 1))
	}
	for i := range v.requests {
		s := &v.requests[i]
		end := 3
		switch {
		case s.outcome == stream.Served:
			end = boolToInt(s.duration > v.settings.Classes[s.class].Aim)
		case s.outcome == stream.Refused:
			end = 2
		case s.outcome == stream.Gone:
			continue
		}
		k.outcomes[int(s.arrival/countInterval)*4+end]++
		k.totals[end]++
	}
	return k
}

// from is how far others are from these: 0 is not at all.
func (k *statistics) distance(o *statistics) float64 {
	times := 0.0
	for c := range k.logLatencies {
		for i := range min(len(k.logLatencies[c]), len(o.logLatencies[c])) {
			times += k.latencyShare[c] * math.Abs(k.logLatencies[c][i]-o.logLatencies[c][i]) / float64(len(quantiles))
		}
	}
	return latencyWeight*times + totalsWeight*countDistance(k.totals, o.totals) + countDistance(k.outcomes, o.outcomes) + countDistance(k.attempts, o.attempts)
}

// apart is the part of two sets of counts that does not match.
func countDistance(a, b map[int]int) float64 {
	differ, all := 0, 0
	for at, n := range a {
		differ += max(n-b[at], b[at]-n)
		all += n
	}
	for at, n := range b {
		if _, both := a[at]; !both {
			differ += n
		}
		all += n
	}
	return float64(differ) / float64(max(all, 1))
}
