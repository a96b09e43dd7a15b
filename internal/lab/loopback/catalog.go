package loopback

import (
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// catalog is what discovery's agent knows of its tier, with the revision at which it learnt of each entry.
// Entries that are gone stay, so that they are among the changes.
type catalog struct {
	revision int64
	entries  map[int]catalogEntry // by box
}

type catalogEntry struct {
	plan.Listed
	revision int64
}

func newCatalog(first []plan.Listed) *catalog {
	c := &catalog{revision: 1, entries: map[int]catalogEntry{}}
	for _, l := range first {
		c.entries[l.Box] = catalogEntry{l, c.revision}
	}
	return c
}

func (c *catalog) update(l plan.Listed) {
	c.revision++
	c.entries[l.Box] = catalogEntry{l, c.revision}
}

// knows says whether it has ever had a revision, so that changes since then mean something.
func (c *catalog) hasRevision(revision int64) bool { return revision >= 1 && revision <= c.revision }

// whole is the list, by box.
func (c *catalog) members() []plan.Listed {
	return c.filter(func(e catalogEntry) bool { return e.Phase != trace.PhaseGone })
}

// changes are the entries that are newer than a revision, by box.
func (c *catalog) changesSince(since int64) []plan.Listed {
	return c.filter(func(e catalogEntry) bool { return e.revision > since })
}

func (c *catalog) filter(wanted func(catalogEntry) bool) []plan.Listed {
	out := []plan.Listed{} // JSON has no list for nil
	for _, box := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[box]; wanted(e) {
			out = append(out, e.Listed)
		}
	}
	return out
}

// copy is a catalog that goes on without what is told from now on.
func (c *catalog) clone() *catalog {
	return &catalog{revision: c.revision, entries: maps.Clone(c.entries)}
}
