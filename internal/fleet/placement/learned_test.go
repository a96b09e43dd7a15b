package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLearnedState(t *testing.T) {
	long := func() *Call {
		c := call(4711, 20000)
		c.Target = 2 * time.Second
		return c
	}
	Convey("A router that has just started", t, func() {
		old := placer(9)
		first := old.Place(0, long())
		old.RecordFirstToken(0, first, 700*time.Millisecond)
		old.Release(first)
		for range 200 {
			old.RecordRemoteFirstToken(0, &Observation{Endpoint: first.Endpoint.ShortID(), PrefillUnits: 20000, Units: 20000, Delay: 0.7})
		}
		stored, err := cbor.Marshal(old.ExportLearned(10 * time.Second))
		So(err, ShouldBeNil)
		var state LearnedState
		So(cbor.Unmarshal(stored, &state), ShouldBeNil)

		fresh := placer(9)
		fresh.service("llm")
		fresh.ImportLearned(time.Second, &state)
		Convey("sends a prefix where it is cached, and knows how long it takes", func() {
			placed := fresh.Place(time.Second, long())
			So(placed.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(placed.Units, ShouldEqual, 10000)
			So(placed.Expected, ShouldBeBetween, 250*time.Millisecond, 500*time.Millisecond)
		})
		Convey("imports it for endpoints that it comes to know later, without losing its own observations", func() {
			late := New(rand.New(rand.NewPCG(3, 3)))
			late.SetEndpoints(endpoints(9)[:1])
			late.ImportLearned(time.Second, &state)
			late.SetEndpoints(endpoints(9))
			late.ImportLearned(time.Second, &state)
			late.ImportLearned(time.Second, &state)
			So(late.Place(2*time.Second, long()).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
		Convey("expires prefixes as the one that exported them", func() {
			So(fresh.Place(25*time.Second, long()).Units, ShouldEqual, 20000)
		})
		Convey("prefers its own observations", func() {
			seen := fresh.Place(2*time.Second, call(9, 2000))
			fresh.RecordFirstToken(2*time.Second, seen, 300*time.Millisecond)
			before := fresh.service("llm").prefill.line()
			fresh.ImportLearned(2*time.Second, &LearnedState{Models: []LatencyModel{{Service: "llm", Base: 1, PerUnit: 1, PerPair: 1}}})
			So(fresh.service("llm").prefill.line(), ShouldResemble, before)
		})
	})
	Convey("Absurd state is bounded, and so is the export", t, func() {
		p := placer(2)
		p.service("llm")
		e := p.service("llm").endpoints[0]
		var l LearnedState
		for i := range uint32(3 * maxExportedPrefixes) {
			l.Prefixes = append(l.Prefixes, CachedPrefix{Endpoint: e.ShortID(), Prefix: i}, CachedPrefix{Endpoint: 1, Prefix: i, AgeMs: math.MaxUint32})
		}
		l.Models = []LatencyModel{{Service: "llm", Base: math.NaN(), PerUnit: math.Inf(1), PerPair: -1}, {Service: "none"}}
		p.ImportLearned(0, &l)
		So(len(e.prefixes), ShouldBeLessThanOrEqualTo, maxCachedPrefixes)
		So(p.service("llm").prefill.line(), ShouldResemble, latencyLine{base: priorBase, perUnit: maxUnitTime})
		many := placer(20)
		for _, e := range many.service("llm").endpoints {
			for i := range uint32(maxCachedPrefixes) {
				e.prefixes.insert(0, i)
			}
		}
		So(len(many.ExportLearned(0).Prefixes), ShouldEqual, maxExportedPrefixes)
	})
}
