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
	maxTimelineLines = 80              // lines; what is beyond is cut from the middle
	timelineLead     = 2 * time.Second // of a box's or a sidecar's story, before the breach
)

// story is one time line, being told.
type timeline struct {
	*evaluation
	from, to    time.Duration // of what concerns it
	lines       []line
	endpoints   map[int]bool
	sidecars    map[int]bool
	allSidecars bool // all sidecars concern it
}

type line struct {
	at   time.Duration
	text string
}

// story tells all that both ends saw of a breach, by time.
func (j *evaluation) timeline(b *Violation) []string {
	s := &timeline{evaluation: j, from: b.At, to: b.At, endpoints: map[int]bool{}, sidecars: map[int]bool{}}
	switch {
	case b.Request >= 0:
		s.addRequest(b.Request)
	case b.TransactionID != 0:
		s.addEndpointRequests(b.TransactionID, "of nobody")
	default:
		s.from = max(0, b.At-timelineLead)
	}
	s.endpoints[b.Endpoint], s.sidecars[b.Sidecar], s.allSidecars = true, true, b.Request < 0 && b.Sidecar < 0
	if b.Kind == ColdOverload {
		s.addSenders(b.Endpoint)
	}
	s.addScript()
	s.addNotifications()
	s.addSidecarEvents()
	s.add(b.At, "here %q: %s", b.Kind, b.Text)
	return s.render()
}

func (s *timeline) add(at time.Duration, format string, args ...any) {
	s.lines = append(s.lines, line{at, fmt.Sprintf(format, args...)})
}

// happens adds a line and stretches the story to it.
func (s *timeline) extend(at time.Duration, format string, args ...any) {
	s.from, s.to = min(s.from, at), max(s.to, at)
	s.add(at, format, args...)
}

// request is a request's life, the calls of later tiers included.
func (s *timeline) addRequest(n int) {
	if n < len(s.plan.Requests) {
		r := &s.plan.Requests[n]
		c := &s.plan.Scenario.Class[r.Class]
		s.extend(r.Due, "request %d is due: %s (%s), its client waits %s", n, c.Name, c.Effect, r.Patience)
	}
	for _, i := range s.index.attemptsOf(n) {
		t := &s.log.ClientAttempts[i]
		name := fmt.Sprintf("try %d", t.Number+1)
		if t.Tier > 0 {
			name = fmt.Sprintf("call %016x of tier %s", t.TransactionID, s.plan.Scenario.Tier[t.Tier].Name)
		}
		s.sidecars[t.Sidecar] = true
		if t.Sent != trace.Unset {
			s.extend(t.Sent, "%s is written to sidecar %s, with %s left", name, s.sidecarName(t.Sidecar), t.Timeout)
			if until := t.Sent + t.Timeout; t.Ended == trace.Unset || t.Ended > until {
				s.extend(until, "%s has run out of time", name)
			}
		}
		if t.Ended != trace.Unset {
			s.extend(t.Ended, "%s ends: %s", name, s.describeEnd(t))
		}
		s.addEndpointRequests(t.TransactionID, "of "+name)
	}
}

