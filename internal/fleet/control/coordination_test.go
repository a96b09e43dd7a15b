package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// coordinatorResponse is the result of an operation that a fakeCoordinator executes.
type coordinatorResponse struct {
	result coordination.Result
	err    error
}

// fakeCoordinator records operations and returns the responses in their order. It repeats the last one.
type fakeCoordinator struct {
	responses  []coordinatorResponse
	drainAfter int // number of operations after which it drains; 0: never
	operations []coordination.Operation
	maxWaits   []time.Duration
}

func (c *fakeCoordinator) Execute(
	ctx context.Context, operation *coordination.Operation, maxWait time.Duration,
) (coordination.Result, error) {
	c.operations = append(c.operations, *operation)
	c.maxWaits = append(c.maxWaits, maxWait)
	response := c.responses[min(len(c.operations), len(c.responses))-1]
	if response.result.Outcome == coordination.Pending {
		pause(ctx, maxWait)
	}
	return response.result, response.err
}

func (c *fakeCoordinator) Draining() bool {
	return c.drainAfter > 0 && len(c.operations) >= c.drainAfter
}

// newFakeCoordinator returns a coordinator whose operations have these results, one after the other.
func newFakeCoordinator(results ...coordination.Result) *fakeCoordinator {
	c := &fakeCoordinator{}
	for _, result := range results {
		c.responses = append(c.responses, coordinatorResponse{result: result})
	}
	return c
}

// newFailingCoordinator returns a coordinator whose operations all fail with err.
func newFailingCoordinator(err error) *fakeCoordinator {
	return &fakeCoordinator{responses: []coordinatorResponse{{err: err}}}
}

func (c *fakeCoordinator) call(method, path, body string) *httptest.ResponseRecorder {
	server := NewServer(&fakeDelegate{}, ownAddress, Limits{})
	server.HandleCoordination(c)
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

// testCall is a valid call with the operation that its handler has to execute.
type testCall struct {
	method, path, body string
	operation          coordination.Operation
}

func testCalls() map[string]testCall {
	lock := coordination.Name{Kind: coordination.KindLock, ID: "l"}
	group := coordination.Name{Kind: coordination.KindGroup, ID: "g."}
	revision := uint64(7)
	return map[string]testCall{
		"acquire": {"POST", "/locks/l/begin", `{"holder":"a","holdMs":1500}`, coordination.Operation{
			Kind: coordination.Acquire, Name: lock, Holder: "a", Hold: 1500 * time.Millisecond}},
		"renew": {"POST", "/locks/l/heartbeat", `{"holder":"a","fence":3,"holdMs":1500}`, coordination.Operation{
			Kind: coordination.Renew, Name: lock, Holder: "a", Fence: 3, Hold: 1500 * time.Millisecond}},
		"release": {"POST", "/locks/l/finish", `{"holder":"a","fence":3}`, coordination.Operation{
			Kind: coordination.Release, Name: lock, Holder: "a", Fence: 3}},
		"increment": {"POST", "/numbers/n", `{}`, coordination.Operation{
			Kind: coordination.Increment, Name: coordination.Name{Kind: coordination.KindCounter, ID: "n"}}},
		"put": {"POST", "/cells/g.a/replace", `{"value":"v","ifRevision":7}`, coordination.Operation{
			Kind: coordination.Put, Name: group, Key: "g.a", Value: "v", IfRevision: &revision}},
		"get": {"GET", "/cells/g.a/read", "", coordination.Operation{Kind: coordination.Get, Name: group, Key: "g.a"}},
		"watch": {"GET", "/watch/g.?sinceRevision=7&waitMs=0", "", coordination.Operation{
			Kind: coordination.Watch, Name: group, Since: 7}},
	}
}

func TestCoordinationOutcomes(t *testing.T) {
	Convey("Each call executes its operation, and the outcome determines the response", t, func() {
		calls := testCalls()
		for _, c := range []struct {
			call   string
			result coordination.Result
			status int
			body   string
		}{
			{"acquire", coordination.Result{Outcome: coordination.Done, Fence: 4}, http.StatusOK, `{"fence":4}`},
			{"acquire", coordination.Result{Outcome: coordination.Held}, http.StatusConflict, `{}`},
			{"renew", coordination.Result{Outcome: coordination.Done, Fence: 3}, http.StatusOK, `{}`},
			{"renew", coordination.Result{Outcome: coordination.Held}, http.StatusConflict, `{}`},
			{"release", coordination.Result{Outcome: coordination.Done}, http.StatusOK, `{}`},
			{"increment", coordination.Result{Outcome: coordination.Done, Count: 5}, http.StatusOK, `{"value":5}`},
			{"put", coordination.Result{Outcome: coordination.Done, Revision: 8}, http.StatusOK, `{"revision":8}`},
			{"put", coordination.Result{Outcome: coordination.Mismatch, Revision: 9}, http.StatusPreconditionFailed, `{"revision":9}`},
			{"put", coordination.Result{Outcome: coordination.Mismatch}, http.StatusPreconditionFailed, `{"revision":0}`},
			{"get", coordination.Result{Outcome: coordination.Done, Value: "v", Revision: 8}, http.StatusOK, `{"value":"v","revision":8}`},
			{"get", coordination.Result{Outcome: coordination.Missing}, http.StatusNotFound, `{"error":"there is no such key"}`},
			{"watch", coordination.Result{Outcome: coordination.Done, Revision: 9, Events: []coordination.Event{
				{Key: "g.a", Value: "v", Revision: 8, AgeMs: 5}, {Key: "g.b", Value: "w", Revision: 9}}}, http.StatusOK,
				`{"events":[{"name":"g.a","value":"v","revision":8},{"name":"g.b","value":"w","revision":9}],"revision":9}`},
			{"watch", coordination.Result{Outcome: coordination.Pending, Revision: 7}, http.StatusOK, `{"events":[],"revision":7}`},
			{"watch", coordination.Result{Outcome: coordination.Compacted}, http.StatusGone,
				`{"error":"the puts after sinceRevision are no longer kept"}`},
		} {
			coordinator := newFakeCoordinator(c.result)
			call := calls[c.call]
			response := coordinator.call(call.method, call.path, call.body)
			So(response.Code, ShouldEqual, c.status)
			So(strings.TrimSpace(response.Body.String()), ShouldEqual, c.body)
			So(response.Header().Get("Content-Type"), ShouldEqual, "application/json")
			So(coordinator.operations, ShouldResemble, []coordination.Operation{call.operation})
		}
	})
	Convey("A put may omit the revision, and may have an empty value", t, func() {
		coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done, Revision: 1})
		So(coordinator.call("POST", "/cells/g.a/replace", `{"value":""}`).Code, ShouldEqual, http.StatusOK)
		So(coordinator.operations[0].IfRevision, ShouldBeNil)
	})
	Convey("A put with revision 0 passes it to the operation", t, func() {
		coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done, Revision: 1})
		So(coordinator.call("POST", "/cells/g.a/replace", `{"value":"v","ifRevision":0}`).Code, ShouldEqual, http.StatusOK)
		So(*coordinator.operations[0].IfRevision, ShouldEqual, 0)
	})
}

