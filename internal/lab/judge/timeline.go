package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	maxTimelineLines = 80              // what is beyond is left out in the middle
	timelineLead     = 2 * time.Second // before a violation that is about an endpoint or a sidecar
)

// timeline is everything that both ends saw of a violation, while it is collected.
type timeline struct {
	*evaluation
	from, to    time.Duration // its span
	lines       []line
	endpoints   map[int]bool // that concern it
	sidecars    map[int]bool
	allSidecars bool
}

type line struct {
	at   time.Duration
	text string
}

// timeline is everything that both ends saw of a violation, a line each, by time.
func (e *evaluation) timeline(violation *Violation) []string {
	t := &timeline{
		evaluation: e,
		from:       violation.At,
		to:         violation.At,
		endpoints:  map[int]bool{violation.Endpoint: true},
		sidecars:   map[int]bool{violation.Sidecar: true},
	}
	switch {
	case violation.Request >= 0:
		t.addRequest(violation.Request)
	case violation.TransactionID != 0:
		t.addEndpointRequests(violation.TransactionID, "of nobody")
	default:
		t.from = max(0, violation.At-timelineLead)
	}
	t.allSidecars = violation.Request < 0 && violation.Sidecar < 0
	if violation.Kind == ColdOverload {
		t.addSenders(violation.Endpoint)
	}
	t.addScript()
	t.addNotifications()
	t.addSidecarEvents()
	t.add(violation.At, "here %q: %s", violation.Kind, violation.Text)
	return t.render()
}

func (t *timeline) add(at time.Duration, format string, args ...any) {
	t.lines = append(t.lines, line{at, fmt.Sprintf(format, args...)})
}

// extend adds a line and extends the span to it.
func (t *timeline) extend(at time.Duration, format string, args ...any) {
	t.from, t.to = min(t.from, at), max(t.to, at)
	t.add(at, format, args...)
}

// addRequest adds a request of the plan with all its attempts, calls of later tiers included.
func (t *timeline) addRequest(index int) {
	if index < len(t.plan.Requests) {
		planned := &t.plan.Requests[index]
		class := &t.plan.Scenario.Classes[planned.Class]
		t.extend(planned.Due, "request %d is due: %s (%s), its client waits %s", index, class.Name, class.Idempotency, planned.Timeout)
	}
	for _, i := range t.index.attemptsOf(index) {
		attempt := &t.log.ClientAttempts[i]
		name := fmt.Sprintf("try %d", attempt.Number+1)
		if attempt.Tier > 0 {
			name = fmt.Sprintf("call %016x of tier %s", attempt.TransactionID, t.plan.Scenario.Tiers[attempt.Tier].Name)
		}
		t.sidecars[attempt.Sidecar] = true
		if attempt.Sent != trace.Unset {
			t.extend(attempt.Sent, "%s is written to sidecar %s, with %s left", name, t.sidecarName(attempt.Sidecar), attempt.Timeout)
			if until := attempt.Sent + attempt.Timeout; attempt.Ended == trace.Unset || attempt.Ended > until {
				t.extend(until, "%s has run out of time", name)
			}
		}
		if attempt.Ended != trace.Unset {
			t.extend(attempt.Ended, "%s ends: %s", name, t.describeEnd(attempt))
		}
		t.addEndpointRequests(attempt.TransactionID, "of "+name)
	}
}

// describeEnd is the result of an attempt in words.
func (t *timeline) describeEnd(attempt *trace.ClientAttempt) string {
	out := attempt.Status.String()
	if attempt.Code != 0 {
		out += fmt.Sprintf(" (%d)", attempt.Code)
	}
	if attempt.Endpoint >= 0 {
		out += ", the answer is of box " + t.endpointName(attempt.Endpoint)
	}
	if attempt.Forged {
		out += ", with a body that no box made for it"
	}
	if attempt.Responses > 1 {
		out += fmt.Sprintf(", %d answers", attempt.Responses)
	}
	if attempt.RetryAfter > 0 {
		out += fmt.Sprintf(", not before %s", attempt.RetryAfter)
	}
	return out
}

// addEndpointRequests adds what endpoints saw of a transaction id.
func (t *timeline) addEndpointRequests(transactionID uint64, whose string) {
	for _, i := range t.index.requestsOf(transactionID) {
		request := &t.log.EndpointRequests[i]
		t.endpoints[request.Endpoint] = true
		if request.LastByte == trace.Unset {
			t.extend(request.FirstByte, "box %s gets a part %s, and never the rest", t.endpointName(request.Endpoint), whose)
		} else {
			t.extend(request.LastByte, "box %s has an attempt %s, on connection %d, since +%.3f s",
				t.endpointName(request.Endpoint), whose, request.ConnectionID, request.FirstByte.Seconds())
		}
		if request.Started != trace.Unset {
			how := "begins to run it"
			if request.Deduplicated {
				how = "knows its key: it has no effect again"
			}
			t.extend(request.Started, "box %s %s", t.endpointName(request.Endpoint), how)
		}
		if request.Ended != trace.Unset {
			t.extend(request.Ended, "box %s is done with it: %s", t.endpointName(request.Endpoint), request.Outcome)
		}
	}
}

// addSenders adds how many requests each sidecar sent to an endpoint before it collapsed.
func (t *timeline) addSenders(endpoint int) {
	knownAt := t.startKnownAt(endpoint, lastStart(t.plan, endpoint, t.to))
	window := t.plan.Scenario.Rules.CollapseWindow.D()
	count := map[int]int{}
	for i := range t.log.EndpointRequests {
		request := &t.log.EndpointRequests[i]
		if request.Endpoint != endpoint || request.FirstByte > t.to || request.FirstByte < t.to-window {
			continue
		}
		if attempt := t.index.attempt(request.TransactionID); attempt >= 0 {
			count[t.log.ClientAttempts[attempt].Sidecar]++
		}
	}
	for i := range t.plan.Sidecars {
		if count[i] == 0 {
			continue
		}
		how := "which did not know of its start"
		if at, known := knownAt[i]; known {
			how = fmt.Sprintf("which knew of its start from +%.3f s on", at.Seconds())
		}
		t.add(t.to, "in the window up to now %d attempts came from sidecar %s, %s", count[i], t.sidecarName(i), how)
	}
}

// render returns the lines, sorted and with their times.
func (t *timeline) render() []string {
	slices.SortStableFunc(t.lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	const head = maxTimelineLines / 2
	excess := len(t.lines) - maxTimelineLines
	var out []string
	for i, l := range t.lines {
		if excess > 0 && i >= head && i < head+excess {
			if i == head {
				out = append(out, fmt.Sprintf("  ... %d lines left out", excess))
			}
			continue
		}
		out = append(out, fmt.Sprintf("+%7.3f s  %s", l.at.Seconds(), l.text))
	}
	return out
}
