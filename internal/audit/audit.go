package audit

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

const dirReadInterval = 10 * time.Second // a dead sidecar's directory: a process that is about to end may still write

// Options are what an audit is started with.
type Options struct {
	Inventory   *Inventory
	Dirs        map[string]string // directories of trails, by whose they are, beside those of the roster
	By          string            // the auditor's name, another one for each start
	Site        string            // "": that of most sidecars that the first round reaches
	List        string            // the list service's address; "": the list that was adopted last is the reference
	Concurrency int
	Timeout     time.Duration // a sidecar

	RaiseMinimum bool // floors go out
	ShutOut      bool // and tickets
	Settings     version.Digest
	File         version.Digest
	Builds       []string
	Grace        time.Duration
	Spread       time.Duration
	Validity     time.Duration
	Share        float64
}

// rules are the deciding part's.
func (o *Options) rules(site string) version.Rules {
	return version.Rules{By: o.By, Site: site, Share: o.Share, Grace: o.Grace, Spread: o.Spread, Validity: o.Validity, RaisesMinimum: o.RaiseMinimum, IssuesPermits: o.ShutOut}
}

// Check returns an error that names what can't be ordered, or nil.
func (o *Options) Check() error {
	if o.ShutOut && !o.RaiseMinimum {
		return errors.New("shut-out: without raise there is no floor to be under")
	}
	if !(o.Share >= 0 && o.Share <= 1) {
		return fmt.Errorf("share: %g is not from 0 to 1", o.Share)
	}
	if o.Concurrency < 1 || o.Timeout <= 0 {
		return fmt.Errorf("at-a-time and within: %d and %v must be above 0", o.Concurrency, o.Timeout)
	}
	if !o.RaiseMinimum {
		return nil
	}
	return o.rules("any").Check()
}

// memory is what is kept of a sidecar's last answer.
type sidecarRecord struct {
	Report         *auditlog.Report `json:"Report"` // without its entries
	LastAnswer     version.Millis   `json:"Seen"`
	UnreachedSince version.Millis   `json:"Lost"` // since when it was not reached, 0: it was
	lastDuration   time.Duration
	dirReadAt      time.Time // its directory
}

// Audit asks a fleet, round after round. It is one goroutine's.
type Audit struct {
	options      Options
	asker        *Client
	auditor      *version.Auditor // nil: nobody was reached yet
	history      History
	site         string
	epoch        uint64 // the highest one known, until there is an auditor
	round        int
	dirFaults    map[string]string // why directories could not be read, by whose they are
	start        time.Time
	now          time.Duration // the moment that is decided at
	records      map[string]*sidecarRecord
	unlistedDirs map[string]string // of sidecars that are not listed, unread
}

// New returns an audit that knows nothing yet. Close it in the end.
func New(o Options) *Audit {
	a := &Audit{options: o, asker: NewClient(o.Concurrency, o.Timeout), site: o.Site, start: time.Now(), records: map[string]*sidecarRecord{}, dirFaults: map[string]string{}, unlistedDirs: maps.Clone(o.Dirs)}
	for i := range o.Inventory.Sidecars {
		if s := &o.Inventory.Sidecars[i]; o.Dirs[s.Name] != "" {
			s.Dir = o.Dirs[s.Name]
			delete(a.unlistedDirs, s.Name)
		}
	}
	return a
}

// Close ends it.
func (a *Audit) Close() { a.asker.Close() }

// clock is a time that goes on while the machine is asleep and that nobody sets or, where there is none, one that nobody sets.
func (a *Audit) monotonicNow() time.Duration {
	if c := persistence.Now(); c.Up > 0 {
		return c.Up
	}
	return time.Since(a.start)
}

// Round asks everybody once, decides, gives what orders follow, and returns what was found. An error says that ctx has ended
// before it was over: what came until then is kept, and shown nowhere.
func (a *Audit) Round(ctx context.Context) (*View, error) {
	began, base := time.Now(), a.monotonicNow()
	at := func(t time.Time) time.Duration { return base + t.Sub(began) }
	a.round++
	demand := a.reference(ctx, base)
	listed := a.options.Inventory.Sidecars
	questions := make([]Request, len(listed))
	for i, s := range listed {
		questions[i] = a.request(s, nil)
	}
	answers := a.asker.Do(ctx, questions)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	wall := time.Now()
	a.now = max(a.monotonicNow(), at(wall))
	decided, faults := a.decide(questions, answers, demand, at, wall)
	refused := a.sendOrders(ctx, millis(wall), &decided)
	v := a.view(answers, &decided, wall)
	for i := range v.Rows {
		v.Rows[i].OrderError = refused[v.Rows[i].Name]
	}
	v.InventoryFaults, v.Duration = faults, version.Millis(time.Since(began).Milliseconds())
	return v, nil
}

