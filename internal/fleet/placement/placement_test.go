package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/fleet/registry"
)

const target = 500 * time.Millisecond

func endpoints(n int) []registry.Endpoint {
	var all []registry.Endpoint
	for i := range n {
		all = append(all, registry.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return all
}

func placer(n int) *Placer {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(n))
	return p
}

func call(prefix uint32, units float64) *Call {
	c := &Call{Service: "llm", Target: target, Prompt: Prompt{Units: units}}
	if prefix != 0 {
		c.Prompt.Prefixes = []Prefix{{Hash: prefix, Units: units / 2}}
	}
	return c
}

// Guards against rows that are no distribution, and against a solve that lowers the payoff.
func TestSolveRaisesThePayoff(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "endpoints")
		p := problem{target: 0.5, otherRates: make([]float64, n)}
		for k := range p.rates {
			p.rates[k] = rapid.Float64Range(0, 20).Draw(rt, "rate")
		}
		for range n {
			p.delays = append(p.delays, delayFit{
				base: rapid.Float64Range(0.02, 1).Draw(rt, "base"), slope: rapid.Float64Range(0, 0.05).Draw(rt, "slope"),
				spread: rapid.Float64Range(0.02, 0.3).Draw(rt, "spread"),
			})
			p.failureShares = append(p.failureShares, rapid.Float64Range(0, 0.5).Draw(rt, "fails"))
		}
		even := evenRows(n)
		before := p.payoff(even)
		solved := p.solve(evenRows(n)).rows
		for _, row := range solved {
			sum := 0.0
			for _, share := range row {
				sum += share
				if share < 0 {
					rt.Fatalf("a share of %v", share)
				}
			}
			if math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("a row sums to %v", sum)
			}
		}
		if after := p.payoff(solved); after < before-1e-12 {
			rt.Fatalf("payoff %v became %v", before, after)
		}
	})
}

