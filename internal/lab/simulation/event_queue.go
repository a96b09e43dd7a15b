package simulation

import "time"

// event is something that happens at a time. Of events at the same time the one that was scheduled first comes first.
type event struct {
	at       time.Duration
	seq      uint64
	token    uint32
	index    int32 // what the event is of; see eventKind
	argument int32
	status   uint8
	kind     eventKind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a heap of events with four children a node: it is shallow, and most of its events are far off.
type eventQueue []event

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	i := len(heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&heap[up]) {
			break
		}
		heap[i] = heap[up]
		i = up
	}
	heap[i] = e
	*q = heap
}

func (q *eventQueue) pop() event {
	heap := *q
	top, last := heap[0], heap[len(heap)-1]
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return top
	}
	i := 0
	for {
		next := 4*i + 1
		if next >= len(heap) {
			break
		}
		for k := next + 1; k < min(4*i+5, len(heap)); k++ {
			if heap[k].before(&heap[next]) {
				next = k
			}
		}
		if !heap[next].before(&last) {
			break
		}
		heap[i] = heap[next]
		i = next
	}
	heap[i] = last
	return top
}

// orderedEvents are events of one kind that are scheduled in the order of their times, so that they need no heap. Most of
// them are time-outs of attempts that ended long before.
type orderedEvents struct {
	events []event
	head   int
}
