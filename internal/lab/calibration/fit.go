package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// Capacity of an endpoint where the record doesn't show it, as in scenarios.
const (
	defaultSlots = 20
	defaultQueue = 24
)

const (
	initialWorkShare = 0.5  // initial guess: the share of an attempt's latency that is its own work
	initialSigma     = 0.6  // initial guess, of a distribution
	minInitialShare  = 0.03 // of the capacity, at the start of a warm-up
)

// coreCounts are the numbers of cores that are tried beside one; they are a third or a half apart.
var coreCounts = []int{2, 3, 4, 6, 8, 12, 16}

// fit fits the endpoints and their faults to the records.
func fit(v *history) *fittedModel {
	m := &fittedModel{cores: 1, slots: defaultSlots, queue: defaultQueue, speeds: make([]float64, len(v.endpoints)),
		distributions: make([]workDistribution, len(v.settings.Classes)),
		warmup:        warmup{initialShare: min(max(v.settings.WarmupInitialShare, minInitialShare), 1), duration: v.settings.WarmupDuration}}
	usual := v.medianLatencies()
	any := median(slices.DeleteFunc(slices.Clone(usual), func(d time.Duration) bool { return d == 0 }))
	for endpointIndex := range m.speeds {
		m.speeds[endpointIndex] = 1
	}
	for c := range m.distributions {
		took := cmp.Or(usual[c], any) // nothing else is known of a class without a response
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

// fitCapacity finds how many requests an endpoint has in slots and queue: the number in flight when it rejected one, or
// more than it ever had where it rejected none.
func (m *fittedModel) fitCapacity(v *history) {
	var full []int
	most := 0
	for endpointIndex := range v.endpoints {
		of := v.attemptsOf(endpointIndex)
		var out []time.Duration // ends of those in flight
		for i := range of {
			out = slices.DeleteFunc(out, func(at time.Duration) bool { return at <= of[i].started })
			switch {
			case of[i].status == balance.Rejected:
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

// fitCores finds how many requests an endpoint runs at full speed: with its real number of cores, the work of requests has
// the same distribution whether others ran beside them or not, and so is likeliest. A request that waits for a call of the
// next tier holds its slot and leaves its core to others: such endpoints show more cores than they have, and perform like
// it. The search ends where one step more is not likelier.
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
