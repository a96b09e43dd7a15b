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

const readAgain = 10 * time.Second // a dead sidecar's directory: a process that is about to end may still write

// Options are what an audit is started with.
type Options struct {
	Roster  *Roster
	Dirs    map[string]string // directories of trails, by whose they are, beside those of the roster
	By      string            // the auditor's name, another one for each start
	Site    string            // "": that of most sidecars that the first round reaches
	List    string            // the list service's address; "": the list that was adopted last is the reference
	AtATime int
	Within  time.Duration // a sidecar

	Raise    bool // floors go out
	ShutOut  bool // and tickets
	Settings version.Digest
	File     version.Digest
	Builds   []string
	Grace    time.Duration
	Spread   time.Duration
	For      time.Duration
	Share    float64
}

// rules are the deciding part's.
func (o *Options) rules(site string) version.Rules {
	return version.Rules{By: o.By, Site: site, Share: o.Share, Grace: o.Grace, Spread: o.Spread, Validity: o.For, RaisesMinimum: o.Raise, IssuesPermits: o.ShutOut}
}

// Check returns an error that names what can't be ordered, or nil.
func (o *Options) Check() error {
	if o.ShutOut && !o.Raise {
		return errors.New("shut-out: without raise there is no floor to be under")
	}
	if !(o.Share >= 0 && o.Share <= 1) {
		return fmt.Errorf("share: %g is not from 0 to 1", o.Share)
	}
	if o.AtATime < 1 || o.Within <= 0 {
		return fmt.Errorf("at-a-time and within: %d and %v must be above 0", o.AtATime, o.Within)
	}
	if !o.Raise {
		return nil
	}
	return o.rules("any").Check()
}

// memory is what is kept of a sidecar's last answer.
type memory struct {
	Report *auditlog.Report // without its entries
	Seen   version.Millis
	Lost   version.Millis // since when it was not reached, 0: it was
	took   time.Duration
	read   time.Time // its directory
}

// Audit asks a fleet, round after round. It is one goroutine's.
type Audit struct {
	o        Options
	asker    *Asker
	auditor  *version.Auditor // nil: nobody was reached yet
	history  History
	site     string
	epoch    uint64 // the highest one known, until there is an auditor
	round    int
	unread   map[string]string // why directories could not be read, by whose they are
	began    time.Time
	now      time.Duration // the moment that is decided at
	memories map[string]*memory
	dirs     map[string]string // of sidecars that are not listed, unread
}

// New returns an audit that knows nothing yet. Close it in the end.
func New(o Options) *Audit {
	a := &Audit{o: o, asker: NewAsker(o.AtATime, o.Within), site: o.Site, began: time.Now(), memories: map[string]*memory{}, unread: map[string]string{}, dirs: maps.Clone(o.Dirs)}
	for i := range o.Roster.Sidecars {
		if s := &o.Roster.Sidecars[i]; o.Dirs[s.Name] != "" {
			s.Dir = o.Dirs[s.Name]
			delete(a.dirs, s.Name)
		}
	}
	return a
}

// Close ends it.
func (a *Audit) Close() { a.asker.Close() }

// clock is a time that goes on while the machine is asleep and that nobody sets or, where there is none, one that nobody sets.
func (a *Audit) clock() time.Duration {
	if c := persistence.Now(); c.Up > 0 {
		return c.Up
	}
	return time.Since(a.began)
}

// Round asks everybody once, decides, gives what orders follow, and returns what was found. An error says that ctx has ended
// before it was over: what came until then is kept, and shown nowhere.
func (a *Audit) Round(ctx context.Context) (*View, error) {
	began, base := time.Now(), a.clock()
	at := func(t time.Time) time.Duration { return base + t.Sub(began) }
	a.round++
	demand := a.demand(ctx, base)
	listed := a.o.Roster.Sidecars
	questions := make([]Question, len(listed))
	for i, s := range listed {
		questions[i] = a.question(s, nil)
	}
	answers := a.asker.Ask(ctx, questions)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	wall := time.Now()
	a.now = max(a.clock(), at(wall))
	decided, faults := a.decide(questions, answers, demand, at, wall)
	refused := a.order(ctx, millis(wall), &decided)
	v := a.view(answers, &decided, wall)
	for i := range v.Rows {
		v.Rows[i].Refused = refused[v.Rows[i].Name]
	}
	v.Faults, v.Took = faults, version.Millis(time.Since(began).Milliseconds())
	return v, nil
}

