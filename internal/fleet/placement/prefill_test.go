package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefillModel(t *testing.T) {
	observe := func(m *prefillModel, count int, truth latencyLine) {
		random := rand.New(rand.NewPCG(2, 2))
		for range count {
			own := 200 + 40000*random.Float64()*random.Float64()*random.Float64()
			w := workOf(own, own+5000)
			m.observe(w, truth.firstToken(w)*(0.9+0.2*random.Float64()), 1)
		}
	}
	Convey("The model fits a time to first token that grows faster than the prompt's length", t, func() {
		truth := latencyLine{base: 0.01, perUnit: 17e-6, perPair: 0.65e-3}
		var m prefillModel
		observe(&m, 400, truth)
		for _, units := range []float64{500, 5000, 30000} {
			w := workOf(units, units)
			So(m.line().firstToken(w), ShouldAlmostEqual, truth.firstToken(w), 0.1*truth.firstToken(w)+0.002)
		}
	})
	Convey("The model extrapolates a time that is linear in the length without a wrong term for pairs", t, func() {
		truth := latencyLine{base: 0.05, perUnit: 25e-6}
		var m prefillModel
		observe(&m, 400, truth)
		w := workOf(50000, 50000)
		So(m.line().firstToken(w), ShouldAlmostEqual, truth.firstToken(w), 0.15*truth.firstToken(w))
	})
	Convey("A single outlier changes the line little", t, func() {
		truth := latencyLine{base: 0.01, perUnit: 17e-6, perPair: 0.65e-3}
		var m prefillModel
		observe(&m, 400, truth)
		w := workOf(3000, 4000)
		before := m.line().firstToken(w)
		m.observe(w, 60, 1)
		So(m.line().firstToken(w), ShouldBeLessThan, 1.5*before)
	})
	Convey("The line stays within its bounds for implausible observations", t, func() {
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
}