// decide takes in what was answered, and judges by it, at the moment a.now. at is a moment by that clock.
func (a *Audit) decide(questions []Request, answers []Answer, demand *version.Reference, at func(time.Time) time.Duration, wall time.Time) (decided version.RoundResult, faults []string) {
	if a.site == "" {
		a.site = mostCommon(answers, func(r *auditlog.Report) string { return r.Site })
	}
	faults = slices.Concat(a.options.Inventory.Faults, a.inventoryFaults(answers))
	a.mergeAnswers(questions, answers)
	a.readDirs(answers)
	for _, name := range slices.Sorted(maps.Keys(a.dirFaults)) {
		faults = append(faults, a.dirFaults[name])
	}
	if a.options.List == "" {
		demand.List, demand.RequestedAt = a.newestList(answers), a.now
	}
	if a.auditor == nil && a.site != "" {
		a.auditor = version.NewAuditor(a.options.rules(a.site), a.epoch)
	}
	if a.auditor == nil {
		return version.RoundResult{}, faults
	}
	seen := make([]version.Observation, len(answers))
	for i := range answers {
		seen[i] = a.observation(&a.options.Inventory.Sidecars[i], &answers[i], at(answers[i].ReceivedAt))
	}
	decided = a.auditor.Round(a.now, time.Duration(wall.UnixNano()), seen, demand)
	a.epoch = a.auditor.Epoch()
	return decided, faults
}

// question is what a sidecar is asked, with what order.
func (a *Audit) request(s Sidecar, o *version.Order) Request {
	since, sum := a.history.Since(s.Name)
	return Request{Addr: s.Addr, Since: since, Sum: sum, LastDuration: a.record(s.Name).lastDuration, Order: o}
}

// demand is what everybody has to act on. Where the list service does not answer it is nil: the last one stays.
func (a *Audit) reference(ctx context.Context, now time.Duration) *version.Reference {
	d := &version.Reference{RequestedAt: now, Settings: a.options.Settings, File: a.options.File, Builds: a.options.Builds}
	if a.options.List == "" {
		return d
	}
	out := time.Now()
	list, err := a.asker.List(ctx, a.options.List)
	if err != nil {
		return nil
	}
	a.history.Published(millis(out), millis(time.Now()), list)
	d.List = list
	return d
}

// reference is the list that was adopted last or, where no trail tells, the one that most act on.
func (a *Audit) newestList(answers []Answer) version.List {
	if l := a.history.newestList(); l.Digest != 0 {
		return l
	}
	return mostCommon(answers, func(r *auditlog.Report) version.List { return r.Version.List })
}

// most is what most of those who were reached say; of as many the one that was said first.
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

// faults are those of the roster that show in answers. Who answers under another name was not reached: an address has been
// given to somebody else.
func (a *Audit) inventoryFaults(answers []Answer) (faults []string) {
	listed := a.options.Inventory.Sidecars
	ranks := map[int]string{}
	instances, reached := 0, 0
	for i := range answers {
		r, s := answers[i].Report, &listed[i]
		if r == nil {
			continue
		}
		if r.Name != s.Name {
			err := fmt.Errorf("audit: %s answers as %.100q", s.Addr, r.Name)
			faults = append(faults, fmt.Sprintf("%s: %s answers as %.100q", s.Name, s.Addr, r.Name))
			answers[i].Report, answers[i].Err = nil, err
			continue
		}
		reached++
		if s.Zone != "" && r.Zone != s.Zone {
			faults = append(faults, fmt.Sprintf("%s: is listed in the zone %s and says %.100q", s.Name, s.Zone, r.Zone))
		}
		if r.Site != cmp.Or(a.site, r.Site) { // another fleet's, whose ranks are others
			continue
		}
		instances = max(instances, r.Instances)
		if other, twice := ranks[r.Rank]; twice {
			faults = append(faults, fmt.Sprintf("%s and %s have the same rank, %d", other, s.Name, r.Rank))
		}
		ranks[r.Rank] = s.Name
	}
	if instances > len(listed) {
		faults = append(faults, fmt.Sprintf("%d sidecars are listed, and their settings tell of %d", len(listed), instances))
	}
	if reached == len(listed) { // who was not reached may have it
		for rank := range min(instances, maxSidecars) {
			if _, there := ranks[rank]; !there {
				faults = append(faults, fmt.Sprintf("rank %d is nobody's", rank))
			}
		}
	}
	if len(faults) > maxContradictions {
		faults = append(faults[:maxContradictions], fmt.Sprintf("and %d more", len(faults)-maxContradictions))
	}
	return faults
}

// take takes in the answers.
func (a *Audit) mergeAnswers(questions []Request, answers []Answer) {
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
		a.history.Merge(name, questions[i].Since, answers[i])
		kept := *r
		kept.Entries = nil
		m.Report, m.LastAnswer, m.UnreachedSince, m.dirReadAt = &kept, answers[i].Midpoint, 0, time.Time{}
	}
}

// memory is a sidecar's.
func (a *Audit) record(name string) *sidecarRecord {
	m := a.records[name]
	if m == nil {
		m = &sidecarRecord{}
		a.records[name] = m
	}
	return m
}

