package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// As in scenarios: what a host holds where nothing shows it.
const (
	defaultSlots = 20
	defaultQueue = 24
)

const (
	initialWorkShare = 0.5  // of the time that an attempt takes is its own work, to begin with
	initialSigma     = 0.6  // of a law, to begin with
	minInitialShare  = 0.03 // of its capacity that a cold host begins with
)

// coreCounts are the numbers of cores that hosts are tried with beside one, which are a third or a half apart.
var coreCounts = []int{2, 3, 4, 6, 8, 12, 16}

// fit finds the hosts and their faults.
func fit(v *history) *fittedModel {
	m := &fittedModel{cores: 1, slots: defaultSlots, queue: defaultQueue, speeds: make([]float64, len(v.endpoints)),
		distributions: make([]workDistribution, len(v.settings.Classes)),
		warmup:        warmup{initialShare: min(max(v.settings.ColdShare, minInitialShare), 1), duration: v.settings.ColdFor}}
	usual := v.medianLatencies()
	any := median(slices.DeleteFunc(slices.Clone(usual), func(d time.Duration) bool { return d == 0 }))
	for h := range m.speeds {
		m.speeds[h] = 1
	}
	for c := range m.distributions {
		took := cmp.Or(usual[c], any) // of a class that was never answered nothing else is known
		m.distributions[c] = workDistribution{mu: math.Log(max(took.Seconds()*initialWorkShare, minWork)), sigma: initialSigma}
	}
	m.fitCapacity(v)
	m.findOutages(v)
	m.fitDistributions(v, 4)
	m.fitCores(v)
	for range passes {
		m.findFaults(v)
		m.fitDistributions(v, 3)
		m.fitWarmup(v)
		m.fitDistributions(v, 2)
	}
	for i := range m.slowPeriods {
		m.refineSlowPeriod(v, i)
	}
	m.fitDistributions(v, 2)
	return m
}

// holds finds how much a host holds: what it had when it turned a request away, and more than it ever had where
// it turned none away.
func (m *fittedModel) fitCapacity(v *history) {
	var full []int
	most := 0
	for h := range v.endpoints {
		of := v.attemptsOf(h)
		var out []time.Duration // ends of those that are out
		for i := range of {
			out = slices.DeleteFunc(out, func(at time.Duration) bool { return at <= of[i].started })
			switch {
			case of[i].status == balance.Full:
				full = append(full, len(out))
			case wasAccepted(of[i].status):
				out = append(out, of[i].ended)
				most = max(most, len(out))
			}
		}
	}
	holds := max(defaultSlots+defaultQueue, most)
	if len(full) >= minFailures {
		slices.Sort(full)
		holds = max(full[len(full)/4], 2)
	}
	m.slots = max(1, holds*defaultSlots/(defaultSlots+defaultQueue))
	m.queue = holds - m.slots
}

// fitCores finds how many requests a host works on at full speed: with as many cores as it has the works come
// out alike whether others were there or not, and so are likeliest. A request that waits for a call to a next tier
// holds its slot and leaves its core to others: such hosts show more cores than they have, and serve like it. The
// search ends where one step more is no likelier.
func (m *fittedModel) fitCores(v *history) {
	best, alone := *m, m.totalLikelihood(v, -1)
	high := alone
	for _, cores := range coreCounts {
		try := *m
		try.cores, try.slots = cores, max(m.slots, cores)
		try.speeds = slices.Clone(m.speeds)
		try.distributions = slices.Clone(m.distributions)
		try.fitDistributions(v, 3)
		l := try.totalLikelihood(v, -1)
		if l <= high {
			break
		}
		best, high = try, l
	}
	if high > alone+minSlowScore {
		*m = best
	}
}
