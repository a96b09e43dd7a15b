package placement

import "time"

// stallModel estimates the longest gap that a prefill causes between two events of a stream, as a share of the prefill's
// time. The share has to be learned, since engines prefill in chunks whose lengths they don't report. The zero value has no
// observations.
type stallModel struct {
	mean     float64
	observed bool
}

func (m *stallModel) observe(stall *Stall) {
	if !(stall.PrefillTime > 0 && stall.LongestGap >= 0) { // also rejects NaN in another router's report
		return
	}
	if !m.observed {
		m.mean, m.observed = priorStallShare, true
	}
	share := min(max(stall.LongestGap/stall.PrefillTime, minStallShare), 1)
	m.mean += (share - m.mean) / stallDecayStreams
}

func (m *stallModel) share() float64 {
	if !m.observed {
		return priorStallShare
	}
	return m.mean
}

// recentPrefills is a ring buffer of the last maxRecentPrefills prefills that were sent to an endpoint.
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

// longest returns the duration, in seconds, of the longest prefill that was sent between two times, inclusive. It is 0 if
// the buffer holds none.
func (r *recentPrefills) longest(from, to time.Duration) float64 {
	longest := 0.0
	for _, record := range r.list {
		if record.sentAt >= from && record.sentAt <= to {
			longest = max(longest, record.seconds)
		}
	}
	return longest
}
