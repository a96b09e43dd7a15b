package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFailureEvidence(t *testing.T) {
	const rate = 10.0 // calls a second
	Convey("Single failures are chance", t, func() {
		v := failureEvidence{}
		for now := time.Second; now < time.Minute; now += 10 * time.Second {
			v.record(now, 1, rate)
			So(v.share(now, rate), ShouldEqual, 0)
		}
	})
	Convey("Half of an endpoint's calls failing is detected within a second, and forgotten within seconds", t, func() {
		v := failureEvidence{}
		now := 40 * time.Second
		for range 5 {
			now += 200 * time.Millisecond
			v.record(now, 1, rate)
		}
		So(v.share(now, rate), ShouldBeBetween, 0.1, 0.5)
		So(v.share(now+8*time.Second, rate), ShouldBeLessThan, 0.02)
	})
	Convey("All calls failing is detected as such", t, func() {
		v := failureEvidence{}
		for now := time.Second; now <= 3*time.Second; now += 100 * time.Millisecond {
			v.record(now, 1, rate)
		}
		So(v.share(3*time.Second, rate), ShouldBeGreaterThan, 0.6)
	})
	Convey("An endpoint that fails again and again recovers more slowly each time, until it has been healthy for long", t, func() {
		v := failureEvidence{}
		now := time.Minute
		outage := func() (recovery time.Duration) {
			for range 20 {
				now += 50 * time.Millisecond
				v.record(now, 1, rate)
			}
			last := now
			for v.share(now, rate) > recoveryThreshold {
				now += 50 * time.Millisecond
			}
			return now - last
		}
		first := outage()
		second := outage()
		third := outage()
		So(second, ShouldBeGreaterThan, 3*first/2)
		So(third, ShouldBeGreaterThan, 3*second/2)
		now += relapseResetTime + time.Second
		So(outage(), ShouldBeBetween, first/2, 3*first/2)
	})
	Convey("Failures among few calls are remembered longer, within bounds", t, func() {
		So(failureMemory(1000), ShouldEqual, minFailureMemory)
		So(failureMemory(2), ShouldEqual, 4*time.Second)
		So(failureMemory(0), ShouldEqual, maxFailureMemory)
	})
}

func TestRemoteFailures(t *testing.T) {
	Convey("Failures that other routers report keep calls away, also such whose prefix is cached there", t, func() {
		p := placer(6)
		p.SetRouters(30)
		home := p.Place(0, call(42, 1000)).Endpoint
		for at := range 10 {
			p.RecordRemoteFailures(time.Duration(at)*100*time.Millisecond, home.ShortID(), 1, false)
		}
		So(p.Place(time.Second, call(42, 1000)).Endpoint, ShouldNotEqual, home)
		for now := time.Minute; now < 10*time.Minute; now += maxSolveInterval {
			p.Release(p.Place(now, call(7, 1)))
		}
		So(p.Place(10*time.Minute, call(42, 1000)).Endpoint, ShouldEqual, home)
	})
	Convey("Where all endpoints fail alike none is avoided", t, func() {
		p := placer(3)
		for _, e := range p.service("llm").endpoints {
			p.RecordRemoteFailures(0, e.ShortID(), 40, false)
		}
		used := map[string]bool{}
		for i := range 300 {
			placed := p.Place(time.Millisecond, call(uint32(i)*7919+1, 10))
			used[placed.Endpoint.ID] = true
			p.Release(placed)
		}
		So(len(used), ShouldEqual, 3)
	})
	Convey("Failures at an unknown endpoint are ignored", t, func() {
		placer(1).RecordRemoteFailures(0, 77, 3, false)
	})
	Convey("An overdue first token counts, and its call goes on", t, func() {
		p := placer(2)
		placed := p.Place(0, call(42, 1000))
		for range 5 {
			p.RecordOverdue(time.Second, placed.Endpoint)
		}
		So(p.Place(time.Second, call(42, 1000)).Endpoint, ShouldNotEqual, placed.Endpoint)
		p.RecordFirstToken(2*time.Second, placed, 2*time.Second)
		p.Release(placed)
	})
}

func TestTiersOfEndpoints(t *testing.T) {
	Convey("Where all endpoints but one have failed, and that one is overdue", t, func() {
		p := placer(4)
		all := p.service("llm").endpoints
		for _, e := range all[:3] {
			p.RecordRemoteFailures(0, e.ShortID(), 1, false)
		}
		p.RecordRemoteFailures(0, all[3].ShortID(), 1, true)
		places := func(c *Call) map[*Endpoint]bool {
			seen := map[*Endpoint]bool{}
			for i := range uint32(40) {
				c.Prompt.Prefixes = []Prefix{{Hash: 1000 + i, Units: 50}}
				placed := p.Place(0, c)
				seen[placed.Endpoint] = true
				p.RecordFirstToken(0, placed, 20*time.Millisecond)
				p.Release(placed)
			}
			return seen
		}
		last, retry := call(0, 100), call(0, 100)
		last.LastAttempt, retry.Retry = true, true
		Convey("a last attempt goes to that one", func() {
			So(places(last), ShouldResemble, map[*Endpoint]bool{all[3]: true})
		})
		Convey("a retry has no endpoint without a fault, and goes to any", func() {
			So(len(places(retry)), ShouldBeGreaterThan, 1)
		})
		Convey("both go anywhere again after a while", func() {
			So(p.Place(time.Minute, retry), ShouldNotBeNil)
			So(all[0].failures.isClean(time.Minute, 1), ShouldBeTrue)
		})
	})
}
