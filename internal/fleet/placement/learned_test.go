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
	Convey("A router that has just started and imports learned state", t, func() {
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
		Convey("sends a prefix to the endpoint that has it cached, and predicts the time to first token", func() {
			placed := fresh.Place(time.Second, long())
			So(placed.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(placed.Units, ShouldEqual, 10000)
			So(placed.Expected, ShouldBeBetween, 250*time.Millisecond, 500*time.Millisecond)
		})
		Convey("can import the same state again for endpoints that are listed later", func() {
			late := New(rand.New(rand.NewPCG(3, 3)))
			late.SetEndpoints(endpoints(9)[:1])
			late.ImportLearned(time.Second, &state)
			late.SetEndpoints(endpoints(9))
			late.ImportLearned(time.Second, &state)
			late.ImportLearned(time.Second, &state)
			So(late.Place(2*time.Second, long()).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
		Convey("expires prefixes at the same time as the router that exported them", func() {
			So(fresh.Place(25*time.Second, long()).Units, ShouldEqual, 20000)
		})
		Convey("prefers its own observations", func() {
			own := fresh.Place(2*time.Second, call(9, 2000))
			fresh.RecordFirstToken(2*time.Second, own, 300*time.Millisecond)
			before := fresh.service("llm").prefill.line()
			fresh.ImportLearned(2*time.Second, &LearnedState{Models: []LatencyModel{{Service: "llm", Base: 1, PerUnit: 1, PerPair: 1}}})
			So(fresh.service("llm").prefill.line(), ShouldResemble, before)
		})
	})
	Convey("Imported values and the size of the export are bounded", t, func() {
		p := placer(2)
		p.service("llm")
		e := p.service("llm").endpoints[0]
		var absurd LearnedState
		for i := range uint32(3 * maxExportedPrefixes) {
			absurd.Prefixes = append(absurd.Prefixes, CachedPrefix{Endpoint: e.ShortID(), Prefix: i}, CachedPrefix{Endpoint: 1, Prefix: i, AgeMs: math.MaxUint32})
		}
		absurd.Models = []LatencyModel{{Service: "llm", Base: math.NaN(), PerUnit: math.Inf(1), PerPair: -1}, {Service: "none"}}
		p.ImportLearned(0, &absurd)
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
