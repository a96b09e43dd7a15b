// Package effects knows which requests are under way at any of a sidecar's processes, and what those that are over may
// have done: work that must not be done twice unnoticed, known to the process that did it, to the one beside it in an
// upgrade, and to the one after it where a journal is kept. It does no I/O and has no clock; whoever calls passes the time.
//
// It decides nothing. That an id is under way is an answer of the stream's; that an effect may have taken place is an input
// of the decisions (balance.Event.Ran).
package inflight

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
)

// ID is what a request is known by.
type ID struct {
	Txn   string        `json:"Txn"` // fresh for every request
	Class string        `json:"Class"`
	Key   string        `json:"Key"`  // of its effect, where the class carries one; otherwise only its own Txn stands for it
	Keep  time.Duration `json:"Keep"` // for how long the effect is worth remembering; 0: it may take place any number of times
}

// effect is what the ID's effect goes by. Two classes may use one key for two things.
func (id ID) effect() string {
	if id.Key != "" {
		return id.Class + "\x00" + id.Key
	}
	return id.Class + "\x00\x00" + id.Txn
}

// Trace is the first attempt of an effect that may have had it.
type Trace struct {
	Host balance.EndpointID `json:"Host"`
	At   time.Time          `json:"At"` // zero: none has
}

// Note is one change, for those who keep or share what a Table knows.
type Note struct {
	ID
	Over bool `json:"Over"` // the request is over; otherwise it is under way
	Back bool `json:"Back"` // what was told of its attempts is taken back: none may have run
	Trace
}

// Link is where a change comes from, or goes to.
type Link uint8

// The links that there can be.
const (
	Own     Link = iota // this process itself
	Former              // the process before this one, which still runs
	Next                // the one after it, which runs already
	Journal             // what a process that is dead has left
)

// Table is what one process knows. A nil Table knows nothing. Its methods may be called by many goroutines.
type Table struct {
	mu      sync.Mutex
	most    int
	own     map[string]*open   // by Txn
	keyed   map[string][]*open // those of own with a key, by effect
	others  map[Link]map[string]Note
	past    map[string]*past // by effect
	order   []*past          // the same, by when they came
	sinks   map[Link]func(Note)
	dropped int
}

// open is a request that is under way here.
type open struct {
	ID
	sends []Trace // by their order; zero: it never ran
}

type past struct {
	effect string
	Note
	until time.Time
}

// New returns a table that remembers so many effects at most, beside those under way.
func New(most int) *Table {
	return &Table{most: most, own: map[string]*open{}, keyed: map[string][]*open{}, others: map[Link]map[string]Note{}, past: map[string]*past{}, sinks: map[Link]func(Note){}}
}

