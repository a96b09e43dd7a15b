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

// seqMost keeps a number that somebody has made up from running over.
const seqMost = 1 << 62

// seal makes an entry the one after another. It is brought to what is read back of it first, so that its sum is the same
// there: JSON has no text that is not UTF-8.
func seal(prev Entry, e Entry) (Entry, []byte, error) {
	e.Seq, e.Prev, e.Sum = prev.Seq+1, prev.Sum, ""
	text, err := json.Marshal(&e)
	if err != nil {
		return e, nil, fmt.Errorf("trail: entry: %w", err)
	}
	e = Entry{}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, nil, fmt.Errorf("trail: entry: %w", err)
	}
	e.Sum = sum(e)
	text, err = json.Marshal(e)
	return e, text, err
}

// sum is the first 16 bytes of the SHA-256 of an entry's JSON, in which Sum is empty and Prev stands.
func sum(e Entry) string {
	e.Sum = ""
	text, err := json.Marshal(e)
	if err != nil {
		return "" // it has no such values
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:16])
}

// Flaw says what is wrong with a trail.
type Flaw string

// The flaws. None of them is that a trail begins after its first entry: older ones are dropped.
const (
	Changed    Flaw = "changed"    // an entry is not what its sum was made of
	Hole       Flaw = "hole"       // N entries before this one are missing, and no entry tells that they were lost
	Unchained  Flaw = "unchained"  // the entry before it is there and another than it was made after
	Disordered Flaw = "disordered" // it stands after one of its own process that came later, or twice
	Unreadable Flaw = "unreadable" // a line of a file is no entry
)

// Fault is a place at which a trail is not whole.
type Fault struct {
	Seq  uint64 `json:"seq"` // of the entry at which it shows; 0 where that can't be said
	Flaw Flaw   `json:"flaw"`
	N    uint64 `json:"n,omitempty"`    // Hole: how many are missing
	File string `json:"file,omitempty"` // Unreadable: where
	Line int    `json:"line,omitempty"` // Unreadable: from 1
}

func (f Fault) String() string {
	switch f.Flaw {
	case Hole:
		return fmt.Sprintf("entry %d: a hole, %d before it are missing", f.Seq, f.N)
	case Unreadable:
		return fmt.Sprintf("%s, line %d: unreadable", f.File, f.Line)
	}
	return fmt.Sprintf("entry %d: %s", f.Seq, f.Flaw)
}

// Check returns where a trail, in order of its numbers, is not whole. A process that succeeds another goes on from what that
// had handed over, while that goes on itself, so the chain may fork, but only at the first entry of a process. What was cut
// off its end, or made anew from some place on to the end, does not show in a trail itself: whoever has seen more of it knows.
func Check(entries []Entry) (faults []Fault) {
	fault := func(seq uint64, flaw Flaw, n uint64) { faults = append(faults, Fault{Seq: seq, Flaw: flaw, N: n}) }
	last := map[string]Entry{}    // of each process
	sums := map[uint64][]string{} // by number: more than one where the chain has forked
	gone := losses(entries)
	high := uint64(0)
	for i, e := range entries {
		if sum(e) != e.Sum {
			fault(e.Seq, Changed, 0)
		}
		from, going := last[e.Life]
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
			if e.Seq > from.Seq+1 && !told(gone, from.Seq+1, e.Seq-1) {
				fault(e.Seq, Hole, e.Seq-1-from.Seq)
			}
		case !slices.Contains(before, e.Prev), !going && e.Kind != Began:
			fault(e.Seq, Unchained, 0)
		}
		last[e.Life], high = e, max(high, e.Seq)
		sums[e.Seq] = append(sums[e.Seq], e.Sum)
	}
	return faults
}

// losses are the entries that others tell were lost, the first and the last of each run, in order.
func losses(entries []Entry) (runs [][2]uint64) {
	for _, e := range entries {
		if e.Kind == Lost && e.N > 0 && e.Upto >= uint64(e.N) && e.Upto < e.Seq {
			runs = append(runs, [2]uint64{e.Upto - uint64(e.N) + 1, e.Upto})
		}
	}
	slices.SortFunc(runs, func(a, b [2]uint64) int { return cmp.Compare(a[0], b[0]) })
	return runs
}

// told says whether runs hold all numbers of a span.
func told(runs [][2]uint64, from, to uint64) bool {
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
		if f := e.taken(); f != nil && (f.Epoch > epoch || f.Epoch == epoch && f.By > by) {
			epoch, by = f.Epoch, f.By
		}
	}
	return epoch, by
}

// taken is the floor of an order that was taken; nil: the entry tells of none.
func (e *Entry) taken() *version.Floor {
	if e.Kind != Ordered || e.Order == nil || e.Why != "" {
		return nil
	}
	return &e.Order.Floor
}
