package model

import (
	"slices"
	"time"
)

// OverflowPolicy is what a list service does with a call beyond its queue.
type OverflowPolicy string

// The policies. Their values are those of the scenario's key "beyond".
const (
	OverflowReject OverflowPolicy = "503"     // it responds 503 at once
	OverflowReset  OverflowPolicy = "reset"   // it resets the connection
	OverflowDrop   OverflowPolicy = "silence" // it never responds
	OverflowSlow   OverflowPolicy = "slower"  // it queues the call all the same, and serves it more slowly the longer the queue
)

// ListService is a list service of bounded capacity, as a first come first served queue with several servers. A call
// whose caller has gone takes its time all the same, as in a service that does not look before the work is done. Calls
// have to come in the order of their times.
type ListService struct {
	Concurrency int           // calls in service at once
	ServiceTime time.Duration // of a call
	MaxQueue    int           // calls that may wait
	OnOverflow  OverflowPolicy

	freeAt      []time.Duration // of each server, when it is next free
	queuedUntil []time.Duration // of each waiting call, when its service start
}

// Call takes a call and returns the time of its response; false if the queue is full. Slow is how many times as long
// its service takes as usual.
func (l *ListService) Call(now time.Duration, slow float64) (responded time.Duration, ok bool) {
	if l.freeAt == nil {
		l.freeAt = make([]time.Duration, l.Concurrency)
	}
	l.queuedUntil = slices.DeleteFunc(l.queuedUntil, func(start time.Duration) bool { return start <= now })
	next := 0
	for i, at := range l.freeAt {
		if at < l.freeAt[next] {
			next = i
		}
	}
	start := max(now, l.freeAt[next])
	if start > now {
		if len(l.queuedUntil) >= l.MaxQueue {
			if l.OnOverflow != OverflowSlow {
				return 0, false
			}
			slow *= 1 + float64(len(l.queuedUntil)-l.MaxQueue+1)/float64(l.MaxQueue+1)
		}
		l.queuedUntil = append(l.queuedUntil, start)
	}
	responded = start + time.Duration(slow*float64(l.ServiceTime))
	l.freeAt[next] = responded
	return responded, true
}

// Restart loses all calls in service and queued.
func (l *ListService) Restart() { l.freeAt, l.queuedUntil = nil, nil }

// Queued is the number of calls that wait at a time.
func (l *ListService) Queued(now time.Duration) (n int) {
	for _, start := range l.queuedUntil {
		if start > now {
			n++
		}
	}
	return n
}
