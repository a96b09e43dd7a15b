package coordination

import (
	"slices"
	"time"
)

const (
	// A lock can be granted to another holder expiryMargin and hold/expiryDriftDivisor after the end of its hold: the clocks of two
	// machines drift apart.
	expiryMargin       = 20 * time.Millisecond
	expiryDriftDivisor = 200

	// maxCallIDs is the maximum number of recent calls whose duplicates are recognised.
	maxCallIDs = 8
)

// lock is the state of a lock, whose holder loses it when the hold expires.
type lock struct {
	fence     uint64
	holder    string // empty: free
	hold      time.Duration
	grantedAt time.Duration // upper bound of the time of the grant, as LockRecord.AgeMs is a lower bound
	callIDs   []uint64      // of the most recent calls that acquired the lock, the latest one last
}

// isFree reports whether the lock can be granted to any holder: it is released, or the lower bound of the time since its grant exceeds the
// hold and the margin for clock drift.
func (l *lock) isFree(now time.Duration) bool {
	return l.holder == "" || now-l.grantedAt > l.hold+expiryMargin+l.hold/expiryDriftDivisor
}

// acquire grants a free lock, or grants the lock again to its current holder. Each grant has a higher fence, so that a delayed call from an
// earlier hold has no effect.
func (l *lock) acquire(now time.Duration, op *Operation, change *Change) Result {
	if op.CallID != 0 && slices.Contains(l.callIDs, op.CallID) {
		return l.answerDuplicate(op)
	}
	if l.holder != op.Holder && !l.isFree(now) {
		return Result{Outcome: Held}
	}
	expired := ""
	if l.holder != op.Holder {
		expired = l.holder
	}
	l.addCallID(op.CallID)
	l.extend(now, op)
	l.holder = op.Holder
	l.fence++
	change.Lock = l.record(now)
	return Result{Outcome: Done, Fence: l.fence, Expired: expired}
}

// answerDuplicate returns the result for a duplicate of a call that acquired the lock: the fence that the call was granted, unless the lock
// has been released or granted to another call since.
func (l *lock) answerDuplicate(op *Operation) Result {
	if l.callIDs[len(l.callIDs)-1] != op.CallID || l.holder != op.Holder {
		return Result{Outcome: Held}
	}
	return Result{Outcome: Done, Fence: l.fence}
}

// addCallID records a call that acquired the lock, and drops the earliest one above maxCallIDs.
func (l *lock) addCallID(callID uint64) {
	if callID == 0 {
		return
	}
	l.callIDs = append(slices.Clone(l.callIDs), callID)
	if len(l.callIDs) > maxCallIDs {
		l.callIDs = l.callIDs[1:]
	}
}

// renew extends a hold. A hold that has expired can't be renewed: its holder counts the lock as lost.
func (l *lock) renew(now time.Duration, op *Operation, change *Change) Result {
	if l.holder != op.Holder || l.fence != op.Fence || l.isFree(now) {
		return Result{Outcome: Held}
	}
	l.extend(now, op)
	change.Lock = l.record(now)
	return Result{Outcome: Done, Fence: l.fence}
}

// extend starts a hold at the time now. It never shortens a hold of the same holder, who may not have received the answer with the shorter
// hold.
func (l *lock) extend(now time.Duration, op *Operation) {
	hold := op.Hold
	if l.holder == op.Holder {
		hold = max(hold, l.hold-(now-l.grantedAt))
	}
	l.hold, l.grantedAt = hold, now
}

// release frees the lock if the holder and the fence are the current ones. Otherwise it changes nothing.
func (l *lock) release(now time.Duration, op *Operation, change *Change) Result {
	if l.holder == op.Holder && l.fence == op.Fence {
		l.holder, l.hold = "", 0
		change.Lock = l.record(now)
	}
	return Result{Outcome: Done}
}

// record returns the encoded form of the lock, with its age at the time now. The hold is rounded up and the age down, so that no replica
// frees the lock early.
func (l *lock) record(now time.Duration) *LockRecord {
	r := &LockRecord{Fence: l.fence, Holder: l.holder, CallIDs: l.callIDs}
	if l.holder != "" {
		r.HoldMs = ceilMilliseconds(l.hold)
		r.AgeMs = max(0, (now - l.grantedAt).Milliseconds())
	}
	return r
}

// restore replaces the lock by a recorded one.
func (l *lock) restore(now time.Duration, r *LockRecord) {
	*l = lock{
		fence: r.Fence, holder: r.Holder, callIDs: r.CallIDs,
		hold:      time.Duration(r.HoldMs) * time.Millisecond,
		grantedAt: now - time.Duration(r.AgeMs)*time.Millisecond,
	}
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
