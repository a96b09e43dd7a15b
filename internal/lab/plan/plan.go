// Package plan turns a scenario and a seed into all that is fixed before a run: the requests of the clients and their
// times, how each endpoint is built, which of them each fault affects, and when each sidecar is notified of a change.
// Both players of the test lab, the judges and the reports read it; none of them changes it.
//
// The package is pure. The same scenario, seed and recorded arrivals give the same plan, byte for byte, and every purpose
// draws from a random stream of its own, so that a change of one part of a scenario leaves the draws of the others as
// they were. Times are durations since the start of the run.
package plan

import (
	"encoding/json"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// Plan is everything that is fixed before a run.
type Plan struct {
	Scenario         *scenario.Scenario
	Seed             uint64
	Requests         []Request // by Due
	Endpoints        []Endpoint
	Sidecars         []Sidecar
	Events           []Event // by At
	Annotations      []Annotation
	Capacity         float64          // first attempts a second that the warm endpoints can serve
	InterceptedLinks map[string][]int // by LinkFault.Target, the sidecars whose links of that kind can be broken
}

// Build makes the plan. Arrivals are the recorded ones, where the scenario asks for such: every attempt of the record is
// then played as it came, and clients make no further retries. An arrival of a class that the scenario lacks is an error.
func Build(s *scenario.Scenario, seed uint64, arrivals []Arrival) (*Plan, error) {
	p := &Plan{Scenario: s, Seed: seed}
	p.planEndpoints()
	p.Capacity = p.minTierCapacity()
	if s.Clients.RecordFile != "" || arrivals != nil {
		for i := range arrivals {
			if c := arrivals[i].Class; c < 0 || c >= len(s.Classes) {
				return nil, fmt.Errorf("plan: arrival %d has class %d of %d", i, c, len(s.Classes))
			}
		}
		p.planRecorded(arrivals)
	} else {
		p.planRequests()
	}
	p.planSidecars()
	p.planEvents()
	return p, nil
}

// Bytes returns the plan as JSON: equal plans have equal bytes.
func (p *Plan) Bytes() []byte {
	return mustMarshal(p)
}

// HasUpgrades reports whether any sidecar is upgraded, for which operators have to be able to call all of them.
func (p *Plan) HasUpgrades() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == UpgradeSidecar })
}

// NeedsControlAccess reports whether operators call the sidecars: to upgrade them, or to audit them.
func (p *Plan) NeedsControlAccess() bool {
	return p.HasUpgrades() || len(p.Scenario.Auditors) > 0 || p.Scenario.Fleet.HasAuditLogs()
}

// mustMarshal panics on an error: plans and settings hold nothing that JSON lacks.
func mustMarshal(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("plan: %v", err))
	}
	return text
}
