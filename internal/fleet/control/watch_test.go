package control

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

func TestWatchWaits(t *testing.T) {
	pending := coordinatorResponse{result: coordination.Result{Outcome: coordination.Pending, Revision: 7}}
	failure := coordinatorResponse{err: errors.New("no answer")}
	events := coordinatorResponse{result: coordination.Result{
		Outcome: coordination.Done, Revision: 8, Events: []coordination.Event{{Key: "g.a", Value: "v", Revision: 8}}}}
	const withEvents = `{"events":[{"name":"g.a","value":"v","revision":8}],"revision":8}`
	const withoutEvents = `{"events":[],"revision":7}`

	for _, c := range []struct {
		name       string
		responses  []coordinatorResponse
		waitMs     string
		drainAfter int
		status     int
		body       string
		operations int
		duration   time.Duration
	}{
		{"responds with events at once", []coordinatorResponse{events}, "60000", 0, http.StatusOK, withEvents, 1, 0},
		{"responds as soon as there are events", []coordinatorResponse{pending, events}, "60000", 0, http.StatusOK, withEvents, 2, watchPollInterval},
		{"continues after errors", []coordinatorResponse{failure, failure, events}, "60000", 0, http.StatusOK, withEvents, 3, 2 * watchRetryInterval},
		{"continues after an operation without events and an error", []coordinatorResponse{pending, failure, events}, "60000", 0, http.StatusOK, withEvents, 3,
			watchPollInterval + watchRetryInterval},
		{"responds without events when its wait has elapsed", []coordinatorResponse{pending}, "1000", 0, http.StatusOK, withoutEvents, 3, time.Second},
		{"responds without events if only its last operation failed", []coordinatorResponse{pending, failure}, "450", 0, http.StatusOK,
			withoutEvents, 3, 450 * time.Millisecond},
		{"fails if no operation succeeded", []coordinatorResponse{failure}, "100", 0, http.StatusGatewayTimeout, "", 3, 2 * watchRetryInterval},
		{"responds once this router shuts down", []coordinatorResponse{pending}, "60000", 1, http.StatusOK, withoutEvents, 1, watchPollInterval},
		{"responds once this router shuts down, even after an error", []coordinatorResponse{pending, failure}, "60000", 2, http.StatusOK,
			withoutEvents, 2, watchPollInterval},
		{"executes one operation if its wait is 0", []coordinatorResponse{pending}, "0", 0, http.StatusOK, withoutEvents, 1, 0},
		{"executes one operation if its wait is not given", []coordinatorResponse{pending}, "", 0, http.StatusOK, withoutEvents, 1, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("A watch "+c.name, t, func() {
				coordinator := &fakeCoordinator{responses: c.responses, drainAfter: c.drainAfter}
				start := time.Now()
				response := coordinator.call("GET", "/watch/g.?sinceRevision=7&waitMs="+c.waitMs, "")
				So(response.Code, ShouldEqual, c.status)
				if c.body != "" {
					So(strings.TrimSpace(response.Body.String()), ShouldEqual, c.body)
				}
				So(len(coordinator.operations), ShouldEqual, c.operations)
				So(time.Since(start), ShouldEqual, c.duration)
				for _, maxWait := range coordinator.maxWaits {
					So(maxWait, ShouldBeBetweenOrEqual, 0, watchPollInterval)
				}
			})
		})
	}
}

func TestWatchBounds(t *testing.T) {
	Convey("A watch whose wait exceeds the maximum is served with the maximum", t, func() {
		coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done, Revision: 1})
		So(coordinator.call("GET", "/watch/g.?sinceRevision=1&waitMs=9223372036854775807", "").Code, ShouldEqual, http.StatusOK)
		So(coordinator.maxWaits, ShouldResemble, []time.Duration{watchPollInterval})
	})
	Convey("A watch of a key watches its group", t, func() {
		coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done, Revision: 1})
		So(coordinator.call("GET", "/watch/g.a", "").Code, ShouldEqual, http.StatusOK)
		So(coordinator.operations[0].Name.ID, ShouldEqual, "g.")
	})
	Convey("A watch ends when its client disconnects", t, func() {
		handlers := &coordinationHandlers{coordinator: newFakeCoordinator(coordination.Result{Outcome: coordination.Pending})}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := handlers.awaitEvents(ctx, &coordination.Operation{}, time.Now().Add(time.Hour))
		So(err, ShouldBeNil)
	})
}
