package calibration

import (
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// down is a time in which a host's process was not there.
type outage struct {
	endpoint    int
	kind        string        // crash, vanish or drain, as a scenario's faults are called
	from, to    time.Duration // never: it did not come back
	announcedAt time.Duration // drain: when its end was announced
}

// refusalShare is the share of the connect time-out within which a failure is a refusal: a machine that is
// silent takes all of it, and a refusal a round trip.
const refusalShare = 0.8

// findOutages finds when processes ended. When they were back is what discovery says, to the millisecond; when
// they went shows where answers end and resets and refusals begin.
func (m *fittedModel) findOutages(v *history) {
	m.outages = nil
	for h := range v.endpoints {
		host := &v.endpoints[h]
		since := time.Duration(0)
		for n, back := range host.starts {
			if d, found := m.outageBefore(v, h, since, back); found && !(host.absent && n == 0) {
				m.outages = append(m.outages, d)
			}
			since = back
		}
		if d, found := m.outageBefore(v, h, since, neverEnds); found {
			m.outages = append(m.outages, d)
		}
		m.markLost(v, h)
	}
}

// mourn notes which of a host's attempts its being down has lost. Those that a crash broke off were under way
// until then and tell so much; a machine that is silent tells nothing.
func (m *fittedModel) markLost(v *history, h int) {
	of := v.attemptsOf(h)
	for i := range of {
		a := &of[i]
		a.lost = a.status != balance.OK && slices.ContainsFunc(m.outages, func(d outage) bool {
			return d.endpoint == h && a.started < d.to && (a.started >= d.from || d.kind == "vanish" && a.ended >= d.from)
		})
	}
	v.invalidateEdges(h)
}

// outageBefore looks between two starts of a host, or after the last one.
func (m *fittedModel) outageBefore(v *history, h int, since, back time.Duration) (outage, bool) {
	host, of := &v.endpoints[h], v.attemptsOf(h)
	served := since
	for i := range of {
		if a := &of[i]; a.status == balance.OK && a.ended < back {
			served = max(served, a.ended)
		}
	}
	d := outage{endpoint: h, kind: "vanish", from: neverEnds, to: back}
	fails, silent := 0, 0
	for i := range of {
		a := &of[i]
		if a.ended <= served || a.started >= back {
			continue
		}
		quick := a.status == balance.ConnectFailed && a.ended-a.started < time.Duration(refusalShare*float64(v.settings.ConnectTimeout))
		switch {
		case a.status == balance.Reset && a.ended < back-10*time.Millisecond, quick: // a machine that is back resets, too
			d.kind, d.from = "crash", min(d.from, a.ended)
			fails++
		case a.status == balance.ConnectFailed, a.status == balance.Reset:
			fails++
		case wasAccepted(a.status):
			silent++
		}
	}
	gone, drained := neverEnds, neverEnds
	for _, l := range host.updates {
		switch {
		case l.at <= since || l.at >= back:
		case l.state == balance.Gone:
			gone = min(gone, l.at)
		case l.state == balance.Draining:
			drained = min(drained, l.at)
		}
	}
	switch {
	case drained < neverEnds:
		d.kind, d.announcedAt = "drain", drained
		if d.from = max(served, drained); gone < neverEnds {
			d.from = max(d.from, gone-time.Second)
		}
	case back == neverEnds && gone == neverEnds && fails < minFailures:
		return d, false
	case d.kind == "vanish" && (fails > 0 || silent >= minFailures):
		d.from = served
	case d.kind == "vanish" && gone < neverEnds: // nobody was sent there
		d.kind, d.from = "crash", max(served, gone-time.Second)
	case d.kind == "vanish":
		d.kind, d.from = "crash", served+(back-served)/2
	}
	return d, d.from < back
}

// delays is how discovery was late: medians of what was seen, or 0.
func (m *fittedModel) discoveryDelays(v *history) (notice, silent, add time.Duration) {
	var n, s, a []time.Duration
	first := func(h int, from, to time.Duration, is func(l *listUpdate) bool) (time.Duration, bool) {
		for i := range v.endpoints[h].updates {
			if l := &v.endpoints[h].updates[i]; l.at >= from && l.at < to && is(l) {
				return l.at - from, true
			}
		}
		return 0, false
	}
	gone := func(l *listUpdate) bool { return l.state == balance.Gone }
	for _, d := range m.outages {
		late, told := first(d.endpoint, d.from, d.to, gone)
		switch {
		case !told:
			// A host that is back before discovery notices says that it takes at least so long.
			if late = d.to - d.from; d.to < neverEnds {
				if d.kind == "vanish" {
					s = append(s, late+time.Second)
				} else {
					n = append(n, late+time.Second)
				}
			}
		case d.kind == "vanish":
			s = append(s, late)
		default:
			n = append(n, late)
		}
	}
	for h := range v.endpoints {
		for _, start := range v.endpoints[h].starts {
			if late, told := first(h, start, neverEnds, func(l *listUpdate) bool { return l.startedAt == start }); told {
				a = append(a, late)
			}
		}
	}
	return median(n), median(s), median(a)
}

func median(of []time.Duration) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)/2]
}

// wasDown tells whether a host was down at some time in a span.
func (m *fittedModel) wasDown(host int, from, to time.Duration) bool {
	return slices.ContainsFunc(m.outages, func(d outage) bool { return d.endpoint == host && from < d.to && to >= d.from })
}
