package judge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	storyMost   = 80              // lines; what is beyond is cut from the middle
	storyBefore = 2 * time.Second // of a box's or a sidecar's story, before the breach
)

// story is one time line, being told.
type story struct {
	*judge
	from, to time.Duration // of what concerns it
	lines    []line
	boxes    map[int]bool
	sidecars map[int]bool
	everyone bool // all sidecars concern it
}

type line struct {
	at   time.Duration
	text string
}

// story tells all that both ends saw of a breach, by time.
func (j *judge) story(b *Breach) []string {
	s := &story{judge: j, from: b.At, to: b.At, boxes: map[int]bool{}, sidecars: map[int]bool{}}
	switch {
	case b.Request >= 0:
		s.request(b.Request)
	case b.Txn != 0:
		s.visits(b.Txn, "of nobody")
	default:
		s.from = max(0, b.At-storyBefore)
	}
	s.boxes[b.Box], s.sidecars[b.Sidecar], s.everyone = true, true, b.Request < 0 && b.Sidecar < 0
	if b.Kind == PushedOver {
		s.senders(b.Box)
	}
	s.scripted()
	s.discovery()
	s.processes()
	s.add(b.At, "here %q: %s", b.Kind, b.Text)
	return s.told()
}

func (s *story) add(at time.Duration, format string, args ...any) {
	s.lines = append(s.lines, line{at, fmt.Sprintf(format, args...)})
}

// happens adds a line and stretches the story to it.
func (s *story) happens(at time.Duration, format string, args ...any) {
	s.from, s.to = min(s.from, at), max(s.to, at)
	s.add(at, format, args...)
}

// request is a request's life, the calls of later tiers included.
func (s *story) request(n int) {
	if n < len(s.p.Requests) {
		r := &s.p.Requests[n]
		c := &s.p.Scenario.Class[r.Class]
		s.happens(r.Due, "request %d is due: %s (%s), its client waits %s", n, c.Name, c.Effect, r.Patience)
	}
	for _, i := range s.index.request(n) {
		t := &s.log.ClientAttempts[i]
		name := fmt.Sprintf("try %d", t.Number+1)
		if t.Tier > 0 {
			name = fmt.Sprintf("call %016x of tier %s", t.TransactionID, s.p.Scenario.Tier[t.Tier].Name)
		}
		s.sidecars[t.Sidecar] = true
		if t.Sent != trace.Unset {
			s.happens(t.Sent, "%s is written to sidecar %s, with %s left", name, s.sidecar(t.Sidecar), t.Timeout)
			if until := t.Sent + t.Timeout; t.Ended == trace.Unset || t.Ended > until {
				s.happens(until, "%s has run out of time", name)
			}
		}
		if t.Ended != trace.Unset {
			s.happens(t.Ended, "%s ends: %s", name, s.end(t))
		}
		s.visits(t.TransactionID, "of "+name)
	}
}

// end is a try's, in words.
func (s *story) end(t *trace.ClientAttempt) string {
	out := t.Status.String()
	if t.Code != 0 {
		out += fmt.Sprintf(" (%d)", t.Code)
	}
	if t.Endpoint >= 0 {
		out += ", the answer is of box " + s.box(t.Endpoint)
	}
	if t.Forged {
		out += ", with a body that no box made for it"
	}
	if t.Responses > 1 {
		out += fmt.Sprintf(", %d answers", t.Responses)
	}
	if t.RetryAfter > 0 {
		out += fmt.Sprintf(", not before %s", t.RetryAfter)
	}
	return out
}

func (s *story) visits(txn uint64, whose string) {
	for _, i := range s.index.of(txn) {
		v := &s.log.EndpointRequests[i]
		s.boxes[v.Endpoint] = true
		if v.LastByte == trace.Unset {
			s.happens(v.FirstByte, "box %s gets a part %s, and never the rest", s.box(v.Endpoint), whose)
		} else {
			s.happens(v.LastByte, "box %s has an attempt %s, on connection %d, since +%.3f s", s.box(v.Endpoint), whose, v.ConnectionID, v.FirstByte.Seconds())
		}
		if v.Started != trace.Unset {
			how := "begins to run it"
			if v.Deduplicated {
				how = "knows its key: it has no effect again"
			}
			s.happens(v.Started, "box %s %s", s.box(v.Endpoint), how)
		}
		if v.Ended != trace.Unset {
			s.happens(v.Ended, "box %s is done with it: %s", s.box(v.Endpoint), v.Outcome)
		}
	}
}

