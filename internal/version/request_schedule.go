package version

import (
	"math/rand/v2"
	"time"
)

// requestSchedule says when something is requested. Its offset within the spread is drawn once and stays, so that a fleet's
// requests stay distributed.
type requestSchedule struct {
	wanted bool
	next   time.Duration
	last   time.Duration // 0: never
}

// update sets whether the thing is needed; when it becomes so, the first request's time is drawn.
func (m *requestSchedule) update(wanted bool, now time.Duration, f *MinimumVersion, r *rand.Rand) {
	if wanted && !m.wanted {
		m.next = now
		if f.Spread > 0 {
			m.next += time.Duration(r.Int64N(int64(f.Spread.D())))
		}
		if m.last != 0 {
			m.next = max(m.next, m.last+f.requestInterval())
		}
	}
	m.wanted = wanted
}

// due reports whether it is time for a request, and schedules the next one.
func (m *requestSchedule) due(now, pause time.Duration) bool {
	if now < m.next {
		return false
	}
	m.next, m.last = now+pause, now
	return true
}

// requestInterval returns the least time between two requests for the same thing.
func (f *MinimumVersion) requestInterval() time.Duration {
	return max(minRequestInterval, f.Spread.D())
}
