package transport

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// Guards against a message that is dropped without a word because it is longer than routers accept, and is then sent again for ever; and
// against a reply that is cut off at that length.
func TestMessagesThatNoRouterAccepts(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Of what is larger than a router accepts, the sender learns at once, by a typed error, a counter and a report", t, func() {
		received, reported := atomic.Int32{}, atomic.Int32{}
		a, aAddress := listen(t, 7, func(*Packet) {})
		b, bAddress := listen(t, 7, func(*Packet) { received.Add(1) })
		defer a.Close()
		defer b.Close()
		for _, tr := range []*Transport{a, b} {
			tr.OnTooLarge(func(*TooLargeError) { reported.Add(1) })
			tr.HandleCall("/echo", func([]byte) (any, error) { return make([]byte, maxBodyBytes), nil })
			So(tr.Serve(), ShouldBeNil)
		}
		So(aAddress, ShouldNotEqual, bAddress)
		a.Send(bAddress, 1, 0, make([]byte, maxBodyBytes))
		So(a.Counters.TooLarge.Load(), ShouldEqual, 1)
		So(a.Counters.SentOverTCP.Load(), ShouldEqual, 0)

		var tooLarge *TooLargeError
		err := a.Call(context.Background(), bAddress, "/echo", make([]byte, maxBodyBytes), nil)
		So(errors.As(err, &tooLarge), ShouldBeTrue)
		So(tooLarge.Path, ShouldEqual, "/echo")

		var status *StatusError
		err = a.Call(context.Background(), bAddress, "/echo", 1, new([]byte))
		So(errors.As(err, &status), ShouldBeTrue)
		So(status.Status, ShouldEqual, http.StatusInternalServerError)
		So(b.Counters.TooLarge.Load(), ShouldEqual, 1)
		So(reported.Load(), ShouldEqual, 3)
		So(received.Load(), ShouldEqual, 0)
	})
}
