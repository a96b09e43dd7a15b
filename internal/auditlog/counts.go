package auditlog

import (
	"cmp"
	"slices"
	"sync"

	"pinelb.example/pinelb/balance"
)

// maxCells bounds the combinations of host, class and version that are counted apart between two entries: 5,000 hosts, for one
// and a half classes. What exceeds it is counted together, without class and host.
const maxCells = 8192

// counts are attempts that are in no entry yet. On a request's path it looks up a small key; names are resolved once.
type counts struct {
	names func(class int, host balance.EndpointID) (string, string)

	mu    sync.Mutex
	cells map[countKey]*cell
}

type countKey struct {
	versionID, class uint32
	host             balance.EndpointID
}

type cell struct {
	Attempts
	crossed int
	idle    bool // nothing was counted in the last window
}

// overflowKey returns the key of what exceeds maxCells.
func overflowKey(under uint32) countKey { return countKey{versionID: under, class: 1<<32 - 1} }

// Names sets the function that names classes and hosts, before anything is counted. It is called on a request's path when a
// host is first sent to, and may wait for a Change.
func (b *Log) Names(names func(class int, host balance.EndpointID) (string, string)) {
	b.counts.names = names
}

// Sent counts an attempt that was decided under a version's number. Crossed says that its stream's first attempt was under
// another one.
func (b *Log) Sent(under uint32, class int, host balance.EndpointID, crossed bool) {
	if b == nil {
		return
	}
	c := b.counts.lockedCell(countKey{under, uint32(class), host})
	c.N++
	if crossed {
		c.crossed++
	}
	b.counts.mu.Unlock()
}

// Ended records that an attempt certainly didn't reach its host (unsent), or was cancelled (withdrawn). Other outcomes need not
// be recorded.
func (b *Log) Ended(under uint32, class int, host balance.EndpointID, unsent, withdrawn bool) {
	if b == nil || !unsent && !withdrawn {
		return
	}
	c := b.counts.lockedCell(countKey{under, uint32(class), host})
	if unsent {
		c.Unsent++
	} else {
		c.Withdrawn++
	}
	b.counts.mu.Unlock()
}

// lockedCell returns a key's cell, with mu locked.
func (c *counts) lockedCell(k countKey) *cell {
	c.mu.Lock()
	if got := c.cells[k]; got != nil {
		return got
	}
	full := len(c.cells) >= maxCells
	c.mu.Unlock()
	made := &cell{} // names is called without the lock, for it may wait for a Change
	if full {
		k = overflowKey(k.versionID)
	} else if c.names != nil {
		class, host := c.names(int(k.class), k.host)
		made.Class, made.Host = truncate(class), truncate(host)
	}
	c.mu.Lock()
	if got := c.cells[k]; got != nil {
		return got
	}
	if c.cells == nil {
		c.cells = map[countKey]*cell{}
	}
	c.cells[k] = made
	return made
}

// take returns entries of what was counted since the last call, in order of versions, classes and hosts. Cells stay for another
// window, so that steady traffic allocates none.
func (c *counts) take() (entries []Entry) {
	type counted struct {
		under uint32
		cell
	}
	var all []counted
	c.mu.Lock()
	for k, got := range c.cells {
		if got.N == 0 && got.Unsent == 0 && got.Withdrawn == 0 {
			if got.idle {
				delete(c.cells, k)
			}
			got.idle = true
			continue
		}
		all = append(all, counted{k.versionID, *got})
		*got = cell{Attempts: Attempts{Class: got.Class, Host: got.Host}}
	}
	c.mu.Unlock()
	slices.SortFunc(all, func(a, b counted) int {
		return cmp.Or(cmp.Compare(a.under, b.under), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Host, b.Host))
	})
	size := 0
	for _, a := range all {
		if n := len(entries); n == 0 || entries[n-1].VersionID != a.under || size > maxCountsBytes {
			entries, size = append(entries, Entry{Kind: Counted, VersionID: a.under}), 0
		}
		e := &entries[len(entries)-1]
		e.Attempts = append(e.Attempts, a.Attempts)
		e.Crossed += a.crossed
		size += len(a.Class) + len(a.Host) + 48
	}
	return entries
}
