package calibration

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// never is the time of what does not happen.
const never = time.Duration(1<<63 - 1)

// view is what all records say together, on one clock: times count from zero.
type view struct {
	zero     time.Time
	end      time.Duration   // when the last of it was over
	settings config.Settings // the first run's
	site     string
	limits   config.Limits
	names    []string // of the sidecars, by rank
	lives    []life   // of the sidecars
	hosts    []host
	streams  []seenStream // by arrival
	attempts []attempt    // by host, and then by their beginning
	notes    []string
	missing  int // streams that the records say they lack
}

// life is one run of a sidecar.
type life struct {
	sidecar  int
	from, to time.Duration
}

// host is one server that discovery or an attempt names.
type host struct {
	name, kind  string
	first, last int // its attempts
	listed      []listing
	starts      []time.Duration // within the record, by discovery's word
	absent      bool            // it was not there at first
	edges       []edge          // see view.edges
}

// listing is what a sidecar was told of a host.
type listing struct {
	at      time.Duration
	sidecar int
	state   balance.Availability
	up      time.Duration // its start, within the record; 0 is before
}

type seenStream struct {
	at, left, after time.Duration
	class, sidecar  int
	end             stream.Outcome
	attempts        int
}

// attempt is one that reached for a host.
type attempt struct {
	host, class  int
	began, ended time.Duration
	status       balance.Status
	lost         bool // its host took it and was not going to answer
	beaten       bool // another attempt of its stream was answered first
}

// look puts records together.
func look(records []*accesslog.Recording) (*view, error) {
	v := &view{zero: start(records...)}
	if v.zero.IsZero() {
		return nil, errors.New("rehearse: no record holds a run")
	}
	hosts, known := map[string]int{}, map[string]int{}
	classes := map[string]int{}
	for _, r := range records {
		for _, run := range r.Runs {
			if err := v.settle(run, classes, known); err != nil {
				return nil, err
			}
		}
	}
	for _, r := range records {
		if r.Truncated || r.Skipped > 0 {
			v.note("the record is cut off: %d lines that are not whole were left out", r.Skipped+b2i(r.Truncated))
		}
		for _, run := range r.Runs {
			v.run(run, known[run.Header.Name], classes, hosts)
		}
	}
	slices.SortStableFunc(v.streams, func(a, b seenStream) int { return cmp.Compare(a.at, b.at) })
	v.order()
	if v.missing > 0 {
		v.note("%d of the streams are missing from the record (%.1f%%): their load is not played, so the hosts seem slower than they were",
			v.missing, 100*float64(v.missing)/float64(v.missing+len(v.streams)))
	}
	return v, nil
}

// settle takes over a run's settings and numbers its sidecar.
func (v *view) settle(run *accesslog.Run, classes, known map[string]int) error {
	h := &run.Header
	if v.names == nil {
		v.settings, v.site, v.limits = h.Settings, h.Site, h.Limits
		for i, name := range h.Settings.ClassNames {
			classes[name] = i
		}
	}
	if h.Settings.Tier != v.settings.Tier {
		return fmt.Errorf("rehearse: %s sends to tier %d and %s to tier %d: rehearse one tier's records at a time",
			v.names[0], v.settings.Tier, h.Name, h.Settings.Tier)
	}
	for _, name := range h.Settings.ClassNames {
		if _, is := classes[name]; !is {
			return fmt.Errorf("rehearse: %s has the class %q, which %s lacks", h.Name, name, v.names[0])
		}
	}
	if _, is := known[h.Name]; !is {
		known[h.Name] = len(v.names)
		v.names = append(v.names, h.Name)
	}
	return nil
}

