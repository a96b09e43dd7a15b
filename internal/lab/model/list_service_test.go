package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Against a slow oracle that searches all calls so far for the first time at which a server is free.
func TestListService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ListService{Concurrency: rapid.IntRange(1, 4).Draw(t, "calls"), ServiceTime: 20 * time.Millisecond, MaxQueue: rapid.IntRange(0, 5).Draw(t, "queue"), OnOverflow: OverflowReject}
		type served struct{ start, ends time.Duration }
		var all []served
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond
			slow := float64(rapid.IntRange(1, 3).Draw(t, "slow"))
			at, ok := l.Call(now, slow)
			// It starts at the first time from now on at which fewer than Concurrency others are in service.
			queued, start := 0, now
			for _, b := range all {
				if b.start > now {
					queued++
				}
			}
			for {
				busy, next := 0, time.Duration(1<<62)
				for _, b := range all {
					if b.start <= start && start < b.ends || b.start > start {
						busy++
						next = min(next, b.ends)
					}
				}
				if busy < l.Concurrency {
					break
				}
				start = next
				if start < now {
					t.Fatal("the oracle went back in time")
				}
			}
			if want := start == now || queued < l.MaxQueue; ok != want {
				t.Fatalf("at %s: accepted %v, want %v with %d queued", now, ok, want, queued)
			}
			if !ok {
				continue
			}
			if want := start + time.Duration(slow)*l.ServiceTime; at != want {
				t.Fatalf("at %s: response at %s, want %s", now, at, want)
			}
			all = append(all, served{start, at})
		}
	})
}

// Beyond its queue a service that slows down accepts the call, and takes longer for it.
func TestListServiceOverflowSlow(t *testing.T) {
	l := ListService{Concurrency: 1, ServiceTime: 10 * time.Millisecond, MaxQueue: 1, OnOverflow: OverflowSlow}
	for i, want := range []time.Duration{10, 20, 35, 55} {
		if at, ok := l.Call(0, 1); !ok || at != want*time.Millisecond {
			t.Errorf("call %d: %s, %v; want %s", i, at, ok, want*time.Millisecond)
		}
	}
}