// decide takes in what was answered, and judges by it, at the moment a.now. at is a moment by that clock.
func (a *Audit) decide(questions []Question, answers []Answer, demand *version.Reference, at func(time.Time) time.Duration, wall time.Time) (decided version.RoundResult, faults []string) {
	if a.site == "" {
		a.site = most(answers, func(r *auditlog.Report) string { return r.Site })
	}
	faults = slices.Concat(a.o.Roster.Faults, a.faults(answers))
	a.take(questions, answers)
	a.readDirs(answers)
	for _, name := range slices.Sorted(maps.Keys(a.unread)) {
		faults = append(faults, a.unread[name])
	}
	if a.o.List == "" {
		demand.List, demand.RequestedAt = a.reference(answers), a.now
	}
	if a.auditor == nil && a.site != "" {
		a.auditor = version.NewAuditor(a.o.rules(a.site), a.epoch)
	}
	if a.auditor == nil {
		return version.RoundResult{}, faults
	}
	seen := make([]version.Observation, len(answers))
	for i := range answers {
		seen[i] = a.seen(&a.o.Roster.Sidecars[i], &answers[i], at(answers[i].Back))
	}
	decided = a.auditor.Round(a.now, time.Duration(wall.UnixNano()), seen, demand)
	a.epoch = a.auditor.Epoch()
	return decided, faults
}

// question is what a sidecar is asked, with what order.
func (a *Audit) question(s Sidecar, o *version.Order) Question {
	since, sum := a.history.Since(s.Name)
	return Question{Addr: s.Addr, Since: since, Sum: sum, Last: a.memory(s.Name).took, Order: o}
}

// demand is what everybody has to act on. Where the list service does not answer it is nil: the last one stays.
func (a *Audit) demand(ctx context.Context, now time.Duration) *version.Reference {
	d := &version.Reference{RequestedAt: now, Settings: a.o.Settings, File: a.o.File, Builds: a.o.Builds}
	if a.o.List == "" {
		return d
	}
	out := time.Now()
	list, err := a.asker.List(ctx, a.o.List)
	if err != nil {
		return nil
	}
	a.history.Published(millis(out), millis(time.Now()), list)
	d.List = list
	return d
}

// reference is the list that was adopted last or, where no trail tells, the one that most act on.
func (a *Audit) reference(answers []Answer) version.List {
	if l := a.history.newest(); l.Digest != 0 {
		return l
	}
	return most(answers, func(r *auditlog.Report) version.List { return r.Version.List })
}

// most is what most of those who were reached say; of as many the one that was said first.
func most[T comparable](answers []Answer, of func(r *auditlog.Report) T) (best T) {
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
func (a *Audit) faults(answers []Answer) (faults []string) {
	listed := a.o.Roster.Sidecars
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
		for rank := range min(instances, listedMost) {
			if _, there := ranks[rank]; !there {
				faults = append(faults, fmt.Sprintf("rank %d is nobody's", rank))
			}
		}
	}
	if len(faults) > foundMost {
		faults = append(faults[:foundMost], fmt.Sprintf("and %d more", len(faults)-foundMost))
	}
	return faults
}

// take takes in the answers.
func (a *Audit) take(questions []Question, answers []Answer) {
	for i := range answers {
		name := a.o.Roster.Sidecars[i].Name
		m := a.memory(name)
		m.took = answers[i].Took
		r := answers[i].Report
		if r == nil {
			if m.Lost == 0 {
				m.Lost = millis(answers[i].Back)
			}
			continue
		}
		a.history.Merge(name, questions[i].Since, answers[i])
		kept := *r
		kept.Entries = nil
		m.Report, m.Seen, m.Lost, m.read = &kept, answers[i].Middle, 0, time.Time{}
	}
}

// memory is a sidecar's.
func (a *Audit) memory(name string) *memory {
	m := a.memories[name]
	if m == nil {
		m = &memory{}
		a.memories[name] = m
	}
	return m
}

// readDirs reads the trails of those who can't be asked, and once those of directories that belong to nobody who is listed.
func (a *Audit) readDirs(answers []Answer) {
	for _, name := range slices.Sorted(maps.Keys(a.dirs)) {
		a.readDir(name, a.dirs[name])
	}
	clear(a.dirs)
	for i := range answers {
		s := &a.o.Roster.Sidecars[i]
		if m := a.memory(s.Name); answers[i].Report == nil && s.Dir != "" && time.Since(m.read) > readAgain {
			m.read = time.Now()
			a.readDir(s.Name, s.Dir)
		}
	}
}

