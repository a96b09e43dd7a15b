package calibration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// neverEnds is the end of what has none.
const neverEnds = time.Duration(1<<63 - 1)

// history is what all records have together, on one clock: times count from start.
type history struct {
	start           time.Time
	end             time.Duration   // of the last request or update
	settings        config.Settings // the first run's
	site            string
	limits          config.Limits
	names           []string     // of the sidecars, by rank
	sidecarRuns     []sidecarRun // of the sidecars
	endpoints       []endpoint
	requests        []request // by their arrivals
	attempts        []attempt // by endpoint, and then by their starts
	notes           []string
	missingRequests int // requests that the records say they lack
}

// sidecarRun is one run of a sidecar's process.
type sidecarRun struct {
	sidecar  int
	from, to time.Duration
}

// endpoint is a host that discovery or an attempt names.
type endpoint struct {
	name, kind               string
	firstAttempt, endAttempt int // indexes of its attempts: from the first to before the end
	updates                  []listUpdate
	starts                   []time.Duration // within the record, by discovery
	absent                   bool            // it did not run at first
	edges                    []attemptEdge   // see history.edges
}

// listUpdate is what a sidecar was notified of an endpoint.
type listUpdate struct {
	at        time.Duration
	sidecar   int
	state     balance.Availability
	startedAt time.Duration // 0 is before the record
}

type request struct {
	arrival, timeout, duration time.Duration
	class, sidecar             int
	outcome                    stream.Outcome
	attempts                   int
}

// attempt is an upstream attempt at an endpoint.
type attempt struct {
	endpoint, class int
	started, ended  time.Duration
	status          balance.Status
	lost            bool // its endpoint accepted it and would never have responded
	lostRace        bool // another attempt of its request had the response
}

