package version

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxAnswerAge bounds the age of an answer that a permit is based on: as long as a round takes, which asks 400 sidecars within
// 3 s.
const maxAnswerAge = 3 * time.Second

// voteDelay is how long a sidecar has to have followed this auditor's orders, in one incarnation, until it counts as a vote for
// it. Permits that another auditor has issued because of the same sidecar have expired by then, also if the sidecar has
// forgotten everything in between.
const voteDelay = maxAnswerAge + permitReservation

// Observation is what a round has seen of one name of the inventory.
type Observation struct {
	Name, Zone  string
	Reached     bool
	AnsweredAt  time.Duration // when; the fields below are from the answer
	Incarnation string
	Site        string
	Instances   int
	Version     Version
	Minimum     *MinimumVersion
	State       string
}

// The states of a Standing, beside Behind and ShutOut. The values stand in the audit's output.
const (
	UpToDate   = "up to date"
	NotReached = "not reached"
	Unknown    = "unknown" // there is nothing to compare it with
)

// Standing is the judgement on one name.
type Standing struct {
	Name, Zone string
	State      string
	Reason     string        // what it lacks, or why it is Unknown
	Since      time.Duration // where it is Behind or ShutOut: when that was first seen, without UpToDate since
}

// AddressedOrder is an order for one sidecar.
type AddressedOrder struct {
	Name  string
	Order Order
}

// RoundResult is what follows from a round's observations.
type RoundResult struct {
	Standings      []Standing
	Minimum        *MinimumVersion // nil: none is sent
	Orders         []AddressedOrder
	NoPermitReason string // why no permit was issued though permits are enabled and a sidecar is behind; or empty
	Superseded     string // why this auditor sends no orders any more; or empty
}

// Auditor decides for one auditor. It needs the answers of more than half of the fleet, for a while, before it shuts anybody
// out: in two partitions there may be two auditors that don't know of each other, and at most one of them has a majority.
type Auditor struct {
	rules        Rules
	reference    Reference
	minimum      *MinimumVersion // the last one sent
	firstEpoch   uint64          // of its minimum versions
	epoch        uint64          // the highest one known
	raisedAt     time.Duration
	changedAt    time.Duration // when a minimum version last differed from the one before
	superseded   string
	sidecars     map[string]*sidecarRecord // by name
	reservations map[string]reservation    // permits that may be valid, by name
}

// sidecarRecord is what an auditor remembers of a sidecar.
type sidecarRecord struct {
	incarnation  string        // in which it follows this auditor's orders; empty: it doesn't
	followsSince time.Duration // since when
	revision     int64         // of its list
	observedAt   time.Duration // when it reported that revision
	behindSince  time.Duration // of the reference; never where it was up to date
	belowSince   time.Duration // the minimum version; likewise
}

const never = time.Duration(math.MaxInt64)

// NewAuditor returns an auditor that knows of epochs up to this one. It needs nothing else over a restart.
func NewAuditor(r Rules, epoch uint64) *Auditor {
	return &Auditor{rules: r, epoch: epoch, sidecars: map[string]*sidecarRecord{}, reservations: map[string]reservation{}}
}

// Epoch returns the highest epoch known, for the next start.
func (a *Auditor) Epoch() uint64 { return a.epoch }

// Round judges a round's observations, and returns the orders that are to be sent now. Wall is the Unix time. Reference is nil
// where it could not be determined: the last one stays in force.
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

// raiseRevision puts the reference beyond lists of an earlier process of the list service: a sidecar that reported a higher
// revision before the service was asked has it from another process.
func (a *Auditor) raiseRevision(d Reference) Reference {
	for _, k := range a.sidecars {
		if d.List.Digest != 0 && k.observedAt <= d.RequestedAt && k.revision > d.List.Revision {
			d.List.Revision = k.revision
		}
	}
	return d
}

// deduplicate leaves one observation of each name, of a sidecar that was reached if there is one. Of two names that answer with
// one incarnation, the second one's answer is blanked.
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

// observe records what the answers say about orders: this auditor's, and higher ones.
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

// raiseMinimum sends a new minimum version where the reference differs from the last one, but no more than one within a grace,
// so that a healthy sidecar has met one before the next; and renews it after half of its validity.
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
	if a.reference.isEmpty() || !reached || a.epoch >= MaxEpoch {
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

// standing judges one sidecar.
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

// conditionSince returns since when a condition holds that held since before; never where it doesn't hold.
func conditionSince(before, now time.Duration, holds bool) time.Duration {
	if !holds {
		return never
	}
	return min(before, now)
}
