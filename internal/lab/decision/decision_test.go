package decision

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// small returns the site of testdata/small.toml.
func small(t *testing.T) *Site {
	t.Helper()
	site, err := ReadSite("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// playSequentially plays calls on one engine, each when the one before is done.
func playSequentially(spec *EngineSpec, calls ...*call) {
	e := &engine{spec: spec}
	now := 0.0
	for _, c := range calls {
		c.sentAt = now
		e.submit(c)
		for e.startStep(now); e.stepEnd > 0; e.startStep(now) {
			now = e.stepEnd
			e.finishStep()
		}
	}
}

func TestEngine(t *testing.T) {
	spec := small(t).Services[0].Engine
	class := &Class{}
	request := func(own float64, output int) *call {
		return &call{class: class, parts: []part{{1, 500}, {2, 4000}, {rand.Uint64(), own}}, prompt: 4500 + own, output: output}
	}
	Convey("The prefill of a single prompt takes the time of its tokens and pairs", t, func() {
		c := request(20000, 1)
		playSequentially(spec, c)
		So(c.firstAt, ShouldAlmostEqual, spec.minFirstTokenTime(24500, 0)-spec.FirstTokenMs*millisecond, 1e-6)
		So(spec.minFirstTokenTime(24500, 4500), ShouldBeLessThan, spec.minFirstTokenTime(24500, 0))
	})
	Convey("Shared parts are prefilled once, as long as they are cached", t, func() {
		first, second := request(1000, 1), request(1000, 1)
		playSequentially(spec, first, second)
		So(first.missedTokens, ShouldEqual, 4500)
		So(second.missedTokens, ShouldEqual, 0)
		tight := *spec
		tight.KVTokens = 4000
		first, second = request(1000, 1), request(1000, 1)
		playSequentially(&tight, first, second)
		So(second.missedTokens, ShouldBeGreaterThan, 0)
	})
	Convey("A long prompt stalls a running stream, and waiting prompts go by priority", t, func() {
		e := &engine{spec: spec}
		stream, long, urgent := request(100, 200), request(45000, 1), request(100, 1)
		long.class = &Class{Priority: 1}
		e.submit(stream)
		now := 0.0
		for step := 0; ; step++ {
			if step == 30 {
				e.submit(long)
				e.submit(urgent)
			}
			e.startStep(now)
			if e.stepEnd == 0 {
				break
			}
			now = e.stepEnd
			e.finishStep()
		}
		So(stream.maxStall, ShouldBeGreaterThan, 0.35)
		So(urgent.firstAt, ShouldBeLessThan, long.firstAt)
	})
}

func TestPlay(t *testing.T) {
	site := small(t)
	Convey("The ideal scheduler is late least, and the routers are far better than chance", t, func() {
		late := map[Scheduler]float64{}
		for _, scheduler := range []Scheduler{Routers, Ideal, Random} {
			rows, err := Seeds(context.Background(), Config{Site: site, Day: "quiet", Scheduler: scheduler}, 4)
			So(err, ShouldBeNil)
			So(len(rows), ShouldEqual, 2)
			late[scheduler] = rows[0].Late
			So(rows[0].Impossible, ShouldBeLessThanOrEqualTo, rows[0].Late)
		}
		So(late[Ideal], ShouldBeLessThanOrEqualTo, late[Routers])
		So(late[Routers], ShouldBeLessThan, 0.7*late[Random])
	})
	Convey("The same seed gives the same play, another one another", t, func() {
		play := func(seed uint64) []Outcome {
			kinds, err := Play(Config{Site: site, Day: "quiet", Scheduler: Routers, Seed: seed})
			So(err, ShouldBeNil)
			return kinds
		}
		So(play(3), ShouldResemble, play(3))
		So(play(3), ShouldNotResemble, play(4))
	})
	Convey("A day's own traffic is played, and a day that is not there is an error", t, func() {
		kinds, err := Play(Config{Site: site, Day: "rest", Scheduler: Random, Seed: 1})
		So(err, ShouldBeNil)
		So(kinds[0].Calls, ShouldBeLessThan, 60)
		_, err = Play(Config{Site: site, Day: "none", Scheduler: Random, Seed: 1})
		So(err, ShouldNotBeNil)
		_, err = ReadSite("testdata/none.toml")
		So(err, ShouldNotBeNil)
	})
	Convey("The plot names each row", t, func() {
		text := string(Plot([]Row{{Day: "quiet", Scheduler: Ideal, Class: "long", Late: 3, Impossible: 3}}))
		So(text, ShouldContainSubstring, "quiet, ideal, long")
		So(strings.HasSuffix(text, "</svg>\n"), ShouldBeTrue)
	})
}

// TestServiceWithoutEngine guards against playing calls of a service that has no engines, for which there is nothing to place.
func TestServiceWithoutEngine(t *testing.T) {
	site, err := ReadSite("testdata/mixed.toml")
	if err != nil {
		t.Fatal(err)
	}
	Convey("Classes of a service without an engine are left out, and the others keep their rates", t, func() {
		for _, scheduler := range []Scheduler{Routers, Ideal, Random} {
			rows, err := Seeds(context.Background(), Config{Site: site, Day: "quiet", Scheduler: scheduler}, 4)
			So(err, ShouldBeNil)
			So(len(rows), ShouldEqual, 2)
			So(rows[0].Class, ShouldEqual, "long")
			So(rows[1].Class, ShouldEqual, "short")
			expected := 60.0 * 12 * 100 / 125 // calls a second, seconds, share of the two classes
			So(rows[0].Calls+rows[1].Calls, ShouldBeBetween, 0.8*expected, 1.2*expected)
		}
		var names []string
		for _, class := range site.Excluded() {
			names = append(names, class.Name)
		}
		So(names, ShouldResemble, []string{"stock"})
		So(small(t).Excluded(), ShouldBeEmpty)
	})
	Convey("A site none of whose classes uses an engine is an error", t, func() {
		none := *site
		none.Classes = site.Excluded()
		_, err := Play(Config{Site: &none, Day: "quiet", Scheduler: Routers, Seed: 1})
		So(err, ShouldNotBeNil)
	})
}
