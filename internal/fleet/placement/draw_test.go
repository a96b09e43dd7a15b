package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// prompt is a call whose shared part ends at a number of units.
func prompt(units, shared float64) *Call {
	c := call(0, units)
	c.Prompt.Prefixes = []Prefix{{Hash: 7, Units: shared}}
	return c
}

// hear has another router tell of a prompt that takes an endpoint a time to read.
func hear(p *Placer, now time.Duration, e *Endpoint, reading time.Duration) {
	units := reading.Seconds() / priorUnitTime
	p.RecordRemoteCall(now, e.Name(), &Prompt{Units: units}, units)
}

// busy has one endpoint keep the shared part, and a queue that takes it a time.
func busy(p *Placer, shared float64, waiting time.Duration) *Endpoint {
	placed := p.Place(0, prompt(shared+1, shared))
	p.Release(placed)
	e := placed.Endpoint
	e.queue = queue{}
	hear(p, 0, e, waiting)
	return e
}

func TestDrawByLoss(t *testing.T) {
	Convey("A long shared part keeps its calls while they are in time there", t, func() {
		p := placer(4)
		kept := busy(p, 8000, 150*time.Millisecond)
		So(p.Place(0, prompt(8500, 8000)).Endpoint, ShouldEqual, kept)
	})
	Convey("A short one does not keep a call that would be late there", t, func() {
		p := placer(4)
		kept := busy(p, 500, 700*time.Millisecond)
		So(p.Place(0, prompt(1000, 500)).Endpoint, ShouldNotEqual, kept)
	})
	Convey("The longest prompts are in time before shared parts are spared", t, func() {
		p := placer(4)
		kept := busy(p, 4000, 250*time.Millisecond)
		for range 50 {
			p.service("llm").recordWeight(&Prompt{Units: 2000})
		}
		long := prompt(24000, 4000)
		So(p.Place(0, long).Endpoint, ShouldNotEqual, kept)
	})
	Convey("An answer that is expected much too late anyway goes where it is read least", t, func() {
		p := placer(4)
		for _, e := range p.service("llm").endpoints {
			hear(p, 0, e, 6*time.Second)
		}
		kept := p.service("llm").endpoints[2]
		kept.prefixes.remember(0, 7)
		So(p.Place(0, prompt(8500, 8000)).Endpoint, ShouldEqual, kept)
	})
	Convey("Lateness grows with what is expected, from nearly none to nearly all", t, func() {
		So(lateness(0.1, 0.5), ShouldBeLessThan, 0.01)
		So(lateness(0.5, 0.5), ShouldAlmostEqual, 0.5)
		So(lateness(1, 0.5), ShouldBeGreaterThan, 0.9)
		So(lateness(0.1, 0), ShouldBeGreaterThan, 0.9)
	})
	Convey("A prompt counts by its size within its rank, within bounds", t, func() {
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
