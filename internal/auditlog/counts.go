package auditlog

import (
	"cmp"
	"slices"
	"sync"

	"pinelb.example/pinelb/balance"
)

// maxCells is of how many hosts, classes and numbers attempts are told apart between two entries: 5,000 hosts, for a class
// and a half. What comes beyond is counted together, without a class and a host.
const maxCells = 8192

// counts are attempts that are in no entry yet. A request's path only looks up a small key; names are asked for once.
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
	idle    bool // nothing was counted in the window before
}

// others is the key of what has no room for one of its own.
func overflowKey(under uint32) countKey { return countKey{versionID: under, class: 1<<32 - 1} }

// Names sets what gives classes and hosts their names, before anything is counted. It is asked on a request's path when a host
// is first sent to, and may wait for a Change.
func (b *Log) Names(names func(class int, host balance.EndpointID) (string, string)) {
	b.counts.names = names
}

// Sent counts an attempt that was decided under a number. Crossed says that its stream's first was under another one.
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

// Ended says how an attempt ended: that it proved never to have reached the host, or was withdrawn. What ended otherwise need
// not be told.
func (b *Log) Ended(under uint32, class int, host balance.EndpointID, never, left bool) {
	if b == nil || !never && !left {
		return
	}
	c := b.counts.lockedCell(countKey{under, uint32(class), host})
	if never {
		c.Unsent++
	} else {
		c.Withdrawn++
	}
	b.counts.mu.Unlock()
}

// at returns a key's cell, with the lock held.
func (c *counts) lockedCell(k countKey) *cell {
	c.mu.Lock()
	if got := c.cells[k]; got != nil {
		return got
	}
	full := len(c.cells) >= maxCells
	c.mu.Unlock()
	made := &cell{} // names are asked for without the lock: whoever gives them may be in the middle of a Change
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

// take returns entries of what was counted since it was last called, in order of numbers, classes and hosts. Cells stay for
// another window, so that steady traffic makes none.
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
