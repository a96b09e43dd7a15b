package auditlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/version"
)

// maxSeq keeps a number that somebody has made up from running over.
const maxSeq = 1 << 62

// seal makes an entry the one after another. It is brought to what is read back of it first, so that its sum is the same
// there: JSON has no text that is not UTF-8.
func link(prev Entry, e Entry) (Entry, []byte, error) {
	e.Seq, e.Prev, e.Sum = prev.Seq+1, prev.Sum, ""
	text, err := json.Marshal(&e)
	if err != nil {
		return e, nil, fmt.Errorf("trail: entry: %w", err)
	}
	e = Entry{}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, nil, fmt.Errorf("trail: entry: %w", err)
	}
	e.Sum = checksum(e)
	text, err = json.Marshal(e)
	return e, text, err
}

// sum is the first 16 bytes of the SHA-256 of an entry's JSON, in which Sum is empty and Prev stands.
func checksum(e Entry) string {
	e.Sum = ""
	text, err := json.Marshal(e)
	if err != nil {
		return "" // it has no such values
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:16])
}

// Kind says what is wrong with a trail.
type FaultKind string

// The flaws. None of them is that a trail begins after its first entry: older ones are dropped.
const (
	Changed    FaultKind = "changed"    // an entry is not what its sum was made of
	Missing    FaultKind = "hole"       // Count entries before this one are missing, and no entry tells that they were lost
	Unchained  FaultKind = "unchained"  // the entry before it is there and another than it was made after
	Disordered FaultKind = "disordered" // it stands after one of its own process that came later, or twice
	Unreadable FaultKind = "unreadable" // a line of a file is no entry
)

// OnFault is a place at which a trail is not whole.
type Fault struct {
	Seq   uint64    `json:"seq"` // of the entry at which it shows; 0 where that can't be said
	Kind  FaultKind `json:"flaw"`
	Count uint64    `json:"n,omitempty"`    // Missing: how many are missing
	File  string    `json:"file,omitempty"` // Unreadable: where
	Line  int       `json:"line,omitempty"` // Unreadable: from 1
}

func (f Fault) String() string {
	switch f.Kind {
	case Missing:
		return fmt.Sprintf("entry %d: a hole, %d before it are missing", f.Seq, f.Count)
	case Unreadable:
		return fmt.Sprintf("%s, line %d: unreadable", f.File, f.Line)
	}
	return fmt.Sprintf("entry %d: %s", f.Seq, f.Kind)
}

// Check returns where a trail, in order of its numbers, is not whole. A process that succeeds another goes on from what that
// had handed over, while that goes on itself, so the chain may fork, but only at the first entry of a process. What was cut
// off its end, or made anew from some place on to the end, does not show in a trail itself: whoever has seen more of it knows.
func Check(entries []Entry) (faults []Fault) {
	fault := func(seq uint64, flaw FaultKind, n uint64) {
		faults = append(faults, Fault{Seq: seq, Kind: flaw, Count: n})
	}
	last := map[string]Entry{}    // of each process
	sums := map[uint64][]string{} // by number: more than one where the chain has forked
	gone := lostRuns(entries)
	high := uint64(0)
	for i, e := range entries {
		if checksum(e) != e.Sum {
			fault(e.Seq, Changed, 0)
		}
		from, going := last[e.Incarnation]
		before := sums[e.Seq-1]
		if going {
			before = []string{from.Sum}
		} else {
			from.Seq = high
		}
		switch {
		case going && e.Seq <= from.Seq:
			fault(e.Seq, Disordered, 0)
			continue
		case e.Seq == 1: // a process that found nothing of one before it begins anew
			if e.Prev != "" {
				fault(e.Seq, Unchained, 0)
			}
		case i == 0: // those before it are dropped
			if e.Prev == "" {
				fault(e.Seq, Unchained, 0)
			}
		case going && e.Seq > from.Seq+1, !going && len(before) == 0:
			if e.Seq > from.Seq+1 && !covers(gone, from.Seq+1, e.Seq-1) {
				fault(e.Seq, Missing, e.Seq-1-from.Seq)
			}
		case !slices.Contains(before, e.Prev), !going && e.Kind != Started:
			fault(e.Seq, Unchained, 0)
		}
		last[e.Incarnation], high = e, max(high, e.Seq)
		sums[e.Seq] = append(sums[e.Seq], e.Sum)
	}
	return faults
}

// losses are the entries that others tell were lost, the first and the last of each run, in order.
func lostRuns(entries []Entry) (runs [][2]uint64) {
	for _, e := range entries {
		if e.Kind == Lost && e.N > 0 && e.UpTo >= uint64(e.N) && e.UpTo < e.Seq {
			runs = append(runs, [2]uint64{e.UpTo - uint64(e.N) + 1, e.UpTo})
		}
	}
	slices.SortFunc(runs, func(a, b [2]uint64) int { return cmp.Compare(a[0], b[0]) })
	return runs
}

// told says whether runs hold all numbers of a span.
func covers(runs [][2]uint64, from, to uint64) bool {
	for _, r := range runs {
		if r[0] <= from && r[1] >= from {
			from = r[1] + 1
		}
	}
	return from > to
}

func bySeq(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) }

// LastOrder is the epoch, and by whom, of the highest order that a trail tells was taken: who goes on from the trail takes no
// older one. By is empty where only the epoch is told.
func LastOrder(entries []Entry) (epoch uint64, by string) {
	for _, e := range entries {
		if e.Version != nil && e.Version.Epoch > epoch {
			epoch, by = e.Version.Epoch, ""
		}
		if f := e.acceptedMinimum(); f != nil && (f.Epoch > epoch || f.Epoch == epoch && f.By > by) {
			epoch, by = f.Epoch, f.By
		}
	}
	return epoch, by
}

// taken is the floor of an order that was taken; nil: the entry tells of none.
func (e *Entry) acceptedMinimum() *version.MinimumVersion {
	if e.Kind != Ordered || e.Order == nil || e.Reason != "" {
		return nil
	}
	return &e.Order.Minimum
}
