package proxy

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDenials(t *testing.T) {
	Convey("A request with an error is denied and sent to no endpoint", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for _, c := range []struct {
			path, body, key string
			status          int
		}{
			{"/none/", "", "k", 404}, {"/u/", "", "other", 401}, {"/u/", strings.Repeat("x", 51), "k", 413},
		} {
			response, _, err := r.do("POST", c.path, c.body, "Api-Key", c.key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, c.status)
		}
		So(e.requests(), ShouldBeEmpty)
	})
	Convey("If the configuration is older than MaxDenialAge, a request without a route is rejected with Retry-After and not denied", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		r.delegate.age = 2 * time.Second
		response, _, err := r.do("POST", "/none/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("A configuration that is superseded and older than MaxSupersededAge is not used", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for _, c := range []struct {
			superseded bool
			age        time.Duration
			status     int
		}{{true, 2 * time.Second, 503}, {true, 1200 * time.Millisecond, 200}, {false, 2 * time.Second, 200}} {
			r.delegate.superseded, r.delegate.age = c.superseded, c.age
			response, _, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, c.status)
			So(response.Header.Get("Retry-After") != "", ShouldEqual, c.status == 503)
		}
		So(len(e.requests()), ShouldEqual, 2)
		So(r.proxy.Superseded.Load(), ShouldEqual, 1)
	})
	Convey("If the configuration is older than MaxConfigAge, an API key leads to 503 with Retry-After and not to 401", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		r.delegate.age = 5 * time.Second
		response, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
		So(e.requests(), ShouldBeEmpty)
	})
	Convey("A request beyond the quota is rejected with 429 and Retry-After", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		r.delegate.rejectsCharges = true
		response, _, err := r.do("POST", "/u/", "", "X-Token-Usage", "1460,80")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(response.Header.Get("Retry-After"), ShouldEqual, "1.500")
		So(r.delegate.charged, ShouldEqual, 1540)
	})
	Convey("A request without X-Token-Usage is charged the tenant's plainTokens", t, func() {
		r := newTestProxy(t, newFakeEndpoint(t, "e1"))
		_, _, err := r.do("POST", "/u/", "")
		So(err, ShouldBeNil)
		So(r.delegate.charged, ShouldEqual, 200)
	})
}

func TestDrain(t *testing.T) {
	Convey("A draining router", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		for range 20 {
			r.proxy.durations.observe("st", 6*time.Second)
			r.proxy.durations.observe("u", 10*time.Millisecond)
		}
		r.proxy.BeginDrain(time.Now().Add(4 * time.Second))
		Convey("rejects a request that it could not finish, with Retry-After", func() {
			response, _, err := r.do("POST", "/st/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Header.Get("Retry-After"), ShouldNotEqual, "")
			So(e.requests(), ShouldBeEmpty)
		})
		Convey("serves a short request and closes its connection", func() {
			response, _, err := r.do("POST", "/u/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			So(response.Close, ShouldBeTrue)
		})
	})
}
