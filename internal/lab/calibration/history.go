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
	state     balance.Availability
	startedAt time.Duration // 0 is before the record
}

// request is a request of a client at a sidecar.
type request struct {
	arrival  time.Duration
	duration time.Duration // until its response or its end without one
	class    int
	outcome  stream.Outcome
}

// attempt is an upstream attempt at an endpoint.
type attempt struct {
	endpoint, class int
	started, ended  time.Duration
	status          balance.Status
	lost            bool // its endpoint accepted it and would never have responded
	lostRace        bool // another attempt of its request had the response
}

// recordMerger merges records into a history, and has the indexes of what records name.
type recordMerger struct {
	*history
	classIndexes, sidecarIndexes, endpointIndexes map[string]int
}

// mergeRecords makes a history of records. Records without a run, of several tiers, or with other classes than the first
// one's are a *RecordError.
func mergeRecords(records []*accesslog.Recording) (*history, error) {
	v := &history{start: startOf(records...)}
	if v.start.IsZero() {
		return nil, newRecordError("no record holds a run")
	}
	m := recordMerger{history: v, classIndexes: map[string]int{}, sidecarIndexes: map[string]int{}, endpointIndexes: map[string]int{}}
	for _, r := range records {
		for _, run := range r.Runs {
			if err := m.addSettings(run); err != nil {
				return nil, err
			}
		}
	}
	for _, r := range records {
		if r.Truncated || r.Skipped > 0 {
			v.addNote("the record is cut off: %d lines that are not whole were left out", r.Skipped+boolToInt(r.Truncated))
		}
		for _, run := range r.Runs {
			m.addRun(run)
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
func (m *recordMerger) addSettings(run *accesslog.Run) error {
	h := &run.Header
	if m.names == nil {
		m.settings, m.limits = h.Settings, h.Limits
		for i, name := range h.Settings.ClassNames {
			m.classIndexes[name] = i
		}
	}
	if h.Settings.Tier != m.settings.Tier {
		return newRecordError("%s sends to tier %d and %s to tier %d: rehearse one tier's records at a time",
			m.names[0], m.settings.Tier, h.Name, h.Settings.Tier)
	}
	for _, name := range h.Settings.ClassNames {
		if _, known := m.classIndexes[name]; !known {
			return newRecordError("%s has the class %q, which %s lacks", h.Name, name, m.names[0])
		}
	}
	if _, known := m.sidecarIndexes[h.Name]; !known {
		m.sidecarIndexes[h.Name] = len(m.names)
		m.names = append(m.names, h.Name)
	}
	return nil
}

// endpointIndex returns the index of a named endpoint, which is added if it is new.
func (m *recordMerger) endpointIndex(name string) int {
	i, known := m.endpointIndexes[name]
	if !known {
		i = len(m.endpoints)
		m.endpointIndexes[name] = i
		m.endpoints = append(m.endpoints, endpoint{name: name})
	}
	return i
}

// addRun adds one run: its list updates, requests and attempts.
func (m *recordMerger) addRun(run *accesslog.Run) {
	offset := run.Header.Start.Sub(m.start)
	added := sidecarRun{sidecar: m.sidecarIndexes[run.Header.Name], from: offset, to: offset}
	for i := range run.Lists {
		update := &run.Lists[i]
		added.to = max(added.to, offset+update.At)
		m.addListUpdate(update, offset+update.At)
	}
	for _, lost := range run.Losses {
		m.missingRequests += lost.Rate + lost.Sink + lost.Open
	}
	for i := range run.Streams {
		s := &run.Streams[i]
		added.to = max(added.to, m.addRequest(s, m.classIndexes[run.Header.Settings.ClassNames[s.Class]], offset+s.Arrival))
	}
	m.end = max(m.end, added.to)
	m.sidecarRuns = append(m.sidecarRuns, added)
}

// addListUpdate adds an update of a sidecar's list at a time. An endpoint that a full list lacks is gone.
func (m *recordMerger) addListUpdate(list *accesslog.EndpointList, at time.Duration) {
	wall := m.start.Sub(time.Unix(0, 0))
	listed := map[int]bool{}
	for _, member := range list.Hosts {
		i := m.endpointIndex(member.ID)
		e := &m.endpoints[i]
		listed[i] = true
		update := listUpdate{at: at, state: member.State}
		if member.State != balance.Removed {
			e.kind = cmp.Or(member.Kind, e.kind)
			update.startedAt = max(member.UpSince-wall, 0)
			if update.startedAt > 0 && !slices.Contains(e.starts, update.startedAt) {
				e.starts = append(e.starts, update.startedAt)
			}
		}
		e.updates = append(e.updates, update)
	}
	if list.Kind == accesslog.ListDelta {
		return
	}
	for i := range m.endpoints {
		e := &m.endpoints[i]
		if n := len(e.updates); !listed[i] && n > 0 && e.updates[n-1].state != balance.Removed {
			e.updates = append(e.updates, listUpdate{at: at, state: balance.Removed})
		}
	}
}

// addRequest adds a request that arrived at a time, with its attempts, and returns the time of its last event.
func (m *recordMerger) addRequest(s *accesslog.Stream, class int, at time.Duration) (last time.Duration) {
	m.requests = append(m.requests, request{arrival: at, duration: s.Answered, class: class, outcome: s.Outcome})
	last = at + s.Answered
	won := slices.ContainsFunc(s.Attempts, func(a accesslog.Attempt) bool { return a.Status == balance.OK })
	for _, a := range s.Attempts {
		if a.Status == balance.NotSent { // it was not sent
			continue
		}
		started := at + a.StartedAfter
		m.attempts = append(m.attempts, attempt{
			endpoint: m.endpointIndex(a.Host),
			class:    class,
			started:  started,
			ended:    started + a.Duration,
			status:   a.Status,
			lostRace: won && a.Status != balance.OK,
		})
		last = max(last, started+a.Duration)
	}
	return last
}

// sortEndpoints numbers the endpoints by name, with numbers in their order, and sorts what is theirs. Endpoints that were
// gone before the start and never came back are left out.
func (v *history) sortEndpoints() {
	firstSent := make([]time.Duration, len(v.endpoints))
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
		is = l.state != balance.Removed && l.startedAt == 0
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
