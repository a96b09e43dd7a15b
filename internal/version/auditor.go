package version

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// roundMost is how old an answer may be that a ticket rests on: as long as a round takes, which asks 400 sidecars within 3 s.
const roundMost = 3 * time.Second

// ticketHeld is for how long after its issue a ticket may be valid somewhere: it may be on the way until its sidecar's clock refuses it,
// and the sidecar's clock and the auditor's may be slack apart.
const ticketHeld = ticketMost + 2*slack

// voteAfter is how long a sidecar has to have shown an auditor's order, in one life, until it counts for that auditor. What another
// one gave out because of the same sidecar has lapsed by then, also if the sidecar has forgotten all in between.
const voteAfter = roundMost + ticketHeld

// Rules are what an auditor is started with.
type Rules struct {
	By      string // its name, another one for each start: of two by one name neither would know of the other
	Site    string
	Share   float64 // of the fleet and of each zone that may be shut out at once
	Grace   time.Duration
	Spread  time.Duration
	For     time.Duration // a floor; it is raised anew when half of that is over
	Raise   bool          // floors go out
	ShutOut bool          // and tickets
}

// Check returns a FaultyKey for rules that can't be, or nil.
func (r Rules) Check() error {
	if !(r.Share >= 0 && r.Share <= 1) {
		return FaultyKey{"share", fmt.Sprintf("%g is not from 0 to 1", r.Share)}
	}
	if r.Grace > r.For/2 {
		return FaultyKey{"floor.grace_ms", "is over half of floor.for_ms"}
	}
	o := Order{Floor: r.floor(Demand{}, 1)}
	return o.Check()
}

func (r Rules) floor(d Demand, epoch uint64) Floor {
	return Floor{Epoch: epoch, By: r.By, Site: r.Site, List: d.List.Digest, Revision: d.List.Revision, Settings: d.Settings, File: d.File,
		Builds: d.Builds, Grace: Millis(r.Grace.Milliseconds()), Spread: Millis(r.Spread.Milliseconds()), For: Millis(r.For.Milliseconds())}
}

// Demand is the reference: what a sidecar has to act on. What is empty may be anything.
type Demand struct {
	List     List
	At       time.Duration // when the list service was asked for it
	Settings Digest
	File     Digest
	Builds   []string
}

func (d Demand) empty() bool {
	return d.List.Digest == 0 && d.Settings == 0 && d.File == 0 && len(d.Builds) == 0
}

// Seen is what a round has seen of one name of the roster.
type Seen struct {
	Name, Zone string
	Reached    bool
	At         time.Duration // when it answered; the rest is what it said
	Life       string
	Site       string
	Instances  int
	Version    Version
	Floor      *Floor
	State      string
}

// The standings, beside Behind and Shut.
const (
	UpToDate   = "up to date"
	NotReached = "not reached"
	Unknown    = "unknown" // it can't be judged
)

// Standing is the judgement on one name.
type Standing struct {
	Name, Zone string
	State      string
	Why        string        // what it lacks, or why it can't be judged
	Since      time.Duration // when it was first seen so, without being seen up to date since; where it is behind or shut
}

// Addressed is an order for one sidecar.
type Addressed struct {
	Name  string
	Order Order
}

// Round is what follows from what a round has seen.
type Round struct {
	Standings []Standing
	Floor     *Floor // nil: none is raised
	Orders    []Addressed
	Why       string // why no ticket was given, though tickets are asked for and somebody is behind; or empty
	Loser     string // why this auditor orders nothing any more; or empty
}

// Auditor decides for one auditor. It needs the answers of more than half of the fleet, for a while, before it shuts anybody out:
// two halves of a fleet that is cut in two have two auditors that don't know of each other, and one of them at most has that.
type Auditor struct {
	rules   Rules
	demand  Demand
	floor   *Floor // the last one raised
	first   uint64 // epoch that it raised
	epoch   uint64 // the highest one known
	raised  time.Duration
	changed time.Duration // when one was that demanded something else than the one before
	loser   string
	known   map[string]*known // by name
	held    map[string]held   // tickets that may be valid, by name
}

// known is what an auditor remembers of a sidecar.
type known struct {
	life     string        // in which it shows this auditor's orders; empty: it doesn't
	mine     time.Duration // since when
	revision int64         // of its list,
	at       time.Duration // when it told that
	behind   time.Duration // the demand, since; never where it was up to date
	under    time.Duration // the floor, since; likewise
}

const never = time.Duration(math.MaxInt64)

type held struct {
	no    int
	zone  string
	until time.Duration
}