func TestRows(t *testing.T) {
	Convey("An endpoint that failed once gets its share again when it is well", t, func() {
		p := problem{target: 0.5, rates: [bucketCount]float64{10, 1, 1, 1}, otherRates: make([]float64, 4), failureShares: []float64{0, 0, 0, 0.6}}
		for range p.otherRates {
			p.delays = append(p.delays, delayFit{base: 0.1, spread: 0.05})
		}
		r := p.solve(evenRows(4)).rows
		So(r[0][3], ShouldBeLessThan, 0.03)
		p.failureShares[3] = 0
		for range 30 {
			r = p.solve(r).rows
		}
		So(r[0][3], ShouldBeGreaterThan, 0.2)
	})
	Convey("Rows that came out worse are not taken", t, func() {
		p := problem{target: 0.5, rates: [bucketCount]float64{20, 20, 20, 20}, otherRates: make([]float64, 12)}
		for i := range p.otherRates {
			p.delays = append(p.delays, delayFit{base: 0.3 + 0.7*float64(i%2), slope: 0.05, spread: 0.02})
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
	Convey("A row leaves an endpoint that is late or fails for the others", t, func() {
		p := problem{target: 0.5, otherRates: make([]float64, 3), failureShares: []float64{0, 0, 0.5}}
		p.rates = [bucketCount]float64{10, 1, 1, 1}
		p.delays = []delayFit{{base: 0.1, spread: 0.05}, {base: 0.9, spread: 0.05}, {base: 0.1, spread: 0.05}}
		rows := evenRows(3)
		for range 10 {
			rows = p.solve(rows).rows
		}
		So(rows[0][0], ShouldBeGreaterThan, 0.8)
		So(rows[0][1], ShouldBeLessThan, 0.1)
		So(rows[0][2], ShouldBeLessThan, 0.2)
	})
	Convey("Calls are told apart by the share of their target that is spent", t, func() {
		So(bucketFor(0), ShouldEqual, 0)
		So(bucketFor(0.2), ShouldEqual, 1)
		So(bucketFor(0.99), ShouldEqual, bucketCount-1)
		So(bucketFor(5), ShouldEqual, bucketCount-1)
	})
}

func TestDraw(t *testing.T) {
	Convey("Nine endpoints that were not heard of yet", t, func() {
		p := placer(9)
		Convey("get even shares of prefixes", func() {
			counts := map[string]int{}
			for prefix := uint32(1); prefix <= 1800; prefix++ {
				placed := p.Place(time.Duration(prefix)*time.Second, call(prefix*7919, 100))
				counts[placed.Endpoint.ID]++
				p.Release(placed)
			}
			So(len(counts), ShouldEqual, 9)
			for _, count := range counts {
				So(count, ShouldBeBetween, 140, 260)
			}
		})
		Convey("keep a prefix while they are not crowded, and most prefixes when one of them goes", func() {
			homes := map[uint32]string{}
			for prefix := uint32(1); prefix <= 200; prefix++ {
				placed := p.Place(time.Duration(prefix)*time.Second, call(prefix*7919, 100))
				homes[prefix] = placed.Endpoint.ID
				p.Release(placed)
			}
			p.SetEndpoints(endpoints(8))
			moved := 0
			for prefix := uint32(1); prefix <= 200; prefix++ {
				placed := p.Place(time.Duration(400+prefix)*time.Second, call(prefix*7919, 100))
				if placed.Endpoint.ID != homes[prefix] && homes[prefix] != "e08" {
					moved++
				}
				p.Release(placed)
			}
			So(moved, ShouldBeLessThan, 10)
		})
		Convey("pass a call on whose endpoint has a long queue, also where other routers filled it", func() {
			home := p.Place(0, call(42, 1000)).Endpoint
			for range 40 {
				hear(p, time.Second, home, 200*time.Millisecond)
			}
			placed := p.Place(time.Second, call(42, 1000))
			So(placed.Endpoint, ShouldNotEqual, home)
			So(placed.Expected, ShouldBeLessThan, target)
		})
		Convey("keep a long shared part where it is, for a somewhat longer wait", func() {
			first := p.Place(0, call(42, 20000))
			p.Release(first)
			hear(p, time.Second, first.Endpoint, 300*time.Millisecond)
			So(p.Place(time.Second, call(42, 20000)).Endpoint, ShouldEqual, first.Endpoint)
		})
		Convey("get no call that is to go elsewhere", func() {
			c := call(42, 100)
			for i := range 9 {
				placed := p.Place(0, c)
				So(placed, ShouldNotBeNil)
				c.Exclude = append(c.Exclude, placed.Endpoint.ID)
				So(len(c.Exclude), ShouldEqual, i+1)
			}
			So(p.Place(0, c), ShouldBeNil)
		})
		Convey("are left out after a refused connection, and tried again later", func() {
			home := p.Place(0, call(42, 100)).Endpoint
			p.RecordConnectFailure(0, home)
			So(p.Place(time.Millisecond, call(42, 100)).Endpoint, ShouldNotEqual, home)
			So(p.Place(baseEjection+time.Second, call(42, 100)).Endpoint, ShouldEqual, home)
		})
		Convey("get no call from the moment on at which they are dropped", func() {
			home := p.Place(0, call(42, 100)).Endpoint
			p.Remove([]string{home.ID, "unknown"})
			for range 50 {
				So(p.Place(0, call(42, 100)).Endpoint, ShouldNotEqual, home)
			}
			Convey("and again when a list has them", func() {
				p.SetEndpoints(endpoints(9))
				So(p.Place(time.Hour, call(42, 100)).Endpoint.ID, ShouldEqual, home.ID)
			})
		})
		Convey("are used even if all are ejected", func() {
			for _, e := range p.services["llm"].endpoints {
				p.RecordConnectFailure(0, e)
			}
			So(p.Place(time.Millisecond, call(42, 100)), ShouldNotBeNil)
		})
		Convey("draw without a prefix from the whole row", func() {
			seen := map[string]bool{}
			for range 200 {
				placed := p.Place(0, call(0, 1))
				seen[placed.Endpoint.ID] = true
				p.Release(placed)
			}
			So(len(seen), ShouldEqual, 9)
		})
	})
	Convey("A service without endpoints has none to offer", t, func() {
		So(placer(0).Place(0, call(1, 1)), ShouldBeNil)
	})
}

func TestQueue(t *testing.T) {
	Convey("A prompt that is being read is read to its end, then the most urgent", t, func() {
		var q queue
		q.push(0, 1, 0.2)
		q.push(0, 1, 0.3)
		q.push(0, 0, 0.1)
		So(q.waitFor(0), ShouldAlmostEqual, 0.3, 1e-9)
		So(q.waitFor(1), ShouldAlmostEqual, 0.6, 1e-9)
		q.drain(200 * time.Millisecond)
		So(q.jobs[0].priority, ShouldEqual, 0)
		So(q.waitFor(0), ShouldAlmostEqual, 0.1+0.3*(1-0.1/certainOvertakeSeconds), 1e-9) // the other one may be begun first
		q.drain(350 * time.Millisecond)
		So(q.waitFor(0), ShouldAlmostEqual, 0.25, 1e-9) // the other one is being read
		q.drain(time.Second)
		So(q.jobs, ShouldBeEmpty)
	})
	Convey("A first token proves that what came before it was read", t, func() {
		var q queue
		serial := q.push(0, 0, 0.5)
		q.push(0, 0, 0.003)
		q.complete(serial, 0)
		So(q.waitFor(0), ShouldAlmostEqual, 0.003)
	})
	Convey("It is bounded", t, func() {
		var q queue
		for range 10 * maxQueueJobs {
			q.push(0, 20, 1e9)
			q.push(0, -1, 0.01)
		}
		So(len(q.jobs), ShouldBeLessThanOrEqualTo, maxQueueJobs)
		So(q.total(), ShouldBeLessThanOrEqualTo, maxQueueSeconds+1e-9)
	})
	Convey("Prefixes are counted on for a while, and their number is bounded", t, func() {
		var k prefixCache
		prompt := &Prompt{Units: 100, Prefixes: []Prefix{{Hash: 1, Units: 80}, {Hash: 2, Units: 30}}}
		So(k.uncached(0, prompt), ShouldEqual, 100)
		k.remember(0, 2)
		So(k.uncached(time.Second, prompt), ShouldEqual, 70)
		k.remember(time.Second, 1)
		So(k.uncached(time.Second, prompt), ShouldEqual, 20)
		So(k.uncached(2*prefixTTL, prompt), ShouldEqual, 100)
		for hash := range uint32(2 * maxCachedPrefixes) {
			k.remember(2*time.Second, hash+10)
		}
		So(len(k), ShouldBeLessThanOrEqualTo, maxCachedPrefixes)
	})
}

// A draw among many endpoints, as it is made for each request.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 112, 1400} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p := placer(n)
			for i := range b.N {
				placed := p.Place(time.Duration(i)*time.Millisecond, call(uint32(i%2000)*7919+1, 5000))
				p.Release(placed)
			}
		})
	}
}

// A solve of one table.
func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{12, 112, 1400} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p := problem{target: 0.5, rates: [bucketCount]float64{8, 1, 1, 1}, otherRates: make([]float64, n), failureShares: make([]float64, n)}
			for i := range n {
				p.delays = append(p.delays, delayFit{base: 0.1 + float64(i%7)*0.02, spread: 0.05})
			}
			for range b.N {
				p.solve(evenRows(n))
			}
		})
	}
}
