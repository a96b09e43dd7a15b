package version

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxAnswerAge is how old an answer may be that a ticket rests on: as long as a round takes, which asks 400 sidecars within 3 s.
const maxAnswerAge = 3 * time.Second

// permitReservation is for how long after its issue a ticket may be valid somewhere: it may be on the way until its sidecar's clock refuses it,
// and the sidecar's clock and the auditor's may be slack apart.
const permitReservation = maxPermitValidity + 2*maxClockSkew

// voteDelay is how long a sidecar has to have shown an auditor's order, in one life, until it counts for that auditor. What another
// one gave out because of the same sidecar has lapsed by then, also if the sidecar has forgotten all in between.
const voteDelay = maxAnswerAge + permitReservation

// Rules are what an auditor is started with.
type Rules struct {
	By            string // its name, another one for each start: of two by one name neither would know of the other
	Site          string
	Share         float64 // of the fleet and of each zone that may be shut out at once
	Grace         time.Duration
	Spread        time.Duration
	Validity      time.Duration // a floor; it is raised anew when half of that is over
	RaisesMinimum bool          // floors go out
	IssuesPermits bool          // and tickets
}

// Check returns a KeyError for rules that can't be, or nil.
func (r Rules) Check() error {
	if !(r.Share >= 0 && r.Share <= 1) {
		return KeyError{"share", fmt.Sprintf("%g is not from 0 to 1", r.Share)}
	}
	if r.Grace > r.Validity/2 {
		return KeyError{"floor.grace_ms", "is over half of floor.for_ms"}
	}
	o := Order{Minimum: r.minimum(Reference{}, 1)}
	return o.Check()
}

func (r Rules) minimum(d Reference, epoch uint64) MinimumVersion {
	return MinimumVersion{Epoch: epoch, By: r.By, Site: r.Site, List: d.List.Digest, Revision: d.List.Revision, Settings: d.Settings, File: d.File,
		Builds: d.Builds, Grace: Millis(r.Grace.Milliseconds()), Spread: Millis(r.Spread.Milliseconds()), Validity: Millis(r.Validity.Milliseconds())}
}

// Reference is the reference: what a sidecar has to act on. What is empty may be anything.
type Reference struct {
	List        List
	RequestedAt time.Duration // when the list service was asked for it
	Settings    Digest
	File        Digest
	Builds      []string
}

func (d Reference) isEmpty() bool {
	return d.List.Digest == 0 && d.Settings == 0 && d.File == 0 && len(d.Builds) == 0
}

// Observation is what a round has seen of one name of the roster.
type Observation struct {
	Name, Zone  string
	Reached     bool
	AnsweredAt  time.Duration // when it answered; the rest is what it said
	Incarnation string
	Site        string
	Instances   int
	Version     Version
	Minimum     *MinimumVersion
	State       string
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
	Reason     string        // what it lacks, or why it can't be judged
	Since      time.Duration // when it was first seen so, without being seen up to date since; where it is behind or shut
}

// AddressedOrder is an order for one sidecar.
type AddressedOrder struct {
	Name  string
	Order Order
}

// RoundResult is what follows from what a round has seen.
type RoundResult struct {
	Standings      []Standing
	Minimum        *MinimumVersion // nil: none is raised
	Orders         []AddressedOrder
	NoPermitReason string // why no ticket was given, though tickets are asked for and somebody is behind; or empty
	Superseded     string // why this auditor orders nothing any more; or empty
}

// Auditor decides for one auditor. It needs the answers of more than half of the fleet, for a while, before it shuts anybody out:
// two halves of a fleet that is cut in two have two auditors that don't know of each other, and one of them at most has that.
type Auditor struct {
	rules        Rules
	reference    Reference
	minimum      *MinimumVersion // the last one raised
	firstEpoch   uint64          // epoch that it raised
	epoch        uint64          // the highest one known
	raisedAt     time.Duration
	changedAt    time.Duration // when one was that demanded something else than the one before
	superseded   string
	sidecars     map[string]*sidecarRecord // by name
	reservations map[string]reservation    // tickets that may be valid, by name
}

// known is what an auditor remembers of a sidecar.
type sidecarRecord struct {
	incarnation  string        // in which it shows this auditor's orders; empty: it doesn't
	followsSince time.Duration // since when
	revision     int64         // of its list,
	observedAt   time.Duration // when it told that
	behindSince  time.Duration // the demand, since; never where it was up to date
	belowSince   time.Duration // the floor, since; likewise
}

const never = time.Duration(math.MaxInt64)

type reservation struct {
	number int
	zone   string
	expiry time.Duration
}

// NewAuditor returns one that knows of epochs up to this one. It keeps nothing else over a restart: it begins as any new one does.
func NewAuditor(r Rules, epoch uint64) *Auditor {
	return &Auditor{rules: r, epoch: epoch, sidecars: map[string]*sidecarRecord{}, reservations: map[string]reservation{}}
}

