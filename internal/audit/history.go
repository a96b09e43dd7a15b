package audit

import (
	"cmp"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	entriesMost = 512     // kept of a sidecar, the newest: 85 minutes of counts every 10 s
	entriesAll  = 200_000 // and of all, some 100 MB: from 400 sidecars on less of each
	foundMost   = 1000    // contradictions, the oldest: what follows from one is seldom news
	namesMost   = 20_000  // list's names, of which each is looked at for a second content
	pollsMost   = 4096    // changes of what the list service tells
	floorsMost  = 256     // the newest
	slack       = version.Millis(1000)

	repeated = "kept" // what an adoption comes from that a trail tells once more, for the first telling was dropped
)

// What a contradiction is about. Two processes of a sidecar beside each other are none: each life numbers its own adoptions.
const (
	Hole      = "hole"      // a trail lacks an entry, or has one that was changed
	Rewritten = "rewritten" // a trail says other things of the same time than it did before
	Early     = "early"     // a version was acted on before anyone published it
	Twice     = "twice"     // one name, two lists
	Back      = "back"      // a list's revision, or an epoch, went back
)

// Contradiction is what can't be as it was told.
type Contradiction struct {
	Kind    string         `json:"kind"`
	Sidecar string         `json:"sidecar"`
	Time    version.Millis `json:"time_ms"` // of the entry that shows it, by the auditor's clock
	What    string         `json:"what"`
}

// Past is what is held of one sidecar's trail.
type Past struct {
	Entries []Placed       `json:"entries"` // the newest, life after life
	Next    uint64         `json:"next"`    // what to ask since
	Shift   version.Millis `json:"shift_ms"`
	Within  version.Millis `json:"within_ms"`
	Known   bool           `json:"known"`   // Shift is
	Dropped bool           `json:"dropped"` // the sidecar had dropped entries before they could be read
}

// told is a time through which the list service told one list.
type told struct {
	From, To version.Millis
	List     version.List
}

// raised is a floor and when the first sidecar took it or, where this audit raised it, it did.
type raised struct {
	Floor version.MinimumVersion `json:"floor"`
	At    version.Millis         `json:"at_ms"`
	Ours  bool                   `json:"ours"`
}

// named is the content that a list's name was first seen with, and at whom.
type named struct {
	Digest version.Digest
	At     string
}

// History is all trails on one time line. It is pure, and the zero value is empty; its fields are what is kept.
type History struct {
	Sidecars map[string]*Past
	Told     []told
	Raised   []raised
	Names    map[string]named // by service and revision
	Found    []Contradiction
	Unkept   int // contradictions beyond those
}

// past is a sidecar's.
func (h *History) past(name string) *Past {
	if h.Sidecars == nil {
		h.Sidecars = map[string]*Past{}
	}
	p := h.Sidecars[name]
	if p == nil {
		p = &Past{}
		h.Sidecars[name] = p
	}
	return p
}

// Since is what to ask a sidecar's trail from: the last entry that is held, which has to come again as it was, with that sum.
func (h *History) Since(name string) (since uint64, sum string) {
	p := h.Sidecars[name]
	if p == nil || p.Next <= 1 {
		return 1, ""
	}
	for _, e := range p.Entries {
		if e.Seq == p.Next-1 {
			sum = e.Sum // of several lives the last that was read
		}
	}
	return p.Next - 1, sum
}

// Merge takes in what a sidecar answered when it was asked from since on.
func (h *History) Merge(name string, since uint64, a Answer) {
	p, r := h.past(name), a.Report
	shift := a.Middle - r.Now
	at := anchor{Time: a.Middle, Within: a.Within, Wall: r.Now, Up: r.Up}
	p.Shift, p.Within, p.Known = shift, a.Within, true
	if len(r.Entries) == 0 || r.Entries[0].Seq > since {
		switch held := len(p.Entries) > 0; {
		case r.Oldest > since:
			p.Dropped = true
		case held && r.Next > since, len(r.Entries) > 0:
			h.note(Hole, name, a.Middle, fmt.Sprintf("asked from entry %d on, of which it says that it has it, it did not tell it", since))
		}
	}
	for _, f := range auditlog.Check(r.Entries) {
		h.note(Hole, name, a.Middle, f.String())
	}
	h.merge(name, r.Entries, at)
	p.Next = r.Next
}

