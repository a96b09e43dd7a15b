package calibration

import (
	"slices"
	"time"
)

// warmupStep is how finely a cold host's rise is followed: its capacity changes by a percent or so within it.
const warmupStep = 100 * time.Millisecond

// servers is what is fitted: how each host is built and what goes wrong with it.
type fittedModel struct {
	cores, slots, queue int
	speeds              []float64          // of a core, by host; 1 is the standard core
	distributions       []workDistribution // by class
	warmup              warmup
	slowPeriods         []slowPeriod
	outages             []outage
	partialFaults       []partialFault
}

// cold is how a host begins: at a share of its capacity, rising evenly.
type warmup struct {
	initialShare float64
	duration     time.Duration
	known        bool // by the record, and not just by the settings
}

// slow is a time in which work took longer, at one host or at all (-1).
type slowPeriod struct {
	endpoint int
	from, to time.Duration
	factor   float64
}

// share is a time in which a host did something to a share of what it took: hang or mute (never answered),
// fail, spoil or cut, as a scenario's faults are called.
type partialFault struct {
	endpoint           int
	kind               string
	from, to           time.Duration
	size               float64
	attempts, affected int           // attempts: all, and those that it struck
	minEnd             time.Duration // hang: it lasted until then, and to is a guess
}

// path is a host's capacity over time.
type capacityCurve struct {
	times []time.Duration // where it changes; the first is 0
	rates []float64       // from there on, of one core
	work  []float64       // seconds of work of one core, up to there
}

// path is that of a host: its speed, cold starts and slow times.
func (m *fittedModel) capacityOf(v *history, host int) capacityCurve {
	edges := []time.Duration{0}
	for _, s := range m.slowPeriods {
		if s.endpoint < 0 || s.endpoint == host {
			edges = append(edges, s.from, s.to)
		}
	}
	starts := v.endpoints[host].starts
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
		p.rates[i] = m.speeds[host] * m.warmupShare(starts, at)
		for _, s := range m.slowPeriods {
			if (s.endpoint < 0 || s.endpoint == host) && s.from <= at && at < s.to {
				p.rates[i] /= s.factor
			}
		}
		if i > 0 {
			p.work[i] = p.work[i-1] + p.rates[i-1]*(at-edges[i-1]).Seconds()
		}
	}
	return p
}

// warmth is the share of its capacity that a host with such starts has.
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

// read is the work that a core could have done up to then, and its speed. Times may not go back by more than
// one step from *hint on, which follows them.
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
