package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/registry"
)

const target = 500 * time.Millisecond

// endpoints returns n endpoints of the service "llm".
func endpoints(n int) []registry.Endpoint {
	var all []registry.Endpoint
	for i := range n {
		all = append(all, registry.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return all
}

// placer returns a placer with n endpoints.
func placer(n int) *Placer {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(n))
	return p
}

// call returns a call for a prompt of some units. Unless prefix is 0, the first half of the prompt is a shared prefix with
// that hash.
func call(prefix uint32, units float64) *Call {
	c := &Call{Service: "llm", Target: target, Prompt: Prompt{Units: units}}
	if prefix != 0 {
		c.Prompt.Prefixes = []Prefix{{Hash: prefix, Units: units / 2}}
	}
	return c
}

func TestPlace(t *testing.T) {
	Convey("Nine endpoints without observations", t, func() {
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
		Convey("keep a prefix while they are not congested, and most prefixes when one endpoint is removed", func() {
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
		Convey("lose calls to other endpoints when their queue is long, even if other routers filled it", func() {
			home := p.Place(0, call(42, 1000)).Endpoint
			for range 40 {
				recordRemotePrefill(p, time.Second, home, 200*time.Millisecond)
			}
			placed := p.Place(time.Second, call(42, 1000))
			So(placed.Endpoint, ShouldNotEqual, home)
			So(placed.Expected, ShouldBeLessThan, target)
		})
		Convey("keep the calls of a long cached prefix even if these have to wait somewhat longer", func() {
			first := p.Place(0, call(42, 20000))
			p.Release(first)
			recordRemotePrefill(p, time.Second, first.Endpoint, 300*time.Millisecond)
			So(p.Place(time.Second, call(42, 20000)).Endpoint, ShouldEqual, first.Endpoint)
		})
		Convey("get no call that excludes them", func() {
			c := call(42, 100)
			for i := range 9 {
				placed := p.Place(0, c)
				So(placed, ShouldNotBeNil)
				c.Exclude = append(c.Exclude, placed.Endpoint.ID)
				So(len(c.Exclude), ShouldEqual, i+1)
			}
			So(p.Place(0, c), ShouldBeNil)
		})
		Convey("are ejected after a failed connection, and used again after the ejection", func() {
			home := p.Place(0, call(42, 100)).Endpoint
			p.RecordConnectFailure(0, home)
			So(p.Place(time.Millisecond, call(42, 100)).Endpoint, ShouldNotEqual, home)
			So(p.Place(baseEjectionTime+time.Second, call(42, 100)).Endpoint, ShouldEqual, home)
		})
		Convey("get no calls while they are suspended", func() {
			home := p.Place(0, call(42, 100)).Endpoint
			p.Suspend([]string{home.ID, "unknown"})
			for range 50 {
				So(p.Place(0, call(42, 100)).Endpoint, ShouldNotEqual, home)
			}
			Convey("and get calls again when they are listed again", func() {
				p.SetEndpoints(endpoints(9))
				So(p.Place(time.Hour, call(42, 100)).Endpoint.ID, ShouldEqual, home.ID)
			})
		})
		Convey("are used if all are ejected", func() {
			for _, e := range p.services["llm"].endpoints {
				p.RecordConnectFailure(0, e)
			}
			So(p.Place(time.Millisecond, call(42, 100)), ShouldNotBeNil)
		})
		Convey("all get some of the calls without a prefix", func() {
			seen := map[string]bool{}
			for range 200 {
				placed := p.Place(0, call(0, 1))
				seen[placed.Endpoint.ID] = true
				p.Release(placed)
			}
			So(len(seen), ShouldEqual, 9)
		})
	})
	Convey("A service without endpoints places no call", t, func() {
		So(placer(0).Place(0, call(1, 1)), ShouldBeNil)
	})
}

// BenchmarkPlace measures the placement of a call among many endpoints, which happens for each request.
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
