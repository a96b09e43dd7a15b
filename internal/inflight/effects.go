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
	Txn       string        `json:"Txn"` // fresh for every request
	Class     string        `json:"Class"`
	Key       string        `json:"Key"`  // of its effect, where the class carries one; otherwise only its own Txn stands for it
	Retention time.Duration `json:"Keep"` // for how long the effect is worth remembering; 0: it may take place any number of times
}

// effect is what the ID's effect goes by. Two classes may use one key for two things.
func (id ID) effectKey() string {
	if id.Key != "" {
		return id.Class + "\x00" + id.Key
	}
	return id.Class + "\x00\x00" + id.Txn
}

// Attempt is the first attempt of an effect that may have had it.
type Attempt struct {
	Endpoint balance.EndpointID `json:"Host"`
	SentAt   time.Time          `json:"At"` // zero: none has
}

// Update is one change, for those who keep or share what a Table knows.
type Update struct {
	ID
	Done      bool `json:"Over"` // the request is over; otherwise it is under way
	Retracted bool `json:"Back"` // what was told of its attempts is taken back: none may have run
	Attempt
}

// Source is where a change comes from, or goes to.
type Source uint8

// The links that there can be.
const (
	Local       Source = iota // this process itself
	Predecessor               // the process before this one, which still runs
	Successor                 // the one after it, which runs already
	Journal                   // what a process that is dead has left
)

// Table is what one process knows. A nil Table knows nothing. Its methods may be called by many goroutines.
type Table struct {
	mu          sync.Mutex
	maxEffects  int
	local       map[string]*request   // by Txn
	localByKey  map[string][]*request // those of own with a key, by effect
	remote      map[Source]map[string]Update
	finished    map[string]*finishedEffect // by effect
	byFinish    []*finishedEffect          // the same, by when they came
	subscribers map[Source]func(Update)
	dropped     int
}

// open is a request that is under way here.
type request struct {
	ID
	attempts []Attempt // by their order; zero: it never ran
}

type finishedEffect struct {
	key string
	Update
	expiresAt time.Time
}

// New returns a table that remembers so many effects at most, beside those under way.
func New(most int) *Table {
	return &Table{maxEffects: most, local: map[string]*request{}, localByKey: map[string][]*request{}, remote: map[Source]map[string]Update{}, finished: map[string]*finishedEffect{}, subscribers: map[Source]func(Update){}}
}