// run adds one run.
func (v *view) run(run *accesslog.Run, sidecar int, classes, hosts map[string]int) {
	offset := run.Header.Start.Sub(v.zero)
	find := func(name string) int {
		i, is := hosts[name]
		if !is {
			i = len(v.hosts)
			hosts[name] = i
			v.hosts = append(v.hosts, host{name: name})
		}
		return i
	}
	l := life{sidecar: sidecar, from: offset, to: offset}
	wall := v.zero.Sub(time.Unix(0, 0))
	for _, c := range run.Lists {
		at := offset + c.At
		l.to = max(l.to, at)
		listed := map[int]bool{}
		for _, m := range c.Hosts {
			i := find(m.ID)
			h := &v.hosts[i]
			listed[i] = true
			told := listing{at: at, sidecar: sidecar, state: m.State}
			if m.State != balance.Gone {
				h.kind = cmp.Or(m.Kind, h.kind)
				if told.up = max(m.UpSince-wall, 0); told.up > 0 && !slices.Contains(h.starts, told.up) {
					h.starts = append(h.starts, told.up)
				}
			}
			h.listed = append(h.listed, told)
		}
		for i := range v.hosts { // a whole list that lacks a host says that it has gone
			h := &v.hosts[i]
			if k := len(h.listed); c.Kind != accesslog.ListDelta && !listed[i] && k > 0 && h.listed[k-1].state != balance.Gone {
				h.listed = append(h.listed, listing{at: at, sidecar: sidecar, state: balance.Gone})
			}
		}
	}
	for _, lost := range run.Losses {
		v.missing += lost.Rate + lost.Sink + lost.Open
	}
	for i := range run.Streams {
		s := &run.Streams[i]
		class := classes[run.Header.Settings.ClassNames[s.Class]]
		at := offset + s.Arrival
		l.to = max(l.to, at+s.Answered)
		v.streams = append(v.streams, seenStream{at: at, left: s.TimeLeft, after: s.Answered, class: class, sidecar: sidecar,
			end: s.Outcome, attempts: len(s.Attempts)})
		won := slices.ContainsFunc(s.Attempts, func(a accesslog.Attempt) bool { return a.Status == balance.OK })
		for _, a := range s.Attempts {
			if a.Status == balance.NotSent { // never sent
				continue
			}
			v.attempts = append(v.attempts, attempt{host: find(a.Host), class: class, began: at + a.StartedAfter, ended: at + a.StartedAfter + a.Duration,
				status: a.Status, beaten: won && a.Status != balance.OK})
			l.to = max(l.to, at+a.StartedAfter+a.Duration)
		}
	}
	v.end = max(v.end, l.to)
	v.lives = append(v.lives, l)
}

// order numbers the hosts by name, in the order of numbers within it, and sorts what is theirs. Hosts that were
// gone before the rehearsal's start and never came back are left out.
func (v *view) order() {
	asked := make([]time.Duration, len(v.hosts)) // first
	for i := range asked {
		asked[i] = never
	}
	for i := range v.attempts {
		a := &v.attempts[i]
		asked[a.host] = min(asked[a.host], a.began)
	}
	var places []int
	for i := range v.hosts {
		h := &v.hosts[i]
		slices.Sort(h.starts)
		slices.SortStableFunc(h.listed, func(a, b listing) int { return cmp.Compare(a.at, b.at) })
		there := h.atFirst() || asked[i] < never && (len(h.starts) == 0 || asked[i] < h.starts[0])
		if h.absent = !there; there || len(h.starts) > 0 {
			places = append(places, i)
		}
	}
	slices.SortFunc(places, func(a, b int) int { return natural(v.hosts[a].name, v.hosts[b].name) })
	sorted, to := make([]host, len(places)), make([]int, len(v.hosts))
	for i, from := range places {
		sorted[i], to[from] = v.hosts[from], i
	}
	v.hosts = sorted
	for i := range v.attempts {
		v.attempts[i].host = to[v.attempts[i].host]
	}
	slices.SortStableFunc(v.attempts, func(a, b attempt) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.began, b.began))
	})
	for i, a := range v.attempts {
		h := &v.hosts[a.host]
		if h.last == 0 {
			h.first = i
		}
		h.last = i + 1
	}
}

// atFirst tells whether discovery's words have a host running at time 0: what it said last before that or,
// where that was nothing, whether the host was up since before when it was first named.
func (h *host) atFirst() bool {
	is := false
	for i, l := range h.listed {
		if l.at > 0 && i > 0 {
			break
		}
		is = l.state != balance.Gone && l.up == 0
	}
	return is
}

// of are a host's attempts, in the order of their beginning.
func (v *view) of(host int) []attempt { return v.attempts[v.hosts[host].first:v.hosts[host].last] }

func (v *view) note(format string, args ...any) {
	v.notes = append(v.notes, fmt.Sprintf(format, args...))
}

// natural compares names so that "box-9" comes before "box-10".
func natural(a, b string) int {
	cut := func(s string) (string, string) {
		n := strings.TrimRight(s, "0123456789")
		return n, s[len(n):]
	}
	aWord, aNumber := cut(a)
	bWord, bNumber := cut(b)
	return cmp.Or(strings.Compare(aWord, bWord), cmp.Compare(len(aNumber), len(bNumber)), strings.Compare(aNumber, bNumber))
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