// MergeDir takes in a trail that was read from the disk of a sidecar that can't be asked.
func (h *History) MergeDir(name string, entries []auditlog.Entry, faults []auditlog.Fault) {
	p := h.past(name)
	at := anchor{Within: apart}
	if n := len(entries); n > 0 {
		at.Wall, at.Up = entries[n-1].At, entries[n-1].Up
		at.Time = at.Wall
		if p.Known {
			at.Time, at.Within = at.Wall+p.Shift, p.Within+slack
		}
	}
	for _, f := range faults {
		h.note(Hole, name, at.Time, f.String())
	}
	h.merge(name, entries, at)
}

// merge adds the entries that are new.
func (h *History) merge(name string, entries []auditlog.Entry, at anchor) {
	p := h.past(name)
	placed := place(entries, at)
	fresh := 0
	for _, e := range placed {
		i := len(p.Entries) - 1 // what comes again is the last, or of a trail that is read anew
		for i >= 0 && (p.Entries[i].Seq != e.Seq || p.Entries[i].Incarnation != e.Incarnation) {
			i--
		}
		switch {
		case i < 0:
			if n := len(p.Entries); n > 0 && p.Entries[n-1].Incarnation == e.Incarnation && p.Entries[n-1].Seq+1 == e.Seq && p.Entries[n-1].Sum != e.Prev {
				h.note(Rewritten, name, e.Time, fmt.Sprintf("entry %d does not follow the entry %d that was read before", e.Seq, e.Seq-1))
			}
			p.Entries = append(p.Entries, e)
			fresh++
		case p.Entries[i].Sum != e.Sum:
			h.note(Rewritten, name, e.Time, fmt.Sprintf("entry %d was %s and is %s", e.Seq, p.Entries[i].Sum, e.Sum))
		}
	}
	if fresh > 0 {
		h.look(name, p, fresh)
	}
	p.Entries = slices.Clone(p.Entries[max(0, len(p.Entries)-h.most()):])
}

// most is how many entries are kept of each sidecar.
func (h *History) most() int { return min(entriesMost, entriesAll/max(1, len(h.Sidecars))) }

// look looks at the last entries of a sidecar, so many of which are new, for what can't be.
func (h *History) look(name string, p *Past, fresh int) {
	first := len(p.Entries) - fresh
	revisions, epoch := map[string]int64{}, uint64(0)
	for i, e := range p.Entries {
		if i > 0 && !follows(p.Entries[i-1].Entry, e.Entry) { // what was kept before is lost, rightly or not
			revisions, epoch = map[string]int64{}, 0
		}
		if o := e.Order; e.Kind == auditlog.Ordered && o != nil && e.Reason == "" && i >= first {
			h.ordered(name, e, o.Minimum)
		}
		v := e.Version
		if !adopts(e) {
			continue
		}
		if last, seen := revisions[v.List.From]; i >= first && seen && v.List.Revision < last && served(v.List) {
			h.note(Back, name, e.Time, fmt.Sprintf("%s: revision %d after %d", v.List.From, v.List.Revision, last))
		}
		if i >= first && v.Epoch < epoch {
			h.note(Back, name, e.Time, fmt.Sprintf("epoch %d after %d", v.Epoch, epoch))
		}
		revisions[v.List.From], epoch = v.List.Revision, max(epoch, v.Epoch)
		if i >= first {
			h.listed(name, e.Time, v.List)
			h.early(name, e)
		}
	}
}

// follows tells whether a trail goes from one entry to another.
func follows(a, b auditlog.Entry) bool { return b.Seq == a.Seq+1 && b.Prev == a.Sum }

// served tells whether a list came from a list service, and not from a former process or the configuration.
func served(l version.List) bool {
	return l.Digest != 0 && l.From != "known" && l.From != "snapshot" && l.From != "former" && l.From != ""
}

