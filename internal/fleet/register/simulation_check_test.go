package register

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// history holds all calls in the order in which they started. An operation whose outcome is unclear may have taken effect
// at any time after its start, or never.
type history struct{ calls []*call }

// isDone reports whether the call is known to have taken effect.
func (k *call) isDone() bool {
	return k.certainty == Decided && k.result.Outcome == coordination.Done
}

// precedes reports whether the call ended before the other one started.
func (k *call) precedes(other *call) bool { return k.endedAt < other.startedAt }

// decidedCalls returns the decided calls of one name.
func (h *history) decidedCalls(name coordination.Name) []*call {
	return slices.DeleteFunc(slices.Clone(h.calls), func(k *call) bool { return k.operation.Name != name || k.certainty != Decided })
}

// checkHistory checks the calls of all names.
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

// checkCounter checks that a counter is linearizable: no count is returned twice, and a call that starts after another
// has ended gets a higher count. Unclear increments may leave gaps.
func (s *simulation) checkCounter(calls []*call) {
	for i, k := range calls {
		for _, earlier := range calls[:i] {
			if k.result.Count == earlier.result.Count {
				s.fail("%v returned count %d twice", k.operation.Name, k.result.Count)
			}
			if earlier.precedes(k) && k.result.Count < earlier.result.Count {
				s.fail("%v returned count %d after count %d", k.operation.Name, k.result.Count, earlier.result.Count)
			}
		}
	}
}

// checkFences checks that no fence is returned by two acquires, that fences rise with time, and that a fence is not
// renewed after a higher one was returned.
func (s *simulation) checkFences(calls []*call) {
	for i, k := range calls {
		if !k.isDone() || k.operation.Kind == coordination.Release {
			continue
		}
		if k.operation.Kind == coordination.Renew && k.result.Fence != k.operation.Fence {
			s.fail("%v: a renewal of fence %d returned fence %d", k.operation.Name, k.operation.Fence, k.result.Fence)
		}
		for _, earlier := range calls[:i] {
			if !earlier.isDone() || earlier.operation.Kind == coordination.Release {
				continue
			}
			isAcquire := k.operation.Kind == coordination.Acquire
			if isAcquire && earlier.operation.Kind == coordination.Acquire && k.result.Fence == earlier.result.Fence {
				s.fail("%v returned fence %d twice", k.operation.Name, k.result.Fence)
			}
			if earlier.precedes(k) && (k.result.Fence < earlier.result.Fence || isAcquire && k.result.Fence == earlier.result.Fence) {
				s.fail("%v returned fence %d after fence %d", k.operation.Name, k.result.Fence, earlier.result.Fence)
			}
		}
	}
}

// holdPeriod is a period in which a holder relies on holding the lock.
type holdPeriod struct {
	holder      string
	fence       uint64
	from, until time.Duration
}

// checkHolders checks that no two holders rely on holding the lock at the same time. A holder does so from the reply
// until its hold, measured by its own clock from when it sent the call, has expired or it sends a release.
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
				s.fail("%v: %s (fence %d) holds it from %v until %v, and %s (fence %d) from %v until %v",
					calls[0].operation.Name, b.holder, b.fence, b.from, b.until, a.holder, a.fence, a.from, a.until)
			}
		}
	}
}

// releasedAt returns the time at which the holder sent the first release after a call, whatever the outcome of the
// release, or never.
func (s *simulation) releasedAt(k *call) time.Duration {
	for _, release := range s.history.calls {
		o := &release.operation
		if o.Kind == coordination.Release && o.Name == k.operation.Name && o.Holder == k.operation.Holder && release.startedAt >= k.endedAt {
			return release.startedAt
		}
	}
	return never
}
