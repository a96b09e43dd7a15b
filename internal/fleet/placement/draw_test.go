package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// callWithPrefix returns a call for a prompt of some units, of which the first are a shared prefix.
func callWithPrefix(units, shared float64) *Call {
	c := call(0, units)
	c.Prompt.Prefixes = []Prefix{{Hash: 7, Units: shared}}
	return c
}

// recordRemotePrefill records another router's report of a prompt whose prefill takes the endpoint the given time.
func recordRemotePrefill(p *Placer, now time.Duration, e *Endpoint, prefill time.Duration) {
	units := prefill.Seconds() / priorUnitTime
	p.RecordRemoteCall(now, e.ShortID(), &Prompt{Units: units}, units)
}

// placePrefixAndFillQueue places a call with a shared prefix, so that its endpoint caches the prefix, and then fills the
// queue of that endpoint, which it returns.
func placePrefixAndFillQueue(p *Placer, shared float64, queueTime time.Duration) *Endpoint {
	placed := p.Place(0, callWithPrefix(shared+1, shared))
	p.Release(placed)
	e := placed.Endpoint
	e.queue = queue{}
	recordRemotePrefill(p, 0, e, queueTime)
	return e
}

func TestDrawByExpectedLoss(t *testing.T) {
	Convey("Calls with a long cached prefix stay with its endpoint while they are in time there", t, func() {
		p := placer(4)
		cached := placePrefixAndFillQueue(p, 8000, 150*time.Millisecond)
		So(p.Place(0, callWithPrefix(8500, 8000)).Endpoint, ShouldEqual, cached)
	})
	Convey("A call with a short cached prefix goes elsewhere if it would be late at the prefix's endpoint", t, func() {
		p := placer(4)
		cached := placePrefixAndFillQueue(p, 500, 700*time.Millisecond)
		So(p.Place(0, callWithPrefix(1000, 500)).Endpoint, ShouldNotEqual, cached)
	})
	Convey("For the longest prompts a timely first token takes precedence over a cached prefix", t, func() {
		p := placer(4)
		cached := placePrefixAndFillQueue(p, 4000, 250*time.Millisecond)
		for range 50 {
			p.service("llm").recordWeight(&Prompt{Units: 2000})
		}
		long := callWithPrefix(24000, 4000)
		So(p.Place(0, long).Endpoint, ShouldNotEqual, cached)
	})
	Convey("A call that would be much too late at every endpoint goes to the one that has its prefix cached", t, func() {
		p := placer(4)
		for _, e := range p.service("llm").endpoints {
			recordRemotePrefill(p, 0, e, 6*time.Second)
		}
		cached := p.service("llm").endpoints[2]
		cached.prefixes.insert(0, 7)
		So(p.Place(0, callWithPrefix(8500, 8000)).Endpoint, ShouldEqual, cached)
	})
	Convey("Lateness grows with the expected delay, from nearly 0 to nearly 1", t, func() {
		So(lateness(0.1, 0.5), ShouldBeLessThan, 0.01)
		So(lateness(0.5, 0.5), ShouldAlmostEqual, 0.5)
		So(lateness(1, 0.5), ShouldBeGreaterThan, 0.9)
		So(lateness(0.1, 0), ShouldBeGreaterThan, 0.9)
	})
	Convey("A call's weight depends on its prompt relative to its priority's mean, within bounds", t, func() {
		s := placer(1).service("llm")
		So(s.callWeight(&Prompt{Units: 1000}), ShouldEqual, 1)
		for range 200 {
			s.recordWeight(&Prompt{Units: 1000})
		}
		So(s.callWeight(&Prompt{Units: 1000}), ShouldAlmostEqual, 1)
		So(s.callWeight(&Prompt{Units: 1}), ShouldAlmostEqual, minCallWeight, 0.01)
		So(s.callWeight(&Prompt{Units: 1e6}), ShouldEqual, maxCallWeight)
	})
}
