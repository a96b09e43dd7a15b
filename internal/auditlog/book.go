package auditlog

import (
	"encoding/json"
	"reflect"
	"slices"
	"sync"

	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

// What the book holds. With 12 hosts and three classes an entry of counts is 2 KB, so this is the last 40 minutes; a disk that
// is gone for that long loses nothing. It goes whole into the hand-over's message (8 MiB at most) and a process has 32 MB.
const (
	maxRingBytes   = 512 << 10 // as JSON
	maxRingEntries = 2048      // a list that changes several times a second makes entries of 500 bytes
	maxCountsBytes = 16 << 10  // of counts, about: more goes into a further entry, so that an answer has room for some
	maxTextBytes   = 256       // bytes of any text in an entry, but for orders, which are bounded as they come
)

// Log is what a process of a sidecar has of its trail: the last entries, and the version that it acts on. A nil *Book keeps
// nothing. It may be used by many goroutines at once.
type Log struct {
	incarnation string
	clock       func() persistence.Timestamp
	counts      counts

	// Updated has a value where there are entries that whoever writes them has not looked at.
	Updated chan struct{}

	mu        sync.Mutex // before counts' own
	ring      []Entry
	sizes     []int // of each of them, as JSON
	size      int   // of all
	last      Entry // of which only Seq and Sum are needed
	current   version.Version
	versionID uint32

	lastOrder     *Entry // the last that was taken
	lastAdoption  *Entry // the last of this process
	lastRejection *Entry // the last order that was refused
}

// NewLog returns the book of a process that goes on from a past, which a disk had or a former process handed over; nil where
// there is none. Life is the process's own, from says whose past it is. The epoch of the last order that was taken holds on.
func NewLog(life, from string, past []Entry, clock func() persistence.Timestamp) *Log {
	b := &Log{incarnation: life, clock: clock, Updated: make(chan struct{}, 1)}
	past = slices.Clone(past)
	slices.SortStableFunc(past, bySeq) // no number is given again
	for _, e := range past {
		text, _ := json.Marshal(e)
		b.push(e, len(text))
		b.last = e
	}
	epoch, by := LastOrder(past)
	b.current.Epoch = epoch
	b.append(Entry{Kind: Started, From: truncate(from)})
	for _, e := range past {
		if f := e.acceptedMinimum(); f != nil && f.Epoch == epoch && f.By == by {
			b.lastOrder = &e
		}
	}
	b.repeatDropped()
	return b
}

// Change has the process act on another version: edit makes it of the one before, from says whom it comes from, and apply has
// it take effect, under the number that every attempt is counted by from then on. Changes are applied one after the other, in
// the order of their numbers; what changes nothing keeps the number. Apply must not call the book, but for Sent and Ended.
// Attempts under the number before may still be counted: they come into a later entry, under that number.
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

// Append takes an entry of what has happened, with the attempts so far before an end; its number, time, life and sums are the book's. An order that only renews the one
// noted last is not noted: auditors send them every round.
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

// renews says whether an order tells nothing that the one before has not, but that its ticket goes on.
func isRenewal(a, b *version.Order) bool {
	return reflect.DeepEqual(a.Minimum, b.Minimum) && (a.Permit == nil) == (b.Permit == nil) &&
		(a.Permit == nil || a.Permit.Number == b.Permit.Number)
}

// clip keeps what comes from outside from filling the ring.
func truncate(s string) string { return s[:min(len(s), maxTextBytes)] }

// Flush notes the attempts since the last time, where there were any.
func (b *Log) Flush() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

func (b *Log) flush() {
	for _, e := range b.counts.take() {
		b.append(e)
	}
}

// EntriesSince returns the entries of that number and later ones, the oldest first, so many as have most bytes as JSON, but one at
// least; the number to ask for next; and that of the oldest that is kept: those before it are dropped.
func (b *Log) EntriesSince(seq uint64, most int) (entries []Entry, next, first uint64) {
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
		if most -= b.sizes[i]; most < 0 && len(entries) > 0 {
			next = e.Seq
			break
		}
		entries = append(entries, e)
	}
	return entries, next, b.ring[0].Seq
}

// Entries is all that is kept, with the attempts so far, for the process that succeeds this one.
func (b *Log) Entries() []Entry {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
	return slices.Clone(b.ring)
}

// Version is what the process acts on, and its number; 0 is nothing yet.
func (b *Log) Version() (version.Version, uint32) {
	if b == nil {
		return version.Version{}, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.versionID
}

// note makes an entry the last, and returns it.
func (b *Log) append(e Entry) *Entry {
	now := b.clock()
	e.At, e.Up, e.Incarnation = version.Millis(now.Wall.UnixMilli()), version.Millis(now.Up.Milliseconds()), b.incarnation
	e, text, err := link(b.last, e)
	if err != nil {
		return nil // it has no such values
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

// put takes an entry into the ring, and drops the oldest that have no room any more.
func (b *Log) push(e Entry, size int) {
	b.ring, b.sizes, b.size = append(b.ring, e), append(b.sizes, size), b.size+size
	drop := 0
	for b.size > maxRingBytes && drop < len(b.ring)-1 || len(b.ring)-drop > maxRingEntries {
		b.size -= b.sizes[drop]
		drop++
	}
	if drop > 0 {
		clear(b.ring[:drop]) // nothing is held by what is dropped
		b.ring, b.sizes = b.ring[drop:], b.sizes[drop:]
	}
}

// repeat notes the last order and the last adoption again once they have been dropped: what the ring and the files hold always
// tells the epoch and the version.
func (b *Log) repeatDropped() {
	for _, kept := range []**Entry{&b.lastOrder, &b.lastAdoption} {
		if e := *kept; e != nil && e.Seq < b.ring[0].Seq {
			again := *e
			again.From = "kept"
			*kept = nil // against doing so twice
			*kept = b.append(again)
		}
	}
}
