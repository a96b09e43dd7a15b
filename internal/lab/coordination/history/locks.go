package history

import (
	"cmp"
	"slices"
	"time"
)

// hold is a time for which a caller counts itself holder of a lock: from the answer, until its time has run out or it sends a release.
type hold struct {
	holder      string
	from, until time.Duration
	calls       []*Call // that began and extended it
}

// checkLock checks the calls of one lock.
func (c *checker) checkLock(calls []*Call) {
	byHolder := map[string][]*Call{}
	for _, call := range calls {
		byHolder[call.Holder] = append(byHolder[call.Holder], call)
	}
	var holds []*hold
	for holder, its := range byHolder {
		holds = append(holds, holdsOf(holder, its)...)
	}
	c.checkHolds(holds)
	c.checkFences(calls)
}

// holdsOf returns the holds of one holder out of its calls in the order of sending.
func holdsOf(holder string, calls []*Call) (holds []*hold) {
	var present *hold
	for _, call := range calls {
		isInTime := call.succeeded() && call.Received <= call.end()
		isHeld := present != nil && call.Received <= present.until
		switch {
		case call.Kind == Release && present != nil:
			present.until = min(present.until, call.Sent)
			present = nil
		case call.Kind == Acquire && isInTime && !isHeld:
			present = &hold{holder: holder, from: call.Received, until: call.end(), calls: []*Call{call}}
			holds = append(holds, present)
		case (call.Kind == Acquire || call.Kind == Renew) && isInTime && isHeld:
			present.until = call.end()
			present.calls = append(present.calls, call)
		case call.Kind == Renew && call.succeeded(): // too late: it has no effect, and the caller gives up the lock
			present = nil
		}
	}
	return holds
}

// checkHolds finds two callers that count themselves holder at once.
func (c *checker) checkHolds(holds []*hold) {
	slices.SortFunc(holds, func(a, b *hold) int { return cmp.Compare(a.from, b.from) })
	for i, first := range holds {
		for _, second := range holds[i+1:] {
			if second.from >= first.until {
				break
			}
			if second.holder != first.holder && second.from < second.until {
				c.broken(One, append(slices.Clone(first.calls), second.calls...), "%s and %s both hold the lock from %.3f to %.3f s",
					first.holder, second.holder, second.from.Seconds(), min(first.until, second.until).Seconds())
			}
		}
	}
}

// checkFences finds fences that two holders got, and ones that are not above those given before the call was sent. A holder that acquires its
// lock again gets the same fence or a higher one.
func (c *checker) checkFences(calls []*Call) {
	var granted []*Call
	for _, call := range calls {
		if call.Kind == Acquire && call.succeeded() {
			granted = append(granted, call)
		}
	}
	for i, first := range granted {
		for _, second := range granted[i+1:] {
			c.checkFencePair(first, second)
		}
	}
}

// checkFencePair checks two grants, the first of which was sent before the second.
func (c *checker) checkFencePair(first, second *Call) {
	isSameHolder, isBefore := first.Holder == second.Holder, first.Received < second.Sent
	both := []*Call{first, second}
	switch {
	case !isSameHolder && first.Fence == second.Fence:
		c.broken(ruleOf(second, One), both, "two holders got the fence %d", first.Fence)
	case isBefore && second.Fence < first.Fence:
		c.broken(ruleOf(second, One), both, "the fence %d was given after %d", second.Fence, first.Fence)
	}
}
