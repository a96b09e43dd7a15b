package auditlog

import (
	"encoding/json"
	"reflect"
	"slices"
	"sync"

	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

// What a Log keeps. With 12 hosts and three classes an entry of counts is 2 KB, so this is the last 40 minutes; a disk that
// is unavailable for that long loses nothing. All of it goes into the hand-over's message (8 MiB at most); a process has 32 MB.
const (
	maxRingBytes   = 512 << 10 // as JSON
	maxRingEntries = 2048      // of 500 bytes each, where a list changes several times a second
	maxCountsBytes = 16 << 10  // of an entry of counts, about; the rest goes into another one, so that several fit into a report
	maxTextBytes   = 256       // of any text in an entry, except in orders, which are bounded when they are parsed
)

// Log has the last entries of a process, and the version that it acts on. A nil *Log keeps nothing. It may be used by many
// goroutines at once.
type Log struct {
	incarnation string
	clock       func() persistence.Timestamp
	counts      counts

	// Updated has a value when there are entries that the writer hasn't seen.
	Updated chan struct{}

	mu        sync.Mutex // taken before counts' own
	ring      []Entry
	sizes     []int // of each, in bytes of JSON
	size      int   // of all
	last      Entry // of which only Seq and Sum are used
	current   version.Version
	versionID uint32

	lastOrder     *Entry // the last one that was accepted
	lastAdoption  *Entry // the last one of this process
	lastRejection *Entry // the last order that was rejected
}

// NewLog returns the log of a process that continues the entries before it, from a disk or from a predecessor; nil where there
// are none. Source says which. The epoch of the last accepted order stays in force.
func NewLog(incarnation, source string, past []Entry, clock func() persistence.Timestamp) *Log {
	b := &Log{incarnation: incarnation, clock: clock, Updated: make(chan struct{}, 1)}
	past = slices.Clone(past)
	slices.SortStableFunc(past, bySeq) // so that no number is assigned again
	for _, e := range past {
		text, _ := json.Marshal(e)
		b.push(e, len(text))
		b.last = e
	}
	epoch, by := LastOrder(past)
	b.current.Epoch = epoch
	b.append(Entry{Kind: Started, From: truncate(source)})
	for _, e := range past {
		if f := e.acceptedMinimum(); f != nil && f.Epoch == epoch && f.By == by {
			b.lastOrder = &e
		}
	}
	b.repeatDropped()
	return b
}

// Change records that the process acts on another version. Edit makes it from the one before, from is its source, and apply
// puts it into force, under the number by which attempts are counted from then on. Changes are applied one after the other, in
// the order of their numbers; one that changes nothing keeps the number. Apply must not call the log, except for Sent and
// Ended. Attempts under the number before may still be counted: they come into a later entry, under that number.
func (b *Log) Change(edit func(*version.Version), from string, apply func(under uint32)) {
	if b == nil {
		apply(0)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.current
	edit(&next)
	next.Epoch = b.current.Epoch // which only an order changes
	next.List.From, next.Build = truncate(next.List.From), truncate(next.Build)
	if next != b.current || b.versionID == 0 {
		b.flush()
		b.versionID++
		b.current = next
		b.lastAdoption = b.append(Entry{Kind: Adopted, VersionID: b.versionID, Version: &next, From: truncate(from)})
	}
	apply(b.versionID)
}

// Append appends an entry, before an Ended one with the attempts so far; its number, times, incarnation and checksums are the
// log's. An order that only renews the last one is left out: auditors send them every round.
func (b *Log) Append(e Entry) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Reason, e.From, e.State = truncate(e.Reason), truncate(e.From), truncate(e.State)
	if e.Kind == Ended {
		b.flush()
	}
	if e.Kind != Ordered || e.Order == nil {
		b.append(e)
		return
	}
	f := e.acceptedMinimum()
	before := &b.lastOrder
	if f == nil {
		before = &b.lastRejection
	}
	if f != nil {
		b.current.Epoch = max(b.current.Epoch, f.Epoch)
	}
	if *before != nil && (*before).Reason == e.Reason && isRenewal((*before).Order, e.Order) {
		return
	}
	*before = b.append(e)
}

// isRenewal reports whether an order contains nothing that the one before hasn't, except a renewed permit.
func isRenewal(a, b *version.Order) bool {
	return reflect.DeepEqual(a.Minimum, b.Minimum) && (a.Permit == nil) == (b.Permit == nil) &&
		(a.Permit == nil || a.Permit.Number == b.Permit.Number)
}

// truncate bounds text from outside, which must not fill the ring.
func truncate(s string) string { return s[:min(len(s), maxTextBytes)] }

// Flush appends the attempts since the last time, if there were any.
func (b *Log) Flush() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

// flush is Flush for a caller that holds mu.
func (b *Log) flush() {
	for _, e := range b.counts.take() {
		b.append(e)
	}
}

// EntriesSince returns the entries from that number on, the oldest first, as many as have at most maxBytes of JSON, but at
// least one; the number to continue from; and the number of the oldest entry that is kept.
func (b *Log) EntriesSince(seq uint64, maxBytes int) (entries []Entry, next, first uint64) {
	if b == nil {
		return nil, 1, 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next = b.last.Seq + 1
	for i, e := range b.ring {
		if e.Seq < seq {
			continue
		}
		maxBytes -= b.sizes[i]
		if maxBytes < 0 && len(entries) > 0 {
			next = e.Seq
			break
		}
		entries = append(entries, e)
	}
	return entries, next, b.ring[0].Seq
}

// Entries returns all entries that are kept, with the attempts so far, for a successor.
func (b *Log) Entries() []Entry {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
	return slices.Clone(b.ring)
}

// Version returns what the process acts on, and its number; 0: nothing yet.
func (b *Log) Version() (version.Version, uint32) {
	if b == nil {
		return version.Version{}, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.versionID
}

// append appends an entry and returns it; the caller holds mu.
func (b *Log) append(e Entry) *Entry {
	now := b.clock()
	e.At, e.Up, e.Incarnation = version.Millis(now.Wall.UnixMilli()), version.Millis(now.Up.Milliseconds()), b.incarnation
	e, text, err := link(b.last, e)
	if err != nil {
		return nil // no value of it fails to encode
	}
	b.last = e
	b.push(e, len(text))
	b.repeatDropped()
	select {
	case b.Updated <- struct{}{}:
	default:
	}
	return &e
}

// push puts an entry into the ring, and drops the oldest ones beyond its bounds.
func (b *Log) push(e Entry, size int) {
	b.ring, b.sizes, b.size = append(b.ring, e), append(b.sizes, size), b.size+size
	drop := 0
	for b.size > maxRingBytes && drop < len(b.ring)-1 || len(b.ring)-drop > maxRingEntries {
		b.size -= b.sizes[drop]
		drop++
	}
	if drop > 0 {
		clear(b.ring[:drop]) // for the garbage collector
		b.ring, b.sizes = b.ring[drop:], b.sizes[drop:]
	}
}

// repeatDropped appends the last order and the last adoption again once they have been dropped, so that the ring and the files
// always contain the epoch and the version.
func (b *Log) repeatDropped() {
	for _, slot := range []**Entry{&b.lastOrder, &b.lastAdoption} {
		if e := *slot; e != nil && e.Seq < b.ring[0].Seq {
			repetition := *e
			repetition.From = "kept"
			*slot = nil // append calls repeatDropped
			*slot = b.append(repetition)
		}
	}
}
