package model

// fifo is a first in, first out queue. Its memory is in proportion to its longest length so far.
type fifo[T any] struct {
	items []T
	head  int
}

func (q *fifo[T]) len() int  { return len(q.items) - q.head }
func (q *fifo[T]) front() *T { return &q.items[q.head] }

func (q *fifo[T]) push(x T) {
	// Moving at most as many items as have left since the last time keeps a push at constant cost on average.
	if len(q.items) == cap(q.items) && 2*q.head > len(q.items) {
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
	q.items = append(q.items, x)
}

func (q *fifo[T]) pop() T {
	x := q.items[q.head]
	if q.head++; q.head == len(q.items) {
		q.clear()
	}
	return x
}

func (q *fifo[T]) clear() { q.items, q.head = q.items[:0], 0 }
