package placement

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// goldenDecisions is the hash of all draws and learned values of the recorded play. It was recorded with the code of commit
// 945ccb8. A change of shape leaves it as it is; a change that is meant to decide otherwise records it anew and says so.
const goldenDecisions = "f4780460e099be42"

// goldenSteps is how many moments the play has; at most of them each router places a call.
const goldenSteps = 3000

// golden plays two routers against one set of endpoints. All that it draws comes from one seed, and every value that the
// routers return goes into one hash.
type golden struct {
	random  *rand.Rand
	sum     hash.Hash64
	now     time.Duration
	routers []*Placer
	calls   []goldenCall // in flight
}

// goldenCall is a call in flight and its outcome, which is drawn when the call is placed.
type goldenCall struct {
	router    int
	call      *Call
	placement *Placement
	sent      time.Duration
	first     time.Duration // of the first token; 0: it has come
	end       time.Duration
	outcome   int // below 6: fails; see finish
}

// Guards against a change of shape that changes a decision: the same seed gives the same draws and the same learned values, bit
// for bit. Hashes are of amd64: other compilers fuse multiplications and additions, which rounds differently.
func TestGoldenDecisions(t *testing.T) {
	g := &golden{random: rand.New(rand.NewPCG(11, 12)), sum: fnv.New64a()}
	for router := range uint64(2) {
		p := New(rand.New(rand.NewPCG(13, router)))
		p.SetRouters(2)
		g.routers = append(g.routers, p)
	}
	g.setEndpoints(9)
	for step := range goldenSteps {
		g.now += time.Duration(1 + g.random.IntN(20_000_000))
		g.progress()
		g.disturb(step)
		for router := range g.routers {
			g.place(router, g.draw(step), nil)
		}
		if step%100 == 99 {
			g.recordState()
		}
	}
	got := fmt.Sprintf("%016x", g.sum.Sum64())
	if runtime.GOARCH == "amd64" && got != goldenDecisions {
		t.Errorf("decisions hash to %s, recorded was %s", got, goldenDecisions)
	}
}

// record adds values to the hash; floats with all their bits.
func (g *golden) record(values ...any) {
	for _, value := range values {
		if f, is := value.(float64); is {
			value = math.Float64bits(f)
		}
		_, _ = fmt.Fprintf(g.sum, "%v;", value)
	}
}

