package audit

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

// dirReadInterval is how often an unreachable sidecar's directory is read: its process may still be writing.
const dirReadInterval = 10 * time.Second

// sidecarRecord is what is kept of a sidecar's last answer. It is stored: the JSON names stay.
type sidecarRecord struct {
	Report         *auditlog.Report `json:"Report"` // without its entries
	LastAnswer     version.Millis   `json:"Seen"`
	UnreachedSince version.Millis   `json:"Lost"` // 0: it was reached
	lastDuration   time.Duration
	dirReadAt      time.Time // when its directory was
}

// Audit audits a fleet, round after round.
type Audit struct {
	options      Options
	client       *Client
	auditor      *version.Auditor // nil: no sidecar has been reached yet
	history      History
	site         string
	epoch        uint64 // the highest one known, until there is an auditor
	round        int
	dirFaults    map[string]string // why directories could not be read, by sidecar
	start        time.Time
	now          time.Duration // the time of the round's decisions
	records      map[string]*sidecarRecord
	unlistedDirs map[string]string // of sidecars that aren't in the inventory; not yet read
}

// New returns an audit that knows nothing yet. The caller closes it.
func New(o Options) *Audit {
	a := &Audit{
		options:      o,
		client:       NewClient(o.Concurrency, o.Timeout),
		site:         o.Site,
		start:        time.Now(),
		records:      map[string]*sidecarRecord{},
		dirFaults:    map[string]string{},
		unlistedDirs: maps.Clone(o.Dirs),
	}
	for i := range o.Inventory.Sidecars {
		if s := &o.Inventory.Sidecars[i]; o.Dirs[s.Name] != "" {
			s.Dir = o.Dirs[s.Name]
			delete(a.unlistedDirs, s.Name)
		}
	}
	return a
}

// Close closes the client's idle connections.
func (a *Audit) Close() { a.client.Close() }

// monotonicNow returns a monotonic time that includes suspension or, where the machine has none, one that doesn't.
func (a *Audit) monotonicNow() time.Duration {
	if c := persistence.Now(); c.Up > 0 {
		return c.Up
	}
	return time.Since(a.start)
}

// Round polls all sidecars once, decides, sends the orders that follow, and returns the findings. An error says that ctx was
// done before: what was received until then is kept, and shown nowhere.
func (a *Audit) Round(ctx context.Context) (*View, error) {
	roundStart, base := time.Now(), a.monotonicNow()
	at := func(t time.Time) time.Duration { return base + t.Sub(roundStart) }
	a.round++
	reference := a.reference(ctx, base)
	listed := a.options.Inventory.Sidecars
	requests := make([]Request, len(listed))
	for i, s := range listed {
		requests[i] = a.request(s, nil)
	}
	answers := a.client.Do(ctx, requests)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	wall := time.Now()
	a.now = max(a.monotonicNow(), at(wall))
	result, faults := a.decide(requests, answers, reference, at, wall)
	orderErrors := a.sendOrders(ctx, millis(wall), &result)
	v := a.view(answers, &result, wall)
	for i := range v.Rows {
		v.Rows[i].OrderError = orderErrors[v.Rows[i].Name]
	}
	v.InventoryFaults, v.Duration = faults, version.Millis(time.Since(roundStart).Milliseconds())
	return v, nil
}

// decide merges the answers, and decides at the time a.now. At converts a time to that clock.
func (a *Audit) decide(requests []Request, answers []Answer, reference *version.Reference, at func(time.Time) time.Duration,
	wall time.Time) (result version.RoundResult, faults []string) {
	if a.site == "" {
		a.site = mostCommon(answers, func(r *auditlog.Report) string { return r.Site })
	}
	faults = slices.Concat(a.options.Inventory.Faults, a.inventoryFaults(answers))
	a.mergeAnswers(requests, answers)
	a.readDirs(answers)
	for _, name := range slices.Sorted(maps.Keys(a.dirFaults)) {
		faults = append(faults, a.dirFaults[name])
	}
	if a.options.List == "" {
		reference.List, reference.RequestedAt = a.newestList(answers), a.now
	}
	if a.auditor == nil && a.site != "" {
		a.auditor = version.NewAuditor(a.options.rules(a.site), a.epoch)
	}
	if a.auditor == nil {
		return version.RoundResult{}, faults
	}
	observations := make([]version.Observation, len(answers))
	for i := range answers {
		observations[i] = a.observation(&a.options.Inventory.Sidecars[i], &answers[i], at(answers[i].ReceivedAt))
	}
	result = a.auditor.Round(a.now, time.Duration(wall.UnixNano()), observations, reference)
	a.epoch = a.auditor.Epoch()
	return result, faults
}

// request returns the request to a sidecar, with an order if there is one.
func (a *Audit) request(s Sidecar, o *version.Order) Request {
	since, sum := a.history.Since(s.Name)
	return Request{Addr: s.Addr, Since: since, Sum: sum, LastDuration: a.record(s.Name).lastDuration, Order: o}
}

