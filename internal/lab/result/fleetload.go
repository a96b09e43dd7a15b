package result

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// step is the interval of the counts of calls and connections.
const countInterval = 100 * time.Millisecond

// FleetLoad is how the processes behaved towards each other: what the list service was asked, how many connections came to
// a box at once, and how long sidecars could not serve. Counts are of the whole run; null where there was nothing.
type FleetLoad struct {
	Polls                    int        `json:"list_calls"`
	RejectedPolls            int        `json:"list_turned"`     // calls beyond the service's capacity
	DiscoveryConnections     int        `json:"list_dials"`      // connections to it
	MaxPolls                 int        `json:"list_peak"`       // most calls in 100 ms
	PollCounts               []int      `json:"list_steps"`      // calls in each 100 ms
	MaxEndpointConnections   int        `json:"handshakes"`      // most new connections at one box in 100 ms
	EndpointConnectionCounts []int      `json:"handshake_steps"` // the same of each 100 ms
	EndpointConnections      int        `json:"box_dials"`       // connections at boxes
	TimeToReady              *Quantiles `json:"ready"`           // from a process's start until it took clients
	TimeToEndpointList       *Quantiles `json:"listed"`          // until it had a list from the service
	TimeToFirstServed        *Quantiles `json:"served_first"`    // until the first request was served, from the start or from its being asked, if later
	NeverReady               int        `json:"never_ready"`     // sidecars whose last process, alive at the end, never took clients
	NeverListed              int        `json:"never_listed"`    // or never had a list from the service
	NeverServed              int        `json:"never_served"`    // or were asked and served nothing
}

// AttemptPeak is the second in which a box was sent the most attempts, of all boxes and all intervals of that length. Of its
// attempts, Again are those that are not the first of their try: what is tried again, and copies. Copies are those of
// Additional that began while another attempt of the try was open. Trials of a box that was left out are clients' tries as well.
type AttemptPeak struct {
	Endpoint   string  `json:"box"`
	From       float64 `json:"from_s"`
	Attempts   int     `json:"attempts"`
	Additional int     `json:"again"`
	Hedges     int     `json:"copies"`
}

// Quantiles is seconds, over processes.
type Quantiles struct {
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
	Max float64 `json:"max_s"`
}

// processRun is one process of a sidecar: times in which what a figure names came, None if never.
type processRun struct {
	sidecar                           int
	startedAt, endedAt                time.Duration
	readyAt, listedAt, firstRequestAt time.Duration
	firstServedAt                     time.Duration
}

// processes are the lives of all sidecars' processes. A second process of an upgrade is not a life of its own.
func (r *analysis) processRuns() []processRun {
	var out []processRun
	last := map[int]int{} // by sidecar, into out
	for _, c := range r.log.SidecarEvents {
		at, had := last[c.Sidecar]
		switch c.Kind {
		case trace.SidecarStarted:
			last[c.Sidecar] = len(out)
			out = append(out, processRun{sidecar: c.Sidecar, startedAt: c.At, endedAt: trace.Unset, readyAt: trace.Unset, listedAt: trace.Unset, firstRequestAt: trace.Unset, firstServedAt: trace.Unset})
		case trace.SidecarReady:
			if had && out[at].readyAt == trace.Unset {
				out[at].readyAt = c.At
			}
		case trace.SidecarKilled, trace.SidecarStopping, trace.SidecarCrashed, trace.SidecarExited:
			if had && out[at].endedAt == trace.Unset {
				out[at].endedAt = c.At
			}
		}
	}
	of := func(sidecar int, at time.Duration) *processRun {
		for i := range out {
			if l := &out[i]; l.sidecar == sidecar && l.startedAt <= at && (l.endedAt == trace.Unset || at <= l.endedAt) {
				return l
			}
		}
		return nil
	}
	for _, a := range r.log.Polls {
		if l := of(a.Sidecar, a.At); l != nil && a.Outcome == trace.PollAnswered && l.listedAt == trace.Unset {
			l.listedAt = a.At + a.Duration
		}
	}
	for _, t := range r.log.ClientAttempts {
		l := of(t.Sidecar, t.Due)
		if l == nil {
			continue
		}
		if l.firstRequestAt == trace.Unset {
			l.firstRequestAt = t.Due
		}
		if t.Status == trace.StatusServed && (l.firstServedAt == trace.Unset || t.Ended < l.firstServedAt) {
			l.firstServedAt = t.Ended
		}
	}
	return out
}