// setEndpoints has all routers know the first endpoints of both services.
func (g *golden) setEndpoints(count int) {
	var list []registry.Endpoint
	for i := range count {
		list = append(list, registry.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	for i := range 3 {
		list = append(list, registry.Endpoint{ID: fmt.Sprintf("p%02d", i), Service: "plain", Address: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	for _, p := range g.routers {
		added, removed := p.SetEndpoints(list)
		slices.SortFunc(removed, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }) // a map's order
		for _, e := range slices.Concat(added, removed) {
			g.record(e.ID, e.Number, e.ShortID())
		}
	}
}

// draw draws a call. Those of the service "plain" have one prefix each, so that which one is evicted does not depend on a
// map's order.
func (g *golden) draw(step int) *Call {
	targets := []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
	c := &Call{Service: "llm", Target: targets[g.random.IntN(len(targets))]}
	c.Spent = time.Duration(g.random.Float64() * g.random.Float64() * float64(c.Target))
	units := 1 + math.Floor(30000*g.random.Float64()*g.random.Float64()*g.random.Float64())
	c.Prompt = Prompt{Units: units, Priority: g.random.IntN(12) - 1, Output: float64(g.random.IntN(600))}
	switch {
	case step%3 == 0:
		c.Service = "plain"
		c.Prompt.Prefixes = []Prefix{{Hash: g.random.Uint32(), Units: units / 2}}
	case step%5 == 0:
		c.Prompt = Prompt{Units: 1}
	default:
		family := uint32(g.random.IntN(200))
		c.Prompt.Prefixes = []Prefix{{Hash: 100 + family, Units: 0.8 * units}, {Hash: 1 + family/4, Units: 0.3 * units}}
		c.Prompt.MaxEventGap = time.Duration(g.random.IntN(3)) * 150 * time.Millisecond
	}
	return c
}

// place has a router place a call, tells the other one, and draws what becomes of it.
func (g *golden) place(router int, c *Call, exclude []string) {
	g.now++ // no two calls have the same time
	p := g.routers[router]
	c.Exclude = exclude
	placed := p.Place(g.now, c)
	if placed == nil {
		g.record("none")
		return
	}
	e := placed.Endpoint
	g.record(e.ID, placed.Expected, placed.Units)
	g.routers[1-router].RecordRemoteCall(g.now, e.ShortID(), &c.Prompt, placed.Units)
	delay := time.Duration(float64(placed.Expected) * (0.5 + g.random.Float64()))
	if e.ID == "e03" {
		delay *= 4 // a slow endpoint
	}
	stream := time.Duration(c.Prompt.Output * (0.5 + g.random.Float64()) * float64(5*time.Millisecond))
	outcome := g.random.IntN(100)
	if e.ID == "e05" && g.now%(20*time.Second) < 5*time.Second {
		outcome %= 10 // a failing one, by spells
	}
	g.calls = append(g.calls, goldenCall{
		router: router, call: c, placement: placed, sent: g.now, first: g.now + delay, end: g.now + delay + stream, outcome: outcome,
	})
}

// progress reports what has become of calls by now.
func (g *golden) progress() {
	due := g.calls
	g.calls = nil
	for i := range due {
		c := &due[i]
		p, other := g.routers[c.router], g.routers[1-c.router]
		if c.first > 0 && c.first <= g.now {
			if c.outcome < 6 {
				g.fail(c)
				continue
			}
			seen := p.RecordFirstToken(g.now, c.placement, g.now-c.sent)
			g.record(seen.Endpoint, seen.PrefillUnits, seen.Units, seen.Delay, seen.Wait)
			other.RecordRemoteFirstToken(g.now, &seen)
			c.first = 0
		}
		if c.first == 0 && c.end <= g.now {
			gap := time.Duration(g.random.Float64() * float64(time.Second))
			if stall, ok := p.RecordStreamEnd(g.now, c.placement, c.end-c.sent, gap); ok {
				g.record(stall.Endpoint, stall.LongestGap, stall.PrefillTime)
				other.RecordRemoteStall(&stall)
			}
			p.Release(c.placement)
			continue
		}
		g.calls = append(g.calls, *c)
	}
}

// fail ends a call without an answer, and places it once more.
func (g *golden) fail(c *goldenCall) {
	p, other, e := g.routers[c.router], g.routers[1-c.router], c.placement.Endpoint
	switch {
	case c.outcome < 2:
		p.RecordConnectFailure(g.now, e)
	case c.outcome < 4:
		p.RecordFailure(g.now, e)
	default:
		p.RecordOverdue(g.now, e)
	}
	other.RecordRemoteFailures(g.now, e.ShortID(), 1, c.outcome >= 4)
	p.Release(c.placement)
	again := *c.call
	again.Retry, again.LastAttempt = true, c.outcome%2 == 0
	again.Spent += g.now - c.sent
	g.place(c.router, &again, append(slices.Clone(c.call.Exclude), e.ID))
}

// disturb changes the endpoint list at some moments, and how many routers there are.
func (g *golden) disturb(step int) {
	switch step {
	case 400, 1700:
		g.setEndpoints(8)
	case 500:
		g.setEndpoints(12)
	case 900:
		for _, e := range g.routers[0].Suspend([]string{"e01", "e02", "unknown"}) {
			g.record(e.ID)
		}
		g.routers[0].SetRouters(0)
	case 950:
		g.setEndpoints(12)
		g.routers[0].SetRouters(2)
	case 1200:
		g.setEndpoints(0)
	case 1210:
		g.setEndpoints(10)
	case 1500:
		g.now += time.Minute
	case 2000: // a router starts anew
		state := g.routers[0].ExportLearned(g.now)
		p := New(rand.New(rand.NewPCG(13, 14)))
		g.calls = slices.DeleteFunc(g.calls, func(c goldenCall) bool { return c.router == 1 })
		g.routers[1] = p
		g.setEndpoints(10)
		p.Place(g.now, g.draw(1)) // a service is known from its first call on
		p.ImportLearned(g.now, &state)
	}
}

// recordState adds what the routers show and export.
func (g *golden) recordState() {
	for _, p := range g.routers {
		g.record(p.EndpointCount("llm"), p.EndpointCount("none"), len(p.Endpoints("plain")))
		state := p.ExportLearned(g.now)
		slices.SortFunc(state.Models, func(a, b LatencyModel) int { return cmp.Compare(a.Service, b.Service) })
		slices.SortFunc(state.Prefixes, func(a, b CachedPrefix) int {
			return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.AgeMs, b.AgeMs))
		})
		stored, err := cbor.Marshal(state)
		g.record(fmt.Sprintf("%x", stored), err)
		for _, view := range []any{p.Tables(), p.Services(g.now)} {
			text, err := json.Marshal(view)
			g.record(string(text), err)
		}
	}
}
