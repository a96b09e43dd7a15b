package calibration

import (
	"slices"
	"time"
)

// warmupStep is the resolution of a warm-up: capacity changes by a percent or so within it.
const warmupStep = 100 * time.Millisecond

// fittedModel is what is fitted: how each endpoint is built, and its faults.
type fittedModel struct {
	cores, slots, queue int
	speeds              []float64          // of a core, by endpoint; 1 is the standard core
	distributions       []workDistribution // by class
	warmup              warmup
	slowPeriods         []slowPeriod
	outages             []outage
	partialFaults       []partialFault
}

// warmup is the capacity after a start: an initial share of the full one, growing linearly.
type warmup struct {
	initialShare float64
	duration     time.Duration
	known        bool // from the record, not only from the settings
}

// slowPeriod is a time in which work took longer, at one endpoint or at all (-1).
type slowPeriod struct {
	endpoint int
	from, to time.Duration
	factor   float64
}

// partialFault is a time in which a share of an endpoint's requests had a fault. Its kind is that of a scenario's fault:
// hang or mute (no response), fail, spoil, cut or refuse.
type partialFault struct {
	endpoint           int
	kind               string
	from, to           time.Duration
	size               float64
	attempts, affected int           // all attempts, and those with the fault
	minEnd             time.Duration // hang: it lasted until then at least, and to is a guess
}

// capacityCurve is an endpoint's capacity over time, constant between changes.
type capacityCurve struct {
	times []time.Duration // of the changes; the first is 0
	rates []float64       // from each change on, of one core
	work  []float64       // seconds of work of one core, up to each change
}

// capacityOf returns an endpoint's capacity, with its speed, warm-ups and slow periods.
func (m *fittedModel) capacityOf(v *history, endpointIndex int) capacityCurve {
	edges := []time.Duration{0}
	for _, s := range m.slowPeriods {
		if s.endpoint < 0 || s.endpoint == endpointIndex {
			edges = append(edges, s.from, s.to)
		}
	}
	starts := v.endpoints[endpointIndex].starts
	for _, at := range starts {
		for step := time.Duration(0); step <= m.warmup.duration; step += warmupStep {
			edges = append(edges, at+step)
		}
		edges = append(edges, at+m.warmup.duration)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	p := capacityCurve{times: edges, rates: make([]float64, len(edges)), work: make([]float64, len(edges))}
	for i, at := range edges {
		p.rates[i] = m.speeds[endpointIndex] * m.warmupShare(starts, at)
		for _, s := range m.slowPeriods {
			if (s.endpoint < 0 || s.endpoint == endpointIndex) && s.from <= at && at < s.to {
				p.rates[i] /= s.factor
			}
		}
		if i > 0 {
			p.work[i] = p.work[i-1] + p.rates[i-1]*(at-edges[i-1]).Seconds()
		}
	}
	return p
}

// warmupShare is the share of its capacity that an endpoint with such starts has at a time.
func (m *fittedModel) warmupShare(starts []time.Duration, at time.Duration) float64 {
	for _, s := range slices.Backward(starts) {
		if since := at - s; since >= 0 && since < m.warmup.duration {
			return m.warmup.initialShare + (1-m.warmup.initialShare)*(since+warmupStep/2).Seconds()/m.warmup.duration.Seconds()
		} else if since >= 0 {
			break
		}
	}
	return 1
}

// at returns the work that a core could have done up to a time, and its speed then. Hint is the index where the search
// starts, and is left where it ended: it makes reading in order of time cheap.
func (p *capacityCurve) at(at time.Duration, hint *int) (sum, rate float64) {
	i := *hint
	for i+1 < len(p.times) && p.times[i+1] <= at {
		i++
	}
	for i > 0 && p.times[i] > at {
		i--
	}
	*hint = i
	return p.work[i] + p.rates[i]*(at-p.times[i]).Seconds(), p.rates[i]
}