// Guards against the refusal of a retried put that an earlier attempt may have executed, and against the refusal of other calls whose
// outcome is unknown.
func TestCoordinationErrors(t *testing.T) {
	Convey("A call is refused only if it was not executed and never will be", t, func() {
		cause := errors.New("cause")
		for name, call := range testCalls() {
			for _, c := range []struct {
				err    error
				status int
			}{
				{&RefusedError{Overloaded: true, Err: cause}, http.StatusTooManyRequests},
				{&RefusedError{Err: cause}, http.StatusServiceUnavailable},
				{cause, http.StatusGatewayTimeout},
				{context.DeadlineExceeded, http.StatusGatewayTimeout},
			} {
				status := c.status
				if name == "put" {
					status = http.StatusGatewayTimeout
				}
				response := newFailingCoordinator(c.err).call(call.method, call.path, call.body)
				So(fmt.Sprint(name, " ", response.Code), ShouldEqual, fmt.Sprint(name, " ", status))
				So(response.Header().Get("Retry-After") != "", ShouldEqual, status != http.StatusGatewayTimeout)
			}
		}
	})
}

// Guards against the refusal of a put into a full group: a delayed copy of it may be executed once the group has room.
func TestPutIntoFullGroup(t *testing.T) {
	Convey("A put into a full group is neither refused nor successful", t, func() {
		call := testCalls()["put"]
		response := newFakeCoordinator(coordination.Result{Outcome: coordination.Full}).call(call.method, call.path, call.body)
		So(response.Code, ShouldEqual, http.StatusGatewayTimeout)
	})
}

func TestCoordinationRoutesAreOptional(t *testing.T) {
	Convey("Calls of applications are answered with 404 without a Coordinator", t, func() {
		for _, call := range testCalls() {
			So((&fakeDelegate{}).call(call.method, call.path, call.body).Code, ShouldEqual, http.StatusNotFound)
		}
	})
	Convey("Calls of operators are still served with a Coordinator", t, func() {
		So(newFakeCoordinator().call("GET", "/config/read", "").Code, ShouldEqual, http.StatusOK)
	})
}