func (r *analysis) fleetLoad() *FleetLoad {
	out := &FleetLoad{PollCounts: []int{}, EndpointConnectionCounts: []int{}}
	for _, a := range r.log.Polls {
		out.Polls++
		if a.Outcome == trace.PollRejected {
			out.RejectedPolls++
		}
	}
	out.PollCounts = countPerInterval(len(r.log.Polls), func(i int) time.Duration { return r.log.Polls[i].At })
	for _, n := range out.PollCounts {
		out.MaxPolls = max(out.MaxPolls, n)
	}
	byBox := make([][]time.Duration, len(r.plan.Boxes))
	for _, d := range r.log.Connections {
		if d.Endpoint < 0 {
			out.DiscoveryConnections++
			continue
		}
		out.EndpointConnections++
		byBox[d.Endpoint] = append(byBox[d.Endpoint], d.At)
	}
	for _, all := range byBox {
		for k, n := range countPerInterval(len(all), func(i int) time.Duration { return all[i] }) {
			if k == len(out.EndpointConnectionCounts) {
				out.EndpointConnectionCounts = append(out.EndpointConnectionCounts, 0)
			}
			out.EndpointConnectionCounts[k] = max(out.EndpointConnectionCounts[k], n)
			out.MaxEndpointConnections = max(out.MaxEndpointConnections, n)
		}
	}
	var ready, listed, served []time.Duration
	for _, l := range r.processRuns() {
		add := func(to *[]time.Duration, never *int, at, from time.Duration) {
			switch {
			case at != trace.Unset:
				*to = append(*to, at-from)
			case l.endedAt == trace.Unset:
				*never++
			}
		}
		add(&ready, &out.NeverReady, l.readyAt, l.startedAt)
		add(&listed, &out.NeverListed, l.listedAt, l.startedAt)
		if l.firstRequestAt != trace.Unset {
			add(&served, &out.NeverServed, l.firstServedAt, max(l.startedAt, l.firstRequestAt))
		}
	}
	out.TimeToReady, out.TimeToEndpointList, out.TimeToFirstServed = quantilesOf(ready), quantilesOf(listed), quantilesOf(served)
	return out
}

