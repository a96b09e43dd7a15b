package plan

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// Sidecar is one instance of the fleet.
type Sidecar struct {
	Name                string
	Tier                int // that it sends to
	Rank                int
	ConfiguredInstances int // the number of instances in its settings
	Endpoint            int // whose calls it forwards; -1 in the first tier
	Build               int // which of the two builds it runs, 0 or 1
	Seed                uint64
	StartAt             time.Duration // of its process; negative is before the run
	Weight              float64       // share of the clients that the front sends to it
	InitialList         []ListEntry   // of endpoints, at its start
	HasBudget           bool          // it has the scenario's section [budget]
	AuditDiskFull       bool          // the disk of its audit log is full from the start
}

// ListEntry is an endpoint's entry in a list of discovery's.
type ListEntry struct {
	Endpoint  int
	Phase     trace.Phase
	StartedAt time.Duration // 0 is before the run
}

// planSidecars makes the sidecars of the first tier, and one for each endpoint that calls another tier. The policy
// "plain" has none.
func (p *Plan) planSidecars() {
	s := p.Scenario
	fleet := &s.Fleet
	if fleet.Policy == "plain" {
		return
	}
	random := p.randomStream(notificationStream)
	add := func(c Sidecar) {
		i := len(p.Sidecars)
		c.Seed, c.StartAt = p.hashOf(sidecarSeedStream, uint64(i)), -1
		if fleet.Start == "with" {
			c.StartAt = time.Duration(random.Float64() * float64(fleet.StartSpread))
		}
		if fleet.RankSetting == "equal" {
			c.Rank = 0
		}
		c.InitialList = p.initialList(c.Tier)
		if fleet.Budget != nil {
			c.HasBudget = p.uniform(budgetStream, uint64(i)) < fleet.Budget.Share
		}
		p.Sidecars = append(p.Sidecars, c)
	}
	for i := range fleet.Sidecars {
		add(p.firstTierSidecar(i))
	}
	callers, rank := make([]int, len(s.Tiers)), make([]int, len(s.Tiers)) // of each tier
	for i := range p.Endpoints {
		if next := s.NextTierIndex(p.Endpoints[i].Tier); next >= 0 && p.Endpoints[i].Start != "absent" {
			callers[next]++
		}
	}
	for i := range p.Endpoints {
		if next := s.NextTierIndex(p.Endpoints[i].Tier); next >= 0 {
			add(Sidecar{Name: "n-" + p.Endpoints[i].Name, Tier: next, Rank: rank[next], ConfiguredInstances: callers[next], Endpoint: i})
			rank[next]++
		}
	}
}

func (p *Plan) firstTierSidecar(i int) Sidecar {
	fleet, skew := &p.Scenario.Fleet, p.Scenario.Clients.Skew
	c := Sidecar{
		Name:                fmt.Sprintf("n%d", i+1),
		Rank:                i,
		ConfiguredInstances: fleet.ConfiguredInstances,
		Endpoint:            -1,
		Weight:              (1 - skew) / float64(fleet.Sidecars),
	}
	if i == 0 {
		c.Weight += skew
	}
	if i >= fleet.Sidecars-fleet.SecondBuild {
		c.Build = 1
	}
	if c.ConfiguredInstances == 0 {
		c.ConfiguredInstances = fleet.Sidecars
	}
	return c
}

// initialList is the list that a sidecar of a tier starts with.
func (p *Plan) initialList(tier int) []ListEntry {
	switch p.Scenario.Fleet.InitialList {
	case "none":
		return nil
	case "stale":
		return p.staleList(tier)
	}
	return p.InitialMembers(tier)
}

// staleList has endpoints that have not started yet, has those that are warming up as warm, and lacks one in ten.
func (p *Plan) staleList(tier int) (list []ListEntry) {
	for i := range p.Endpoints {
		if p.Endpoints[i].Tier == tier && i%10 != 9 {
			list = append(list, ListEntry{Endpoint: i, Phase: trace.PhaseReady})
		}
	}
	return list
}

// InitialMembers returns the list that discovery has of a tier when the run starts.
func (p *Plan) InitialMembers(tier int) (list []ListEntry) {
	for i := range p.Endpoints {
		if e := &p.Endpoints[i]; e.Tier == tier && e.Start != "absent" {
			list = append(list, ListEntry{Endpoint: i, Phase: trace.PhaseReady, StartedAt: p.listedStart(i)})
		}
	}
	return list
}

// listedStart is an endpoint's last start as the list at the run's start has it.
func (p *Plan) listedStart(endpoint int) time.Duration {
	if p.Endpoints[endpoint].Start == "cold" {
		return time.Nanosecond // the run's start; 0 would be before it
	}
	return 0
}

// ChooseSidecar returns the sidecar that the front gives a client's attempt to, of those it has admitted; -1 if there is
// none. It is a weighted random choice that depends on the request and the attempt alone.
func (p *Plan) ChooseSidecar(request, attempt int, admitted func(sidecar int) bool) int {
	total := 0.0
	for i := range p.Sidecars {
		if s := &p.Sidecars[i]; s.Endpoint < 0 && admitted(i) {
			total += s.Weight
		}
	}
	pick, chosen := p.uniform(routingStream, uint64(request), uint64(attempt))*total, -1
	for i := range p.Sidecars {
		if s := &p.Sidecars[i]; s.Endpoint < 0 && s.Weight > 0 && admitted(i) {
			chosen = i
			if pick -= s.Weight; pick < 0 {
				break
			}
		}
	}
	return chosen
}