// readDirs reads the trails of those who can't be asked, and once those of directories that belong to nobody who is listed.
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

// seen is a sidecar as the deciding part has it. Who was not reached has nothing but its name and zone.
func (a *Audit) observation(s *Sidecar, answer *Answer, at time.Duration) version.Observation {
	out := version.Observation{Name: s.Name, Zone: a.zone(s)}
	if r := answer.Report; r != nil {
		out.Reached, out.AnsweredAt, out.Incarnation, out.Site, out.Instances = true, at, r.Incarnation, r.Site, r.Instances
		out.Version, out.Minimum, out.State = r.Version, r.Minimum, r.State
	}
	return out
}

// zone is what the roster says or else the sidecar itself did.
func (a *Audit) zone(s *Sidecar) string {
	if r := a.record(s.Name).Report; s.Zone == "" && r != nil {
		return r.Zone
	}
	return s.Zone
}

// order gives the orders at once, and takes in what is answered to them. It returns why they were refused, by name.
func (a *Audit) sendOrders(ctx context.Context, now version.Millis, decided *version.RoundResult) map[string]string {
	if decided.Minimum != nil {
		a.history.RecordMinimum(now, *decided.Minimum)
	}
	byName := map[string]*version.Order{}
	for i := range decided.Orders {
		byName[decided.Orders[i].Name] = &decided.Orders[i].Order
	}
	var whom []*Sidecar
	var questions []Request
	for i := range a.options.Inventory.Sidecars {
		if s := &a.options.Inventory.Sidecars[i]; byName[s.Name] != nil {
			whom = append(whom, s)
			questions = append(questions, a.request(*s, byName[s.Name]))
		}
	}
	refused := map[string]string{}
	for i, got := range a.asker.Do(ctx, questions) {
		if got.OrderErr != nil {
			refused[whom[i].Name] = got.OrderErr.Error()
		}
		if r := got.Report; r != nil && r.Name == whom[i].Name {
			a.history.Merge(whom[i].Name, questions[i].Since, got)
		}
	}
	return refused
}

// view puts together what is shown.
func (a *Audit) view(answers []Answer, decided *version.RoundResult, at time.Time) *View {
	wall, now := millis(at), a.now
	v := &View{At: wall, Round: a.round, Site: a.site, By: a.options.By, Minimum: decided.Minimum, NoOrdersReason: cmp.Or(decided.Superseded, decided.NoPermitReason),
		Contradictions: a.history.Contradictions, Omitted: a.history.Omitted}
	switch n := len(a.history.ListIntervals); {
	case a.options.List != "" && n > 0:
		v.Reference, v.ReferenceSource = a.history.ListIntervals[n-1].List, "the list service"
	case a.options.List == "":
		if v.Reference = a.newestList(answers); v.Reference.Digest != 0 {
			v.ReferenceSource = "the newest adoption"
		}
	}
	standings := map[string]version.Standing{}
	for _, s := range decided.Standings {
		standings[s.Name] = s
	}
	known := a.history.listKnownSince(v.Reference)
	for i := range answers {
		s := &a.options.Inventory.Sidecars[i]
		m, stands := a.record(s.Name), standings[s.Name]
		row := Row{Name: s.Name, Zone: a.zone(s), Addr: s.Addr, Status: Status(stands.State), Reason: stands.Reason, LastAnswer: m.LastAnswer, Late: a.history.Late(s.Name)}
		if p := a.history.Sidecars[s.Name]; p != nil {
			row.Dropped, row.ClockOffset, row.ClockUncertainty = p.Dropped, -p.Shift, p.Uncertainty
		}
		if r := m.Report; r != nil {
			row.State, row.Version, row.VersionAge, row.ListAge, row.Permit, row.NeedsSuccessor = r.State, &r.Version, r.VersionAge, r.ListAge, r.Permit, r.NeedsSuccessor
		}
		if row.Status == "" && answers[i].Report != nil { // there is nobody to decide
			row.Status, row.Reason = Unknown, "nobody tells a site"
		}
		switch row.Status {
		case Behind, ShutOut:
			if stands.Since <= now {
				row.Since = wall - version.Millis((now - stands.Since).Milliseconds())
			}
			if since := a.history.behindSince(s.Name, v.Reference, known); since > 0 && since < row.Since {
				row.Since = since
			}
			if r := answers[i].Report; r != nil && r.Reason != "" {
				row.Reason += "; it says: " + r.Reason
			}
		case NotReached, "":
			row.Status, row.Since, row.State, row.Permit = NotReached, m.UnreachedSince, "", nil
			if err := answers[i].Err; err != nil {
				row.Reason = strings.TrimPrefix(err.Error(), "audit: ")
			}
		}
		v.Rows = append(v.Rows, row)
	}
	sortRows(v.Rows)
	v.Lists, v.Events = a.history.lists(v.Rows), a.history.events()
	return v
}
