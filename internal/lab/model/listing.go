package model

import (
	"slices"
	"time"
)

// OnOverflow is what a list service does with a call for which its line has no room.
type OverflowPolicy string

// What it may do.
const (
	OverflowReject OverflowPolicy = "503"     // it answers 503 at once
	OverflowReset  OverflowPolicy = "reset"   // it resets the connection
	OverflowDrop   OverflowPolicy = "silence" // it says nothing, ever
	OverflowSlow   OverflowPolicy = "slower"  // it takes the call all the same, and each call takes longer by how far the line is exceeded
)

// ListService is a list service of bounded capacity, as a queue: so many calls at a time, first come, first served. A caller
// that leaves while it waits is worked on all the same, as by a service that does not look before it has done the work.
// Concurrency have to come in the order of their times.
type ListService struct {
	Concurrency int           // at a time
	ServiceTime time.Duration // that each takes
	MaxQueue    int           // that may wait
	OnOverflow  OverflowPolicy

	freeAt      []time.Duration // when each place is free again
	queuedUntil []time.Duration // when those that wait will begin
}

// Call takes a call at a time and returns when it is answered; false if there is no room for it. Slow is how many times as
// long it takes: 1 is as usual.
func (l *ListService) Call(now time.Duration, slow float64) (answered time.Duration, ok bool) {
	if l.freeAt == nil {
		l.freeAt = make([]time.Duration, l.Concurrency)
	}
	l.queuedUntil = slices.DeleteFunc(l.queuedUntil, func(begins time.Duration) bool { return begins <= now })
	next := 0
	for i, at := range l.freeAt {
		if at < l.freeAt[next] {
			next = i
		}
	}
	begins := max(now, l.freeAt[next])
	if begins > now {
		if len(l.queuedUntil) >= l.MaxQueue {
			if l.OnOverflow != OverflowSlow {
				return 0, false
			}
			slow *= 1 + float64(len(l.queuedUntil)-l.MaxQueue+1)/float64(l.MaxQueue+1)
		}
		l.queuedUntil = append(l.queuedUntil, begins)
	}
	answered = begins + time.Duration(slow*float64(l.ServiceTime))
	l.freeAt[next] = answered
	return answered, true
}

// Restart is a restart: whoever was in work or waited is gone.
func (l *ListService) Restart() { l.freeAt, l.queuedUntil = nil, nil }

// Queued is how many wait at a time.
func (l *ListService) Queued(now time.Duration) (n int) {
	for _, begins := range l.queuedUntil {
		if begins > now {
			n++
		}
	}
	return n
}
