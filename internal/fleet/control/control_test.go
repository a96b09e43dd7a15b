package control

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replica"
)

// core is the API's surroundings.
type core struct {
	err     error
	orders  []*config.Change
	primary string
	view    uint64
	heard   []registry.Endpoint
	deaf    error // to leaves
	service string
}

func (c *core) Submit(_ context.Context, o *config.Change) error {
	c.orders = append(c.orders, o)
	return c.err
}
func (c *core) Read(context.Context) (*config.Document, error) { return config.EmptyDocument(), c.err }
func (c *core) PrimaryControl() (uint64, string)               { return c.view, c.primary }
func (c *core) HandleEndpointReport(_ context.Context, e registry.Endpoint) error {
	c.heard = append(c.heard, e)
	if e.State == registry.Ready {
		return nil
	}
	return c.deaf
}
func (c *core) EndpointService(string) string { return c.service }

const own = "10.0.0.1:9"

func (c *core) call(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	NewServer(c, own).ServeHTTP(recorder, request)
	return recorder
}

func TestOrders(t *testing.T) {
	Convey("An order's outcome decides the answer", t, func() {
		for _, c := range []struct {
			err     error
			primary string
			status  int
		}{
			{nil, "", http.StatusOK},
			{replica.ErrConflict, "", http.StatusPreconditionFailed},
			{&config.InvalidError{Item: "route x", Reason: "is odd"}, "", http.StatusBadRequest},
			{replica.ErrNotPrimary, "10.0.0.2:9", http.StatusTemporaryRedirect},
			{replica.ErrUnavailable, "", http.StatusServiceUnavailable},
			{replica.ErrUnavailable, own, http.StatusServiceUnavailable},
			{errors.New("odd"), "", http.StatusServiceUnavailable},
		} {
			core := &core{err: c.err, primary: c.primary, view: 3}
			answer := core.call("POST", "/config/modify", `{"version":2}`, "X-Base-Version", "1")
			So(answer.Code, ShouldEqual, c.status)
			if c.status == http.StatusTemporaryRedirect {
				So(answer.Header().Get("Location"), ShouldEqual, "http://10.0.0.2:9/config/modify?view=3")
			}
			if c.status == http.StatusBadRequest {
				So(answer.Body.String(), ShouldContainSubstring, "route x")
			}
			So(core.orders[0].Base, ShouldEqual, 1)
			So(core.orders[0].Replace, ShouldBeFalse)
		}
	})
	Convey("Without a base an order is at fault", t, func() {
		core := &core{}
		So(core.call("POST", "/config/replace", `{}`).Code, ShouldEqual, http.StatusBadRequest)
		So(core.orders, ShouldBeEmpty)
	})
	Convey("The configuration is read, or another machine is named", t, func() {
		answer := (&core{}).call("GET", "/config/read", "")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Body.String(), ShouldEqual, `{"version":0}`)
		So((&core{err: replica.ErrNotPrimary, primary: "a:1", view: 3}).call("GET", "/config/read", "").Code, ShouldEqual, 307)
	})
}

func TestEndpoints(t *testing.T) {
	beat := `{"service":"s","address":"10.0.0.9:1","zone":"z","capacity":8,"state":"draining","warmupMs":5,"sequence":4}`
	Convey("A heartbeat is heard, and later ones are asked for here", t, func() {
		core := &core{}
		answer := core.call("POST", "/instances/i-1/heartbeat", beat)
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Body.String(), ShouldContainSubstring, "http://"+own+"/instances/i-1/heartbeat")
		So(core.heard[0], ShouldResemble, registry.Endpoint{ID: "i-1", Service: "s", Address: "10.0.0.9:1", Zone: "z", Capacity: 8,
			State: registry.Draining, WarmupMs: 5, Sequence: 4})
	})
	Convey("An end is heard", t, func() {
		core := &core{}
		So(core.call("POST", "/instances/i-1/deregister", "").Code, ShouldEqual, http.StatusOK)
		So(core.heard[0].State, ShouldEqual, registry.Deregistered)
	})
	Convey("A leave that the others may not learn of is not acknowledged, so that another router is told", t, func() {
		core := &core{deaf: replica.ErrNotPrimary}
		So(core.call("POST", "/instances/i-1/heartbeat", beat).Code, ShouldEqual, http.StatusServiceUnavailable)
		So(core.call("POST", "/instances/i-1/deregister", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(len(core.heard), ShouldEqual, 2) // this router sends it nothing any more all the same
		Convey("while one that serves on is heard", func() {
			ready := strings.Replace(beat, "draining", "ready", 1)
			So(core.call("POST", "/instances/i-1/heartbeat", ready).Code, ShouldEqual, http.StatusOK)
		})
	})
	Convey("A heartbeat that is none is at fault, and nothing is heard", t, func() {
		for _, odd := range []string{
			"", "{", `{"service":"s"}`, strings.Replace(beat, "draining", "odd", 1), strings.Replace(beat, "10.0.0.9:1", "nowhere", 1),
			`{"service":"` + strings.Repeat("x", heartbeatMost) + `"}`,
		} {
			core := &core{}
			So(core.call("POST", "/instances/i-1/heartbeat", odd).Code, ShouldEqual, http.StatusBadRequest)
			So(core.heard, ShouldBeEmpty)
		}
		core := &core{service: "other"}
		So(core.call("POST", "/instances/i-1/heartbeat", beat).Code, ShouldEqual, http.StatusBadRequest)
		So(core.heard, ShouldBeEmpty)
	})
}

// Guards against two routers that each take the other for the primary and send an operator to and fro.
func TestRedirects(t *testing.T) {
	Convey("A caller that another router has sent", t, func() {
		behind := &core{err: replica.ErrNotPrimary, primary: "10.0.0.2:9", view: 3}
		send := func(path string) *httptest.ResponseRecorder {
			return behind.call("POST", path, `{"version":2}`, "X-Base-Version", "1")
		}
		Convey("by a newer view is not sent to the primary of an older one", func() {
			answer := send("/config/modify?view=4")
			So(answer.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(answer.Header().Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("by this view is not sent on", func() {
			So(send("/config/modify?view=3").Code, ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("by an older one is sent on, and told by which", func() {
			answer := send("/config/modify?view=2")
			So(answer.Code, ShouldEqual, http.StatusTemporaryRedirect)
			So(answer.Header().Get("Location"), ShouldEqual, "http://10.0.0.2:9/config/modify?view=3")
		})
		Convey("by what is no view is sent on", func() {
			So(send("/config/modify?view=x").Code, ShouldEqual, http.StatusTemporaryRedirect)
		})
		Convey("reads follow the same rule", func() {
			So(behind.call("GET", "/config/read?view=4", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
