package judge

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// heard is what each sidecar knew of each box from discovery. News counts as told when it was written to the
// sidecar, or 6 s after discovery's agent had it, or after the start of a process that must ask anew.
type discoveryView struct {
	endpointCount int
	firstListed   []time.Duration // by sidecar and box: when a list first named it; Never if none did
	unavailable   map[int][]span  // by the same: when it counted as draining or gone
}

// span is from one time to another; to may be Never.
type span struct{ from, to time.Duration }

// news is something that changes what a sidecar takes a box for.
type update struct {
	pair int
	at   time.Duration
	kind updateKind
}

type updateKind uint8

const (
	sidecarRestarted    updateKind = iota // a new process of the sidecar
	agentUnavailable                      // discovery's agent has it as draining or gone
	agentReady                            // or as ready
	notifiedUnavailable                   // the sidecar was told so
	notifiedReady
)

func newDiscoveryView(p *plan.Plan, log *trace.Log) *discoveryView {
	h := &discoveryView{endpointCount: len(p.Boxes), firstListed: make([]time.Duration, len(p.Sidecars)*len(p.Boxes)), unavailable: map[int][]span{}}
	for i := range h.firstListed {
		h.firstListed[i] = model.Never
	}
	for s := range p.Sidecars {
		for _, l := range slices.Concat(p.Sidecars[s].Known, p.First(p.Sidecars[s].Tier)) {
			h.firstListed[s*h.endpointCount+l.Box] = 0
		}
	}
	all := h.collect(p, log)
	slices.SortStableFunc(all, func(a, b update) int { return cmp.Or(cmp.Compare(a.pair, b.pair), cmp.Compare(a.at, b.at)) })
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].pair == all[0].pair {
			n++
		}
		if spans := unavailableSpans(all[:n]); len(spans) > 0 {
			h.unavailable[all[0].pair] = spans
		}
		all = all[n:]
	}
	return h
}

// gather collects the news of all boxes that a sidecar ever heard to be draining or gone.
func (h *discoveryView) collect(p *plan.Plan, log *trace.Log) []update {
	pair := func(sidecar, box int) int {
		if sidecar < 0 || sidecar >= len(p.Sidecars) || box < 0 || box >= h.endpointCount {
			return -1
		}
		return sidecar*h.endpointCount + box
	}
	matters := make([]bool, len(h.firstListed))
	for i := range log.Notifications {
		if t := &log.Notifications[i]; pair(t.Sidecar, t.Endpoint) >= 0 {
			at := pair(t.Sidecar, t.Endpoint)
			h.firstListed[at] = min(h.firstListed[at], t.At)
			matters[at] = matters[at] || t.Phase != trace.PhaseReady
		}
	}
	tells := func(e *plan.Event) int {
		if e.Kind != plan.Tell {
			return -1
		}
		return pair(e.Sidecar, e.Entry.Box)
	}
	for i := range p.Events {
		if at := tells(&p.Events[i]); at >= 0 && p.Events[i].Entry.Phase != trace.PhaseReady {
			matters[at] = true
		}
	}
	var out []update
	add := func(at int, when time.Duration, ready bool, off, back updateKind) {
		switch {
		case at < 0 || !matters[at]:
		case ready:
			out = append(out, update{at, when, back})
		default:
			out = append(out, update{at, when, off})
		}
	}
	for i := range p.Events {
		e := &p.Events[i]
		add(tells(e), e.At, e.Entry.Phase == trace.PhaseReady, agentUnavailable, agentReady)
	}
	for _, t := range log.Notifications {
		add(pair(t.Sidecar, t.Endpoint), t.At, t.Phase == trace.PhaseReady, notifiedUnavailable, notifiedReady)
	}
	for _, c := range log.SidecarEvents {
		for box := 0; c.Kind == trace.SidecarStarted && box < h.endpointCount; box++ {
			add(pair(c.Sidecar, box), c.At, false, sidecarRestarted, sidecarRestarted)
		}
	}
	return out
}

// unavailableSpans follows one box at one sidecar. A time-out that has not passed when better news comes counts for nothing.
func unavailableSpans(all []update) (out []span) {
	off, from := false, time.Duration(0)
	for _, n := range all {
		switch {
		case (n.kind == notifiedReady || n.kind == agentReady) && off:
			if from < n.at {
				out = append(out, span{from, n.at})
			}
			off = false
		case n.kind == sidecarRestarted && off:
			if from < n.at {
				out = append(out, span{from, n.at})
			}
			from = n.at + notificationTimeout
		case n.kind == notifiedUnavailable && off:
			from = min(from, n.at)
		case n.kind == notifiedUnavailable:
			off, from = true, n.at
		case n.kind == agentUnavailable && !off:
			off, from = true, n.at+notificationTimeout
		}
	}
	if off {
		out = append(out, span{from, model.Never})
	}
	return out
}

// named is when a list first named a box to a sidecar; Never if none did.
func (h *discoveryView) firstListedAt(sidecar, box int) time.Duration {
	return h.firstListed[sidecar*h.endpointCount+box]
}

// unavailableSince says since when a box has counted as draining or gone for a sidecar at a moment, if it does.
func (h *discoveryView) unavailableSince(sidecar, box int, now time.Duration) (since time.Duration, off bool) {
	for _, s := range h.unavailable[sidecar*h.endpointCount+box] {
		if s.from <= now && now < s.to {
			return s.from, true
		}
	}
	return 0, false
}
