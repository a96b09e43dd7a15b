package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A plain, slow oracle: every call at a place of its own in the line, looked through anew at each call.
func TestListing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ListService{Concurrency: rapid.IntRange(1, 4).Draw(t, "calls"), ServiceTime: 20 * time.Millisecond, MaxQueue: rapid.IntRange(0, 5).Draw(t, "line"), OnOverflow: OverflowReject}
		type booked struct{ begins, ends time.Duration }
		var all []booked
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond
			slow := float64(rapid.IntRange(1, 3).Draw(t, "slow"))
			at, ok := l.Call(now, slow)
			// It begins at the first moment from now on at which fewer than Calls others are in work.
			waits, begins := 0, now
			for _, b := range all {
				if b.begins > now {
					waits++
				}
			}
			for {
				busy, next := 0, time.Duration(1<<62)
				for _, b := range all {
					if b.begins <= begins && begins < b.ends || b.begins > begins {
						busy++
						next = min(next, b.ends)
					}
				}
				if busy < l.Concurrency {
					break
				}
				begins = next
				if begins < now {
					t.Fatal("the oracle went back")
				}
			}
			if want := begins == now || waits < l.MaxQueue; ok != want {
				t.Fatalf("at %s: taken %v, want %v with %d that wait", now, ok, want, waits)
			}
			if !ok {
				continue
			}
			if want := begins + time.Duration(slow)*l.ServiceTime; at != want {
				t.Fatalf("at %s: answered at %s, want %s", now, at, want)
			}
			all = append(all, booked{begins, at})
		}
	})
}

// OnOverflow its line a service that slows down takes the call, and longer for it.
func TestListingSlower(t *testing.T) {
	l := ListService{Concurrency: 1, ServiceTime: 10 * time.Millisecond, MaxQueue: 1, OnOverflow: OverflowSlow}
	for i, want := range []time.Duration{10, 20, 35, 55} {
		if at, ok := l.Call(0, 1); !ok || at != want*time.Millisecond {
			t.Errorf("call %d: %s, %v; want %s", i, at, ok, want*time.Millisecond)
		}
	}
}
