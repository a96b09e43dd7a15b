package placement

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestSolveRaisesPayoff guards against solved rows that are not probability distributions, and against a solve that lowers
// the payoff.
func TestSolveRaisesPayoff(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "endpoints")
		p := problem{target: 0.5, otherRates: make([]float64, n)}
		for k := range p.rates {
			p.rates[k] = rapid.Float64Range(0, 20).Draw(rt, "rate")
		}
		for range n {
			p.delays = append(p.delays, delayFit{
				base: rapid.Float64Range(0.02, 1).Draw(rt, "base"), slope: rapid.Float64Range(0, 0.05).Draw(rt, "slope"),
				deviation: rapid.Float64Range(0.02, 0.3).Draw(rt, "deviation"),
			})
			p.failureShares = append(p.failureShares, rapid.Float64Range(0, 0.5).Draw(rt, "failure share"))
		}
		even := evenRows(n)
		before := p.payoff(even)
		solved := p.solve(evenRows(n)).rows
		for _, row := range solved {
			sum := 0.0
			for _, share := range row {
				sum += share
				if share < 0 {
					rt.Fatalf("share %v is negative", share)
				}
			}
			if math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("row sums to %v, want 1", sum)
			}
		}
		if after := p.payoff(solved); after < before-1e-12 {
			rt.Fatalf("solve lowered the payoff from %v to %v", before, after)
		}
	})
}

func TestSolvedRows(t *testing.T) {
	Convey("A recovered endpoint gets its share of calls again", t, func() {
		p := problem{target: 0.5, rates: [bucketCount]float64{10, 1, 1, 1}, otherRates: make([]float64, 4), failureShares: []float64{0, 0, 0, 0.6}}
		for range p.otherRates {
			p.delays = append(p.delays, delayFit{base: 0.1, deviation: 0.05})
		}
		r := p.solve(evenRows(4)).rows
		So(r[0][3], ShouldBeLessThan, 0.03)
		p.failureShares[3] = 0
		for range 30 {
			r = p.solve(r).rows
		}
		So(r[0][3], ShouldBeGreaterThan, 0.2)
	})
	Convey("Solved rows that are worse than the start are discarded", t, func() {
		p := problem{target: 0.5, rates: [bucketCount]float64{20, 20, 20, 20}, otherRates: make([]float64, 12)}
		for i := range p.otherRates {
			p.delays = append(p.delays, delayFit{base: 0.3 + 0.7*float64(i%2), slope: 0.05, deviation: 0.02})
			p.failureShares = append(p.failureShares, 0.5)
		}
		r := evenRows(len(p.otherRates))
		for range 20 {
			before, uneven := p.payoff(r), p.unevenness(r)
			solved := p.solve(r)
			So(solved.before, ShouldAlmostEqual, before)
			So(solved.after-p.unevenness(solved.rows), ShouldBeGreaterThanOrEqualTo, before-uneven)
			So(p.payoff(solved.rows), ShouldAlmostEqual, solved.after)
			r = solved.rows
		}
	})
	Convey("A solve moves calls away from endpoints that are late or fail", t, func() {
		p := problem{target: 0.5, otherRates: make([]float64, 3), failureShares: []float64{0, 0, 0.5}}
		p.rates = [bucketCount]float64{10, 1, 1, 1}
		p.delays = []delayFit{{base: 0.1, deviation: 0.05}, {base: 0.9, deviation: 0.05}, {base: 0.1, deviation: 0.05}}
		rows := evenRows(3)
		for range 10 {
			rows = p.solve(rows).rows
		}
		So(rows[0][0], ShouldBeGreaterThan, 0.8)
		So(rows[0][1], ShouldBeLessThan, 0.1)
		So(rows[0][2], ShouldBeLessThan, 0.2)
	})
	Convey("Calls are divided into buckets by the share of their target that has passed", t, func() {
		So(bucketFor(0), ShouldEqual, 0)
		So(bucketFor(0.2), ShouldEqual, 1)
		So(bucketFor(0.99), ShouldEqual, bucketCount-1)
		So(bucketFor(5), ShouldEqual, bucketCount-1)
	})
}

// BenchmarkSolve measures a solve of one table.
func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{12, 112, 1400} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p := problem{target: 0.5, rates: [bucketCount]float64{8, 1, 1, 1}, otherRates: make([]float64, n), failureShares: make([]float64, n)}
			for i := range n {
				p.delays = append(p.delays, delayFit{base: 0.1 + float64(i%7)*0.02, deviation: 0.05})
			}
			for range b.N {
				p.solve(evenRows(n))
			}
		})
	}
}