// peak is the worst second of all boxes, of visits that began in a window; nil if there was none. Visits that are of no
// try, as probes are, don't count.
func (r *analysis) attemptPeak(from, to time.Duration) *AttemptPeak {
	type sent struct {
		at            time.Duration
		again, copied int
	}
	tries := make(map[uint64]bool, len(r.log.ClientAttempts))
	for i := range r.log.ClientAttempts {
		tries[r.log.ClientAttempts[i].TransactionID] = true
	}
	order := make([]*trace.EndpointRequest, 0, len(r.log.EndpointRequests))
	for i := range r.log.EndpointRequests {
		if v := &r.log.EndpointRequests[i]; tries[v.TransactionID] {
			order = append(order, v)
		}
	}
	slices.SortStableFunc(order, func(a, b *trace.EndpointRequest) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	open := make(map[uint64]time.Duration, len(tries)) // by try that has been sent: until when
	byBox := make([][]sent, len(r.plan.Boxes))
	for _, v := range order {
		s := sent{at: v.FirstByte}
		until, was := open[v.TransactionID]
		if was {
			s.again = 1
		}
		if v.FirstByte < until {
			s.copied = 1
		}
		ended := v.Ended
		if ended == trace.Unset {
			ended = maxDuration
		}
		open[v.TransactionID] = max(until, ended)
		if v.FirstByte >= from && v.FirstByte < to {
			byBox[v.Endpoint] = append(byBox[v.Endpoint], s)
		}
	}
	var out *AttemptPeak
	for box, all := range byBox {
		first, again, copied := 0, 0, 0
		for n, s := range all {
			again, copied = again+s.again, copied+s.copied
			for ; s.at-all[first].at >= time.Second; first++ {
				again, copied = again-all[first].again, copied-all[first].copied
			}
			if k := n + 1 - first; out == nil || k > out.Attempts {
				out = &AttemptPeak{Endpoint: r.plan.Boxes[box].Name, From: round(all[first].at.Seconds()), Attempts: k, Additional: again, Hedges: copied}
			}
		}
	}
	return out
}

// steps counts what has a time into intervals of 100 ms; what came before the run counts into the first.
func countPerInterval(n int, at func(int) time.Duration) []int {
	out := []int{}
	for i := range n {
		k := int(max(0, at(i)) / countInterval)
		for len(out) <= k {
			out = append(out, 0)
		}
		out[k]++
	}
	return out
}

func quantilesOf(all []time.Duration) *Quantiles {
	if len(all) == 0 {
		return nil
	}
	slices.Sort(all)
	at := func(share float64) float64 { return round(all[int(share*float64(len(all)-1))].Seconds()) }
	return &Quantiles{at(0.5), at(0.99), at(1)}
}

// measureFleetLoad is one of the measures of processes beside each other, in a window.
func (r *analysis) measureFleetLoad(what string, from, to time.Duration) (v float64, known bool) {
	calls, turned := []time.Duration{}, 0
	for _, a := range r.log.Polls {
		if a.At < from || a.At >= to {
			continue
		}
		calls = append(calls, a.At)
		if a.Outcome == trace.PollRejected {
			turned++
		}
	}
	most := func(all []time.Duration) (n int) {
		for _, k := range countPerInterval(len(all), func(i int) time.Duration { return all[i] }) {
			n = max(n, k)
		}
		return n
	}
	switch what {
	case "attempts_peak", "again_peak":
		p := r.attemptPeak(from, to)
		if p == nil {
			return 0, false
		}
		if what == "again_peak" {
			return float64(p.Additional), true
		}
		return float64(p.Attempts), true
	case "list_calls":
		return float64(len(calls)), true
	case "list_refused":
		return ratio(float64(turned), float64(len(calls))), len(calls) > 0
	case "list_peak":
		return float64(most(calls)), true
	case "list_dials", "handshakes":
		at := map[int][]time.Duration{}
		for _, d := range r.log.Connections {
			if d.At >= from && d.At < to {
				at[d.Endpoint] = append(at[d.Endpoint], d.At)
			}
		}
		if what == "list_dials" {
			return float64(len(at[-1])), true
		}
		n := 0
		for box, all := range at {
			if box >= 0 {
				n = max(n, most(all))
			}
		}
		return float64(n), true
	}
	// How long the slowest process could not: one that lives and never could counts until the end, one that ended before
	// it could until then.
	for _, l := range r.processRuns() {
		at, since := l.readyAt, max(l.startedAt, from)
		switch what {
		case "unlisted":
			at = l.listedAt
		case "unserving":
			if at, since = l.firstServedAt, max(l.startedAt, l.firstRequestAt, from); l.firstRequestAt == trace.Unset {
				continue
			}
		}
		if at == trace.Unset {
			at = l.endedAt
		}
		if at == trace.Unset {
			at = r.log.End
		}
		v = max(v, min(at, to, r.log.End).Seconds()-since.Seconds())
	}
	return round(v), len(r.log.SidecarEvents) > 0
}
