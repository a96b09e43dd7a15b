package coordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var testOptions = Options{History: 20 * time.Second, MaxGroupBytes: 1 << 20}

var lockName = Name{Kind: KindLock, ID: "lock"}

// execute runs an operation and discards the recorded change.
func execute(s *State, now time.Duration, op Operation) Result { return s.Execute(now, &op, &Change{}) }

// replicaOf returns a new state that is restored from a snapshot of s.
func replicaOf(s *State, now time.Duration) *State {
	replica := NewState(s.kind, testOptions)
	replica.Apply(now, s.Snapshot(now))
	return replica
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

// expiryOf returns the last time at which a lock that was granted at 0 can't be granted to another holder.
func expiryOf(hold time.Duration) time.Duration { return hold + expiryMargin + hold/expiryDriftDivisor }

func TestLockIsGranted(t *testing.T) {
	const hold = 2 * time.Second
	Convey("A lock that is granted to one holder", t, func() {
		s := NewState(KindLock, testOptions)
		granted := execute(s, 0, acquire("a", hold))
		So(granted, ShouldResemble, Result{Outcome: Done, Fence: 1})

		Convey("is not granted to another holder until the hold and the margin for clock drift have passed", func() {
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
		Convey("is granted to another holder right after its release, with a higher fence", func() {
			So(execute(s, 1, release("a", 1)).Outcome, ShouldEqual, Done)
			So(execute(s, 1, renew("a", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, 1, acquire("b", hold)).Fence, ShouldEqual, 2)
		})
		Convey("is not released by another holder or with another fence", func() {
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
		Convey("is not renewed by another holder or with another fence", func() {
			So(execute(s, time.Second, renew("b", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, time.Second, renew("a", 2, hold)).Outcome, ShouldEqual, Held)
		})
		Convey("is not shortened by a shorter hold of the same holder", func() {
			for _, op := range []Operation{renew("a", 1, time.Millisecond), acquire("a", time.Millisecond)} {
				So(execute(s, time.Second, op).Outcome, ShouldEqual, Done)
				So(execute(s, hold, acquire("b", hold)).Outcome, ShouldEqual, Held)
			}
		})
		Convey("is not renewed after its hold has expired, even if no other holder has acquired it", func() {
			late := 10 * hold
			So(execute(s, late, renew("a", 1, hold)), ShouldResemble, Result{Outcome: Held})
			So(execute(s, late, acquire("b", hold)).Outcome, ShouldEqual, Done)
		})
		Convey("is not renewed after another holder has acquired it", func() {
			So(execute(s, 10*hold, acquire("b", hold)).Fence, ShouldEqual, 2)
			So(execute(s, 10*hold, renew("a", 1, hold)).Outcome, ShouldEqual, Held)
			So(execute(s, 10*hold, renew("a", 2, hold)).Outcome, ShouldEqual, Held)
		})
	})
}

func TestLockAgesAreLowerBounds(t *testing.T) {
	const hold = 2 * time.Second
	Convey("A replica of a lock, on another clock,", t, func() {
		s := NewState(KindLock, testOptions)
		execute(s, 0, acquire("a", hold))
		replica := NewState(KindLock, testOptions)
		snapshot := s.Snapshot(time.Second)
		So(snapshot.Lock.AgeMs, ShouldEqual, 1000)

		Convey("counts the hold from the age in the message, regardless of the time in transit", func() {
			const received = time.Hour
			replica.Apply(received, snapshot)
			freeAt := received - time.Second + expiryOf(hold)
			So(execute(replica, freeAt, acquire("b", hold)).Outcome, ShouldEqual, Held)
			So(execute(replica, freeAt+1, acquire("b", hold)).Outcome, ShouldEqual, Done)
		})
		Convey("is not freed before the original if ages and holds are not whole milliseconds", func() {
			s := NewState(KindLock, testOptions)
			execute(s, 0, acquire("a", hold+time.Microsecond))
			now := time.Second + 999*time.Microsecond
			replica.Apply(now, s.Snapshot(now))
			So(replica.lock.grantedAt, ShouldBeGreaterThanOrEqualTo, s.lock.grantedAt)
			So(replica.lock.hold, ShouldBeGreaterThanOrEqualTo, s.lock.hold)
		})
		Convey("is superseded by a snapshot with a greater age", func() {
			younger := &Change{Lock: &LockRecord{Fence: 1, Holder: "a", HoldMs: 2000, AgeMs: 3}}
			So(OlderGrant(younger, snapshot), ShouldEqual, snapshot)
			So(OlderGrant(snapshot, younger), ShouldEqual, snapshot)
			So(OlderGrant(nil, younger), ShouldEqual, younger)
			So(OlderGrant(younger, nil), ShouldEqual, younger)
		})
	})
}
