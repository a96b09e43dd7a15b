package plan

import (
	"math"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// Endpoint is one emulated upstream host.
type Endpoint struct {
	Name    string // also its id in discovery
	Tier    int
	Kind    string
	Spec    model.Spec
	Seed    uint64
	Start   string        // as in scenario.EndpointKind
	StartAt time.Duration // of an absent one; model.Never if it does not start
}

var cancelRules = map[string]model.CancelRule{
	"nothing": model.CancelNothing,
	"waiting": model.CancelQueued,
	"all":     model.CancelAll,
}

func (p *Plan) planEndpoints() {
	random, s := p.randomStream(endpointStream), p.Scenario
	names := s.EndpointNames()
	for tierIndex, tier := range s.Tiers {
		for _, kind := range tier.Kinds {
			for range kind.Endpoints {
				spec := endpointSpec(s, &kind)
				if kind.SpeedCV > 0 {
					spec.Speed *= lognormal(random, 1, kind.SpeedCV)
				}
				i := len(p.Endpoints)
				p.Endpoints = append(p.Endpoints, Endpoint{
					Name:    names[i],
					Tier:    tierIndex,
					Kind:    kind.Name,
					Spec:    spec,
					Seed:    p.hashOf(endpointSeedStream, uint64(i)),
					Start:   kind.Start,
					StartAt: model.Never,
				})
			}
		}
	}
}

func endpointSpec(s *scenario.Scenario, k *scenario.EndpointKind) model.Spec {
	return model.Spec{
		Cores:               k.Cores,
		Speed:               k.Speed,
		Slots:               k.Slots,
		Queue:               k.Queue,
		OverloadAt:          k.OverloadAt,
		OverloadLoss:        k.OverloadLoss,
		PauseInterval:       k.PauseInterval.D(),
		Pause:               k.Pause.D(),
		ErrorRate:           k.ErrorRate,
		WarmupInitialShare:  k.WarmupInitialShare,
		WarmupDuration:      k.WarmupDuration.D(),
		WarmupByWork:        k.WarmupBy == "work",
		CollapseMultiple:    s.Rules.CollapseMultiple,
		CollapseWindow:      s.Rules.CollapseWindow.D(),
		MaxConnections:      k.Connections,
		ConnectionTableLoss: k.ConnectionTableLoss,
		HandshakeWork:       k.HandshakeWork.D(),
		Cancel:              cancelRules[k.CancelRule],
		DedupWindow:         maxDedupWindow(s),
	}
}

// maxDedupWindow is the longest window of the keyed classes.
func maxDedupWindow(s *scenario.Scenario) (longest time.Duration) {
	for _, c := range s.Classes {
		if c.Idempotency == "keyed" {
			longest = max(longest, c.DedupWindow.D())
		}
	}
	return longest
}

// minTierCapacity is how many first attempts a second the warm endpoints can serve, in the tier that saturates first.
func (p *Plan) minTierCapacity() float64 {
	s := p.Scenario
	totalShare, meanWork := 0.0, 0.0 // seconds
	for _, c := range s.Classes {
		totalShare += c.Share
		meanWork += c.Share * c.Work.D().Seconds()
	}
	meanWork /= totalShare
	capacity, callsPerRequest := math.Inf(1), 1.0 // of a tier for each client's request
	for tierIndex, tier := range s.Tiers {
		cores := 0.0 // of speed 1
		for i := range p.Endpoints {
			if e := &p.Endpoints[i]; e.Tier == tierIndex && e.Start != "absent" {
				cores += float64(e.Spec.Cores) * e.Spec.Speed
			}
		}
		capacity = min(capacity, cores/(meanWork*tier.Work*callsPerRequest))
		callsPerRequest *= tier.Calls
	}
	return capacity
}

// Segments appends the work of a request at an endpoint: before, between and after its calls of the next tier. Visit
// counts the requests of that transaction at that endpoint, from 0.
func (p *Plan) Segments(segments []time.Duration, request int, transactionID uint64, endpoint, visit int) []time.Duration {
	r, e := &p.Requests[request], &p.Endpoints[endpoint]
	class, tier := &p.Scenario.Classes[r.Class], &p.Scenario.Tiers[e.Tier]
	work := float64(r.Work) * tier.Work
	if class.AttemptCV > 0 {
		random := rand.New(rand.NewPCG(p.hashOf(noiseStream, transactionID, uint64(endpoint), uint64(visit)), 0))
		work *= lognormal(random, 1, class.AttemptCV)
	}
	calls := p.CallCount(request, e.Tier, transactionID)
	for range calls + 1 {
		segments = append(segments, time.Duration(work/float64(calls+1)))
	}
	return segments
}

// CallCount returns how many calls of the next tier a request makes in a tier. It is the same at each attempt, except
// where a tier names the one that it calls, which may be an earlier one: there each transaction draws for itself, or a
// request would go in circles for ever or not at all.
func (p *Plan) CallCount(request, tier int, transactionID uint64) int {
	mean := p.Scenario.Tiers[tier].Calls
	if mean == 0 {
		return 0
	}
	drawnFor := uint64(request)
	if p.Scenario.Tiers[tier].NextTier != "" {
		drawnFor = transactionID
	}
	count := math.Floor(mean)
	if p.uniform(callStream, drawnFor, uint64(tier)) < mean-count {
		count++
	}
	return int(count)
}

// CallTransactionID returns the id of a call that an endpoint makes for a request: the call's number of the visit of its
// parent's transaction at that endpoint.
func (p *Plan) CallTransactionID(parent uint64, endpoint, visit, call int) uint64 {
	return p.hashOf(callStream, parent, uint64(endpoint), uint64(visit), uint64(call))
}