func (a *Audit) readDir(name, dir string) {
	entries, faults, err := auditlog.ReadDir(dir)
	if err != nil {
		a.unread[name] = fmt.Sprintf("%s: its trail can't be read: %v", name, err)
		return
	}
	delete(a.unread, name)
	a.history.MergeDir(name, entries, faults)
}

// seen is a sidecar as the deciding part has it. Who was not reached has nothing but its name and zone.
func (a *Audit) seen(s *Sidecar, answer *Answer, at time.Duration) version.Observation {
	out := version.Observation{Name: s.Name, Zone: a.zone(s)}
	if r := answer.Report; r != nil {
		out.Reached, out.AnsweredAt, out.Incarnation, out.Site, out.Instances = true, at, r.Incarnation, r.Site, r.Instances
		out.Version, out.Minimum, out.State = r.Version, r.Minimum, r.State
	}
	return out
}

// zone is what the roster says or else the sidecar itself did.
func (a *Audit) zone(s *Sidecar) string {
	if r := a.memory(s.Name).Report; s.Zone == "" && r != nil {
		return r.Zone
	}
	return s.Zone
}

// order gives the orders at once, and takes in what is answered to them. It returns why they were refused, by name.
func (a *Audit) order(ctx context.Context, now version.Millis, decided *version.RoundResult) map[string]string {
	if decided.Minimum != nil {
		a.history.Raise(now, *decided.Minimum)
	}
	byName := map[string]*version.Order{}
	for i := range decided.Orders {
		byName[decided.Orders[i].Name] = &decided.Orders[i].Order
	}
	var whom []*Sidecar
	var questions []Question
	for i := range a.o.Roster.Sidecars {
		if s := &a.o.Roster.Sidecars[i]; byName[s.Name] != nil {
			whom = append(whom, s)
			questions = append(questions, a.question(*s, byName[s.Name]))
		}
	}
	refused := map[string]string{}
	for i, got := range a.asker.Ask(ctx, questions) {
		if got.Refused != nil {
			refused[whom[i].Name] = got.Refused.Error()
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
	v := &View{At: wall, Round: a.round, Site: a.site, By: a.o.By, Floor: decided.Minimum, Standing: cmp.Or(decided.Superseded, decided.NoPermitReason),
		Contradictions: a.history.Found, Unkept: a.history.Unkept}
	switch n := len(a.history.Told); {
	case a.o.List != "" && n > 0:
		v.Reference, v.Measure = a.history.Told[n-1].List, "the list service"
	case a.o.List == "":
		if v.Reference = a.reference(answers); v.Reference.Digest != 0 {
			v.Measure = "the newest adoption"
		}
	}
	standings := map[string]version.Standing{}
	for _, s := range decided.Standings {
		standings[s.Name] = s
	}
	known := a.history.known(v.Reference)
	for i := range answers {
		s := &a.o.Roster.Sidecars[i]
		m, stands := a.memory(s.Name), standings[s.Name]
		row := Row{Name: s.Name, Zone: a.zone(s), Addr: s.Addr, Status: Status(stands.State), Why: stands.Reason, Seen: m.Seen, Late: a.history.Late(s.Name)}
		if p := a.history.Sidecars[s.Name]; p != nil {
			row.Dropped, row.Clock, row.ClockBy = p.Dropped, -p.Shift, p.Within
		}
		if r := m.Report; r != nil {
			row.State, row.Version, row.Acted, row.Heard, row.Ticket, row.Succeed = r.State, &r.Version, r.VersionAge, r.ListAge, r.Permit, r.NeedsSuccessor
		}
		if row.Status == "" && answers[i].Report != nil { // there is nobody to decide
			row.Status, row.Why = Unknown, "nobody tells a site"
		}
		switch row.Status {
		case Behind, Shut:
			if stands.Since <= now {
				row.Since = wall - version.Millis((now - stands.Since).Milliseconds())
			}
			if since := a.history.behind(s.Name, v.Reference, known); since > 0 && since < row.Since {
				row.Since = since
			}
			if r := answers[i].Report; r != nil && r.Reason != "" {
				row.Why += "; it says: " + r.Reason
			}
		case NotReached, "":
			row.Status, row.Since, row.State, row.Ticket = NotReached, m.Lost, "", nil
			if err := answers[i].Err; err != nil {
				row.Why = strings.TrimPrefix(err.Error(), "audit: ")
			}
		}
		v.Rows = append(v.Rows, row)
	}
	sortRows(v.Rows)
	v.Lists, v.Events = a.history.lists(v.Rows), a.history.events()
	return v
}
