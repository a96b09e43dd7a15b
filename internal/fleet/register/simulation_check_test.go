package register

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// history is all calls, in the order of their starts. An operation whose outcome is unclear may have taken effect at any time after its
// start, or never.
type history struct{ calls []*call }

// isDone reports whether the call is known to have taken effect.
func (k *call) isDone() bool {
	return k.certainty == Decided && k.result.Outcome == coordination.Done
}

// precedes reports whether the call ended before the other one started.
func (k *call) precedes(other *call) bool { return k.endedAt < other.startedAt }

// of returns the calls of one name that were decided.
func (h *history) decidedCalls(name coordination.Name) []*call {
	return slices.DeleteFunc(slices.Clone(h.calls), func(k *call) bool { return k.operation.Name != name || k.certainty != Decided })
}

// checkHistory checks every name's calls.
func (s *simulation) checkHistory() {
	for _, id := range simulatedCounters {
		s.checkCounter(s.history.decidedCalls(counterName(id)))
	}
	for _, id := range simulatedLocks {
		calls := s.history.decidedCalls(lockName(id))
		s.checkFences(calls)
		s.checkHolders(calls)
	}
	for _, id := range simulatedGroups {
		s.checkGroup(groupName(id))
	}
}

// checkCounter: a counter whose unclear increments may leave gaps is linearizable where no number is given twice and numbers rise with time.
func (s *simulation) checkCounter(calls []*call) {
	for i, k := range calls {
		for _, earlier := range calls[:i] {
			if k.result.Count == earlier.result.Count {
				s.fail("%v gave %d twice", k.operation.Name, k.result.Count)
			}
			if earlier.precedes(k) && k.result.Count < earlier.result.Count {
				s.fail("%v gave %d after %d", k.operation.Name, k.result.Count, earlier.result.Count)
			}
		}
	}
}

// checkFences: no fence is given twice, they rise with time, and none is renewed once a higher one was given.
func (s *simulation) checkFences(calls []*call) {
	for i, k := range calls {
		if !k.isDone() || k.operation.Kind == coordination.Release {
			continue
		}
		if k.operation.Kind == coordination.Renew && k.result.Fence != k.operation.Fence {
			s.fail("%v: a renewal of fence %d gave %d", k.operation.Name, k.operation.Fence, k.result.Fence)
		}
		for _, earlier := range calls[:i] {
			if !earlier.isDone() || earlier.operation.Kind == coordination.Release {
				continue
			}
			isAcquire := k.operation.Kind == coordination.Acquire
			if isAcquire && earlier.operation.Kind == coordination.Acquire && k.result.Fence == earlier.result.Fence {
				s.fail("%v gave fence %d twice", k.operation.Name, k.result.Fence)
			}
			if earlier.precedes(k) && (k.result.Fence < earlier.result.Fence || isAcquire && k.result.Fence == earlier.result.Fence) {
				s.fail("%v gave fence %d after %d", k.operation.Name, k.result.Fence, earlier.result.Fence)
			}
		}
	}
}

// span is a time for which a holder counts on the lock.
type holdPeriod struct {
	holder      string
	fence       uint64
	from, until time.Duration
}

// checkHolders: no two holders count on the lock at once. One counts from the answer until its hold, by its own clock, is over after the
// sending, and no longer than until it sends a release.
func (s *simulation) checkHolders(calls []*call) {
	var periods []holdPeriod
	for _, k := range calls {
		if !k.isDone() || k.operation.Kind == coordination.Release {
			continue
		}
		until := k.startedAt + time.Duration(float64(k.operation.Hold)/k.client.clockRate)
		periods = append(periods, holdPeriod{holder: k.operation.Holder, fence: k.result.Fence, from: k.endedAt, until: min(until, s.releasedAt(k))})
	}
	for i, a := range periods {
		for _, b := range periods[:i] {
			if a.holder != b.holder && a.from < b.until && b.from < a.until {
				s.fail("%v: %s (fence %d) counts on it from %v until %v, and %s (fence %d) from %v until %v",
					calls[0].operation.Name, b.holder, b.fence, b.from, b.until, a.holder, a.fence, a.from, a.until)
			}
		}
	}
}

// releasedAt returns when a holder next sent a release, clear or not.
func (s *simulation) releasedAt(k *call) time.Duration {
	for _, release := range s.history.calls {
		o := &release.operation
		if o.Kind == coordination.Release && o.Name == k.operation.Name && o.Holder == k.operation.Holder && release.startedAt >= k.endedAt {
			return release.startedAt
		}
	}
	return never
}
