package placement

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStreamStalls(t *testing.T) {
	long := func() *Call {
		c := call(0, 50000)
		c.Target = 2 * time.Second
		return c
	}
	stream := &Prompt{Units: 1000, Output: 400, MaxEventGap: 300 * time.Millisecond}
	Convey("A long prompt is sent where no stream runs", t, func() {
		p := placer(4)
		for i, e := range p.service("llm").endpoints {
			if i != 2 {
				p.RecordRemoteCall(0, e.ShortID(), stream, 1)
			}
		}
		for range 10 {
			placed := p.Place(time.Second, long())
			So(placed.Endpoint.ID, ShouldEqual, "e02")
			p.RecordFirstToken(time.Second, placed, 520*time.Millisecond)
			p.Release(placed)
		}
	})
	Convey("Streams that have ended, and those that tolerate the gap, are not stalled", t, func() {
		var s streamSet
		s.add(0, runningStream{duration: time.Second, maxEventGap: 300 * time.Millisecond, weight: 1})
		So(s.stalledCalls(0, 0.6, 0.6), ShouldBeGreaterThan, 0.6)
		So(s.stalledCalls(0, 0.1, 0.6), ShouldBeLessThan, 0.01)
		So(s.stalledCalls(4*time.Second, 0.9, 0.6), ShouldBeLessThan, 0.01)
		s.add(4*time.Second, runningStream{firstToken: 4 * time.Second, duration: time.Second, maxEventGap: time.Minute, weight: 1})
		So(len(s.running), ShouldEqual, 1)
		So(s.stalledCalls(4*time.Second, 0.9, 0.6), ShouldBeLessThan, 0.01)
		for range 2 * maxStreams {
			s.add(0, runningStream{duration: time.Hour})
		}
		So(len(s.running), ShouldBeLessThanOrEqualTo, maxStreams)
	})
	Convey("The stall by a prefill is learned, also from other routers, within bounds", t, func() {
		p := placer(1)
		s := p.service("llm")
		e := s.endpoints[0]
		So(s.stalls.share(), ShouldEqual, priorStallShare)
		c := call(0, 10)
		c.Prompt.MaxEventGap, c.Prompt.Output = 300*time.Millisecond, 100
		placed := p.Place(0, c)
		p.RecordFirstToken(0, placed, 10*time.Millisecond)
		_, ok := p.RecordStreamEnd(time.Second, placed, time.Second, 100*time.Millisecond)
		So(ok, ShouldBeFalse) // no long prefill meanwhile
		recordRemotePrefill(p, time.Second, e, 2*time.Second)
		seen, ok := p.RecordStreamEnd(3*time.Second, placed, 3*time.Second, 200*time.Millisecond)
		So(ok, ShouldBeTrue)
		So(seen.LongestGap, ShouldAlmostEqual, 0.2)
		So(s.stalls.share(), ShouldBeLessThan, priorStallShare)
		for range 200 {
			p.RecordRemoteStall(&seen)
		}
		So(s.stalls.share(), ShouldBeBetween, 0.05, 0.2)
		p.RecordRemoteStall(&Stall{Endpoint: 1})
		p.RecordRemoteStall(&Stall{Endpoint: e.ShortID(), LongestGap: math.NaN(), PrefillTime: math.NaN()})
		p.RecordRemoteStall(&Stall{Endpoint: e.ShortID(), LongestGap: 1e12, PrefillTime: -1})
		for range 200 {
			p.RecordRemoteStall(&Stall{Endpoint: e.ShortID(), LongestGap: 1e12, PrefillTime: 1e-9})
		}
		So(s.stalls.share(), ShouldBeBetweenOrEqual, 0.9, 1)
	})
	Convey("The duration of streams is learned, within bounds", t, func() {
		var l tokenTimes
		So(l.duration(1, 100), ShouldEqual, 100*priorTokenTime)
		for range 1000 {
			l.observe(1, 2*time.Second, 100)
		}
		l.observe(1, time.Second, 0)
		So(l.duration(1, 100), ShouldAlmostEqual, 2*time.Second, 10*time.Millisecond)
		So(l.duration(0, 100), ShouldEqual, 100*priorTokenTime)
		l.observe(99, time.Hour, 1)
		So(l.duration(-5, 1e300), ShouldBeLessThanOrEqualTo, maxStreamDuration)
		So(l.duration(1, 1e9), ShouldEqual, maxStreamDuration)
	})
}
