package calibration

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Parameters of the adjustment.
const (
	playsPerTrial   = 5           // of a trial, with the same draws for each: a single play would follow its own noise
	gainThreshold   = 4.0         // standard errors that a gain has to exceed: by chance that happens once in a hundred trials
	minGain         = 0.03        // of the distance: where the model fits, the direct fit is better than the result of a few plays
	trialSeedOffset = 1000        // trials use other draws than the replay, which is what is judged
	countInterval   = time.Second // of the counts that are compared
	totalsWeight    = 4.0         // weight of the outcomes over the run, beside those by second
	latencyWeight   = 4.0         // weight of the attempts' latencies, beside that of counts
	speedStep       = 0.04        // of the logarithm of all speeds; the direct fit is within a few percent
	slowFactorStep  = 0.08        // of the logarithm of a slow period's factor
	warmupStepSize  = 0.3         // of the logarithm of the initial share of capacity
)

// quantiles of the attempts' latencies that are compared.
var quantiles = []float64{0.25, 0.5, 0.75, 0.9, 0.97}

// adjustment is one change of the model that may be tried: apply makes it in a direction, 1 or -1.
type adjustment struct {
	apply func(direction float64)
	undo  func()
}

// adjust plays the replay with one adjustment after another, and keeps those that bring it significantly closer to the
// record. That corrects what the model of an endpoint leaves out, and finds what the direct fit could not see, such as
// when an endpoint that got no requests would have responded again. It stops once the record could be a play itself: what
// remains is chance then.
func (r *Replay) adjust(m *fittedModel, o Options) error {
	plays := o.Evaluations
	if plays == 0 {
		plays = DefaultEvaluations
	}
	want := r.history.statistics()
	var seen [playsPerTrial]*statistics // of the last plays
	trial := func() (distances [playsPerTrial]float64, err error) {
		s := m.buildScenario(r.history)
		plays -= playsPerTrial
		for i := range distances {
			v, err := r.play(s, r.Seed+trialSeedOffset+uint64(i))
			if err != nil {
				return distances, err
			}
			seen[i] = v.statistics()
			distances[i] = want.distance(seen[i])
		}
		return distances, nil
	}
	if plays < playsPerTrial {
		return nil
	}
	best, err := trial()
	if err != nil {
		return err
	}
	chance := maxSpread(&seen)
	for _, change := range m.adjustments() {
		for _, direction := range []float64{1, -1} {
			if plays < playsPerTrial || mean(&best) <= chance {
				break
			}
			change.apply(direction)
			distances, err := trial()
			if err != nil {
				return err
			}
			if significantlyBetter(&best, &distances) {
				best = distances
				break
			}
			change.undo()
		}
	}
	r.Scenario = m.buildScenario(r.history)
	return nil
}

// maxSpread is the mean distance of the play that is farthest from the others.
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

// significantlyBetter reports whether distances are lower than others with the same draws, beyond what draws explain: a
// paired t-test.
func significantlyBetter(than, l *[playsPerTrial]float64) bool {
	gain, squares := mean(than)-mean(l), 0.0
	for i := range l {
		off := than[i] - l[i] - gain
		squares += off * off
	}
	deviation := math.Sqrt(squares / (playsPerTrial - 1) / playsPerTrial) // of the mean
	return gain > gainThreshold*deviation && gain > minGain*mean(than)
}

// adjustments returns the possible changes, those that the record shows least first.
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

// statistics are what a play and the record are compared by.
type statistics struct {
	logLatencies [][]float64 // by class, the logarithms of the quantiles of successful attempts' latencies
	latencyShare []float64   // by class, its share of those attempts
	outcomes     map[int]int // requests by second and outcome
	totals       map[int]int // requests by outcome
	attempts     map[int]int // by endpoint, second and success
}

func (v *history) statistics() *statistics {
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
			end = boolToInt(s.duration > v.settings.Classes[s.class].TargetLatency)
		case s.outcome == stream.RejectedLocally:
			end = 2
		case s.outcome == stream.ClientGone:
			continue
		}
		k.outcomes[int(s.arrival/countInterval)*4+end]++
		k.totals[end]++
	}
	return k
}

// distance is how far others are from these: 0 is equal.
func (k *statistics) distance(o *statistics) float64 {
	times := 0.0
	for c := range k.logLatencies {
		for i := range min(len(k.logLatencies[c]), len(o.logLatencies[c])) {
			times += k.latencyShare[c] * math.Abs(k.logLatencies[c][i]-o.logLatencies[c][i]) / float64(len(quantiles))
		}
	}
	return latencyWeight*times + totalsWeight*countDistance(k.totals, o.totals) +
		countDistance(k.outcomes, o.outcomes) + countDistance(k.attempts, o.attempts)
}

// countDistance is the part of two sets of counts that does not match, from 0 to 1.
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
