package proxy

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFailureReports(t *testing.T) {
	Convey("An overdue first token is announced, and the response is still relayed when it arrives", t, func() {
		release := make(chan struct{})
		answer := succeed("late")
		e := newFakeEndpoint(t, "e1", func(c net.Conn, r *http.Request) {
			<-release
			answer(c, r)
		})
		r := newTestProxy(t, e)
		announced := make(chan Announcement, 10)
		r.proxy.dispatcher.Announce = func(a Announcement) { announced <- a }
		type result struct {
			status int
			body   string
			err    error
		}
		results := make(chan result, 1)
		go func() {
			response, body, err := r.do("POST", "/u/x", "b")
			status := 0
			if err == nil {
				status = response.StatusCode
			}
			results <- result{status, body, err}
		}()
		So((<-announced).Failures, ShouldEqual, 1)
		close(release)
		So(<-results, ShouldResemble, result{200, "late", nil})
	})
	Convey("Each failure is announced immediately, within a bounded rate", t, func() {
		internalError := respond("HTTP/1.1 500 Oops\nX-Response-Signature: s\nContent-Length: 0\n\n")
		e := newFakeEndpoint(t, "e1", internalError, internalError, internalError)
		r := newTestProxy(t, e)
		count := 0
		r.proxy.dispatcher.Announce = func(a Announcement) { count += int(a.Failures) }
		for range 3 {
			response, _, err := r.do("POST", "/u/x", "b")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 500)
		}
		So(count, ShouldEqual, 3)
		d := r.proxy.dispatcher
		d.SetRouters(100000)
		reported := 0
		for range 100 {
			if d.takeFailureReport(0) {
				reported++
			}
		}
		So(reported, ShouldBeLessThanOrEqualTo, int(failureReportBurst))
	})
	Convey("Failures that another router announces keep requests away from the endpoint", t, func() {
		first, second := newFakeEndpoint(t, "e1", succeed("1")), newFakeEndpoint(t, "e2", succeed("2"))
		r := newTestProxy(t, first, second)
		response, body, err := r.do("POST", "/u/x", "b", headerPrefixHash, "a:100,b:5")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		var shortID uint32
		for _, e := range r.proxy.dispatcher.placer.Endpoints("s") {
			if e.ID == "e"+body {
				shortID = e.ShortID()
			}
		}
		r.proxy.dispatcher.ApplyAnnouncements([]Announcement{{Origin: 1, Endpoint: shortID, Failures: 200}})
		_, other, err := r.do("POST", "/u/x", "b", headerPrefixHash, "a:100,b:5")
		So(err, ShouldBeNil)
		So(other, ShouldNotEqual, body)
	})
}
