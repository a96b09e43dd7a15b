package calibration

import (
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// down is a time in which a host's process was not there.
type down struct {
	host     int
	kind     string        // crash, vanish or drain, as a scenario's faults are called
	from, to time.Duration // never: it did not come back
	told     time.Duration // drain: when its end was announced
}

// quickConnect is the share of the connect time-out within which a failure is a refusal: a machine that is
// silent takes all of it, and a refusal a round trip.
const quickConnect = 0.8

// findDowns finds when processes ended. When they were back is what discovery says, to the millisecond; when
// they went shows where answers end and resets and refusals begin.
func (m *servers) findDowns(v *view) {
	m.downs = nil
	for h := range v.hosts {
		host := &v.hosts[h]
		since := time.Duration(0)
		for n, back := range host.starts {
			if d, found := m.downBefore(v, h, since, back); found && !(host.absent && n == 0) {
				m.downs = append(m.downs, d)
			}
			since = back
		}
		if d, found := m.downBefore(v, h, since, never); found {
			m.downs = append(m.downs, d)
		}
		m.mourn(v, h)
	}
}

// mourn notes which of a host's attempts its being down has lost. Those that a crash broke off were under way
// until then and tell so much; a machine that is silent tells nothing.
func (m *servers) mourn(v *view, h int) {
	of := v.of(h)
	for i := range of {
		a := &of[i]
		a.lost = a.status != balance.OK && slices.ContainsFunc(m.downs, func(d down) bool {
			return d.host == h && a.began < d.to && (a.began >= d.from || d.kind == "vanish" && a.ended >= d.from)
		})
	}
	v.reconsider(h)
}

// downBefore looks between two starts of a host, or after the last one.
func (m *servers) downBefore(v *view, h int, since, back time.Duration) (down, bool) {
	host, of := &v.hosts[h], v.of(h)
	served := since
	for i := range of {
		if a := &of[i]; a.status == balance.OK && a.ended < back {
			served = max(served, a.ended)
		}
	}
	d := down{host: h, kind: "vanish", from: never, to: back}
	fails, silent := 0, 0
	for i := range of {
		a := &of[i]
		if a.ended <= served || a.began >= back {
			continue
		}
		quick := a.status == balance.ConnectFailed && a.ended-a.began < time.Duration(quickConnect*float64(v.settings.ConnectTimeout))
		switch {
		case a.status == balance.Reset && a.ended < back-10*time.Millisecond, quick: // a machine that is back resets, too
			d.kind, d.from = "crash", min(d.from, a.ended)
			fails++
		case a.status == balance.ConnectFailed, a.status == balance.Reset:
			fails++
		case took(a.status):
			silent++
		}
	}
	gone, drained := never, never
	for _, l := range host.listed {
		switch {
		case l.at <= since || l.at >= back:
		case l.state == balance.Gone:
			gone = min(gone, l.at)
		case l.state == balance.Draining:
			drained = min(drained, l.at)
		}
	}
	switch {
	case drained < never:
		d.kind, d.told = "drain", drained
		if d.from = max(served, drained); gone < never {
			d.from = max(d.from, gone-time.Second)
		}
	case back == never && gone == never && fails < leastFails:
		return d, false
	case d.kind == "vanish" && (fails > 0 || silent >= leastFails):
		d.from = served
	case d.kind == "vanish" && gone < never: // nobody was sent there
		d.kind, d.from = "crash", max(served, gone-time.Second)
	case d.kind == "vanish":
		d.kind, d.from = "crash", served+(back-served)/2
	}
	return d, d.from < back
}

// delays is how discovery was late: medians of what was seen, or 0.
func (m *servers) delays(v *view) (notice, silent, add time.Duration) {
	var n, s, a []time.Duration
	first := func(h int, from, to time.Duration, is func(l *listing) bool) (time.Duration, bool) {
		for i := range v.hosts[h].listed {
			if l := &v.hosts[h].listed[i]; l.at >= from && l.at < to && is(l) {
				return l.at - from, true
			}
		}
		return 0, false
	}
	gone := func(l *listing) bool { return l.state == balance.Gone }
	for _, d := range m.downs {
		late, told := first(d.host, d.from, d.to, gone)
		switch {
		case !told:
			// A host that is back before discovery notices says that it takes at least so long.
			if late = d.to - d.from; d.to < never {
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
	for h := range v.hosts {
		for _, start := range v.hosts[h].starts {
			if late, told := first(h, start, never, func(l *listing) bool { return l.up == start }); told {
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

// isDown tells whether a host was down at some time in a span.
func (m *servers) isDown(host int, from, to time.Duration) bool {
	return slices.ContainsFunc(m.downs, func(d down) bool { return d.host == host && from < d.to && to >= d.from })
}
