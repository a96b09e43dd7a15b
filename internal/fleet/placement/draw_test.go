package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// callWithPrefix returns a call whose shared prefix has a number of units.
func callWithPrefix(units, shared float64) *Call {
	c := call(0, units)
	c.Prompt.Prefixes = []Prefix{{Hash: 7, Units: shared}}
	return c
}

// recordRemotePrefill has another router report a prompt whose prefill takes an endpoint a time.
func recordRemotePrefill(p *Placer, now time.Duration, e *Endpoint, prefill time.Duration) {
	units := prefill.Seconds() / priorUnitTime
	p.RecordRemoteCall(now, e.ShortID(), &Prompt{Units: units}, units)
}

// busyWithPrefix has one endpoint cache the shared prefix, and a queue that takes it a time.
func busyWithPrefix(p *Placer, shared float64, wait time.Duration) *Endpoint {
	placed := p.Place(0, callWithPrefix(shared+1, shared))
	p.Release(placed)
	e := placed.Endpoint
	e.queue = queue{}
	recordRemotePrefill(p, 0, e, wait)
	return e
}

func TestDrawByExpectedLoss(t *testing.T) {
	Convey("A long cached prefix keeps its calls while they are in time there", t, func() {
		p := placer(4)
		cached := busyWithPrefix(p, 8000, 150*time.Millisecond)
		So(p.Place(0, callWithPrefix(8500, 8000)).Endpoint, ShouldEqual, cached)
	})
	Convey("A short one does not keep a call that would be late there", t, func() {
		p := placer(4)
		cached := busyWithPrefix(p, 500, 700*time.Millisecond)
		So(p.Place(0, callWithPrefix(1000, 500)).Endpoint, ShouldNotEqual, cached)
	})
	Convey("The longest prompts are in time before prefixes are reused", t, func() {
		p := placer(4)
		cached := busyWithPrefix(p, 4000, 250*time.Millisecond)
		for range 50 {
			p.service("llm").recordWeight(&Prompt{Units: 2000})
		}
		long := callWithPrefix(24000, 4000)
		So(p.Place(0, long).Endpoint, ShouldNotEqual, cached)
	})
	Convey("A call that is expected much too late anywhere goes where it is cached", t, func() {
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
	Convey("A call weighs by its prompt within its priority, within bounds", t, func() {
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
