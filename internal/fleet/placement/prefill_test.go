package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReading(t *testing.T) {
	observe := func(m *prefillModel, count int, truth latencyLine) {
		random := rand.New(rand.NewPCG(2, 2))
		for range count {
			own := 200 + 40000*random.Float64()*random.Float64()*random.Float64()
			w := workOf(own, own+5000)
			m.observe(w, truth.firstToken(w)*(0.9+0.2*random.Float64()), 1)
		}
	}
	Convey("Time that grows faster than a prompt's length is learned", t, func() {
		truth := latencyLine{base: 0.01, perUnit: 17e-6, perPair: 0.65e-3}
		var m prefillModel
		observe(&m, 400, truth)
		for _, units := range []float64{500, 5000, 30000} {
			w := workOf(units, units)
			So(m.line().firstToken(w), ShouldAlmostEqual, truth.firstToken(w), 0.1*truth.firstToken(w)+0.002)
		}
	})
	Convey("Time that grows with the length gets no term for pairs that would mislead", t, func() {
		truth := latencyLine{base: 0.05, perUnit: 25e-6}
		var m prefillModel
		observe(&m, 400, truth)
		w := workOf(50000, 50000)
		So(m.line().firstToken(w), ShouldAlmostEqual, truth.firstToken(w), 0.15*truth.firstToken(w))
	})
	Convey("A single odd answer moves the line little", t, func() {
		truth := latencyLine{base: 0.01, perUnit: 17e-6, perPair: 0.65e-3}
		var m prefillModel
		observe(&m, 400, truth)
		w := workOf(3000, 4000)
		before := m.line().firstToken(w)
		m.observe(w, 60, 1)
		So(m.line().firstToken(w), ShouldBeLessThan, 1.5*before)
	})
	Convey("Nonsense stays within bounds", t, func() {
		var m prefillModel
		for range 1000 {
			m.observe(workOf(1e9, 4e9), 0, 1)
			m.observe(workOf(1, 1), 65, 1)
		}
		l := m.line()
		So(l.base, ShouldBeBetweenOrEqual, minBase, maxBase)
		So(l.perUnit, ShouldBeBetweenOrEqual, minUnitTime, maxUnitTime)
		So(l.perPair, ShouldBeBetweenOrEqual, 0, maxPairTime)
	})
	Convey("A slow endpoint is told from chance, and gets another chance in time", t, func() {
		var s slowness
		So(s.factor(0), ShouldEqual, 1)
		s.observe(0, 6)
		So(s.factor(0), ShouldBeLessThan, 2)
		for range 30 {
			s.observe(0, 6)
		}
		So(s.factor(0), ShouldBeGreaterThan, 2.5)
		So(s.factor(time.Minute), ShouldBeLessThan, 1.1)
		s.observe(time.Minute, 1e12)
		s.observe(time.Minute, 0)
		So(s.factor(time.Minute), ShouldBeBetween, 0.9, 1.1)
	})
}

func TestLearningFromOthers(t *testing.T) {
	Convey("What other routers have seen is learned as from own calls, and turns calls away from slow endpoints", t, func() {
		p := placer(4)
		slow := p.service("llm").endpoints[1]
		for i := range 200 {
			e := p.service("llm").endpoints[i%4]
			delay := 0.05
			if e == slow {
				delay = 0.4
			}
			p.RecordRemoteFirstToken(0, &Observation{Endpoint: e.Name(), PrefillUnits: 2000, Units: 2000, Delay: delay})
		}
		p.RecordRemoteFirstToken(0, &Observation{Endpoint: 12345, PrefillUnits: 1, Units: 2000, Delay: 1})
		for i := range uint32(40) {
			placed := p.Place(0, call(100+i, 8000))
			So(placed.Endpoint, ShouldNotEqual, slow)
			p.RecordFirstToken(0, placed, 200*time.Millisecond)
			p.Release(placed)
		}
	})
}

func TestStreamsHeldUp(t *testing.T) {
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
				p.RecordRemoteCall(0, e.Name(), stream, 1)
			}
		}
		for range 10 {
			placed := p.Place(time.Second, long())
			So(placed.Endpoint.ID, ShouldEqual, "e02")
			p.RecordFirstToken(time.Second, placed, 520*time.Millisecond)
			p.Release(placed)
		}
	})
	Convey("Streams that have ended, and those that may pause, hold nothing off", t, func() {
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
	Convey("The pause that a prompt makes is learned, also from other routers, within bounds", t, func() {
		p := placer(1)
		s := p.service("llm")
		e := s.endpoints[0]
		So(s.stalls.share(), ShouldEqual, priorStallShare)
		c := call(0, 10)
		c.Prompt.MaxEventGap, c.Prompt.Output = 300*time.Millisecond, 100
		placed := p.Place(0, c)
		p.RecordFirstToken(0, placed, 10*time.Millisecond)
		_, ok := p.RecordStreamEnd(time.Second, placed, time.Second, 100*time.Millisecond)
		So(ok, ShouldBeFalse) // no long prompt was read
		hear(p, time.Second, e, 2*time.Second)
		seen, ok := p.RecordStreamEnd(3*time.Second, placed, 3*time.Second, 200*time.Millisecond)
		So(ok, ShouldBeTrue)
		So(seen.Longest, ShouldAlmostEqual, 0.2)
		So(s.stalls.share(), ShouldBeLessThan, priorStallShare)
		for range 200 {
			p.RecordRemoteStall(&seen)
		}
		So(s.stalls.share(), ShouldBeBetween, 0.05, 0.2)
		p.RecordRemoteStall(&Stall{Endpoint: 1})
		p.RecordRemoteStall(&Stall{Endpoint: e.Name(), Longest: math.NaN(), PrefillTime: math.NaN()})
		p.RecordRemoteStall(&Stall{Endpoint: e.Name(), Longest: 1e12, PrefillTime: -1})
		for range 200 {
			p.RecordRemoteStall(&Stall{Endpoint: e.Name(), Longest: 1e12, PrefillTime: 1e-9})
		}
		So(s.stalls.share(), ShouldBeBetweenOrEqual, 0.9, 1)
	})
	Convey("How long a stream runs is learned, within bounds", t, func() {
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
