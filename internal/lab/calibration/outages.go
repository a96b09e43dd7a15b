package calibration

import (
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// outage is a time in which an endpoint's process did not run.
type outage struct {
	endpoint    int
	kind        string        // crash, vanish or drain, the kinds of a scenario's faults
	from, to    time.Duration // neverEnds: it did not restart
	announcedAt time.Duration // drain: when discovery announced it
}

// refusalShare is the share of the connect time-out within which a failed connect was refused: that takes a round trip,
// and with an unresponsive machine all of the time-out.
const refusalShare = 0.8

// restartResets is the time before a restart in which resets don't count: a machine that is back resets its connections.
const restartResets = 10 * time.Millisecond

// findOutages finds when processes exited. Discovery has the times of their restarts, to the millisecond; their exits show
// where responses end and resets and refusals begin.
func (m *fittedModel) findOutages(v *history) {
	m.outages = nil
	for endpointIndex := range v.endpoints {
		target := &v.endpoints[endpointIndex]
		since := time.Duration(0)
		for n, back := range target.starts {
			if d, found := m.outageBefore(v, endpointIndex, since, back); found && !(target.absent && n == 0) {
				m.outages = append(m.outages, d)
			}
			since = back
		}
		if d, found := m.outageBefore(v, endpointIndex, since, neverEnds); found {
			m.outages = append(m.outages, d)
		}
		m.markLost(v, endpointIndex)
	}
}

// markLost marks the attempts that an endpoint's outages have lost. Those that a crash broke off ran until then, which is
// censored information; of those at an unresponsive machine nothing is known.
func (m *fittedModel) markLost(v *history, endpointIndex int) {
	attempts := v.attemptsOf(endpointIndex)
	for i := range attempts {
		a := &attempts[i]
		a.lost = a.status != balance.OK && slices.ContainsFunc(m.outages, func(d outage) bool {
			return d.endpoint == endpointIndex && a.started < d.to && (a.started >= d.from || d.kind == "vanish" && a.ended >= d.from)
		})
	}
	v.invalidateEdges(endpointIndex)
}

// outageBefore finds the outage between two starts of an endpoint, or after the last one.
func (m *fittedModel) outageBefore(v *history, endpointIndex int, since, back time.Duration) (outage, bool) {
	served := since // the last response
	for _, a := range v.attemptsOf(endpointIndex) {
		if a.status == balance.OK && a.ended < back {
			served = max(served, a.ended)
		}
	}
	d := outage{endpoint: endpointIndex, kind: "vanish", from: neverEnds, to: back}
	failures, unanswered := v.evidenceOfOutage(&d, served)
	removed := v.firstUpdate(endpointIndex, since, back, balance.Removed)
	draining := v.firstUpdate(endpointIndex, since, back, balance.Draining)
	switch {
	case draining < neverEnds:
		d.kind, d.announcedAt = "drain", draining
		if d.from = max(served, draining); removed < neverEnds {
			d.from = max(d.from, removed-time.Second)
		}
	case back == neverEnds && removed == neverEnds && failures < minFailures:
		return d, false
	case d.kind == "vanish" && (failures > 0 || unanswered >= minFailures):
		d.from = served
	case d.kind == "vanish" && removed < neverEnds: // it got no requests
		d.kind, d.from = "crash", max(served, removed-time.Second)
	case d.kind == "vanish":
		d.kind, d.from = "crash", served+(back-served)/2
	}
	return d, d.from < back
}

// evidenceOfOutage counts the failed connections and the requests without a response from the last response up to an
// outage's end. A reset or refused connection makes the outage a crash, which starts with the first of them.
func (v *history) evidenceOfOutage(d *outage, served time.Duration) (failures, unanswered int) {
	maxRefusal := time.Duration(refusalShare * float64(v.settings.ConnectTimeout))
	for _, a := range v.attemptsOf(d.endpoint) {
		if a.ended <= served || a.started >= d.to {
			continue
		}
		refused := a.status == balance.ConnectFailed && a.ended-a.started < maxRefusal
		reset := a.status == balance.Reset && a.ended < d.to-restartResets
		switch {
		case reset, refused:
			d.kind, d.from = "crash", min(d.from, a.ended)
			failures++
		case a.status == balance.ConnectFailed, a.status == balance.Reset:
			failures++
		case wasAccepted(a.status):
			unanswered++
		}
	}
	return failures, unanswered
}

// firstUpdate returns when discovery first reported a state of an endpoint between two times, both excluded; neverEnds if
// it did not.
func (v *history) firstUpdate(endpointIndex int, after, before time.Duration, state balance.Availability) time.Duration {
	first := neverEnds
	for _, update := range v.endpoints[endpointIndex].updates {
		if update.at > after && update.at < before && update.state == state {
			first = min(first, update.at)
		}
	}
	return first
}

// discoveryDelays returns how late discovery was: medians of what was seen, or 0.
func (m *fittedModel) discoveryDelays(v *history) (removal, unresponsive, addition time.Duration) {
	var removals, losses, additions []time.Duration
	first := func(endpointIndex int, from, to time.Duration, is func(l *listUpdate) bool) (time.Duration, bool) {
		for i := range v.endpoints[endpointIndex].updates {
			if l := &v.endpoints[endpointIndex].updates[i]; l.at >= from && l.at < to && is(l) {
				return l.at - from, true
			}
		}
		return 0, false
	}
	gone := func(l *listUpdate) bool { return l.state == balance.Removed }
	for _, d := range m.outages {
		delay, notified := first(d.endpoint, d.from, d.to, gone)
		switch {
		case !notified:
			// An endpoint that is back before discovery removes it shows that this takes at least so long.
			if delay = d.to - d.from; d.to < neverEnds {
				if d.kind == "vanish" {
					losses = append(losses, delay+time.Second)
				} else {
					removals = append(removals, delay+time.Second)
				}
			}
		case d.kind == "vanish":
			losses = append(losses, delay)
		default:
			removals = append(removals, delay)
		}
	}
	for endpointIndex := range v.endpoints {
		for _, start := range v.endpoints[endpointIndex].starts {
			if delay, notified := first(endpointIndex, start, neverEnds, func(l *listUpdate) bool { return l.startedAt == start }); notified {
				additions = append(additions, delay)
			}
		}
	}
	return median(removals), median(losses), median(additions)
}

func median(of []time.Duration) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)/2]
}

// wasDown reports whether an endpoint was down at some time in an interval.
func (m *fittedModel) wasDown(endpointIndex int, from, to time.Duration) bool {
	return slices.ContainsFunc(m.outages, func(d outage) bool { return d.endpoint == endpointIndex && from < d.to && to >= d.from })
}