// Open has a request be under way. It returns false where it is already, at another process; otherwise what an earlier one
// may have done of the same effect.
func (t *Table) Open(now time.Time, id ID) (Trace, bool) {
	if t == nil {
		return Trace{}, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, other := range t.others {
		if _, there := other[id.Txn]; there {
			return Trace{}, false
		}
	}
	first, o := t.before(id), &open{ID: id}
	t.own[id.Txn] = o
	if effect := id.effect(); id.Key != "" {
		t.keyed[effect] = append(t.keyed[effect], o)
	}
	t.tell(Note{ID: id}, Own)
	return first, true
}

// before is what is known of an effect from earlier requests, and from those under way here and elsewhere.
func (t *Table) before(id ID) (first Trace) {
	if id.Keep == 0 {
		return Trace{}
	}
	if p := t.past[id.effect()]; p != nil {
		first = p.Trace
	}
	if id.Key == "" {
		return first
	}
	for _, o := range t.keyed[id.effect()] {
		first = earlier(first, o.first())
	}
	for _, other := range t.others {
		for _, n := range other { // of the moments of an upgrade
			if n.Class == id.Class && n.Key == id.Key {
				first = earlier(first, n.Trace)
			}
		}
	}
	return first
}

// Sent says that an attempt of a request is about to begin, and returns its number, and whether its effect is remembered.
func (t *Table) Sent(now time.Time, txn string, host balance.EndpointID) (n int, kept bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.own[txn]
	if o == nil || o.Keep == 0 {
		return 0, false
	}
	o.sends = append(o.sends, Trace{host, now})
	if len(o.sends) == 1 || o.first() == o.sends[len(o.sends)-1] {
		t.tell(o.note(false), Own)
	}
	return len(o.sends) - 1, true
}

// Settled says how an attempt ended: whether it may have run.
func (t *Table) Settled(txn string, n int, ran bool) {
	if t == nil || ran {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.own[txn]; o != nil && n < len(o.sends) {
		was := o.first()
		if o.sends[n] = (Trace{}); o.first() != was {
			t.tell(o.note(false), Own)
		}
	}
}

// first is the earliest of the attempts that may have run.
func (o *open) first() (first Trace) {
	for _, s := range o.sends {
		first = earlier(first, s)
	}
	return first
}

// note is what there is to tell of it.
func (o *open) note(over bool) Note {
	first := o.first()
	return Note{ID: o.ID, Over: over, Back: len(o.sends) > 0 && first.At.IsZero(), Trace: first}
}

func earlier(a, b Trace) Trace {
	if a.At.IsZero() || !b.At.IsZero() && b.At.Before(a.At) {
		return b
	}
	return a
}

// End says that a request and all of its attempts are over.
func (t *Table) End(now time.Time, txn string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.own[txn]; o != nil {
		delete(t.own, txn)
		effect := o.effect()
		if t.keyed[effect] = slices.DeleteFunc(t.keyed[effect], func(k *open) bool { return k == o }); len(t.keyed[effect]) == 0 {
			delete(t.keyed, effect)
		}
		t.over(now, o.note(true), Own)
	}
}

// over remembers what a request that is over may have done, and tells of it.
func (t *Table) over(now time.Time, n Note, from Link) {
	t.remember(now, n)
	t.tell(n, from)
}

func (t *Table) remember(now time.Time, n Note) {
	until := n.At.Add(n.Keep)
	if n.At.IsZero() || !until.After(now) {
		return
	}
	effect := n.effect()
	if p := t.past[effect]; p != nil { // a repeat: hosts count from the first
		p.Trace, p.until = earlier(p.Trace, n.Trace), later(p.until, until)
		return
	}
	p := &past{effect: effect, Note: n, until: until}
	t.past[effect], t.order = p, append(t.order, p)
	if len(t.past) > t.most {
		t.dropped++
		t.drop()
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// forget lets go of the effects whose time is up, as far as they stand first.
func (t *Table) forget(now time.Time) {
	for len(t.order) > 0 && !t.order[0].until.After(now) {
		t.drop()
	}
}

// drop lets go of the first.
func (t *Table) drop() {
	delete(t.past, t.order[0].effect)
	t.order[0] = nil
	t.order = t.order[1:]
}

// tell passes a change on to all but where it comes from.
func (t *Table) tell(n Note, from Link) {
	for link, sink := range t.sinks {
		if link != from {
			sink(n)
		}
	}
}

// Watch returns all that is known, and has every later change told to sink, until Unwatch. Sink must not wait, nor call the
// table. Link is the process that it is for; Journal stands for a journal.
func (t *Table) Watch(link Link, sink func(Note)) []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sinks[link] = sink
	return t.known(link)
}

// known is all that is known, but for what that process has told. What is over comes first.
func (t *Table) known(but Link) []Note {
	notes := make([]Note, 0, len(t.past)+len(t.own))
	for _, p := range t.order {
		notes = append(notes, p.Note)
	}
	for _, txn := range slices.Sorted(maps.Keys(t.own)) {
		notes = append(notes, t.own[txn].note(false))
	}
	for link, other := range t.others {
		if link != but {
			notes = slices.AppendSeq(notes, maps.Values(other))
		}
	}
	return notes
}

// Unwatch ends Watch.
func (t *Table) Unwatch(link Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sinks, link)
}

// Heard takes in what another process has told.
func (t *Table) Heard(now time.Time, from Link, notes []Note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	other := t.others[from]
	if other == nil {
		other = map[string]Note{}
		t.others[from] = other
	}
	for _, n := range notes {
		if n.Keep = min(n.Keep, keepMost); n.At.After(now) {
			n.At = now // no attempt has begun yet to begin
		}
		switch {
		case n.Over:
			delete(other, n.Txn)
			t.over(now, n, from)
		case len(other) < t.most || other[n.Txn].Txn != "":
			other[n.Txn] = n
			t.tell(n, from)
		default:
			t.dropped++
		}
	}
}

// keepMost bounds for how long anybody can have an effect be remembered.
const keepMost = 10 * time.Minute

// Gone says that another process has ended: what was under way there may have run, if it had begun.
func (t *Table) Gone(now time.Time, link Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sinks, link)
	left := slices.SortedFunc(maps.Values(t.others[link]), func(a, b Note) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Txn, b.Txn)) })
	delete(t.others, link)
	for _, n := range left {
		n.Over = true
		t.over(now, n, link)
	}
}

// Size is how many effects are remembered, and how many had to be forgotten before their time, for want of room.
func (t *Table) Size() (past, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.past), t.dropped
}