// Epoch is the highest epoch known, for the next start.
func (a *Auditor) Epoch() uint64 { return a.epoch }

// RoundResult judges what one round has seen, and returns the orders to be sent now. wall is the Unix time. d is nil where
// the reference could not be had: the last one stays.
func (a *Auditor) Round(now, wall time.Duration, fleet []Observation, d *Reference) RoundResult {
	if d != nil {
		a.reference = a.raiseRevision(*d)
	}
	fleet = a.deduplicate(fleet)
	a.observe(now, fleet)
	var out RoundResult
	if a.rules.RaisesMinimum && a.superseded == "" {
		a.raiseMinimum(now, fleet)
		out.Minimum = a.minimum
	}
	out.Superseded = a.superseded
	target := a.rules.minimum(a.reference, 0)
	for i := range fleet {
		out.Standings = append(out.Standings, a.standing(now, &fleet[i], &target))
	}
	if out.Minimum == nil {
		return out
	}
	tickets, why := a.issuePermits(now, wall, fleet)
	out.NoPermitReason = why
	for i := range fleet {
		s := &fleet[i]
		t := tickets[s.Name]
		if s.Reached && s.Site == a.rules.Site && (t != nil || s.Minimum == nil || !s.Minimum.equal(a.minimum)) {
			out.Orders = append(out.Orders, AddressedOrder{s.Name, Order{*a.minimum, t}})
		}
	}
	return out
}

// over puts the demand beyond lists of a former life of the list service: who told a higher revision before the service was asked has it
// from another life, and a later revision than that there won't be.
func (a *Auditor) raiseRevision(d Reference) Reference {
	for _, k := range a.sidecars {
		if d.List.Digest != 0 && k.observedAt <= d.RequestedAt && k.revision > d.List.Revision {
			d.List.Revision = k.revision
		}
	}
	return d
}

// once leaves one of each name, one that was reached if there is one, and has what two names say in one life said by the first.
func (a *Auditor) deduplicate(fleet []Observation) []Observation {
	fleet = slices.Clone(fleet)
	slices.SortStableFunc(fleet, func(x, y Observation) int {
		if c := cmp.Compare(x.Name, y.Name); c != 0 || x.Reached == y.Reached {
			return c
		}
		if x.Reached {
			return -1
		}
		return 1
	})
	fleet = slices.CompactFunc(fleet, func(x, y Observation) bool { return x.Name == y.Name })
	lives := map[string]bool{}
	for i := range fleet {
		if s := &fleet[i]; s.Reached && s.Incarnation != "" {
			if lives[s.Incarnation] {
				s.Site, s.Incarnation, s.Minimum, s.Version = "", "", nil, Version{Epoch: s.Version.Epoch}
			}
			lives[s.Incarnation] = true
		}
	}
	return fleet
}

// look notes what the answers say of orders: this auditor's, and higher ones.
func (a *Auditor) observe(now time.Duration, fleet []Observation) {
	names := map[string]bool{}
	for i := range fleet {
		s := &fleet[i]
		names[s.Name] = true
		k := a.sidecars[s.Name]
		if k == nil {
			k = &sidecarRecord{behindSince: never, belowSince: never}
			a.sidecars[s.Name] = k
		}
		if !s.Reached {
			continue
		}
		k.revision, k.observedAt = s.Version.List.Revision, s.AnsweredAt
		by := ""
		if s.Minimum != nil && s.Minimum.Epoch == s.Version.Epoch {
			by = s.Minimum.By
		}
		if a.minimum != nil && compare(s.Version.Epoch, by, a.minimum.Epoch, a.minimum.By) > 0 {
			a.superseded = fmt.Sprintf("%s has taken an order of epoch %d by %q, after %d by %q", s.Name, s.Version.Epoch, by, a.minimum.Epoch, a.minimum.By)
		}
		a.epoch = max(a.epoch, s.Version.Epoch)
		switch mine := s.Minimum != nil && s.Minimum.By == a.rules.By && a.firstEpoch != 0 && s.Minimum.Epoch >= a.firstEpoch; {
		case !mine:
			k.incarnation = ""
		case k.incarnation != s.Incarnation:
			k.incarnation, k.followsSince = s.Incarnation, now
		}
	}
	for name := range a.sidecars {
		if !names[name] {
			delete(a.sidecars, name)
		}
	}
}