// listed notes a list's content under its name.
func (h *History) listed(who string, at version.Millis, l version.List) {
	if !served(l) {
		return
	}
	key := fmt.Sprintf("%s %d", l.From, l.Revision)
	first, seen := h.Names[key]
	switch {
	case !seen:
		if h.Names == nil || len(h.Names) >= namesMost {
			h.Names = map[string]named{}
		}
		h.Names[key] = named{l.Digest, who}
	case first.Digest != l.Digest:
		h.note(Twice, who, at, fmt.Sprintf("%s revision %d is %016x here and %016x at %s",
			l.From, l.Revision, uint64(l.Digest), uint64(first.Digest), first.At))
	}
}

// Published takes in what the list service told a call that went out and came back at those times.
func (h *History) Published(out, back version.Millis, l version.List) {
	if n := len(h.Told); n > 0 && h.Told[n-1].List == l {
		h.Told[n-1].To = out
		return
	}
	h.Told = append(h.Told[max(0, len(h.Told)+1-pollsMost):], told{back, back, l})
	h.listed("the list service", back, l)
	for name, p := range h.Sidecars { // who had it before
		for _, e := range p.Entries {
			if adopts(e) {
				h.early(name, e)
			}
		}
	}
}

// early looks whether an adopted list was acted on while the list service told a lower revision, before and after, and told
// this one only later. A service that counts anew in between proves nothing, nor does a time before the first call.
func (h *History) early(name string, e Placed) {
	l := e.Version.List
	if !served(l) {
		return
	}
	from, to := e.Time-e.Within-slack, e.Time+e.Within+slack
	first := slices.IndexFunc(h.Told, func(t told) bool { return t.List.Revision == l.Revision && t.List.Digest == l.Digest })
	begin := first
	for begin > 0 && h.Told[begin-1].List.Revision < h.Told[begin].List.Revision {
		begin--
	}
	if first > begin && h.Told[begin].From <= from && to <= h.Told[first-1].To {
		h.note(Early, name, e.Time, fmt.Sprintf("revision %d was adopted %.1f s before the list service told of it; it then told revision %d",
			l.Revision, float64(h.Told[first].From-e.Time)/1000, h.Told[first-1].List.Revision))
	}
}

// Raise notes a floor that this audit raises.
func (h *History) Raise(now version.Millis, f version.MinimumVersion) { h.raise(raised{f, now, true}) }

// ordered notes a floor that a sidecar took.
func (h *History) ordered(name string, e Placed, f version.MinimumVersion) {
	i := slices.IndexFunc(h.Raised, func(r raised) bool { return r.Floor.Epoch == f.Epoch && r.Floor.By == f.By })
	switch {
	case i < 0:
		h.raise(raised{f, e.Time, false})
	case h.Raised[i].Ours && e.Time+e.Within+slack < h.Raised[i].At:
		h.note(Early, name, e.Time, fmt.Sprintf("epoch %d was taken %.1f s before it was raised", f.Epoch, float64(h.Raised[i].At-e.Time)/1000))
	case !h.Raised[i].Ours:
		h.Raised[i].At = min(h.Raised[i].At, e.Time)
	}
}

func (h *History) raise(r raised) {
	i := slices.IndexFunc(h.Raised, func(old raised) bool { return old.Floor.Epoch == r.Floor.Epoch && old.Floor.By == r.Floor.By })
	if i >= 0 {
		h.Raised[i].Ours, h.Raised[i].At = r.Ours || h.Raised[i].Ours, min(h.Raised[i].At, r.At)
		return
	}
	h.Raised = append(h.Raised, r)
	slices.SortStableFunc(h.Raised, func(a, b raised) int { return compareFloors(a.Floor, b.Floor) })
	h.Raised = h.Raised[max(0, len(h.Raised)-floorsMost):]
}

// note keeps a contradiction, once.
func (h *History) note(kind, sidecar string, at version.Millis, what string) {
	switch same := func(c Contradiction) bool { return c.Kind == kind && c.Sidecar == sidecar && c.What == what }; {
	case slices.ContainsFunc(h.Found, same):
	case len(h.Found) >= foundMost:
		h.Unkept++
	default:
		h.Found = append(h.Found, Contradiction{kind, sidecar, at, what})
	}
}

// compareFloors orders floors: the one that is less loses.
func compareFloors(a, b version.MinimumVersion) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.By, b.By))
}
