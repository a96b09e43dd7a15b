package pollsim

import (
	"cmp"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// event is the start or the end of a call.
type event struct {
	at       time.Duration
	seq      int // breaks ties
	instance int
	result   *pacing.Result // nil: a call starts
}

// queue is a heap of events by time, for container/heap.
type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
