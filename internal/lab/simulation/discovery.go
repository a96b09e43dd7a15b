package simulation

import (
	"maps"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// availabilities has the balancer's term for each phase of an entry.
var availabilities = [...]balance.Availability{
	trace.PhaseReady:       balance.Ready,
	trace.PhaseTerminating: balance.Draining,
	trace.PhaseGone:        balance.Removed,
}

// clusterList returns entries as the sidecar would parse them from discovery's response.
func (s *simulator) clusterList(entries []plan.ListEntry) cluster.List {
	list := cluster.List{Complete: true}
	for _, entry := range entries {
		planned := &s.plan.Endpoints[entry.Endpoint]
		member := cluster.Member{ID: planned.Name, Addr: planned.Name, Zone: plan.Zone, Kind: planned.Kind, Weight: float64(planned.Spec.Cores)}
		member.State = availabilities[entry.Phase]
		if entry.StartedAt > 0 {
			member.UpSince = (startTime + entry.StartedAt).Truncate(time.Millisecond)
		}
		list.Members = append(list.Members, member)
	}
	return list
}

// deliverFullList is the response to a sidecar's fetch of the full list.
func (s *simulator) deliverFullList(sidecarIndex int) {
	c := &s.sidecars[sidecarIndex]
	if c.agentSuspended {
		c.fetchPending = true
		return
	}
	c.fetchPending = false
	var all []plan.ListEntry
	for _, endpointIndex := range slices.Sorted(maps.Keys(c.agentList)) {
		all = append(all, c.agentList[endpointIndex])
	}
	s.recordNotifications(sidecarIndex, all)
	c.table.Apply(balance.ListFull, s.clusterList(all))
}

// notify is the arrival of a change at a sidecar's agent.
func (s *simulator) notify(sidecarIndex int, entry plan.ListEntry) {
	c := &s.sidecars[sidecarIndex]
	if c.agentList[entry.Endpoint] = entry; entry.Phase == trace.PhaseGone {
		delete(c.agentList, entry.Endpoint)
	}
	if c.balancer == nil || c.fetchPending {
		return
	}
	if s.plan.Scenario.Discovery.FullLists {
		s.deliverFullList(sidecarIndex)
		return
	}
	s.recordNotifications(sidecarIndex, []plan.ListEntry{entry})
	c.table.Apply(balance.ListDelta, s.clusterList([]plan.ListEntry{entry}))
}

// setDiscoverySuspended has all agents stop responding, or resume. The plan has delayed the changes already.
func (s *simulator) setDiscoverySuspended(suspended bool) {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.agentSuspended = suspended; !suspended && c.fetchPending && c.balancer != nil {
			s.deliverFullList(i)
		}
	}
}