// NewAuditor returns one that knows of epochs up to this one. It keeps nothing else over a restart: it begins as any new one does.
func NewAuditor(r Rules, epoch uint64) *Auditor {
	return &Auditor{rules: r, epoch: epoch, known: map[string]*known{}, held: map[string]held{}}
}

// Epoch is the highest epoch known, for the next start.
func (a *Auditor) Epoch() uint64 { return a.epoch }

// Round judges what one round has seen, and returns the orders to be sent now. wall is the Unix time. d is nil where
// the reference could not be had: the last one stays.
func (a *Auditor) Round(now, wall time.Duration, fleet []Seen, d *Demand) Round {
	if d != nil {
		a.demand = a.over(*d)
	}
	fleet = a.once(fleet)
	a.look(now, fleet)
	var out Round
	if a.rules.Raise && a.loser == "" {
		a.raise(now, fleet)
		out.Floor = a.floor
	}
	out.Loser = a.loser
	target := a.rules.floor(a.demand, 0)
	for i := range fleet {
		out.Standings = append(out.Standings, a.stand(now, &fleet[i], &target))
	}
	if out.Floor == nil {
		return out
	}
	tickets, why := a.tickets(now, wall, fleet)
	out.Why = why
	for i := range fleet {
		s := &fleet[i]
		t := tickets[s.Name]
		if s.Reached && s.Site == a.rules.Site && (t != nil || s.Floor == nil || !s.Floor.same(a.floor)) {
			out.Orders = append(out.Orders, Addressed{s.Name, Order{*a.floor, t}})
		}
	}
	return out
}

// over puts the demand beyond lists of a former life of the list service: who told a higher revision before the service was asked has it
// from another life, and a later revision than that there won't be.
func (a *Auditor) over(d Demand) Demand {
	for _, k := range a.known {
		if d.List.Digest != 0 && k.at <= d.At && k.revision > d.List.Revision {
			d.List.Revision = k.revision
		}
	}
	return d
}

// once leaves one of each name, one that was reached if there is one, and has what two names say in one life said by the first.
func (a *Auditor) once(fleet []Seen) []Seen {
	fleet = slices.Clone(fleet)
	slices.SortStableFunc(fleet, func(x, y Seen) int {
		if c := cmp.Compare(x.Name, y.Name); c != 0 || x.Reached == y.Reached {
			return c
		}
		if x.Reached {
			return -1
		}
		return 1
	})
	fleet = slices.CompactFunc(fleet, func(x, y Seen) bool { return x.Name == y.Name })
	lives := map[string]bool{}
	for i := range fleet {
		if s := &fleet[i]; s.Reached && s.Life != "" {
			if lives[s.Life] {
				s.Site, s.Life, s.Floor, s.Version = "", "", nil, Version{Epoch: s.Version.Epoch}
			}
			lives[s.Life] = true
		}
	}
	return fleet
}

// look notes what the answers say of orders: this auditor's, and higher ones.
func (a *Auditor) look(now time.Duration, fleet []Seen) {
	names := map[string]bool{}
	for i := range fleet {
		s := &fleet[i]
		names[s.Name] = true
		k := a.known[s.Name]
		if k == nil {
			k = &known{behind: never, under: never}
			a.known[s.Name] = k
		}
		if !s.Reached {
			continue
		}
		k.revision, k.at = s.Version.List.Revision, s.At
		by := ""
		if s.Floor != nil && s.Floor.Epoch == s.Version.Epoch {
			by = s.Floor.By
		}
		if a.floor != nil && compare(s.Version.Epoch, by, a.floor.Epoch, a.floor.By) > 0 {
			a.loser = fmt.Sprintf("%s has taken an order of epoch %d by %q, after %d by %q", s.Name, s.Version.Epoch, by, a.floor.Epoch, a.floor.By)
		}
		a.epoch = max(a.epoch, s.Version.Epoch)
		switch mine := s.Floor != nil && s.Floor.By == a.rules.By && a.first != 0 && s.Floor.Epoch >= a.first; {
		case !mine:
			k.life = ""
		case k.life != s.Life:
			k.life, k.mine = s.Life, now
		}
	}
	for name := range a.known {
		if !names[name] {
			delete(a.known, name)
		}
	}
}

// raise raises a floor where the demand is another one than the floor's, but no more than one in a time of grace, so that who is well
// has met one before the next; and anew when half of its time is over.
func (a *Auditor) raise(now time.Duration, fleet []Seen) {
	next, changed := a.rules.floor(a.demand, a.epoch), true
	if f := a.floor; f != nil {
		next.Epoch = f.Epoch
		again := next.same(f) // which demands nothing new, and so holds up no other one
		if again && now-a.raised < a.rules.For/2 || !again && now-a.changed < a.rules.Grace {
			return
		}
		changed = !again
	}
	reached := slices.ContainsFunc(fleet, func(s Seen) bool { return s.Reached })
	if a.demand.empty() || !reached || a.epoch >= epochMost {
		return
	}
	a.epoch++
	next.Epoch = a.epoch
	if a.first == 0 {
		a.first = a.epoch
	}
	a.floor, a.raised = &next, now
	if changed {
		a.changed = now
	}
}

