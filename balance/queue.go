package balance

import (
	"cmp"
	"slices"
)

// enqueue inserts a request into the queue, which is ordered by descending priority, then by the time targetAt.
func (b *Balancer) enqueue(request *requestState) {
	request.queued = true
	i, _ := slices.BinarySearchFunc(b.queue, request, func(queued, request *requestState) int {
		// With targetAt+1, a request is inserted after those with the same priority and targetAt.
		return cmp.Or(cmp.Compare(request.priority, queued.priority), cmp.Compare(queued.targetAt, request.targetAt+1))
	})
	b.queue = slices.Insert(b.queue, i, request)
}

// dispatchQueue sends the queued requests that can be sent, in the order of the queue. When one first attempt finds no
// endpoint, the other first attempts are skipped, because they would not find one either; a retry still may.
func (b *Balancer) dispatchQueue() {
	blocked := false
	for i := 0; i < len(b.queue); {
		request := b.queue[i]
		firstAttempt := len(request.attempts) == 0
		if firstAttempt && blocked || !b.send(request, b.pickEndpoint(request)) {
			blocked = blocked || firstAttempt
			i++
			continue
		}
		request.queued = false
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

// queuedAhead returns the number of queued requests that are sent before this one.
func (b *Balancer) queuedAhead(request *requestState) float64 {
	n := 0
	for _, queued := range b.queue {
		if queued.priority >= request.priority {
			n++
		}
	}
	return float64(n)
}
