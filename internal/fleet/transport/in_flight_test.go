package transport

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against messages to a slow router that together take a multiple of the sender's and the receiver's memory.
func TestBytesInFlightAreBounded(t *testing.T) {
	Convey("Messages in flight to a router", t, func() {
		const address = "10.0.0.1:1"
		tr := &Transport{inFlight: map[string]*inFlight{}}

		Convey("are at most maxInFlight small ones", func() {
			for range maxInFlight {
				So(tr.reserve(address, 2000), ShouldBeTrue)
			}
			So(tr.reserve(address, 2000), ShouldBeFalse)
			So(tr.reserve("10.0.0.2:1", 2000), ShouldBeTrue)
		})
		Convey("have maxInFlightBytes together", func() {
			So(tr.reserve(address, maxInFlightBytes/2), ShouldBeTrue)
			So(tr.reserve(address, maxInFlightBytes/2), ShouldBeTrue)
			So(tr.reserve(address, 1), ShouldBeFalse)
			tr.release(address, maxInFlightBytes/2)
			So(tr.reserve(address, 1), ShouldBeTrue)
		})
		Convey("may be a single one of any size", func() {
			So(tr.reserve(address, maxBodyBytes), ShouldBeTrue)
			So(tr.reserve(address, 1), ShouldBeFalse)
			tr.release(address, maxBodyBytes)
			So(tr.inFlight, ShouldBeEmpty)
		})
	})
}
