package plan

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

var endpointFaultKinds = map[string]model.FaultKind{
	"vanish": model.Vanish, "hang": model.Hang, "fail": model.Fail, "slow": model.Slow, "refuse": model.RefuseConnections,
	"cut": model.Truncate, "spoil": model.Corrupt, "drip": model.Trickle, "mute": model.Drop, "crash": model.Crash,
}

// chooseEndpoints returns the endpoints that a fault affects: those it names, or else drawn ones, of which those with
// the fewest faults so far come first.
func (s *scheduler) chooseEndpoints(f *scenario.Fault) []int {
	var chosen []int
	if len(f.Names) > 0 {
		for i := range s.Endpoints {
			if slices.Contains(f.Names, s.Endpoints[i].Name) {
				chosen = append(chosen, i)
			}
		}
	} else {
		chosen = s.drawEndpoints(f)
	}
	for _, i := range chosen {
		s.faultCount[i]++
	}
	return chosen
}

// drawEndpoints draws a number or a share of a tier's endpoints, in their order. Absent ones are for "add" alone.
func (s *scheduler) drawEndpoints(f *scenario.Fault) []int {
	tier := 0
	if f.Tier != "" {
		tier = s.Scenario.TierIndex(f.Tier)
	}
	var candidates []int
	for i := range s.Endpoints {
		if e := &s.Endpoints[i]; e.Tier == tier && (e.Start == "absent") == (f.Kind == "add") {
			candidates = append(candidates, i)
		}
	}
	count := f.Endpoints
	if f.Share > 0 {
		count = max(1, int(math.Round(f.Share*float64(len(candidates)))))
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b int) int { return s.faultCount[a] - s.faultCount[b] })
	drawn := candidates[:min(count, len(candidates))]
	slices.Sort(drawn)
	return drawn
}

// scheduleEndpointFault makes the events of a fault at one endpoint, and of the notifications that follow; to of 0 is
// no end.
func (s *scheduler) scheduleEndpointFault(f *scenario.Fault, endpoint int, from, to time.Duration) {
	discovery := &s.Scenario.Discovery
	switch f.Kind {
	case "crash":
		s.scheduleOutage(endpoint, model.Crash, from, to)
	case "vanish":
		s.scheduleOutage(endpoint, model.Vanish, from, to)
	case "leave":
		s.scheduleModelFault(endpoint, model.Fault{Kind: model.Crash}, from, 0)
		if to > 0 {
			s.notify(to, endpoint, trace.PhaseGone, 0)
		}
	case "drain":
		exit, restart := from+orDefault(f.Grace, defaultDrainGrace), time.Duration(0)
		if f.RecoveryDelay > 0 {
			restart = exit + f.RecoveryDelay.D()
		}
		s.notify(from+discovery.RemoveDelay.D(), endpoint, trace.PhaseTerminating, s.listedStart(endpoint))
		s.scheduleOutage(endpoint, model.Crash, exit, restart)
	case "add":
		s.Endpoints[endpoint].Start, s.Endpoints[endpoint].StartAt = "absent", from
		s.add(Event{At: from, Kind: StartEndpoint, Endpoint: endpoint, Sidecar: -1})
		for i := range s.Sidecars {
			if s.Sidecars[i].Endpoint == endpoint {
				s.addForSidecar(from, StartSidecar, i)
			}
		}
		s.notify(from+discovery.AddDelay.D(), endpoint, trace.PhaseReady, from)
	case "flap":
		s.scheduleFlap(f, endpoint, from, to)
	default:
		s.scheduleModelFault(endpoint, s.modelFault(f, f.Kind), from, to)
	}
}

// scheduleFlap repeats a fault: Down with it, Up without.
func (s *scheduler) scheduleFlap(f *scenario.Fault, endpoint int, from, to time.Duration) {
	for at := from; at < to; at += (f.Down + f.Up).D() {
		end := min(at+f.Down.D(), to)
		switch kind := endpointFaultKinds[f.Target]; kind {
		case model.Crash, model.Vanish:
			s.scheduleOutage(endpoint, kind, at, end)
		default:
			s.scheduleModelFault(endpoint, s.modelFault(f, f.Target), at, end)
		}
	}
}

// modelFault is a scenario's fault as the model has it.
func (s *scheduler) modelFault(f *scenario.Fault, kind string) model.Fault {
	return model.Fault{
		Kind:          endpointFaultKinds[kind],
		Size:          f.Size,
		Class:         s.Scenario.ClassIndex(f.Class) + 1,
		MinInFlight:   f.MinInFlight,
		PerConnection: f.Scope == "connection",
	}
}

// scheduleOutage takes an endpoint's process (model.Dead) or machine (model.Vanish) down and, unless to is 0, up again.
// Discovery removes the endpoint if it is down for longer than that takes, and lists it anew after its start.
func (s *scheduler) scheduleOutage(endpoint int, kind model.FaultKind, from, to time.Duration) {
	discovery := &s.Scenario.Discovery
	removeDelay := discovery.RemoveDelay.D()
	if kind == model.Vanish {
		removeDelay = discovery.UnresponsiveDelay.D()
	}
	s.scheduleModelFault(endpoint, model.Fault{Kind: kind}, from, to)
	if to == 0 || to-from > removeDelay {
		s.notify(from+removeDelay, endpoint, trace.PhaseGone, 0)
	}
	if to > 0 {
		s.notify(to+discovery.AddDelay.D(), endpoint, trace.PhaseReady, to)
	}
}

// scheduleModelFault starts a fault at an endpoint and, unless to is 0, ends it. The sidecar beside an endpoint exits and
// starts with it.
func (s *scheduler) scheduleModelFault(endpoint int, f model.Fault, from, to time.Duration) {
	s.lastFaultID++
	f.ID = s.lastFaultID
	s.add(Event{At: from, Kind: StartFault, Endpoint: endpoint, Sidecar: -1, Fault: f})
	if to > 0 {
		s.add(Event{At: to, Kind: EndFault, Endpoint: endpoint, Sidecar: -1, Fault: f})
	}
	if f.Kind != model.Crash && f.Kind != model.Vanish {
		return
	}
	for i := range s.Sidecars {
		if s.Sidecars[i].Endpoint != endpoint {
			continue
		}
		s.addForSidecar(from, KillSidecar, i)
		if to > 0 {
			s.addForSidecar(to, StartSidecar, i)
		}
	}
}

func orDefault(span scenario.Span, otherwise time.Duration) time.Duration {
	if span == 0 {
		return otherwise
	}
	return span.D()
}
