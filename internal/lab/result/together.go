package result

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// step is the interval of the counts of calls and connections.
const step = 100 * time.Millisecond

// Together is how the processes behaved towards each other: what the list service was asked, how many connections came to
// a box at once, and how long sidecars could not serve. Counts are of the whole run; null where there was nothing.
type Together struct {
	Calls   int     `json:"list_calls"`
	Turned  int     `json:"list_turned"`     // calls beyond the service's capacity
	Dials   int     `json:"list_dials"`      // connections to it
	Peak    int     `json:"list_peak"`       // most calls in 100 ms
	Steps   []int   `json:"list_steps"`      // calls in each 100 ms
	AtBox   int     `json:"handshakes"`      // most new connections at one box in 100 ms
	Opened  []int   `json:"handshake_steps"` // the same of each 100 ms
	Total   int     `json:"box_dials"`       // connections at boxes
	Ready   *Spread `json:"ready"`           // from a process's start until it took clients
	Listed  *Spread `json:"listed"`          // until it had a list from the service
	Served  *Spread `json:"served_first"`    // until the first request was served, from the start or from its being asked, if later
	Unready int     `json:"never_ready"`     // sidecars whose last process, alive at the end, never took clients
	Unheard int     `json:"never_listed"`    // or never had a list from the service
	Unfed   int     `json:"never_served"`    // or were asked and served nothing
}

// Peak is the second in which a box was sent the most attempts, of all boxes and all intervals of that length. Of its
// attempts, Again are those that are not the first of their try: what is tried again, and copies. Copies are those of
// Again that began while another attempt of the try was open. Trials of a box that was left out are clients' tries as well.
type Peak struct {
	Box      string  `json:"box"`
	From     float64 `json:"from_s"`
	Attempts int     `json:"attempts"`
	Again    int     `json:"again"`
	Copies   int     `json:"copies"`
}

// Spread is seconds, over processes.
type Spread struct {
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
	Max float64 `json:"max_s"`
}

// lifeOf is one process of a sidecar: times in which what a figure names came, None if never.
type lifeOf struct {
	sidecar             int
	begun, over         time.Duration
	able, listed, asked time.Duration
	served              time.Duration
}

// processes are the lives of all sidecars' processes. A second process of an upgrade is not a life of its own.
func (r *run) processes() []lifeOf {
	var out []lifeOf
	last := map[int]int{} // by sidecar, into out
	for _, c := range r.log.SidecarEvents {
		at, had := last[c.Sidecar]
		switch c.Kind {
		case trace.SidecarStarted:
			last[c.Sidecar] = len(out)
			out = append(out, lifeOf{sidecar: c.Sidecar, begun: c.At, over: trace.Unset, able: trace.Unset, listed: trace.Unset, asked: trace.Unset, served: trace.Unset})
		case trace.SidecarReady:
			if had && out[at].able == trace.Unset {
				out[at].able = c.At
			}
		case trace.SidecarKilled, trace.SidecarStopping, trace.SidecarCrashed, trace.SidecarExited:
			if had && out[at].over == trace.Unset {
				out[at].over = c.At
			}
		}
	}
	of := func(sidecar int, at time.Duration) *lifeOf {
		for i := range out {
			if l := &out[i]; l.sidecar == sidecar && l.begun <= at && (l.over == trace.Unset || at <= l.over) {
				return l
			}
		}
		return nil
	}
	for _, a := range r.log.Polls {
		if l := of(a.Sidecar, a.At); l != nil && a.Outcome == trace.PollAnswered && l.listed == trace.Unset {
			l.listed = a.At + a.Duration
		}
	}
	for _, t := range r.log.ClientAttempts {
		l := of(t.Sidecar, t.Due)
		if l == nil {
			continue
		}
		if l.asked == trace.Unset {
			l.asked = t.Due
		}
		if t.Status == trace.StatusServed && (l.served == trace.Unset || t.Ended < l.served) {
			l.served = t.Ended
		}
	}
	return out
}

