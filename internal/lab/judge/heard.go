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
type heard struct {
	boxes int
	first []time.Duration // by sidecar and box: when a list first named it; Never if none did
	off   map[int][]span  // by the same: when it counted as draining or gone
}

// span is from one time to another; to may be Never.
type span struct{ from, to time.Duration }

// news is something that changes what a sidecar takes a box for.
type news struct {
	pair int
	at   time.Duration
	what newsKind
}

type newsKind uint8

const (
	reborn    newsKind = iota // a new process of the sidecar
	agentOff                  // discovery's agent has it as draining or gone
	agentBack                 // or as ready
	toldOff                   // the sidecar was told so
	toldBack
)

func listen(p *plan.Plan, log *trace.Log) *heard {
	h := &heard{boxes: len(p.Boxes), first: make([]time.Duration, len(p.Sidecars)*len(p.Boxes)), off: map[int][]span{}}
	for i := range h.first {
		h.first[i] = model.Never
	}
	for s := range p.Sidecars {
		for _, l := range slices.Concat(p.Sidecars[s].Known, p.First(p.Sidecars[s].Tier)) {
			h.first[s*h.boxes+l.Box] = 0
		}
	}
	all := h.gather(p, log)
	slices.SortStableFunc(all, func(a, b news) int { return cmp.Or(cmp.Compare(a.pair, b.pair), cmp.Compare(a.at, b.at)) })
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].pair == all[0].pair {
			n++
		}
		if spans := offSpans(all[:n]); len(spans) > 0 {
			h.off[all[0].pair] = spans
		}
		all = all[n:]
	}
	return h
}

// gather collects the news of all boxes that a sidecar ever heard to be draining or gone.
func (h *heard) gather(p *plan.Plan, log *trace.Log) []news {
	pair := func(sidecar, box int) int {
		if sidecar < 0 || sidecar >= len(p.Sidecars) || box < 0 || box >= h.boxes {
			return -1
		}
		return sidecar*h.boxes + box
	}
	matters := make([]bool, len(h.first))
	for i := range log.Notifications {
		if t := &log.Notifications[i]; pair(t.Sidecar, t.Endpoint) >= 0 {
			at := pair(t.Sidecar, t.Endpoint)
			h.first[at] = min(h.first[at], t.At)
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
	var out []news
	add := func(at int, when time.Duration, ready bool, off, back newsKind) {
		switch {
		case at < 0 || !matters[at]:
		case ready:
			out = append(out, news{at, when, back})
		default:
			out = append(out, news{at, when, off})
		}
	}
	for i := range p.Events {
		e := &p.Events[i]
		add(tells(e), e.At, e.Entry.Phase == trace.PhaseReady, agentOff, agentBack)
	}
	for _, t := range log.Notifications {
		add(pair(t.Sidecar, t.Endpoint), t.At, t.Phase == trace.PhaseReady, toldOff, toldBack)
	}
	for _, c := range log.SidecarEvents {
		for box := 0; c.Kind == trace.SidecarStarted && box < h.boxes; box++ {
			add(pair(c.Sidecar, box), c.At, false, reborn, reborn)
		}
	}
	return out
}

// offSpans follows one box at one sidecar. A time-out that has not passed when better news comes counts for nothing.
func offSpans(all []news) (out []span) {
	off, from := false, time.Duration(0)
	for _, n := range all {
		switch {
		case (n.what == toldBack || n.what == agentBack) && off:
			if from < n.at {
				out = append(out, span{from, n.at})
			}
			off = false
		case n.what == reborn && off:
			if from < n.at {
				out = append(out, span{from, n.at})
			}
			from = n.at + countsTold
		case n.what == toldOff && off:
			from = min(from, n.at)
		case n.what == toldOff:
			off, from = true, n.at
		case n.what == agentOff && !off:
			off, from = true, n.at+countsTold
		}
	}
	if off {
		out = append(out, span{from, model.Never})
	}
	return out
}

// named is when a list first named a box to a sidecar; Never if none did.
func (h *heard) named(sidecar, box int) time.Duration { return h.first[sidecar*h.boxes+box] }

// offSince says since when a box has counted as draining or gone for a sidecar at a moment, if it does.
func (h *heard) offSince(sidecar, box int, now time.Duration) (since time.Duration, off bool) {
	for _, s := range h.off[sidecar*h.boxes+box] {
		if s.from <= now && now < s.to {
			return s.from, true
		}
	}
	return 0, false
}
