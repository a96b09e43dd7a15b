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

// fakeDelegate records calls and returns the values that a test has set.
type fakeDelegate struct {
	err         error
	changes     []*config.Change
	primary     string
	view        uint64
	reports     []registry.Endpoint
	reportError error // returned for reports of a state other than ready
	service     string
}

func (d *fakeDelegate) Submit(_ context.Context, change *config.Change) error {
	d.changes = append(d.changes, change)
	return d.err
}
func (d *fakeDelegate) Read(context.Context) (*config.Document, error) {
	return config.EmptyDocument(), d.err
}
func (d *fakeDelegate) PrimaryControl() (uint64, string) { return d.view, d.primary }
func (d *fakeDelegate) HandleEndpointReport(_ context.Context, e registry.Endpoint) error {
	d.reports = append(d.reports, e)
	if e.State == registry.Ready {
		return nil
	}
	return d.reportError
}
func (d *fakeDelegate) EndpointService(string) string { return d.service }

const ownAddress = "10.0.0.1:9"

func (d *fakeDelegate) call(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	NewServer(d, ownAddress, Limits{}).ServeHTTP(recorder, request)
	return recorder
}

func TestConfigChanges(t *testing.T) {
	Convey("The outcome of a change determines the response", t, func() {
		for _, c := range []struct {
			err     error
			primary string
			status  int
		}{
			{nil, "", http.StatusOK},
			{replica.ErrConflict, "", http.StatusPreconditionFailed},
			{&config.InvalidError{Item: "route x", Reason: "is odd"}, "", http.StatusBadRequest},
			{replica.ErrNotPrimary, "10.0.0.2:9", http.StatusTemporaryRedirect},
			{replica.ErrNotPrimary, "", http.StatusServiceUnavailable},
			{replica.ErrNotPrimary, ownAddress, http.StatusServiceUnavailable},
			{replica.ErrUnavailable, "", http.StatusGatewayTimeout}, // it may be committed: no refusal
			{replica.ErrUnavailable, ownAddress, http.StatusGatewayTimeout},
			{errors.New("odd"), "", http.StatusGatewayTimeout},
		} {
			delegate := &fakeDelegate{err: c.err, primary: c.primary, view: 3}
			response := delegate.call("POST", "/config/modify", `{"version":2}`, "X-Base-Version", "1")
			So(response.Code, ShouldEqual, c.status)
			if c.status == http.StatusTemporaryRedirect {
				So(response.Header().Get("Location"), ShouldEqual, "http://10.0.0.2:9/config/modify?view=3")
			}
			if c.status >= http.StatusInternalServerError {
				isRefused := errors.Is(c.err, replica.ErrNotPrimary)
				So(strings.Contains(response.Body.String(), "no primary is known"), ShouldEqual, isRefused)
				So(strings.Contains(response.Body.String(), "outcome is not known"), ShouldEqual, !isRefused)
				So(response.Header().Get("Retry-After"), ShouldNotBeEmpty)
			}
			if c.status == http.StatusBadRequest {
				So(response.Body.String(), ShouldContainSubstring, "route x")
			}
			So(delegate.changes[0].Base, ShouldEqual, 1)
			So(delegate.changes[0].Replace, ShouldBeFalse)
		}
	})
	Convey("A change without a base version is rejected", t, func() {
		delegate := &fakeDelegate{}
		So(delegate.call("POST", "/config/replace", `{}`).Code, ShouldEqual, http.StatusBadRequest)
		So(delegate.changes, ShouldBeEmpty)
	})
	Convey("The configuration is read, or the caller is redirected", t, func() {
		response := (&fakeDelegate{}).call("GET", "/config/read", "")
		So(response.Code, ShouldEqual, http.StatusOK)
		So(response.Body.String(), ShouldEqual, `{"version":0}`)
		So((&fakeDelegate{err: replica.ErrNotPrimary, primary: "a:1", view: 3}).call("GET", "/config/read", "").Code, ShouldEqual, 307)
	})
}

