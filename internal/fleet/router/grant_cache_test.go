package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGrantCache(t *testing.T) {
	Convey("A retried request gets the cached grant", t, func() {
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
		Convey("but another router's request with the same number does not", func() {
			_, found := g.lookup(0, grantKey{from: "10.0.0.2:1", number: 7})
			So(found, ShouldBeFalse)
		})
		Convey("until the grant has expired", func() {
			_, found := g.lookup(3*grantTTL, key)
			So(found, ShouldBeFalse)
		})
	})
	Convey("A rejection is not cached", t, func() {
		var g grantCache
		key := grantKey{from: "10.0.0.1:1", number: 8}
		g.store(0, key, quotaGrant{Number: 8, WaitMs: 20})
		_, found := g.lookup(0, key)
		So(found, ShouldBeFalse)
	})
	Convey("The number of cached grants is bounded by their age", t, func() {
		var g grantCache
		for i := range 5000 {
			g.store(time.Duration(i)*10*time.Millisecond, grantKey{number: uint64(i)}, quotaGrant{Granted: 1})
		}
		So(len(g.current)+len(g.previous), ShouldBeLessThanOrEqualTo, 201)
	})
}

// Guards against a cached grant that keeps the origin of the first attempt: the reply to a retry on another path would then be sent to a
// router that does not wait for it.
func TestCachedGrantFollowsItsRequest(t *testing.T) {
	Convey("A cached grant is sent with the origin of the current attempt, even if the first attempt took another path", t, func() {
		var g grantCache
		key := grantKey{from: "10.0.0.1:1", number: 7}
		g.store(0, key, quotaGrant{Number: 7, Granted: 50}.withOrigin(""))
		cached, _ := g.lookup(0, key)
		So(cached.withOrigin("10.0.0.1:1").Origin, ShouldEqual, "10.0.0.1:1")
		So(cached.withOrigin("").Origin, ShouldEqual, "")
		So(cached.withOrigin("10.0.0.1:1").Granted, ShouldEqual, 50)
	})
}
