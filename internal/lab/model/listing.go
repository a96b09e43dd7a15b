package model

import (
	"slices"
	"time"
)

// Beyond is what a list service does with a call for which its line has no room.
type Beyond string

// What it may do.
const (
	Turns    Beyond = "503"     // it answers 503 at once
	Resets   Beyond = "reset"   // it resets the connection
	Silences Beyond = "silence" // it says nothing, ever
	Slower   Beyond = "slower"  // it takes the call all the same, and each call takes longer by how far the line is exceeded
)

// Listing is a list service of bounded capacity, as a queue: so many calls at a time, first come, first served. A caller
// that leaves while it waits is worked on all the same, as by a service that does not look before it has done the work.
// Calls have to come in the order of their times.
type Listing struct {
	Calls  int           // at a time
	Call   time.Duration // that each takes
	Line   int           // that may wait
	Beyond Beyond

	free  []time.Duration // when each place is free again
	waits []time.Duration // when those that wait will begin
}

// Ask takes a call at a time and returns when it is answered; false if there is no room for it. Slow is how many times as
// long it takes: 1 is as usual.
func (l *Listing) Ask(now time.Duration, slow float64) (answered time.Duration, ok bool) {
	if l.free == nil {
		l.free = make([]time.Duration, l.Calls)
	}
	l.waits = slices.DeleteFunc(l.waits, func(begins time.Duration) bool { return begins <= now })
	next := 0
	for i, at := range l.free {
		if at < l.free[next] {
			next = i
		}
	}
	begins := max(now, l.free[next])
	if begins > now {
		if len(l.waits) >= l.Line {
			if l.Beyond != Slower {
				return 0, false
			}
			slow *= 1 + float64(len(l.waits)-l.Line+1)/float64(l.Line+1)
		}
		l.waits = append(l.waits, begins)
	}
	answered = begins + time.Duration(slow*float64(l.Call))
	l.free[next] = answered
	return answered, true
}

// Forget is a restart: whoever was in work or waited is gone.
func (l *Listing) Forget() { l.free, l.waits = nil, nil }

// Waiting is how many wait at a time.
func (l *Listing) Waiting(now time.Duration) (n int) {
	for _, begins := range l.waits {
		if begins > now {
			n++
		}
	}
	return n
}
