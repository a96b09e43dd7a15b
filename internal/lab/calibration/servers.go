package calibration

import (
	"slices"
	"time"
)

// coldStep is how finely a cold host's rise is followed: its capacity changes by a percent or so within it.
const coldStep = 100 * time.Millisecond

// servers is what is fitted: how each host is built and what goes wrong with it.
type servers struct {
	cores, slots, queue int
	speed               []float64 // of a core, by host; 1 is the standard core
	laws                []law     // by class
	cold                cold
	slows               []slow
	downs               []down
	shares              []share
}

// cold is how a host begins: at a share of its capacity, rising evenly.
type cold struct {
	from  float64
	takes time.Duration
	known bool // by the record, and not just by the settings
}

// slow is a time in which work took longer, at one host or at all (-1).
type slow struct {
	host     int
	from, to time.Duration
	factor   float64
}

// share is a time in which a host did something to a share of what it took: hang or mute (never answered),
// fail, spoil or cut, as a scenario's faults are called.
type share struct {
	host     int
	kind     string
	from, to time.Duration
	size     float64
	of, hit  int           // attempts: all, and those that it struck
	least    time.Duration // hang: it lasted until then, and to is a guess
}

// path is a host's capacity over time.
type path struct {
	at   []time.Duration // where it changes; the first is 0
	rate []float64       // from there on, of one core
	sum  []float64       // seconds of work of one core, up to there
}

// path is that of a host: its speed, cold starts and slow times.
func (m *servers) path(v *view, host int) path {
	edges := []time.Duration{0}
	for _, s := range m.slows {
		if s.host < 0 || s.host == host {
			edges = append(edges, s.from, s.to)
		}
	}
	starts := v.hosts[host].starts
	for _, at := range starts {
		for step := time.Duration(0); step <= m.cold.takes; step += coldStep {
			edges = append(edges, at+step)
		}
		edges = append(edges, at+m.cold.takes)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	p := path{at: edges, rate: make([]float64, len(edges)), sum: make([]float64, len(edges))}
	for i, at := range edges {
		p.rate[i] = m.speed[host] * m.warmth(starts, at)
		for _, s := range m.slows {
			if (s.host < 0 || s.host == host) && s.from <= at && at < s.to {
				p.rate[i] /= s.factor
			}
		}
		if i > 0 {
			p.sum[i] = p.sum[i-1] + p.rate[i-1]*(at-edges[i-1]).Seconds()
		}
	}
	return p
}

// warmth is the share of its capacity that a host with such starts has.
func (m *servers) warmth(starts []time.Duration, at time.Duration) float64 {
	for _, s := range slices.Backward(starts) {
		if since := at - s; since >= 0 && since < m.cold.takes {
			return m.cold.from + (1-m.cold.from)*(since+coldStep/2).Seconds()/m.cold.takes.Seconds()
		} else if since >= 0 {
			break
		}
	}
	return 1
}

// read is the work that a core could have done up to then, and its speed. Times may not go back by more than
// one step from *hint on, which follows them.
func (p *path) read(at time.Duration, hint *int) (sum, rate float64) {
	i := *hint
	for i+1 < len(p.at) && p.at[i+1] <= at {
		i++
	}
	for i > 0 && p.at[i] > at {
		i--
	}
	*hint = i
	return p.sum[i] + p.rate[i]*(at-p.at[i]).Seconds(), p.rate[i]
}
