package coordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var testOptions = Options{History: 20 * time.Second, MaxGroupBytes: 1 << 20}

var lockName = Name{Kind: KindLock, ID: "lock"}

// execute runs an operation whose recorded change does not matter.
func execute(s *State, now time.Duration, op Operation) Result { return s.Execute(now, &op, &Change{}) }

// copyOf returns another state with a snapshot of this one.
func copyOf(s *State, now time.Duration) *State {
	other := NewState(s.kind, testOptions)
	other.Apply(now, s.Snapshot(now))
	return other
}

func acquire(holder string, hold time.Duration) Operation {
	return Operation{Kind: Acquire, Name: lockName, Holder: holder, Hold: hold}
}

func renew(holder string, fence uint64, hold time.Duration) Operation {
	return Operation{Kind: Renew, Name: lockName, Holder: holder, Fence: fence, Hold: hold}
}

func release(holder string, fence uint64) Operation {
	return Operation{Kind: Release, Name: lockName, Holder: holder, Fence: fence}
}

// expiryOf returns when a lock that is granted at 0 may be another's.
func expiryOf(hold time.Duration) time.Duration { return hold + expiryMargin + hold/expiryDriftDivisor }

func TestLockIsGranted(t *testing.T) {
	const hold = 2 * time.Second
	Convey("A lock that is granted to one holder", t, func() {
		s := NewState(KindLock, testOptions)
		granted := execute(s, 0, acquire("a", hold))
		So(granted, ShouldResemble, Result{Outcome: Done, Fence: 1})

		Convey("is not another's until the hold and the margin for drift have passed", func() {
			So(execute(s, hold, acquire("b", hold)).Outcome, ShouldEqual, Held)
			So(execute(s, expiryOf(hold), acquire("b", hold)), ShouldResemble, Result{Outcome: Held})
			So(execute(s, expiryOf(hold)+1, acquire("b", hold)), ShouldResemble, Result{Outcome: Done, Fence: 2, Expired: "a"})
		})
		Convey("is granted to the same holder again, with a higher fence and a full hold", func() {
			So(execute(s, hold/2, acquire("a", hold)), ShouldResemble, Result{Outcome: Done, Fence: 2})
			So(execute(s, hold/2+expiryOf(hold), acquire("b", hold)).Outcome, ShouldEqual, Held)
			So(execute(s, hold/2, renew("a", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, hold/2, release("a", 1)).Outcome, ShouldEqual, Done)
			So(execute(s, hold/2, acquire("b", hold)).Outcome, ShouldEqual, Held)
		})
		Convey("is another's at once after its release, with a higher fence", func() {
			So(execute(s, 1, release("a", 1)).Outcome, ShouldEqual, Done)
			So(execute(s, 1, renew("a", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, 1, acquire("b", hold)).Fence, ShouldEqual, 2)
		})
		Convey("is not released by another holder or fence", func() {
			before := s.Snapshot(time.Second)
			for _, op := range []Operation{release("a", 2), release("b", 1), release("a", 0)} {
				change := &Change{}
				So(s.Execute(time.Second, &op, change).Outcome, ShouldEqual, Done)
				So(change.IsEmpty(), ShouldBeTrue)
			}
			So(s.Snapshot(time.Second), ShouldResemble, before)
		})
	})
}

func TestLockIsRenewed(t *testing.T) {
	const hold = 2 * time.Second
	Convey("A lock that is granted to one holder", t, func() {
		s := NewState(KindLock, testOptions)
		execute(s, 0, acquire("a", hold))

		Convey("is held longer after it is renewed, with the same fence", func() {
			So(execute(s, time.Second, renew("a", 1, hold)), ShouldResemble, Result{Outcome: Done, Fence: 1})
			So(execute(s, time.Second+expiryOf(hold), acquire("b", hold)).Outcome, ShouldEqual, Held)
			So(execute(s, time.Second+expiryOf(hold)+1, acquire("b", hold)).Outcome, ShouldEqual, Done)
		})
		Convey("is renewed by nobody else", func() {
			So(execute(s, time.Second, renew("b", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, time.Second, renew("a", 2, hold)).Outcome, ShouldEqual, Held)
		})
		Convey("is never held shorter by a shorter hold of the same holder", func() {
			for _, op := range []Operation{renew("a", 1, time.Millisecond), acquire("a", time.Millisecond)} {
				So(execute(s, time.Second, op).Outcome, ShouldEqual, Done)
				So(execute(s, hold, acquire("b", hold)).Outcome, ShouldEqual, Held)
			}
		})
		Convey("is not renewed after its time has run out, also where nobody else acquired it", func() {
			late := 10 * hold
			So(execute(s, late, renew("a", 1, hold)), ShouldResemble, Result{Outcome: Held})
			So(execute(s, late, acquire("b", hold)).Outcome, ShouldEqual, Done)
		})
		Convey("is not renewed once another has acquired it", func() {
			So(execute(s, 10*hold, acquire("b", hold)).Fence, ShouldEqual, 2)
			So(execute(s, 10*hold, renew("a", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, 10*hold, renew("a", 2, hold)).Outcome, ShouldEqual, Held)
		})
	})
}

func TestLockAgesAreLowerBounds(t *testing.T) {
	const hold = 2 * time.Second
	Convey("A copy of a lock, by another clock,", t, func() {
		s := NewState(KindLock, testOptions)
		execute(s, 0, acquire("a", hold))
		other := NewState(KindLock, testOptions)
		snapshot := s.Snapshot(time.Second)
		So(snapshot.Lock.AgeMs, ShouldEqual, 1000)

		Convey("counts the hold from the age that it was told, whatever time the message took", func() {
			const received = time.Hour
			other.Apply(received, snapshot)
			freeAt := received - time.Second + expiryOf(hold)
			So(execute(other, freeAt, acquire("b", hold)).Outcome, ShouldEqual, Held)
			So(execute(other, freeAt+1, acquire("b", hold)).Outcome, ShouldEqual, Done)
		})
		Convey("is not freed earlier than the first where ages and holds are no whole milliseconds", func() {
			s := NewState(KindLock, testOptions)
			execute(s, 0, acquire("a", hold+time.Microsecond))
			now := time.Second + 999*time.Microsecond
			other.Apply(now, s.Snapshot(now))
			So(other.lock.grantedAt, ShouldBeGreaterThanOrEqualTo, s.lock.grantedAt)
			So(other.lock.hold, ShouldBeGreaterThanOrEqualTo, s.lock.hold)
		})
		Convey("yields to one that knows a greater age", func() {
			younger := &Change{Lock: &LockRecord{Fence: 1, Holder: "a", HoldMs: 2000, AgeMs: 3}}
			So(OlderGrant(younger, snapshot), ShouldEqual, snapshot)
			So(OlderGrant(snapshot, younger), ShouldEqual, snapshot)
			So(OlderGrant(nil, younger), ShouldEqual, younger)
			So(OlderGrant(younger, nil), ShouldEqual, younger)
		})
	})
}
