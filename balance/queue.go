package balance

import (
	"cmp"
	"slices"
)

// enqueue puts a request into the queue: the more valuable first, then the one whose target comes first.
func (b *Balancer) enqueue(request *requestState) {
	request.queued = true
	i, _ := slices.BinarySearchFunc(b.queue, request, func(queued, request *requestState) int {
		return cmp.Or(cmp.Compare(request.priority, queued.priority), cmp.Compare(queued.targetAt, request.targetAt+1))
	})
	b.queue = slices.Insert(b.queue, i, request)
}

// dispatchQueue sends what can be sent of the queue, in its order. Where one first attempt finds no endpoint, no other one
// can; a retry may.
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

// queuedAhead is how many queued requests are sent before this one.
func (b *Balancer) queuedAhead(request *requestState) float64 {
	n := 0
	for _, queued := range b.queue {
		if queued.priority >= request.priority {
			n++
		}
	}
	return float64(n)
}