func TestEndpointReports(t *testing.T) {
	beat := `{"service":"s","address":"10.0.0.9:1","zone":"z","capacity":8,"state":"draining","warmupMs":5,"sequence":4}`
	Convey("A heartbeat is reported, and the response has this router's URL for the next one", t, func() {
		delegate := &fakeDelegate{}
		response := delegate.call("POST", "/instances/i-1/heartbeat", beat)
		So(response.Code, ShouldEqual, http.StatusOK)
		So(response.Body.String(), ShouldContainSubstring, "http://"+ownAddress+"/instances/i-1/heartbeat")
		So(delegate.reports[0], ShouldResemble, registry.Endpoint{ID: "i-1", Service: "s", Address: "10.0.0.9:1", Zone: "z", Capacity: 8,
			State: registry.Draining, WarmupMs: 5, Sequence: 4})
	})
	Convey("A deregistration is reported", t, func() {
		delegate := &fakeDelegate{}
		So(delegate.call("POST", "/instances/i-1/deregister", "").Code, ShouldEqual, http.StatusOK)
		So(delegate.reports[0].State, ShouldEqual, registry.Deregistered)
	})
	Convey("Draining and deregistration are not acknowledged if the other routers may not learn of them, so that the endpoint reports to another router", t, func() {
		delegate := &fakeDelegate{reportError: replica.ErrNotPrimary}
		So(delegate.call("POST", "/instances/i-1/heartbeat", beat).Code, ShouldEqual, http.StatusGatewayTimeout) // not 503: they are applied
		So(delegate.call("POST", "/instances/i-1/deregister", "").Code, ShouldEqual, http.StatusGatewayTimeout)
		So(len(delegate.reports), ShouldEqual, 2) // both are applied: this router sends the endpoint no further requests
		Convey("A heartbeat of a ready endpoint is acknowledged nevertheless", func() {
			ready := strings.Replace(beat, "draining", "ready", 1)
			So(delegate.call("POST", "/instances/i-1/heartbeat", ready).Code, ShouldEqual, http.StatusOK)
		})
	})
	Convey("An invalid heartbeat is rejected and not reported", t, func() {
		for _, invalid := range []string{
			"", "{", `{"service":"s"}`, strings.Replace(beat, "draining", "odd", 1), strings.Replace(beat, "10.0.0.9:1", "nowhere", 1),
			`{"service":"` + strings.Repeat("x", maxHeartbeatBytes) + `"}`,
		} {
			delegate := &fakeDelegate{}
			So(delegate.call("POST", "/instances/i-1/heartbeat", invalid).Code, ShouldEqual, http.StatusBadRequest)
			So(delegate.reports, ShouldBeEmpty)
		}
		delegate := &fakeDelegate{service: "other"}
		So(delegate.call("POST", "/instances/i-1/heartbeat", beat).Code, ShouldEqual, http.StatusBadRequest)
		So(delegate.reports, ShouldBeEmpty)
	})
}

// Guards against two routers that each consider the other the primary and redirect an operator back and forth.
func TestRedirectsFollowNewerViews(t *testing.T) {
	Convey("A caller that another router has redirected", t, func() {
		behind := &fakeDelegate{err: replica.ErrNotPrimary, primary: "10.0.0.2:9", view: 3}
		send := func(path string) *httptest.ResponseRecorder {
			return behind.call("POST", path, `{"version":2}`, "X-Base-Version", "1")
		}
		Convey("by a newer view is not redirected to the primary of an older one", func() {
			response := send("/config/modify?view=4")
			So(response.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(response.Header().Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("by this router's view is not redirected", func() {
			So(send("/config/modify?view=3").Code, ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("by an older view is redirected, with the number of this router's view", func() {
			response := send("/config/modify?view=2")
			So(response.Code, ShouldEqual, http.StatusTemporaryRedirect)
			So(response.Header().Get("Location"), ShouldEqual, "http://10.0.0.2:9/config/modify?view=3")
		})
		Convey("by a view that is not a number is redirected", func() {
			So(send("/config/modify?view=x").Code, ShouldEqual, http.StatusTemporaryRedirect)
		})
		Convey("to read by a newer view is not redirected either", func() {
			So(behind.call("GET", "/config/read?view=4", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