// senders says who sent a box how much before it fell.
func (s *story) senders(box int) {
	knows := s.knowsStart(box, lastStart(s.p, box, s.to))
	count := map[int]int{}
	for i := range s.log.EndpointRequests {
		if v := &s.log.EndpointRequests[i]; v.Endpoint == box && v.FirstByte <= s.to && v.FirstByte >= s.to-s.p.Scenario.Rules.FallWindow.D() {
			if n := s.index.try(v.TransactionID); n >= 0 {
				count[s.log.ClientAttempts[n].Sidecar]++
			}
		}
	}
	for i := range s.p.Sidecars {
		if count[i] == 0 {
			continue
		}
		how := "which did not know of its start"
		if at, known := knows[i]; known {
			how = fmt.Sprintf("which knew of its start from +%.3f s on", at.Seconds())
		}
		s.add(s.to, "in the window up to now %d attempts came from sidecar %s, %s", count[i], s.sidecar(i), how)
	}
}

// scripted is what the script did to the boxes: while the story goes, and last before.
func (s *story) scripted() {
	last := map[int]*plan.Event{}
	tell := func(e *plan.Event) {
		what := "starts, cold"
		if e.Kind != plan.StartBox {
			what = faultWords[e.Fault.Kind] + " " + e.Kind.String()
		}
		s.add(e.At, "script: box %s: %s", s.box(e.Box), what)
	}
	for i := range s.p.Events {
		e := &s.p.Events[i]
		if !s.boxes[e.Box] || e.Kind != plan.BeginFault && e.Kind != plan.EndFault && e.Kind != plan.StartBox {
			continue
		}
		switch {
		case e.At < s.from:
			last[e.Box] = e
		case e.At <= s.to:
			tell(e)
		}
	}
	for _, box := range slices.Sorted(maps.Keys(last)) {
		tell(last[box])
	}
}

var faultWords = map[model.FaultKind]string{model.Vanish: "silence", model.Dead: "death", model.Hang: "hang", model.Fail: "failing",
	model.Slow: "slowness", model.RefuseConns: "refusing connections", model.Cut: "cutting answers", model.Spoil: "spoiling answers",
	model.Drip: "dripping answers", model.Mute: "muteness"}

// discovery is what the sidecars were told of the boxes.
func (s *story) discovery() {
	last := map[int]*trace.Notification{} // by sidecar and box
	tell := func(t *trace.Notification) {
		since := ""
		if t.UpSince > 0 {
			since = fmt.Sprintf(", up since +%.3f s", t.UpSince.Seconds())
		}
		s.add(t.At, "discovery tells sidecar %s that box %s is %s%s", s.sidecar(t.Sidecar), s.box(t.Endpoint), t.Phase, since)
	}
	for i := range s.log.Notifications {
		t := &s.log.Notifications[i]
		if !s.boxes[t.Endpoint] || !s.everyone && !s.sidecars[t.Sidecar] {
			continue
		}
		switch {
		case t.At < s.from:
			if pair := t.Sidecar*len(s.p.Boxes) + t.Endpoint; last[pair] == nil || last[pair].At <= t.At {
				last[pair] = t
			}
		case t.At <= s.to:
			tell(t)
		}
	}
	for _, pair := range slices.Sorted(maps.Keys(last)) {
		tell(last[pair])
	}
}

// processes is what became of the sidecars.
func (s *story) processes() {
	last := map[int]trace.SidecarEvent{}
	tell := func(c trace.SidecarEvent) {
		s.add(c.At, "sidecar %s: %s", s.sidecar(c.Sidecar), strings.TrimSpace(c.Kind.String()+" "+c.Detail))
	}
	for _, c := range sortedChanges(s.log) {
		switch {
		case !s.sidecars[c.Sidecar]:
		case c.At < s.from:
			last[c.Sidecar] = c
		case c.At <= s.to:
			tell(c)
		}
	}
	for _, sidecar := range slices.Sorted(maps.Keys(last)) {
		tell(last[sidecar])
	}
}

// told sorts the lines and words their times.
func (s *story) told() []string {
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var out []string
	for i, l := range s.lines {
		if over := len(s.lines) - storyMost; over > 0 && i >= storyMost/2 && i < storyMost/2+over {
			if i == storyMost/2 {
				out = append(out, fmt.Sprintf("  ... %d lines left out", over))
			}
			continue
		}
		out = append(out, fmt.Sprintf("+%7.3f s  %s", l.at.Seconds(), l.text))
	}
	return out
}
