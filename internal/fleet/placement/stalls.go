package placement

import "time"

// stallModel estimates the longest gap that a prefill causes between a stream's events, as a share of the prefill's time.
// Engines prefill in chunks of lengths that they don't report. The zero value has no observation.
type stallModel struct {
	mean     float64
	observed bool
}

func (m *stallModel) observe(seen *Stall) {
	if !(seen.PrefillTime > 0 && seen.LongestGap >= 0) { // also NaN, of another router
		return
	}
	if !m.observed {
		m.mean, m.observed = priorStallShare, true
	}
	share := min(max(seen.LongestGap/seen.PrefillTime, minStallShare), 1)
	m.mean += (share - m.mean) / stallMemory
}

func (m *stallModel) share() float64 {
	if !m.observed {
		return priorStallShare
	}
	return m.mean
}

// recentPrefills is a ring of the last prefills that an endpoint was sent.
type recentPrefills struct {
	list [maxRecentPrefills]prefillRecord
	next int
}

type prefillRecord struct {
	sentAt  time.Duration
	seconds float64
}

func (r *recentPrefills) add(now time.Duration, seconds float64) {
	r.list[r.next] = prefillRecord{now, seconds}
	r.next = (r.next + 1) % maxRecentPrefills
}

// longest returns the seconds of the longest prefill that was sent in a period, bounds included; 0 where none is in the ring.
func (r *recentPrefills) longest(from, to time.Duration) float64 {
	longest := 0.0
	for _, each := range r.list {
		if each.sentAt >= from && each.sentAt <= to {
			longest = max(longest, each.seconds)
		}
	}
	return longest
}
