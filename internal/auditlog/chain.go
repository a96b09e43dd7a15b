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

// maxSeq bounds a number that somebody has made up, against overflow.
const maxSeq = 1 << 62

// link makes an entry the one after prev, and returns its JSON, too. The entry is encoded and decoded first, so that its
// checksum is the same for whoever reads it: JSON has no text that isn't UTF-8.
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

// checksum returns the first 16 bytes of the SHA-256 of an entry's JSON with an empty Sum, as hexadecimal digits.
func checksum(e Entry) string {
	e.Sum = ""
	text, err := json.Marshal(e)
	if err != nil {
		return "" // no value of it fails to encode
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:16])
}

// Check returns the faults of a log whose entries are in order of their numbers. A successor continues from what its
// predecessor handed over, while that goes on itself, so the chain may fork, but only at the first entry of a process. What was
// cut off at the end, or rewritten from some entry to the end, doesn't show in a log itself, but only to a reader that has seen
// more of it.
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

// lostRuns returns the runs of entries that others report as lost, the first and the last number of each, in order.
func lostRuns(entries []Entry) (runs [][2]uint64) {
	for _, e := range entries {
		if e.Kind == Lost && e.N > 0 && e.UpTo >= uint64(e.N) && e.UpTo < e.Seq {
			runs = append(runs, [2]uint64{e.UpTo - uint64(e.N) + 1, e.UpTo})
		}
	}
	slices.SortFunc(runs, func(a, b [2]uint64) int { return cmp.Compare(a[0], b[0]) })
	return runs
}

// covers reports whether runs cover all numbers from first to last.
func covers(runs [][2]uint64, from, to uint64) bool {
	for _, r := range runs {
		if r[0] <= from && r[1] >= from {
			from = r[1] + 1
		}
	}
	return from > to
}

func bySeq(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) }

// LastOrder returns the epoch and the auditor of the highest order that a log says was accepted: a process that continues the
// log accepts no lesser one. By is empty where only the epoch is known.
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

// acceptedMinimum returns the minimum version of an order that was accepted; nil: the entry is about none.
func (e *Entry) acceptedMinimum() *version.MinimumVersion {
	if e.Kind != Ordered || e.Order == nil || e.Reason != "" {
		return nil
	}
	return &e.Order.Minimum
}
