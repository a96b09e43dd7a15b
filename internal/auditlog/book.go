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
	ringBytes   = 512 << 10 // as JSON
	ringEntries = 2048      // a list that changes several times a second makes entries of 500 bytes
	entryBytes  = 16 << 10  // of counts, about: more goes into a further entry, so that an answer has room for some
	textMost    = 256       // bytes of any text in an entry, but for orders, which are bounded as they come
)

// Book is what a process of a sidecar has of its trail: the last entries, and the version that it acts on. A nil *Book keeps
// nothing. It may be used by many goroutines at once.
type Book struct {
	life   string
	clock  func() persistence.Timestamp
	counts counts

	// Woken has a value where there are entries that whoever writes them has not looked at.
	Woken chan struct{}

	mu    sync.Mutex // before counts' own
	ring  []Entry
	sizes []int // of each of them, as JSON
	size  int   // of all
	last  Entry // of which only Seq and Sum are needed
	now   version.Version
	under uint32

	order   *Entry // the last that was taken
	adopted *Entry // the last of this process
	refused *Entry // the last order that was refused
}

// NewBook returns the book of a process that goes on from a past, which a disk had or a former process handed over; nil where
// there is none. Life is the process's own, from says whose past it is. The epoch of the last order that was taken holds on.
func NewBook(life, from string, past []Entry, clock func() persistence.Timestamp) *Book {
	b := &Book{life: life, clock: clock, Woken: make(chan struct{}, 1)}
	past = slices.Clone(past)
	slices.SortStableFunc(past, bySeq) // no number is given again
	for _, e := range past {
		text, _ := json.Marshal(e)
		b.put(e, len(text))
		b.last = e
	}
	epoch, by := LastOrder(past)
	b.now.Epoch = epoch
	b.note(Entry{Kind: Began, From: clip(from)})
	for _, e := range past {
		if f := e.taken(); f != nil && f.Epoch == epoch && f.By == by {
			b.order = &e
		}
	}
	b.repeat()
	return b
}

// Change has the process act on another version: edit makes it of the one before, from says whom it comes from, and apply has
// it take effect, under the number that every attempt is counted by from then on. Changes are applied one after the other, in
// the order of their numbers; what changes nothing keeps the number. Apply must not call the book, but for Sent and Ended.
// Attempts under the number before may still be counted: they come into a later entry, under that number.
func (b *Book) Change(edit func(*version.Version), from string, apply func(under uint32)) {
	if b == nil {
		apply(0)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.now
	edit(&next)
	next.Epoch = b.now.Epoch // which only an order changes
	next.List.From, next.Build = clip(next.List.From), clip(next.Build)
	if next != b.now || b.under == 0 {
		b.flush()
		b.under++
		b.now = next
		b.adopted = b.note(Entry{Kind: Adopted, Under: b.under, Version: &next, From: clip(from)})
	}
	apply(b.under)
}

// Note takes an entry of what has happened, with the attempts so far before an end; its number, time, life and sums are the book's. An order that only renews the one
// noted last is not noted: auditors send them every round.
func (b *Book) Note(e Entry) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Why, e.From, e.State = clip(e.Why), clip(e.From), clip(e.State)
	if e.Kind == Ended {
		b.flush()
	}
	if e.Kind != Ordered || e.Order == nil {
		b.note(e)
		return
	}
	f := e.taken()
	before := &b.order
	if f == nil {
		before = &b.refused
	}
	if f != nil {
		b.now.Epoch = max(b.now.Epoch, f.Epoch)
	}
	if *before != nil && (*before).Why == e.Why && renews((*before).Order, e.Order) {
		return
	}
	*before = b.note(e)
}

// renews says whether an order tells nothing that the one before has not, but that its ticket goes on.
func renews(a, b *version.Order) bool {
	return reflect.DeepEqual(a.Floor, b.Floor) && (a.Ticket == nil) == (b.Ticket == nil) &&
		(a.Ticket == nil || a.Ticket.No == b.Ticket.No)
}

// clip keeps what comes from outside from filling the ring.
func clip(s string) string { return s[:min(len(s), textMost)] }

// Flush notes the attempts since the last time, where there were any.
func (b *Book) Flush() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
}

func (b *Book) flush() {
	for _, e := range b.counts.take() {
		b.note(e)
	}
}

// Since returns the entries of that number and later ones, the oldest first, so many as have most bytes as JSON, but one at
// least; the number to ask for next; and that of the oldest that is kept: those before it are dropped.
func (b *Book) Since(seq uint64, most int) (entries []Entry, next, first uint64) {
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

// Past is all that is kept, with the attempts so far, for the process that succeeds this one.
func (b *Book) Past() []Entry {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
	return slices.Clone(b.ring)
}

// Version is what the process acts on, and its number; 0 is nothing yet.
func (b *Book) Version() (version.Version, uint32) {
	if b == nil {
		return version.Version{}, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now, b.under
}

// note makes an entry the last, and returns it.
func (b *Book) note(e Entry) *Entry {
	now := b.clock()
	e.At, e.Up, e.Life = version.Millis(now.Wall.UnixMilli()), version.Millis(now.Up.Milliseconds()), b.life
	e, text, err := seal(b.last, e)
	if err != nil {
		return nil // it has no such values
	}
	b.last = e
	b.put(e, len(text))
	b.repeat()
	select {
	case b.Woken <- struct{}{}:
	default:
	}
	return &e
}

// put takes an entry into the ring, and drops the oldest that have no room any more.
func (b *Book) put(e Entry, size int) {
	b.ring, b.sizes, b.size = append(b.ring, e), append(b.sizes, size), b.size+size
	drop := 0
	for b.size > ringBytes && drop < len(b.ring)-1 || len(b.ring)-drop > ringEntries {
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
func (b *Book) repeat() {
	for _, kept := range []**Entry{&b.order, &b.adopted} {
		if e := *kept; e != nil && e.Seq < b.ring[0].Seq {
			again := *e
			again.From = "kept"
			*kept = nil // against doing so twice
			*kept = b.note(again)
		}
	}
}
