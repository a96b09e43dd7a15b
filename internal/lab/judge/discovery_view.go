package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// discoveryView is what each sidecar knew of each endpoint from discovery. A sidecar counts as notified of an update when it was
// written to it, or notificationTimeout after discovery's agent had it or after the start of a process, which must poll anew.
type discoveryView struct {
	sidecarCount  int
	endpointCount int
	firstListed   []time.Duration // by pair: when a list first had the endpoint; model.Never if none did
	unavailable   map[int][]span  // by pair: when the endpoint counted as draining or gone
}

// pair is the index of a sidecar and an endpoint; -1 if there is no such pair.
func (v *discoveryView) pair(sidecar, endpoint int) int {
	if sidecar < 0 || sidecar >= v.sidecarCount || endpoint < 0 || endpoint >= v.endpointCount {
		return -1
	}
	return sidecar*v.endpointCount + endpoint
}

// span is from one time to another, which may be model.Never.
type span struct{ from, to time.Duration }

// update is something that changes what a sidecar knows of an endpoint.
type update struct {
	pair int
	at   time.Duration
	kind updateKind
}

type updateKind uint8

const (
	sidecarRestarted    updateKind = iota // the sidecar has a new process
	agentUnavailable                      // discovery's agent has the endpoint as draining or gone
	agentReady                            // discovery's agent has it as ready
	notifiedUnavailable                   // the sidecar was notified that it is draining or gone
	notifiedReady                         // the sidecar was notified that it is ready
)

// newDiscoveryView derives the view from the plan's script and the trace.
func newDiscoveryView(p *plan.Plan, log *trace.Log) *discoveryView {
	view := &discoveryView{
		sidecarCount:  len(p.Sidecars),
		endpointCount: len(p.Endpoints),
		firstListed:   make([]time.Duration, len(p.Sidecars)*len(p.Endpoints)),
		unavailable:   map[int][]span{},
	}
	for i := range view.firstListed {
		view.firstListed[i] = model.Never
	}
	for i := range p.Sidecars {
		for _, listed := range slices.Concat(p.Sidecars[i].InitialList, p.InitialMembers(p.Sidecars[i].Tier)) {
			view.firstListed[view.pair(i, listed.Endpoint)] = 0
		}
	}
	updates := view.collect(p, log)
	slices.SortStableFunc(updates, func(a, b update) int { return cmp.Or(cmp.Compare(a.pair, b.pair), cmp.Compare(a.at, b.at)) })
	for len(updates) > 0 {
		n := 1
		for n < len(updates) && updates[n].pair == updates[0].pair {
			n++
		}
		if spans := unavailableSpans(updates[:n]); len(spans) > 0 {
			view.unavailable[updates[0].pair] = spans
		}
		updates = updates[n:]
	}
	return view
}

// collect collects the updates of all pairs whose endpoint was ever draining or gone, and sets firstListed.
func (v *discoveryView) collect(p *plan.Plan, log *trace.Log) []update {
	relevant := v.relevantPairs(p, log)
	var updates []update
	add := func(pair int, at time.Duration, kind updateKind) {
		if pair >= 0 && relevant[pair] {
			updates = append(updates, update{pair, at, kind})
		}
	}
	for i := range p.Events {
		event := &p.Events[i]
		kind := agentUnavailable
		if event.Entry.Phase == trace.PhaseReady {
			kind = agentReady
		}
		add(v.notifiedPair(event), event.At, kind)
	}
	for _, notification := range log.Notifications {
		kind := notifiedUnavailable
		if notification.Phase == trace.PhaseReady {
			kind = notifiedReady
		}
		add(v.pair(notification.Sidecar, notification.Endpoint), notification.At, kind)
	}
	for _, event := range log.SidecarEvents {
		if event.Kind != trace.SidecarStarted {
			continue
		}
		for endpoint := range v.endpointCount {
			add(v.pair(event.Sidecar, endpoint), event.At, sidecarRestarted)
		}
	}
	return updates
}

// relevantPairs are the pairs whose endpoint was ever draining or gone, by the script or a notification. It sets firstListed.
func (v *discoveryView) relevantPairs(p *plan.Plan, log *trace.Log) []bool {
	relevant := make([]bool, len(v.firstListed))
	for i := range log.Notifications {
		notification := &log.Notifications[i]
		pair := v.pair(notification.Sidecar, notification.Endpoint)
		if pair < 0 {
			continue
		}
		v.firstListed[pair] = min(v.firstListed[pair], notification.At)
		relevant[pair] = relevant[pair] || notification.Phase != trace.PhaseReady
	}
	for i := range p.Events {
		if pair := v.notifiedPair(&p.Events[i]); pair >= 0 && p.Events[i].Entry.Phase != trace.PhaseReady {
			relevant[pair] = true
		}
	}
	return relevant
}

// notifiedPair is the pair that an event of the script has an update for; -1 if it has none.
func (v *discoveryView) notifiedPair(event *plan.Event) int {
	if event.Kind != plan.NotifySidecar {
		return -1
	}
	return v.pair(event.Sidecar, event.Entry.Endpoint)
}

// unavailableSpans follows one endpoint at one sidecar. A time-out that has not passed when it is ready again counts for nothing.
func unavailableSpans(updates []update) (spans []span) {
	unavailable, from := false, time.Duration(0)
	for _, update := range updates {
		switch {
		case (update.kind == notifiedReady || update.kind == agentReady) && unavailable:
			if from < update.at {
				spans = append(spans, span{from, update.at})
			}
			unavailable = false
		case update.kind == sidecarRestarted && unavailable:
			if from < update.at {
				spans = append(spans, span{from, update.at})
			}
			from = update.at + notificationTimeout
		case update.kind == notifiedUnavailable && unavailable:
			from = min(from, update.at)
		case update.kind == notifiedUnavailable:
			unavailable, from = true, update.at
		case update.kind == agentUnavailable && !unavailable:
			unavailable, from = true, update.at+notificationTimeout
		}
	}
	if unavailable {
		spans = append(spans, span{from, model.Never})
	}
	return spans
}

// firstListedAt is when a list first had an endpoint at a sidecar; model.Never if none did.
func (v *discoveryView) firstListedAt(sidecar, endpoint int) time.Duration {
	return v.firstListed[v.pair(sidecar, endpoint)]
}

// unavailableSince returns since when an endpoint has counted as draining or gone at a sidecar; false if it doesn't at that moment.
func (v *discoveryView) unavailableSince(sidecar, endpoint int, now time.Duration) (since time.Duration, unavailable bool) {
	for _, s := range v.unavailable[v.pair(sidecar, endpoint)] {
		if s.from <= now && now < s.to {
			return s.from, true
		}
	}
	return 0, false
}
