package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/overload"
)

// boundClients serves a test's proxy over a listener whose clients a manager bounds.
func boundClients(t *testing.T, r *testProxy, limits overload.Limits) *overload.Manager {
	manager := overload.NewManager(limits)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	server := &http.Server{Handler: r.proxy}
	manager.Attach(server)
	go func() { _ = server.Serve(manager.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	r.url = "http://" + listener.Addr().String()
	return manager
}

// Guards against a request that is refused for want of memory and runs nevertheless.
func TestRequestBeyondTheClientsMemoryIsRefused(t *testing.T) {
	Convey("A request whose body doesn't fit is rejected with a time, and runs nowhere", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		table := *r.delegate.table.Load()
		table.Limits.MaxBodyBytes = 0
		r.delegate.table.Store(&table)
		manager := boundClients(t, r, overload.Limits{Connections: 1, Bytes: 100 << 10})
		response, _, err := r.do(http.MethodPost, "/u/", strings.Repeat("x", 200<<10))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get(headerRetryAfter), ShouldEqual, "0.300")

		response, _, err = r.do(http.MethodPost, "/u/", "small")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(r.proxy.Rejected.Load(), ShouldEqual, 1)
		So(r.proxy.Served.Load(), ShouldEqual, 1)
		So(manager.Use().Bytes, ShouldBeLessThan, 100<<10)
	})
}

// Guards against limits.maxHeaderBytes of the configuration not being enforced.
func TestHeadBeyondTheConfiguredSizeIsDenied(t *testing.T) {
	Convey("A head within the configuration's limit is served, and a larger one denied with 431", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		table := *r.delegate.table.Load()
		table.Limits.MaxHeaderBytes = 2 << 10
		r.delegate.table.Store(&table)
		response, _, err := r.do(http.MethodPost, "/u/", "", "X-Field", strings.Repeat("x", 1<<10))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		response, _, err = r.do(http.MethodPost, "/u/", "", "X-Field", strings.Repeat("x", 2<<10))
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		So(r.proxy.Served.Load(), ShouldEqual, 1)
	})
}
