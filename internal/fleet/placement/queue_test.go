package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQueue(t *testing.T) {
	Convey("A running prefill is not preempted by a more urgent one", t, func() {
		var q queue
		q.push(0, 1, 0.2)
		q.push(0, 1, 0.3)
		q.push(0, 0, 0.1)
		So(q.waitFor(0), ShouldAlmostEqual, 0.3, 1e-9)
		So(q.waitFor(1), ShouldAlmostEqual, 0.6, 1e-9)
		q.advance(200 * time.Millisecond)
		So(q.jobs[0].priority, ShouldEqual, 0)
		So(q.waitFor(0), ShouldAlmostEqual, 0.1+0.3*(1-0.1/certainOvertakeSeconds), 1e-9) // the less urgent job may start first
		q.advance(350 * time.Millisecond)
		So(q.waitFor(0), ShouldAlmostEqual, 0.25, 1e-9) // the less urgent job is running
		q.advance(time.Second)
		So(q.jobs, ShouldBeEmpty)
	})
	Convey("A first token completes its job and the earlier ones, not later ones", t, func() {
		var q queue
		serial := q.push(0, 0, 0.5)
		q.push(0, 0, 0.003)
		q.complete(serial, 0)
		So(q.waitFor(0), ShouldAlmostEqual, 0.003)
	})
	Convey("The queue is bounded", t, func() {
		var q queue
		for range 10 * maxQueueJobs {
			q.push(0, 20, 1e9)
			q.push(0, -1, 0.01)
		}
		So(len(q.jobs), ShouldBeLessThanOrEqualTo, maxQueueJobs)
		So(q.total(), ShouldBeLessThanOrEqualTo, maxQueueSeconds+1e-9)
	})
}