// end is a try's, in words.
func (s *timeline) describeEnd(t *trace.ClientAttempt) string {
	out := t.Status.String()
	if t.Code != 0 {
		out += fmt.Sprintf(" (%d)", t.Code)
	}
	if t.Endpoint >= 0 {
		out += ", the answer is of box " + s.endpointName(t.Endpoint)
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

func (s *timeline) addEndpointRequests(txn uint64, whose string) {
	for _, i := range s.index.requestsOf(txn) {
		v := &s.log.EndpointRequests[i]
		s.endpoints[v.Endpoint] = true
		if v.LastByte == trace.Unset {
			s.extend(v.FirstByte, "box %s gets a part %s, and never the rest", s.endpointName(v.Endpoint), whose)
		} else {
			s.extend(v.LastByte, "box %s has an attempt %s, on connection %d, since +%.3f s", s.endpointName(v.Endpoint), whose, v.ConnectionID, v.FirstByte.Seconds())
		}
		if v.Started != trace.Unset {
			how := "begins to run it"
			if v.Deduplicated {
				how = "knows its key: it has no effect again"
			}
			s.extend(v.Started, "box %s %s", s.endpointName(v.Endpoint), how)
		}
		if v.Ended != trace.Unset {
			s.extend(v.Ended, "box %s is done with it: %s", s.endpointName(v.Endpoint), v.Outcome)
		}
	}
}

// senders says who sent a box how much before it fell.
func (s *timeline) addSenders(box int) {
	knows := s.startKnownAt(box, lastStart(s.plan, box, s.to))
	count := map[int]int{}
	for i := range s.log.EndpointRequests {
		if v := &s.log.EndpointRequests[i]; v.Endpoint == box && v.FirstByte <= s.to && v.FirstByte >= s.to-s.plan.Scenario.Rules.FallWindow.D() {
			if n := s.index.attempt(v.TransactionID); n >= 0 {
				count[s.log.ClientAttempts[n].Sidecar]++
			}
		}
	}
	for i := range s.plan.Sidecars {
		if count[i] == 0 {
			continue
		}
		how := "which did not know of its start"
		if at, known := knows[i]; known {
			how = fmt.Sprintf("which knew of its start from +%.3f s on", at.Seconds())
		}
		s.add(s.to, "in the window up to now %d attempts came from sidecar %s, %s", count[i], s.sidecarName(i), how)
	}
}

// scripted is what the script did to the boxes: while the story goes, and last before.
func (s *timeline) addScript() {
	last := map[int]*plan.Event{}
	tell := func(e *plan.Event) {
		what := "starts, cold"
		if e.Kind != plan.StartBox {
			what = faultWords[e.Fault.Kind] + " " + e.Kind.String()
		}
		s.add(e.At, "script: box %s: %s", s.endpointName(e.Box), what)
	}
	for i := range s.plan.Events {
		e := &s.plan.Events[i]
		if !s.endpoints[e.Box] || e.Kind != plan.BeginFault && e.Kind != plan.EndFault && e.Kind != plan.StartBox {
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
func (s *timeline) addNotifications() {
	last := map[int]*trace.Notification{} // by sidecar and box
	tell := func(t *trace.Notification) {
		since := ""
		if t.UpSince > 0 {
			since = fmt.Sprintf(", up since +%.3f s", t.UpSince.Seconds())
		}
		s.add(t.At, "discovery tells sidecar %s that box %s is %s%s", s.sidecarName(t.Sidecar), s.endpointName(t.Endpoint), t.Phase, since)
	}
	for i := range s.log.Notifications {
		t := &s.log.Notifications[i]
		if !s.endpoints[t.Endpoint] || !s.allSidecars && !s.sidecars[t.Sidecar] {
			continue
		}
		switch {
		case t.At < s.from:
			if pair := t.Sidecar*len(s.plan.Boxes) + t.Endpoint; last[pair] == nil || last[pair].At <= t.At {
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
func (s *timeline) addSidecarEvents() {
	last := map[int]trace.SidecarEvent{}
	tell := func(c trace.SidecarEvent) {
		s.add(c.At, "sidecar %s: %s", s.sidecarName(c.Sidecar), strings.TrimSpace(c.Kind.String()+" "+c.Detail))
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
func (s *timeline) render() []string {
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var out []string
	for i, l := range s.lines {
		if over := len(s.lines) - maxTimelineLines; over > 0 && i >= maxTimelineLines/2 && i < maxTimelineLines/2+over {
			if i == maxTimelineLines/2 {
				out = append(out, fmt.Sprintf("  ... %d lines left out", over))
			}
			continue
		}
		out = append(out, fmt.Sprintf("+%7.3f s  %s", l.at.Seconds(), l.text))
	}
	return out
}
