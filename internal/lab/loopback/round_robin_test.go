package loopback

import (
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// TestRoundRobin checks that the plain policy takes the listed endpoints in turn, and that an endpoint that was away for less than
// discovery needs stays listed.
func TestRoundRobin(t *testing.T) {
	s := scenario.Default()
	s.Tiers = []scenario.Tier{{Name: "a"}, {Name: "b"}}
	p := &plan.Plan{Scenario: &s, Endpoints: []plan.Endpoint{{Tier: 0}, {Tier: 0}, {Tier: 1}, {Tier: 0, Start: "absent"}}}
	o := newRoundRobin(p)
	round := func(tier int, want ...int) {
		t.Helper()
		seen := map[int]int{}
		for range 2 * max(1, len(want)) {
			seen[o.next(tier)]++
		}
		for _, endpoint := range want {
			if seen[endpoint] != 2 {
				t.Fatalf("tier %d went to %v, want %v twice", tier, seen, want)
			}
		}
	}
	event := func(kind plan.EventKind, endpoint int, fault model.FaultKind, after time.Duration) listChange {
		t.Helper()
		n, changes := o.applyEvent(plan.Event{Kind: kind, Endpoint: endpoint, Fault: model.Fault{Kind: fault}})
		if changes != (after > 0) || changes && n.delay != after {
			t.Fatalf("%v of %d: %+v, %v", kind, endpoint, n, changes)
		}
		return n
	}
	d := &s.Discovery
	round(0, 0, 1)
	round(1, 2)
	o.applyListChange(event(plan.StartEndpoint, 3, 0, d.AddDelay.D()))
	round(0, 0, 1, 3)
	removal := event(plan.StartFault, 1, model.Crash, d.RemoveDelay.D())
	round(0, 0, 1, 3)
	o.applyListChange(removal)
	round(0, 0, 3)
	event(plan.StartFault, 1, model.Vanish, d.UnresponsiveDelay.D())
	event(plan.EndFault, 1, model.Crash, 0) // it is still down
	o.applyListChange(event(plan.EndFault, 1, model.Vanish, d.AddDelay.D()))
	round(0, 0, 1, 3)
	event(plan.StartFault, 0, model.Slow, 0)
	brief := event(plan.StartFault, 2, model.Crash, d.RemoveDelay.D())
	event(plan.EndFault, 2, model.Crash, d.AddDelay.D())
	o.applyListChange(brief) // it is up again by now
	round(1, 2)
	o.applyListChange(event(plan.StartFault, 2, model.Crash, d.RemoveDelay.D()))
	round(1, -1)
}