// Start has a request be under way. It returns false where it is already, at another process; otherwise what an earlier one
// may have done of the same effect.
func (t *Table) Start(now time.Time, id ID) (Attempt, bool) {
	if t == nil {
		return Attempt{}, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for _, other := range t.remote {
		if _, there := other[id.Txn]; there {
			return Attempt{}, false
		}
	}
	first, o := t.earlierAttempt(id), &request{ID: id}
	t.local[id.Txn] = o
	if effect := id.effectKey(); id.Key != "" {
		t.localByKey[effect] = append(t.localByKey[effect], o)
	}
	t.publish(Update{ID: id}, Local)
	return first, true
}

// before is what is known of an effect from earlier requests, and from those under way here and elsewhere.
func (t *Table) earlierAttempt(id ID) (first Attempt) {
	if id.Retention == 0 {
		return Attempt{}
	}
	if p := t.finished[id.effectKey()]; p != nil {
		first = p.Attempt
	}
	if id.Key == "" {
		return first
	}
	for _, o := range t.localByKey[id.effectKey()] {
		first = earliest(first, o.first())
	}
	for _, other := range t.remote {
		for _, n := range other { // of the moments of an upgrade
			if n.Class == id.Class && n.Key == id.Key {
				first = earliest(first, n.Attempt)
			}
		}
	}
	return first
}

// AttemptStarted says that an attempt of a request is about to begin, and returns its number, and whether its effect is remembered.
func (t *Table) AttemptStarted(now time.Time, txn string, host balance.EndpointID) (n int, kept bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.local[txn]
	if o == nil || o.Retention == 0 {
		return 0, false
	}
	o.attempts = append(o.attempts, Attempt{host, now})
	if len(o.attempts) == 1 || o.first() == o.attempts[len(o.attempts)-1] {
		t.publish(o.update(false), Local)
	}
	return len(o.attempts) - 1, true
}

// AttemptEnded says how an attempt ended: whether it may have run.
func (t *Table) AttemptEnded(txn string, n int, ran bool) {
	if t == nil || ran {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.local[txn]; o != nil && n < len(o.attempts) {
		was := o.first()
		if o.attempts[n] = (Attempt{}); o.first() != was {
			t.publish(o.update(false), Local)
		}
	}
}

// first is the earliest of the attempts that may have run.
func (o *request) first() (first Attempt) {
	for _, s := range o.attempts {
		first = earliest(first, s)
	}
	return first
}

// note is what there is to tell of it.
func (o *request) update(over bool) Update {
	first := o.first()
	return Update{ID: o.ID, Done: over, Retracted: len(o.attempts) > 0 && first.SentAt.IsZero(), Attempt: first}
}

func earliest(a, b Attempt) Attempt {
	if a.SentAt.IsZero() || !b.SentAt.IsZero() && b.SentAt.Before(a.SentAt) {
		return b
	}
	return a
}

// Finish says that a request and all of its attempts are over.
func (t *Table) Finish(now time.Time, txn string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.local[txn]; o != nil {
		delete(t.local, txn)
		effect := o.effectKey()
		if t.localByKey[effect] = slices.DeleteFunc(t.localByKey[effect], func(k *request) bool { return k == o }); len(t.localByKey[effect]) == 0 {
			delete(t.localByKey, effect)
		}
		t.finish(now, o.update(true), Local)
	}
}

// over remembers what a request that is over may have done, and tells of it.
func (t *Table) finish(now time.Time, n Update, from Source) {
	t.remember(now, n)
	t.publish(n, from)
}

func (t *Table) remember(now time.Time, n Update) {
	until := n.SentAt.Add(n.Retention)
	if n.SentAt.IsZero() || !until.After(now) {
		return
	}
	effect := n.effectKey()
	if p := t.finished[effect]; p != nil { // a repeat: hosts count from the first
		p.Attempt, p.expiresAt = earliest(p.Attempt, n.Attempt), later(p.expiresAt, until)
		return
	}
	p := &finishedEffect{key: effect, Update: n, expiresAt: until}
	t.finished[effect], t.byFinish = p, append(t.byFinish, p)
	if len(t.finished) > t.maxEffects {
		t.dropped++
		t.dropOldest()
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// forget lets go of the effects whose time is up, as far as they stand first.
func (t *Table) dropExpired(now time.Time) {
	for len(t.byFinish) > 0 && !t.byFinish[0].expiresAt.After(now) {
		t.dropOldest()
	}
}

// drop lets go of the first.
func (t *Table) dropOldest() {
	delete(t.finished, t.byFinish[0].key)
	t.byFinish[0] = nil
	t.byFinish = t.byFinish[1:]
}

// tell passes a change on to all but where it comes from.
func (t *Table) publish(n Update, from Source) {
	for link, sink := range t.subscribers {
		if link != from {
			sink(n)
		}
	}
}

// Subscribe returns all that is known, and has every later change told to sink, until Unwatch. Sink must not wait, nor call the
// table. Link is the process that it is for; Journal stands for a journal.
func (t *Table) Subscribe(link Source, sink func(Update)) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[link] = sink
	return t.snapshot(link)
}

// known is all that is known, but for what that process has told. What is over comes first.
func (t *Table) snapshot(but Source) []Update {
	notes := make([]Update, 0, len(t.finished)+len(t.local))
	for _, p := range t.byFinish {
		notes = append(notes, p.Update)
	}
	for _, txn := range slices.Sorted(maps.Keys(t.local)) {
		notes = append(notes, t.local[txn].update(false))
	}
	for link, other := range t.remote {
		if link != but {
			notes = slices.AppendSeq(notes, maps.Values(other))
		}
	}
	return notes
}

// Unsubscribe ends Watch.
func (t *Table) Unsubscribe(link Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.subscribers, link)
}

// Apply takes in what another process has told.
func (t *Table) Apply(now time.Time, from Source, notes []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	other := t.remote[from]
	if other == nil {
		other = map[string]Update{}
		t.remote[from] = other
	}
	for _, n := range notes {
		if n.Retention = min(n.Retention, maxRetention); n.SentAt.After(now) {
			n.SentAt = now // no attempt has begun yet to begin
		}
		switch {
		case n.Done:
			delete(other, n.Txn)
			t.finish(now, n, from)
		case len(other) < t.maxEffects || other[n.Txn].Txn != "":
			other[n.Txn] = n
			t.publish(n, from)
		default:
			t.dropped++
		}
	}
}

// maxRetention bounds for how long anybody can have an effect be remembered.
const maxRetention = 10 * time.Minute

// Disconnect says that another process has ended: what was under way there may have run, if it had begun.
func (t *Table) Disconnect(now time.Time, link Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.subscribers, link)
	left := slices.SortedFunc(maps.Values(t.remote[link]), func(a, b Update) int { return cmp.Or(a.SentAt.Compare(b.SentAt), cmp.Compare(a.Txn, b.Txn)) })
	delete(t.remote, link)
	for _, n := range left {
		n.Done = true
		t.finish(now, n, link)
	}
}

// Counts is how many effects are remembered, and how many had to be forgotten before their time, for want of room.
func (t *Table) Counts() (past, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.finished), t.dropped
}