func (r *run) together() *Together {
	out := &Together{Steps: []int{}, Opened: []int{}}
	for _, a := range r.log.Polls {
		out.Calls++
		if a.Outcome == trace.PollRejected {
			out.Turned++
		}
	}
	out.Steps = steps(len(r.log.Polls), func(i int) time.Duration { return r.log.Polls[i].At })
	for _, n := range out.Steps {
		out.Peak = max(out.Peak, n)
	}
	byBox := make([][]time.Duration, len(r.plan.Endpoints))
	for _, d := range r.log.Connections {
		if d.Endpoint < 0 {
			out.Dials++
			continue
		}
		out.Total++
		byBox[d.Endpoint] = append(byBox[d.Endpoint], d.At)
	}
	for _, all := range byBox {
		for k, n := range steps(len(all), func(i int) time.Duration { return all[i] }) {
			if k == len(out.Opened) {
				out.Opened = append(out.Opened, 0)
			}
			out.Opened[k] = max(out.Opened[k], n)
			out.AtBox = max(out.AtBox, n)
		}
	}
	var ready, listed, served []time.Duration
	for _, l := range r.processes() {
		add := func(to *[]time.Duration, never *int, at, from time.Duration) {
			switch {
			case at != trace.Unset:
				*to = append(*to, at-from)
			case l.over == trace.Unset:
				*never++
			}
		}
		add(&ready, &out.Unready, l.able, l.begun)
		add(&listed, &out.Unheard, l.listed, l.begun)
		if l.asked != trace.Unset {
			add(&served, &out.Unfed, l.served, max(l.begun, l.asked))
		}
	}
	out.Ready, out.Listed, out.Served = spreadOf(ready), spreadOf(listed), spreadOf(served)
	return out
}

// peak is the worst second of all boxes, of visits that began in a window; nil if there was none. Visits that are of no
// try, as probes are, don't count.
func (r *run) peak(from, to time.Duration) *Peak {
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
	byBox := make([][]sent, len(r.plan.Endpoints))
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
			ended = longest
		}
		open[v.TransactionID] = max(until, ended)
		if v.FirstByte >= from && v.FirstByte < to {
			byBox[v.Endpoint] = append(byBox[v.Endpoint], s)
		}
	}
	var out *Peak
	for box, all := range byBox {
		first, again, copied := 0, 0, 0
		for n, s := range all {
			again, copied = again+s.again, copied+s.copied
			for ; s.at-all[first].at >= time.Second; first++ {
				again, copied = again-all[first].again, copied-all[first].copied
			}
			if k := n + 1 - first; out == nil || k > out.Attempts {
				out = &Peak{Box: r.plan.Endpoints[box].Name, From: tidy(all[first].at.Seconds()), Attempts: k, Again: again, Copies: copied}
			}
		}
	}
	return out
}

// steps counts what has a time into intervals of 100 ms; what came before the run counts into the first.
func steps(n int, at func(int) time.Duration) []int {
	out := []int{}
	for i := range n {
		k := int(max(0, at(i)) / step)
		for len(out) <= k {
			out = append(out, 0)
		}
		out[k]++
	}
	return out
}

func spreadOf(all []time.Duration) *Spread {
	if len(all) == 0 {
		return nil
	}
	slices.Sort(all)
	at := func(share float64) float64 { return tidy(all[int(share*float64(len(all)-1))].Seconds()) }
	return &Spread{at(0.5), at(0.99), at(1)}
}

// measureTogether is one of the measures of processes beside each other, in a window.
func (r *run) measureTogether(what string, from, to time.Duration) (v float64, known bool) {
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
		for _, k := range steps(len(all), func(i int) time.Duration { return all[i] }) {
			n = max(n, k)
		}
		return n
	}
	switch what {
	case "attempts_peak", "again_peak":
		p := r.peak(from, to)
		if p == nil {
			return 0, false
		}
		if what == "again_peak" {
			return float64(p.Again), true
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
	for _, l := range r.processes() {
		at, since := l.able, max(l.begun, from)
		switch what {
		case "unlisted":
			at = l.listed
		case "unserving":
			if at, since = l.served, max(l.begun, l.asked, from); l.asked == trace.Unset {
				continue
			}
		}
		if at == trace.Unset {
			at = l.over
		}
		if at == trace.Unset {
			at = r.log.End
		}
		v = max(v, min(at, to, r.log.End).Seconds()-since.Seconds())
	}
	return tidy(v), len(r.log.SidecarEvents) > 0
}
