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

// goldenDecisions is the hash of all draws and learned values of the simulation, recorded with the code of commit 945ccb8. A
// refactoring must not change it; a commit that changes decisions on purpose records the new hash and says so.
const goldenDecisions = "f4780460e099be42"

// goldenSteps is the number of steps of the simulation. In each step each router tries to place one call.
const goldenSteps = 3000

// goldenSimulation runs two routers with one set of endpoints. All its random numbers come from one seed, and every value
// that the routers return is added to one hash.
type goldenSimulation struct {
	random  *rand.Rand
	sum     hash.Hash64
	now     time.Duration
	routers []*Placer
	calls   []simulatedCall // in flight
}

// simulatedCall is a call in flight. Its outcome is drawn at random when the call is placed.
type simulatedCall struct {
	router       int
	call         *Call
	placement    *Placement
	sentAt       time.Duration
	firstTokenAt time.Duration // time of the first token; 0: it has arrived already
	endAt        time.Duration
	outcome      int // the call fails if this is below 6; see fail
}

// TestGoldenDecisions guards against a refactoring that changes decisions: the same seed must give the same draws and the
// same learned values, bit for bit. The recorded hash applies to amd64 only: on other architectures the compiler fuses
// multiplications and additions, which rounds differently.
func TestGoldenDecisions(t *testing.T) {
	g := &goldenSimulation{random: rand.New(rand.NewPCG(11, 12)), sum: fnv.New64a()}
	for router := range uint64(2) {
		p := New(rand.New(rand.NewPCG(13, router)))
		p.SetRouters(2)
		g.routers = append(g.routers, p)
	}
	g.setEndpoints(9)
	for step := range goldenSteps {
		g.now += time.Duration(1 + g.random.IntN(20_000_000))
		g.advanceCalls()
		g.changeConditions(step)
		for router := range g.routers {
			g.place(router, g.randomCall(step), nil)
		}
		if step%100 == 99 {
			g.recordState()
		}
	}
	got := fmt.Sprintf("%016x", g.sum.Sum64())
	if runtime.GOARCH == "amd64" && got != goldenDecisions {
		t.Errorf("hash of the decisions is %s, want %s", got, goldenDecisions)
	}
}

// record adds values to the hash. Floating-point numbers are added with all their bits.
func (g *goldenSimulation) record(values ...any) {
	for _, value := range values {
		if f, is := value.(float64); is {
			value = math.Float64bits(f)
		}
		_, _ = fmt.Fprintf(g.sum, "%v;", value)
	}
}

// setEndpoints sets the endpoints of all routers: the first count ones of service "llm" and three of service "plain".
func (g *goldenSimulation) setEndpoints(count int) {
	var list []registry.Endpoint
	for i := range count {
		list = append(list, registry.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	for i := range 3 {
		list = append(list, registry.Endpoint{ID: fmt.Sprintf("p%02d", i), Service: "plain", Address: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	for _, p := range g.routers {
		added, removed := p.SetEndpoints(list)
		slices.SortFunc(removed, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }) // removed is in map order
		for _, e := range slices.Concat(added, removed) {
			g.record(e.ID, e.Number, e.ShortID())
		}
	}
}

// randomCall returns a random call. Calls of service "plain" have one prefix each, so that evictions don't depend on map
// order.
func (g *goldenSimulation) randomCall(step int) *Call {
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

// place places a call with a router, reports it to the other router, and draws the call's outcome.
func (g *goldenSimulation) place(router int, c *Call, exclude []string) {
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
		outcome %= 10 // an endpoint that fails at intervals
	}
	g.calls = append(g.calls, simulatedCall{
		router: router, call: c, placement: placed, sentAt: g.now, firstTokenAt: g.now + delay, endAt: g.now + delay + stream, outcome: outcome,
	})
}

// advanceCalls reports the events of all calls until now to the routers.
func (g *goldenSimulation) advanceCalls() {
	pending := g.calls
	g.calls = nil
	for i := range pending {
		c := &pending[i]
		p, other := g.routers[c.router], g.routers[1-c.router]
		if c.firstTokenAt > 0 && c.firstTokenAt <= g.now {
			if c.outcome < 6 {
				g.fail(c)
				continue
			}
			observation := p.RecordFirstToken(g.now, c.placement, g.now-c.sentAt)
			g.record(observation.Endpoint, observation.PrefillUnits, observation.Units, observation.Delay, observation.Wait)
			other.RecordRemoteFirstToken(g.now, &observation)
			c.firstTokenAt = 0
		}
		if c.firstTokenAt == 0 && c.endAt <= g.now {
			gap := time.Duration(g.random.Float64() * float64(time.Second))
			if stall, ok := p.RecordStreamEnd(g.now, c.placement, c.endAt-c.sentAt, gap); ok {
				g.record(stall.Endpoint, stall.LongestGap, stall.PrefillTime)
				other.RecordRemoteStall(&stall)
			}
			p.Release(c.placement)
			continue
		}
		g.calls = append(g.calls, *c)
	}
}

// fail ends a call without an answer, and retries it.
func (g *goldenSimulation) fail(c *simulatedCall) {
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
	retry := *c.call
	retry.Retry, retry.LastAttempt = true, c.outcome%2 == 0
	retry.Spent += g.now - c.sentAt
	g.place(c.router, &retry, append(slices.Clone(c.call.Exclude), e.ID))
}

// changeConditions changes the endpoints, the number of routers and the clock in some steps, and restarts a router in one.
func (g *goldenSimulation) changeConditions(step int) {
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
	case 2000: // a router restarts
		state := g.routers[0].ExportLearned(g.now)
		p := New(rand.New(rand.NewPCG(13, 14)))
		g.calls = slices.DeleteFunc(g.calls, func(c simulatedCall) bool { return c.router == 1 })
		g.routers[1] = p
		g.setEndpoints(10)
		p.Place(g.now, g.randomCall(1)) // the import comes after the first call
		p.ImportLearned(g.now, &state)
	}
}

// recordState adds the status and the exported state of all routers to the hash.
func (g *goldenSimulation) recordState() {
	for _, p := range g.routers {
		g.record(p.EndpointCount("llm"), p.EndpointCount("none"), len(p.Endpoints("plain")))
		state := p.ExportLearned(g.now)
		slices.SortFunc(state.Models, func(a, b LatencyModel) int { return cmp.Compare(a.Service, b.Service) })
		slices.SortFunc(state.Prefixes, func(a, b CachedPrefix) int {
			return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.AgeMs, b.AgeMs))
		})
		stored, err := cbor.Marshal(state)
		g.record(fmt.Sprintf("%x", stored), err)
		for _, status := range []any{p.Tables(), p.Services(g.now)} {
			text, err := json.Marshal(status)
			g.record(string(text), err)
		}
	}
}