// raise raises a floor where the demand is another one than the floor's, but no more than one in a time of grace, so that who is well
// has met one before the next; and anew when half of its time is over.
func (a *Auditor) raiseMinimum(now time.Duration, fleet []Observation) {
	next, changed := a.rules.minimum(a.reference, a.epoch), true
	if f := a.minimum; f != nil {
		next.Epoch = f.Epoch
		again := next.equal(f) // which demands nothing new, and so holds up no other one
		if again && now-a.raisedAt < a.rules.Validity/2 || !again && now-a.changedAt < a.rules.Grace {
			return
		}
		changed = !again
	}
	reached := slices.ContainsFunc(fleet, func(s Observation) bool { return s.Reached })
	if a.reference.isEmpty() || !reached || a.epoch >= maxEpoch {
		return
	}
	a.epoch++
	next.Epoch = a.epoch
	if a.firstEpoch == 0 {
		a.firstEpoch = a.epoch
	}
	a.minimum, a.raisedAt = &next, now
	if changed {
		a.changedAt = now
	}
}

// stand judges one.
func (a *Auditor) standing(now time.Duration, s *Observation, target *MinimumVersion) Standing {
	k := a.sidecars[s.Name]
	out := Standing{Name: s.Name, Zone: s.Zone}
	switch {
	case !s.Reached:
		out.State = NotReached
		return out
	case s.Site != a.rules.Site:
		out.State, out.Reason = Unknown, fmt.Sprintf("is of the site %q", s.Site)
		if s.Site == "" {
			out.Reason = "answers as another one, or tells no site"
		}
		return out
	case a.reference.isEmpty():
		out.State, out.Reason = Unknown, "there is nothing to compare it with"
		return out
	}
	out.Reason = target.missing(&s.Version)
	k.behindSince = conditionSince(k.behindSince, now, out.Reason != "")
	k.belowSince = conditionSince(k.belowSince, now, a.minimum != nil && a.minimum.missing(&s.Version) != "")
	switch {
	case s.State == ShutOut:
		out.State, out.Since = ShutOut, min(k.behindSince, now)
	case out.Reason != "":
		out.State, out.Since = Behind, k.behindSince
	default:
		out.State = UpToDate
	}
	return out
}

// since is from when on something holds that held since the time before.
func conditionSince(before, now time.Duration, holds bool) time.Duration {
	if !holds {
		return never
	}
	return min(before, now)
}

// tickets returns who gets one, and if nobody does why.
func (a *Auditor) issuePermits(now, wall time.Duration, fleet []Observation) (map[string]*Permit, string) {
	for name, h := range a.reservations {
		if now >= h.expiry {
			delete(a.reservations, name)
		}
	}
	if !a.rules.IssuesPermits {
		return nil, ""
	}
	var under []*Observation
	reached, meets, votes, told := 0, 0, 0, 0
	zones := map[string]int{}
	for i := range fleet {
		s := &fleet[i]
		zones[s.Zone]++
		if !s.Reached || now-s.AnsweredAt > maxAnswerAge {
			continue
		}
		reached++
		told = max(told, s.Instances)
		k := a.sidecars[s.Name]
		if k.incarnation != "" && now-k.followsSince >= voteDelay {
			votes++
		}
		switch {
		case s.Site != a.rules.Site:
		case a.minimum.missing(&s.Version) == "":
			meets++
		case now-k.belowSince >= a.rules.Grace:
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
		return nil, fmt.Sprintf("%d of %d sidecars have followed this auditor for %s; more than half are needed", votes, all, voteDelay)
	}
	if least := (1 - a.rules.Share) * float64(reached); meets == 0 || float64(meets) < least-1e-9 {
		return nil, fmt.Sprintf("%d of the %d sidecars reached meet the floor; it may be wrong", meets, reached)
	}
	return a.assignPermits(now, wall, under, MaxShutOut(a.rules.Share, n), zones), ""
}

// give renews tickets and gives those that are free to who has been under the floor longest.
func (a *Auditor) assignPermits(now, wall time.Duration, under []*Observation, most int, zones map[string]int) map[string]*Permit {
	slices.SortFunc(under, func(x, y *Observation) int {
		return cmp.Or(cmp.Compare(a.sidecars[x.Name].belowSince, a.sidecars[y.Name].belowSince), cmp.Compare(x.Name, y.Name))
	})
	taken, inZone := map[int]bool{}, map[string]int{}
	for _, h := range a.reservations {
		taken[h.number] = true
		inZone[h.zone]++
	}
	out := map[string]*Permit{}
	for _, s := range under {
		h, has := a.reservations[s.Name]
		if !has {
			h = reservation{zone: s.Zone}
			for taken[h.number] {
				h.number++
			}
		}
		in := inZone[h.zone]
		if !has {
			in++
		}
		// Both are looked at for a renewal too: the fleet may have become smaller.
		if h.number >= most || float64(in) > a.rules.Share*float64(zones[h.zone])+1e-9 {
			continue
		}
		taken[h.number], inZone[h.zone] = true, in
		h.expiry = now + permitReservation
		a.reservations[s.Name] = h
		out[s.Name] = &Permit{h.number, Millis(wall.Milliseconds()), Millis(maxPermitValidity.Milliseconds())}
	}
	return out
}