// reference returns what the sidecars have to act on; nil where the list service doesn't answer, so that the last one stays.
func (a *Audit) reference(ctx context.Context, now time.Duration) *version.Reference {
	d := &version.Reference{RequestedAt: now, Settings: a.options.Settings, File: a.options.File, Builds: a.options.Builds}
	if a.options.List == "" {
		return d
	}
	out := time.Now()
	list, err := a.client.List(ctx, a.options.List)
	if err != nil {
		return nil
	}
	a.history.Published(millis(out), millis(time.Now()), list)
	d.List = list
	return d
}

// newestList returns the list that was adopted last or, where no log says, the one that most sidecars act on.
func (a *Audit) newestList(answers []Answer) version.List {
	if l := a.history.newestList(); l.Digest != 0 {
		return l
	}
	return mostCommon(answers, func(r *auditlog.Report) version.List { return r.Version.List })
}

// mostCommon returns the value that most reports have; of equally common ones the first.
func mostCommon[T comparable](answers []Answer, of func(r *auditlog.Report) T) (best T) {
	counts := map[T]int{}
	for i := range answers {
		if r := answers[i].Report; r != nil {
			counts[of(r)]++
		}
	}
	for i := range answers {
		if r := answers[i].Report; r != nil && counts[of(r)] > counts[best] {
			best = of(r)
		}
	}
	return best
}

// mergeAnswers records the answers.
func (a *Audit) mergeAnswers(requests []Request, answers []Answer) {
	for i := range answers {
		name := a.options.Inventory.Sidecars[i].Name
		m := a.record(name)
		m.lastDuration = answers[i].Duration
		r := answers[i].Report
		if r == nil {
			if m.UnreachedSince == 0 {
				m.UnreachedSince = millis(answers[i].ReceivedAt)
			}
			continue
		}
		a.history.Merge(name, requests[i].Since, answers[i])
		reportOnly := *r
		reportOnly.Entries = nil
		m.Report, m.LastAnswer, m.UnreachedSince, m.dirReadAt = &reportOnly, answers[i].Midpoint, 0, time.Time{}
	}
}

// record returns a sidecar's record.
func (a *Audit) record(name string) *sidecarRecord {
	m := a.records[name]
	if m == nil {
		m = &sidecarRecord{}
		a.records[name] = m
	}
	return m
}

// readDirs reads the logs of sidecars that can't be reached, and once those of directories of sidecars that aren't listed.
func (a *Audit) readDirs(answers []Answer) {
	for _, name := range slices.Sorted(maps.Keys(a.unlistedDirs)) {
		a.readDir(name, a.unlistedDirs[name])
	}
	clear(a.unlistedDirs)
	for i := range answers {
		s := &a.options.Inventory.Sidecars[i]
		if m := a.record(s.Name); answers[i].Report == nil && s.Dir != "" && time.Since(m.dirReadAt) > dirReadInterval {
			m.dirReadAt = time.Now()
			a.readDir(s.Name, s.Dir)
		}
	}
}

func (a *Audit) readDir(name, dir string) {
	entries, faults, err := auditlog.ReadDir(dir)
	if err != nil {
		a.dirFaults[name] = fmt.Sprintf("%s: its trail can't be read: %v", name, err)
		return
	}
	delete(a.dirFaults, name)
	a.history.MergeDir(name, entries, faults)
}

// observation returns a sidecar as version.Auditor sees it. Of one that wasn't reached it has only the name and the zone.
func (a *Audit) observation(s *Sidecar, answer *Answer, at time.Duration) version.Observation {
	out := version.Observation{Name: s.Name, Zone: a.zone(s)}
	if r := answer.Report; r != nil {
		out.Reached, out.AnsweredAt, out.Incarnation, out.Site, out.Instances = true, at, r.Incarnation, r.Site, r.Instances
		out.Version, out.Minimum, out.State = r.Version, r.Minimum, r.State
	}
	return out
}

// zone returns the inventory's zone, or else the one that the sidecar reported.
func (a *Audit) zone(s *Sidecar) string {
	if r := a.record(s.Name).Report; s.Zone == "" && r != nil {
		return r.Zone
	}
	return s.Zone
}

// sendOrders sends the orders and merges the answers to them. It returns the errors by sidecar.
func (a *Audit) sendOrders(ctx context.Context, now version.Millis, result *version.RoundResult) map[string]string {
	if result.Minimum != nil {
		a.history.RecordMinimum(now, *result.Minimum)
	}
	byName := map[string]*version.Order{}
	for i := range result.Orders {
		byName[result.Orders[i].Name] = &result.Orders[i].Order
	}
	var recipients []*Sidecar
	var requests []Request
	for i := range a.options.Inventory.Sidecars {
		if s := &a.options.Inventory.Sidecars[i]; byName[s.Name] != nil {
			recipients = append(recipients, s)
			requests = append(requests, a.request(*s, byName[s.Name]))
		}
	}
	orderErrors := map[string]string{}
	for i, got := range a.client.Do(ctx, requests) {
		if got.OrderErr != nil {
			orderErrors[recipients[i].Name] = got.OrderErr.Error()
		}
		if r := got.Report; r != nil && r.Name == recipients[i].Name {
			a.history.Merge(recipients[i].Name, requests[i].Since, got)
		}
	}
	return orderErrors
}
