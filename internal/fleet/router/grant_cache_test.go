package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGrantedAnswers(t *testing.T) {
	Convey("A question that comes again is answered as before, and granted once", t, func() {
		var g grantCache
		key := grantKey{from: "10.0.0.1:1", number: 7}
		_, found := g.lookup(0, key)
		So(found, ShouldBeFalse)
		g.store(0, key, quotaGrant{Number: 7, Granted: 50})
		for _, now := range []time.Duration{0, 500 * time.Millisecond, grantTTL + time.Millisecond} {
			grant, found := g.lookup(now, key)
			So(found, ShouldBeTrue)
			So(grant.Granted, ShouldEqual, 50)
		}
		Convey("but not another one's", func() {
			_, found := g.lookup(0, grantKey{from: "10.0.0.2:1", number: 7})
			So(found, ShouldBeFalse)
		})
		Convey("until it is long past", func() {
			_, found := g.lookup(3*grantTTL, key)
			So(found, ShouldBeFalse)
		})
	})
	Convey("A refusal is not kept", t, func() {
		var g grantCache
		key := grantKey{from: "10.0.0.1:1", number: 8}
		g.store(0, key, quotaGrant{Number: 8, WaitMs: 20})
		_, found := g.lookup(0, key)
		So(found, ShouldBeFalse)
	})
	Convey("What is kept is bounded by time", t, func() {
		var g grantCache
		for i := range 5000 {
			g.store(time.Duration(i)*10*time.Millisecond, grantKey{number: uint64(i)}, quotaGrant{Granted: 1})
		}
		So(len(g.current)+len(g.previous), ShouldBeLessThanOrEqualTo, 201)
	})
}

// Guards against an answer that is kept with the way of the first question and sent the way of the second, where nobody waits.
func TestKeptAnswerGoesTheWayOfItsQuestion(t *testing.T) {
	Convey("An answer that was kept names the router that asks now, whichever way the question came first", t, func() {
		var g grantCache
		key := grantKey{from: "10.0.0.1:1", number: 7}
		g.store(0, key, quotaGrant{Number: 7, Granted: 50}.withOrigin(""))
		kept, _ := g.lookup(0, key)
		So(kept.withOrigin("10.0.0.1:1").Origin, ShouldEqual, "10.0.0.1:1")
		So(kept.withOrigin("").Origin, ShouldEqual, "")
		So(kept.withOrigin("10.0.0.1:1").Granted, ShouldEqual, 50)
	})
}