func TestInvalidCoordinationCalls(t *testing.T) {
	longName, longValue := strings.Repeat("x", maxNameBytes+1), strings.Repeat("x", maxValueBytes+1)
	Convey("An invalid call is rejected with the name of the invalid field, and not executed", t, func() {
		for _, c := range []struct{ method, path, body, field string }{
			{"POST", "/locks/l/begin", `{"holdMs":1}`, "holder"},
			{"POST", "/locks/l/begin", `{"holder":"","holdMs":1}`, "holder"},
			{"POST", "/locks/l/begin", `{"holder":3,"holdMs":1}`, "holder"},
			{"POST", "/locks/l/begin", `{"holder":"` + longName + `","holdMs":1}`, "holder"},
			{"POST", "/locks/l/begin", `{"holder":"a"}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":0}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":-1}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":1.5}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":"1"}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":3600001}`, "holdMs"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":9223372036854775807}`, "holdMs"},
			{"POST", "/locks/" + longName + "/begin", `{"holder":"a","holdMs":1}`, "name"},
			{"POST", "/locks/l/begin", ``, "body"},
			{"POST", "/locks/l/begin", `{`, "body"},
			{"POST", "/locks/l/begin", `[]`, "body"},
			{"POST", "/locks/l/begin", `{"holder":"a","holdMs":1}` + strings.Repeat(" ", maxCoordinationBytes), "body"},
			{"POST", "/locks/l/heartbeat", `{"holder":"a","holdMs":1}`, "fence"},
			{"POST", "/locks/l/heartbeat", `{"holder":"a","fence":-1,"holdMs":1}`, "fence"},
			{"POST", "/locks/l/heartbeat", `{"holder":"a","fence":1}`, "holdMs"},
			{"POST", "/locks/l/heartbeat", `{"fence":1,"holdMs":1}`, "holder"},
			{"POST", "/locks/l/finish", `{"holder":"a"}`, "fence"},
			{"POST", "/locks/l/finish", `{"fence":1}`, "holder"},
			{"POST", "/numbers/" + longName, `{}`, "name"},
			{"POST", "/cells/g.a/replace", `{}`, "value"},
			{"POST", "/cells/g.a/replace", `{"value":null}`, "value"},
			{"POST", "/cells/g.a/replace", `{"value":3}`, "value"},
			{"POST", "/cells/g.a/replace", `{"value":"` + longValue + `"}`, "value"},
			{"POST", "/cells/g.a/replace", `{"value":"v","ifRevision":-1}`, "ifRevision"},
			{"POST", "/cells/g.a/replace", `{"value":"v","ifRevision":"1"}`, "ifRevision"},
			{"POST", "/cells/" + longName + "/replace", `{"value":"v"}`, "name"},
			{"GET", "/cells/" + longName + "/read", "", "name"},
			{"GET", "/watch/" + longName, "", "name"},
			{"POST", "/locks/%ff/begin", `{"holder":"a","holdMs":1}`, "name"},
			{"POST", "/numbers/n%c0%80", `{}`, "name"},
			{"POST", "/cells/g.%ff/replace", `{"value":"v"}`, "name"},
			{"GET", "/cells/g.%ff/read", "", "name"},
			{"GET", "/watch/%ff", "", "name"},
			{"GET", "/watch/g.?sinceRevision=x", "", "sinceRevision"},
			{"GET", "/watch/g.?sinceRevision=-1", "", "sinceRevision"},
			{"GET", "/watch/g.?sinceRevision=9223372036854775808", "", "sinceRevision"},
			{"GET", "/watch/g.?sinceRevision=1&waitMs=1.5", "", "waitMs"},
			{"GET", "/watch/g.?sinceRevision=1&waitMs=-1", "", "waitMs"},
			{"GET", "/watch/g.?sinceRevision=1&waitMs=9223372036854775808", "", "waitMs"},
		} {
			coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done})
			response := coordinator.call(c.method, c.path, c.body)
			So(fmt.Sprint(c.path, c.body, response.Code), ShouldEqual, fmt.Sprint(c.path, c.body, http.StatusBadRequest))
			So(response.Body.String(), ShouldContainSubstring, c.field)
			So(coordinator.operations, ShouldBeEmpty)
		}
	})
	Convey("Fields of the maximum size are accepted", t, func() {
		coordinator := newFakeCoordinator(coordination.Result{Outcome: coordination.Done})
		holder := fmt.Sprintf(`{"holder":%q,"holdMs":3600000}`, longName[1:])
		So(coordinator.call("POST", "/locks/"+longName[1:]+"/begin", holder).Code, ShouldEqual, http.StatusOK)
		So(coordinator.call("POST", "/cells/g.a/replace", fmt.Sprintf(`{"value":%q}`, longValue[1:])).Code, ShouldEqual, http.StatusOK)
	})
}
