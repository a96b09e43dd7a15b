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
	alone      = 0.5  // of the time that an attempt takes is its own work, to begin with
	guessSigma = 0.6  // of a law, to begin with
	leastShare = 0.03 // of its capacity that a cold host begins with
)

// moreCores are the numbers of cores that hosts are tried with beside one, which are a third or a half apart.
var moreCores = []int{2, 3, 4, 6, 8, 12, 16}

// fit finds the hosts and their faults.
func fit(v *view) *servers {
	m := &servers{cores: 1, slots: defaultSlots, queue: defaultQueue, speed: make([]float64, len(v.hosts)),
		laws: make([]law, len(v.settings.Classes)),
		cold: cold{from: min(max(v.settings.WarmupInitialShare, leastShare), 1), takes: v.settings.WarmupDuration}}
	usual := v.usual()
	any := median(slices.DeleteFunc(slices.Clone(usual), func(d time.Duration) bool { return d == 0 }))
	for h := range m.speed {
		m.speed[h] = 1
	}
	for c := range m.laws {
		took := cmp.Or(usual[c], any) // of a class that was never answered nothing else is known
		m.laws[c] = law{mu: math.Log(max(took.Seconds()*alone, leastWork)), sigma: guessSigma}
	}
	m.holds(v)
	m.findDowns(v)
	m.fitLaws(v, 4)
	m.fitCores(v)
	for range passes {
		m.findFaults(v)
		m.fitLaws(v, 3)
		m.fitCold(v)
		m.fitLaws(v, 2)
	}
	for i := range m.slows {
		m.refineSlow(v, i)
	}
	m.fitLaws(v, 2)
	return m
}

// holds finds how much a host holds: what it had when it turned a request away, and more than it ever had where
// it turned none away.
func (m *servers) holds(v *view) {
	var full []int
	most := 0
	for h := range v.hosts {
		of := v.of(h)
		var out []time.Duration // ends of those that are out
		for i := range of {
			out = slices.DeleteFunc(out, func(at time.Duration) bool { return at <= of[i].began })
			switch {
			case of[i].status == balance.Rejected:
				full = append(full, len(out))
			case took(of[i].status):
				out = append(out, of[i].ended)
				most = max(most, len(out))
			}
		}
	}
	holds := max(defaultSlots+defaultQueue, most)
	if len(full) >= leastFails {
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
func (m *servers) fitCores(v *view) {
	best, alone := *m, m.likelihoods(v, -1)
	high := alone
	for _, cores := range moreCores {
		try := *m
		try.cores, try.slots = cores, max(m.slots, cores)
		try.speed = slices.Clone(m.speed)
		try.laws = slices.Clone(m.laws)
		try.fitLaws(v, 3)
		l := try.likelihoods(v, -1)
		if l <= high {
			break
		}
		best, high = try, l
	}
	if high > alone+slowScore {
		*m = best
	}
}