// mergeRecords makes a history of records.
func mergeRecords(records []*accesslog.Record) (*history, error) {
	v := &history{start: startOf(records...)}
	if v.start.IsZero() {
		return nil, newRecordError("no record holds a run")
	}
	hosts, known := map[string]int{}, map[string]int{}
	classes := map[string]int{}
	for _, r := range records {
		for _, run := range r.Runs {
			if err := v.addSettings(run, classes, known); err != nil {
				return nil, err
			}
		}
	}
	for _, r := range records {
		if r.Truncated || r.Skipped > 0 {
			v.addNote("the record is cut off: %d lines that are not whole were left out", r.Skipped+boolToInt(r.Truncated))
		}
		for _, run := range r.Runs {
			v.addRun(run, known[run.Header.Name], classes, hosts)
		}
	}
	slices.SortStableFunc(v.requests, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	v.sortEndpoints()
	if v.missingRequests > 0 {
		v.addNote("%d of the streams are missing from the record (%.1f%%): their load is not played, so the hosts seem slower than they were",
			v.missingRequests, 100*float64(v.missingRequests)/float64(v.missingRequests+len(v.requests)))
	}
	return v, nil
}

// addSettings takes over a run's settings and numbers its sidecar.
func (v *history) addSettings(run *accesslog.Run, classes, known map[string]int) error {
	h := &run.Header
	if v.names == nil {
		v.settings, v.site, v.limits = h.Settings, h.Site, h.Limits
		for i, name := range h.Settings.ClassNames {
			classes[name] = i
		}
	}
	if h.Settings.Tier != v.settings.Tier {
		return newRecordError("%s sends to tier %d and %s to tier %d: rehearse one tier's records at a time",
			v.names[0], v.settings.Tier, h.Name, h.Settings.Tier)
	}
	for _, name := range h.Settings.ClassNames {
		if _, is := classes[name]; !is {
			return newRecordError("%s has the class %q, which %s lacks", h.Name, name, v.names[0])
		}
	}
	if _, is := known[h.Name]; !is {
		known[h.Name] = len(v.names)
		v.names = append(v.names, h.Name)
	}
	return nil
}

// addRun adds one run: its list updates, requests and attempts.
func (v *history) addRun(run *accesslog.Run, sidecar int, classes, hosts map[string]int) {
	offset := run.Header.Start.Sub(v.start)
	find := func(name string) int {
		i, is := hosts[name]
		if !is {
			i = len(v.endpoints)
			hosts[name] = i
			v.endpoints = append(v.endpoints, endpoint{name: name})
		}
		return i
	}
	l := sidecarRun{sidecar: sidecar, from: offset, to: offset}
	wall := v.start.Sub(time.Unix(0, 0))
	for _, c := range run.Cluster {
		at := offset + c.At
		l.to = max(l.to, at)
		listed := map[int]bool{}
		for _, m := range c.Hosts {
			i := find(m.ID)
			h := &v.endpoints[i]
			listed[i] = true
			update := listUpdate{at: at, sidecar: sidecar, state: m.State}
			if m.State != balance.Gone {
				h.kind = cmp.Or(m.Kind, h.kind)
				if update.startedAt = max(m.UpSince-wall, 0); update.startedAt > 0 && !slices.Contains(h.starts, update.startedAt) {
					h.starts = append(h.starts, update.startedAt)
				}
			}
			h.updates = append(h.updates, update)
		}
		for i := range v.endpoints { // an endpoint that a full list lacks is gone
			h := &v.endpoints[i]
			if k := len(h.updates); c.List != accesslog.Change && !listed[i] && k > 0 && h.updates[k-1].state != balance.Gone {
				h.updates = append(h.updates, listUpdate{at: at, sidecar: sidecar, state: balance.Gone})
			}
		}
	}
	for _, lost := range run.Lost {
		v.missingRequests += lost.Rate + lost.Sink + lost.Open
	}
	for i := range run.Streams {
		s := &run.Streams[i]
		class := classes[run.Header.Settings.ClassNames[s.Class]]
		at := offset + s.Arrival
		l.to = max(l.to, at+s.Answered)
		v.requests = append(v.requests, request{arrival: at, timeout: s.Left, duration: s.Answered, class: class, sidecar: sidecar,
			outcome: s.End, attempts: len(s.Attempts)})
		won := slices.ContainsFunc(s.Attempts, func(a accesslog.Attempt) bool { return a.Status == balance.OK })
		for _, a := range s.Attempts {
			if a.Status == balance.Moot { // it was not sent
				continue
			}
			v.attempts = append(v.attempts, attempt{endpoint: find(a.Host), class: class, started: at + a.Began, ended: at + a.Began + a.Took,
				status: a.Status, lostRace: won && a.Status != balance.OK})
			l.to = max(l.to, at+a.Began+a.Took)
		}
	}
	v.end = max(v.end, l.to)
	v.sidecarRuns = append(v.sidecarRuns, l)
}

// sortEndpoints numbers the endpoints by name, with numbers in their order, and sorts what is theirs. Endpoints that were
// gone before the start and never came back are left out.
func (v *history) sortEndpoints() {
	firstSent := make([]time.Duration, len(v.endpoints)) // first
	for i := range firstSent {
		firstSent[i] = neverEnds
	}
	for i := range v.attempts {
		a := &v.attempts[i]
		firstSent[a.endpoint] = min(firstSent[a.endpoint], a.started)
	}
	var places []int
	for i := range v.endpoints {
		h := &v.endpoints[i]
		slices.Sort(h.starts)
		slices.SortStableFunc(h.updates, func(a, b listUpdate) int { return cmp.Compare(a.at, b.at) })
		there := h.upAtStart() || firstSent[i] < neverEnds && (len(h.starts) == 0 || firstSent[i] < h.starts[0])
		if h.absent = !there; there || len(h.starts) > 0 {
			places = append(places, i)
		}
	}
	slices.SortFunc(places, func(a, b int) int { return compareNatural(v.endpoints[a].name, v.endpoints[b].name) })
	sorted, to := make([]endpoint, len(places)), make([]int, len(v.endpoints))
	for i, from := range places {
		sorted[i], to[from] = v.endpoints[from], i
	}
	v.endpoints = sorted
	for i := range v.attempts {
		v.attempts[i].endpoint = to[v.attempts[i].endpoint]
	}
	slices.SortStableFunc(v.attempts, func(a, b attempt) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.started, b.started))
	})
	for i, a := range v.attempts {
		h := &v.endpoints[a.endpoint]
		if h.endAttempt == 0 {
			h.firstAttempt = i
		}
		h.endAttempt = i + 1
	}
}

// upAtStart reports whether an endpoint ran at time 0 by discovery: by its last update before that or, if there was none,
// by whether it had been up when it was first named.
func (h *endpoint) upAtStart() bool {
	is := false
	for i, l := range h.updates {
		if l.at > 0 && i > 0 {
			break
		}
		is = l.state != balance.Gone && l.startedAt == 0
	}
	return is
}

// attemptsOf returns an endpoint's attempts, in the order of their starts.
func (v *history) attemptsOf(endpointIndex int) []attempt {
	return v.attempts[v.endpoints[endpointIndex].firstAttempt:v.endpoints[endpointIndex].endAttempt]
}

func (v *history) addNote(format string, args ...any) {
	v.notes = append(v.notes, fmt.Sprintf(format, args...))
}

// compareNatural compares names so that "box-9" comes before "box-10".
func compareNatural(a, b string) int {
	cut := func(s string) (string, string) {
		n := strings.TrimRight(s, "0123456789")
		return n, s[len(n):]
	}
	aWord, aNumber := cut(a)
	bWord, bNumber := cut(b)
	return cmp.Or(strings.Compare(aWord, bWord), cmp.Compare(len(aNumber), len(bNumber)), strings.Compare(aNumber, bNumber))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
