package coordination

import (
	"slices"
	"time"
)

const (
	// expiryMargin and expiryDriftDivisor are added to a hold before the lock is another's: clocks of two machines drift apart.
	expiryMargin       = 20 * time.Millisecond
	expiryDriftDivisor = 200

	// maxRememberedCalls bounds the calls whose copies are recognised.
	maxRememberedCalls = 8
)

// lock is a lock that its holder loses when its time has run out.
type lock struct {
	fence     uint64
	holder    string // empty: free
	hold      time.Duration
	grantedAt time.Duration // or later
	calls     []uint64      // that acquired it lately, the last one at the end
}

// isFree reports whether no holder may count on the lock: a lower bound of the time since the grant exceeds the hold.
func (l *lock) isFree(now time.Duration) bool {
	return l.holder == "" || now-l.grantedAt > l.hold+expiryMargin+l.hold/expiryDriftDivisor
}

// acquire grants the lock to whoever has it already, too, always with a higher fence: a late call of an earlier hold changes nothing.
func (l *lock) acquire(now time.Duration, op *Operation, change *Change) Result {
	if op.CallID != 0 && slices.Contains(l.calls, op.CallID) {
		return l.acquiredBefore(op)
	}
	if l.holder != op.Holder && !l.isFree(now) {
		return Result{Outcome: Held}
	}
	expired := ""
	if l.holder != op.Holder {
		expired = l.holder
	}
	l.remember(op.CallID)
	l.extend(now, op)
	l.holder = op.Holder
	l.fence++
	change.Lock = l.record(now)
	return Result{Outcome: Done, Fence: l.fence, Expired: expired}
}

// acquiredBefore answers a copy of a call that has acquired the lock: with its fence, as long as no other call has changed the lock.
func (l *lock) acquiredBefore(op *Operation) Result {
	if l.calls[len(l.calls)-1] != op.CallID || l.holder != op.Holder {
		return Result{Outcome: Held}
	}
	return Result{Outcome: Done, Fence: l.fence}
}

func (l *lock) remember(call uint64) {
	if call == 0 {
		return
	}
	l.calls = append(slices.Clone(l.calls), call)
	if len(l.calls) > maxRememberedCalls {
		l.calls = l.calls[1:]
	}
}

// renew extends a hold. One that has run out is lost: its holder has given it up.
func (l *lock) renew(now time.Duration, op *Operation, change *Change) Result {
	if l.holder != op.Holder || l.fence != op.Fence || l.isFree(now) {
		return Result{Outcome: Held}
	}
	l.extend(now, op)
	change.Lock = l.record(now)
	return Result{Outcome: Done, Fence: l.fence}
}

// extend sets the hold from now on. It never shortens one of the same holder, which may not have heard of the shorter one.
func (l *lock) extend(now time.Duration, op *Operation) {
	hold := op.Hold
	if l.holder == op.Holder {
		hold = max(hold, l.hold-(now-l.grantedAt))
	}
	l.hold, l.grantedAt = hold, now
}

func (l *lock) release(now time.Duration, op *Operation, change *Change) Result {
	if l.holder == op.Holder && l.fence == op.Fence {
		l.holder, l.hold = "", 0
		change.Lock = l.record(now)
	}
	return Result{Outcome: Done}
}

func (l *lock) record(now time.Duration) *LockRecord {
	r := &LockRecord{Fence: l.fence, Holder: l.holder, CallIDs: l.calls}
	if l.holder != "" {
		r.HoldMs = ceilMilliseconds(l.hold)
		r.AgeMs = max(0, (now - l.grantedAt).Milliseconds())
	}
	return r
}

func (l *lock) restore(now time.Duration, r *LockRecord) {
	*l = lock{
		fence: r.Fence, holder: r.Holder, calls: r.CallIDs,
		hold:      time.Duration(r.HoldMs) * time.Millisecond,
		grantedAt: now - time.Duration(r.AgeMs)*time.Millisecond,
	}
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
