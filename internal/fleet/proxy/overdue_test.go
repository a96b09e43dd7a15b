package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// silent answers nothing until the connection closes, which it tells.
func silent(closed chan<- struct{}) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, _ = bufio.NewReader(c).ReadByte()
		closed <- struct{}{}
	}
}

// holds answers after a time.
func holds(held time.Duration, answer func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		<-time.After(held)
		answer(c, r)
	}
}

func TestOverdue(t *testing.T) {
	left := func(r *rig) int {
		d := r.front.dispatcher
		taken := 0
		for d.mayRepeat("s") {
			taken++
		}
		return taken
	}
	full := left(newRig(t))
	spent := func(r *rig) int { return full - left(r) }
	Convey("Where a first token is overdue", t, func() {
		closed := make(chan struct{}, 10)
		Convey("a request that may run again goes elsewhere, and the first attempt is ended", func() {
			mute := inTurn(silent(closed), whole("second"))
			a, b := newStandIn(t, "e1", mute), newStandIn(t, "e2", mute)
			r := newRig(t, a, b)
			began := time.Now()
			response, body, err := r.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "second")
			So(time.Since(began), ShouldBeLessThan, 1500*time.Millisecond)
			<-closed
			So(sent(a, b), ShouldEqual, 2)
			So(spent(r), ShouldEqual, 1)
		})
		Convey("one that may not waits for its answer", func() {
			late := holds(overdueLeast+200*time.Millisecond, whole("late"))
			a, b := newStandIn(t, "e1", late), newStandIn(t, "e2", late)
			r := newRig(t, a, b)
			for _, path := range []string{"/u/", "/st/"} {
				response, body, err := r.do("POST", path, "")
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
				So(body, ShouldEqual, "late")
			}
			So(sent(a, b), ShouldEqual, 2)
			So(spent(r), ShouldEqual, 0)
		})
		Convey("its last attempt, one without another endpoint and one beyond the budget wait", func() {
			late := holds(overdueLeast+100*time.Millisecond, whole("late"))
			a := newStandIn(t, "e1", late, late)
			alone := newRig(t, a)
			_, body, err := alone.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "late")
			So(spent(alone), ShouldEqual, 0)

			b, c := newStandIn(t, "e1", late), newStandIn(t, "e2", late)
			poor := newRig(t, b, c)
			for poor.front.dispatcher.mayRepeat("s") {
			}
			_, body, err = poor.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "late")
			So(sent(b, c), ShouldEqual, 1)
		})
		Convey("no more endpoints are tried than the route allows, and a client's leave ends the last", func() {
			mute := inTurn(silent(closed))
			a, b, c, d := newStandIn(t, "e1", mute), newStandIn(t, "e2", mute), newStandIn(t, "e3", mute), newStandIn(t, "e4", mute)
			r := newRig(t, a, b, c, d)
			response, _, err := r.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
			So(sent(a, b, c, d), ShouldEqual, 3)
			for range 3 {
				<-closed
			}
		})
	})
	Convey("A request whose time is up is told so, also where its connection knows it first", t, func() {
		recorder := httptest.NewRecorder()
		r := newRig(t)
		r.front.giveUp(&answer{server: r.front, writer: recorder, request: &request{deadline: time.Now()}, ran: true}, context.Background())
		So(recorder.Code, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("What comes as an attempt is given up is one or the other", t, func() {
		for _, first := range []bool{true, false} {
			f := &firstToken{placed: &placement.Placement{}, overdue: time.NewTimer(time.Hour)}
			if first {
				So(f.came(), ShouldBeTrue)
				So(f.state.CompareAndSwap(waiting, givenUp), ShouldBeFalse)
			} else {
				So(f.state.CompareAndSwap(waiting, givenUp), ShouldBeTrue)
				So(f.came(), ShouldBeFalse)
			}
			So(f.stop(), ShouldEqual, !first)
		}
	})
}
