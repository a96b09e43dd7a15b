package loopback

import (
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// catalog is the endpoint list of a tier as an agent has it, with the revision of each entry's last change. Entries that are gone
// stay, so that they are among the changes.
type catalog struct {
	revision int64
	entries  map[int]catalogEntry // by endpoint
}

type catalogEntry struct {
	plan.ListEntry
	revision int64 // of its last change
}

func newCatalog(first []plan.ListEntry) *catalog {
	c := &catalog{revision: 1, entries: map[int]catalogEntry{}}
	for _, listed := range first {
		c.entries[listed.Endpoint] = catalogEntry{listed, c.revision}
	}
	return c
}

func (c *catalog) update(listed plan.ListEntry) {
	c.revision++
	c.entries[listed.Endpoint] = catalogEntry{listed, c.revision}
}

// hasRevision reports whether the catalog has had a revision, so that there are changes since then.
func (c *catalog) hasRevision(revision int64) bool { return revision >= 1 && revision <= c.revision }

// members is the complete list, by endpoint.
func (c *catalog) members() []plan.ListEntry {
	return c.filter(func(entry catalogEntry) bool { return entry.Phase != trace.PhaseGone })
}

// changesSince are the entries that have changed after a revision, by endpoint.
func (c *catalog) changesSince(since int64) []plan.ListEntry {
	return c.filter(func(entry catalogEntry) bool { return entry.revision > since })
}

func (c *catalog) filter(wanted func(catalogEntry) bool) []plan.ListEntry {
	list := []plan.ListEntry{} // not nil, which JSON would encode as null
	for _, endpoint := range slices.Sorted(maps.Keys(c.entries)) {
		if entry := c.entries[endpoint]; wanted(entry) {
			list = append(list, entry.ListEntry)
		}
	}
	return list
}

// clone is a copy that further updates don't change.
func (c *catalog) clone() *catalog {
	return &catalog{revision: c.revision, entries: maps.Clone(c.entries)}
}