// stand judges one.
func (a *Auditor) stand(now time.Duration, s *Seen, target *Floor) Standing {
	k := a.known[s.Name]
	out := Standing{Name: s.Name, Zone: s.Zone}
	switch {
	case !s.Reached:
		out.State = NotReached
		return out
	case s.Site != a.rules.Site:
		out.State, out.Why = Unknown, fmt.Sprintf("is of the site %q", s.Site)
		if s.Site == "" {
			out.Why = "answers as another one, or tells no site"
		}
		return out
	case a.demand.empty():
		out.State, out.Why = Unknown, "there is nothing to compare it with"
		return out
	}
	out.Why = target.lacks(&s.Version)
	k.behind = since(k.behind, now, out.Why != "")
	k.under = since(k.under, now, a.floor != nil && a.floor.lacks(&s.Version) != "")
	switch {
	case s.State == Shut:
		out.State, out.Since = Shut, min(k.behind, now)
	case out.Why != "":
		out.State, out.Since = Behind, k.behind
	default:
		out.State = UpToDate
	}
	return out
}

// since is from when on something holds that held since the time before.
func since(before, now time.Duration, holds bool) time.Duration {
	if !holds {
		return never
	}
	return min(before, now)
}

// tickets returns who gets one, and if nobody does why.
func (a *Auditor) tickets(now, wall time.Duration, fleet []Seen) (map[string]*Ticket, string) {
	for name, h := range a.held {
		if now >= h.until {
			delete(a.held, name)
		}
	}
	if !a.rules.ShutOut {
		return nil, ""
	}
	var under []*Seen
	reached, meets, votes, told := 0, 0, 0, 0
	zones := map[string]int{}
	for i := range fleet {
		s := &fleet[i]
		zones[s.Zone]++
		if !s.Reached || now-s.At > roundMost {
			continue
		}
		reached++
		told = max(told, s.Instances)
		k := a.known[s.Name]
		if k.life != "" && now-k.mine >= voteAfter {
			votes++
		}
		switch {
		case s.Site != a.rules.Site:
		case a.floor.lacks(&s.Version) == "":
			meets++
		case now-k.under >= a.rules.Grace:
			under = append(under, s)
		}
	}
	if len(under) == 0 {
		return nil, ""
	}
	n, all := len(fleet), max(len(fleet), told)
	if told > 0 {
		n = min(n, told) // a roster that is old has too many
	}
	if 2*votes <= all {
		return nil, fmt.Sprintf("%d of %d sidecars have followed this auditor for %s; more than half are needed", votes, all, voteAfter)
	}
	if least := (1 - a.rules.Share) * float64(reached); meets == 0 || float64(meets) < least-1e-9 {
		return nil, fmt.Sprintf("%d of the %d sidecars reached meet the floor; it may be wrong", meets, reached)
	}
	return a.give(now, wall, under, Most(a.rules.Share, n), zones), ""
}

// give renews tickets and gives those that are free to who has been under the floor longest.
func (a *Auditor) give(now, wall time.Duration, under []*Seen, most int, zones map[string]int) map[string]*Ticket {
	slices.SortFunc(under, func(x, y *Seen) int {
		return cmp.Or(cmp.Compare(a.known[x.Name].under, a.known[y.Name].under), cmp.Compare(x.Name, y.Name))
	})
	taken, inZone := map[int]bool{}, map[string]int{}
	for _, h := range a.held {
		taken[h.no] = true
		inZone[h.zone]++
	}
	out := map[string]*Ticket{}
	for _, s := range under {
		h, has := a.held[s.Name]
		if !has {
			h = held{zone: s.Zone}
			for taken[h.no] {
				h.no++
			}
		}
		in := inZone[h.zone]
		if !has {
			in++
		}
		// Both are looked at for a renewal too: the fleet may have become smaller.
		if h.no >= most || float64(in) > a.rules.Share*float64(zones[h.zone])+1e-9 {
			continue
		}
		taken[h.no], inZone[h.zone] = true, in
		h.until = now + ticketHeld
		a.held[s.Name] = h
		out[s.Name] = &Ticket{h.no, Millis(wall.Milliseconds()), Millis(ticketMost.Milliseconds())}
	}
	return out
}
