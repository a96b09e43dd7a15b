// Package inflight knows which requests are in flight at any of a sidecar's processes, and which effects finished ones may have
// had: work that must not be done twice unnoticed, known to the process that did it, to the one beside it during an upgrade,
// and to the one after it where a journal is kept. It does no I/O and reads no clock; the caller passes the time. Its callers
// are packages stream (requests), persistence (the journal) and daemon (the other processes).
//
// It decides nothing. That an id is in flight is for the stream to answer; that an effect may have taken place is an input of
// the decisions (balance.Event.EarlierAttemptAt).
package inflight

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
)

// maxRetention bounds for how long another process can have an effect be remembered.
const maxRetention = 10 * time.Minute

// Table is what one process knows. A nil Table knows nothing and accepts all. Its methods may be called by many goroutines.
type Table struct {
	mu          sync.Mutex
	maxEffects  int                   // bounds the finished effects, and what each other process has in flight
	local       map[string]*request   // by Txn
	localByKey  map[string][]*request // those of local with a key, by effect
	remote      map[Source]map[string]Update
	finished    map[string]*finishedEffect // by effect
	byFinish    []*finishedEffect          // the same, by when they came
	subscribers map[Source]func(Update)
	dropped     int
}

// request is a request in flight at this process.
type request struct {
	ID
	attempts []Attempt // by their order; zero: it never ran
}

// New returns a table that remembers at most so many finished effects.
func New(maxEffects int) *Table {
	return &Table{
		maxEffects:  maxEffects,
		local:       map[string]*request{},
		localByKey:  map[string][]*request{},
		remote:      map[Source]map[string]Update{},
		finished:    map[string]*finishedEffect{},
		subscribers: map[Source]func(Update){},
	}
}

// Start records a request as in flight. It returns false where it is in flight already, at another process; otherwise the
// first attempt of an earlier request at the same effect that may have run.
func (t *Table) Start(now time.Time, id ID) (Attempt, bool) {
	if t == nil {
		return Attempt{}, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for _, updates := range t.remote {
		if _, inFlight := updates[id.Txn]; inFlight {
			return Attempt{}, false
		}
	}
	earlier := t.earlierAttempt(id)
	r := &request{ID: id}
	t.local[id.Txn] = r
	if id.Key != "" {
		key := id.effectKey()
		t.localByKey[key] = append(t.localByKey[key], r)
	}
	t.publish(Update{ID: id}, Local)
	return earlier, true
}

// earlierAttempt is the first attempt at an effect by requests that have finished, or are in flight here or elsewhere.
func (t *Table) earlierAttempt(id ID) (first Attempt) {
	if id.Retention == 0 {
		return Attempt{}
	}
	key := id.effectKey()
	if effect := t.finished[key]; effect != nil {
		first = effect.Attempt
	}
	if id.Key == "" {
		return first
	}
	for _, r := range t.localByKey[key] {
		first = earliest(first, r.first())
	}
	for _, updates := range t.remote { // not empty only during an upgrade
		for _, u := range updates {
			if u.Class == id.Class && u.Key == id.Key {
				first = earliest(first, u.Attempt)
			}
		}
	}
	return first
}

// AttemptStarted records that an attempt of a request is about to start, and returns its number, and whether its effect is
// remembered.
func (t *Table) AttemptStarted(now time.Time, txn string, endpoint balance.EndpointID) (n int, remembered bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.local[txn]
	if r == nil || r.Retention == 0 {
		return 0, false
	}
	attempt := Attempt{Endpoint: endpoint, SentAt: now}
	r.attempts = append(r.attempts, attempt)
	if len(r.attempts) == 1 || r.first() == attempt {
		t.publish(r.update(false), Local)
	}
	return len(r.attempts) - 1, true
}

// AttemptEnded records whether an attempt that has ended may have run.
func (t *Table) AttemptEnded(txn string, n int, mayHaveRun bool) {
	if t == nil || mayHaveRun {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.local[txn]; r != nil && n < len(r.attempts) {
		before := r.first()
		r.attempts[n] = Attempt{}
		if r.first() != before {
			t.publish(r.update(false), Local)
		}
	}
}

// first is the earliest of the attempts that may have run.
func (r *request) first() (first Attempt) {
	for _, attempt := range r.attempts {
		first = earliest(first, attempt)
	}
	return first
}

// update is the request as others are to know it.
func (r *request) update(done bool) Update {
	first := r.first()
	return Update{ID: r.ID, Done: done, Retracted: len(r.attempts) > 0 && first.SentAt.IsZero(), Attempt: first}
}

// Finish records that a request and all of its attempts are done.
func (t *Table) Finish(now time.Time, txn string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.local[txn]
	if r == nil {
		return
	}
	delete(t.local, txn)
	key := r.effectKey()
	t.localByKey[key] = slices.DeleteFunc(t.localByKey[key], func(other *request) bool { return other == r })
	if len(t.localByKey[key]) == 0 {
		delete(t.localByKey, key)
	}
	t.finish(now, r.update(true), Local)
}

// finish remembers what a request that is done may have done, and publishes that.
func (t *Table) finish(now time.Time, u Update, from Source) {
	t.recordFinished(now, u)
	t.publish(u, from)
}

// publish passes an update on to all subscribers but the one that it comes from.
func (t *Table) publish(u Update, from Source) {
	for source, subscriber := range t.subscribers {
		if source != from {
			subscriber(u)
		}
	}
}

// Subscribe returns all that is known, and has every later update passed to the subscriber, until Unsubscribe or Disconnect. The
// subscriber must not wait, nor call the table. Source is the process that it is for, or Journal.
func (t *Table) Subscribe(source Source, subscriber func(Update)) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[source] = subscriber
	return t.snapshot(source)
}

// snapshot is all that is known, but for the updates that came from one source. What is done comes first.
func (t *Table) snapshot(except Source) []Update {
	updates := make([]Update, 0, len(t.finished)+len(t.local))
	for _, effect := range t.byFinish {
		updates = append(updates, effect.Update)
	}
	for _, txn := range slices.Sorted(maps.Keys(t.local)) {
		updates = append(updates, t.local[txn].update(false))
	}
	for source, inFlight := range t.remote {
		if source != except {
			updates = slices.AppendSeq(updates, maps.Values(inFlight))
		}
	}
	return updates
}

// Unsubscribe ends Subscribe.
func (t *Table) Unsubscribe(source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.subscribers, source)
}

// Apply takes in updates from another process.
func (t *Table) Apply(now time.Time, from Source, updates []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	inFlight := t.remote[from]
	if inFlight == nil {
		inFlight = map[string]Update{}
		t.remote[from] = inFlight
	}
	for _, u := range updates {
		u.Retention = min(u.Retention, maxRetention)
		if u.SentAt.After(now) { // no attempt is in the future
			u.SentAt = now
		}
		known := inFlight[u.Txn].Txn != ""
		switch {
		case u.Done:
			delete(inFlight, u.Txn)
			t.finish(now, u, from)
		case len(inFlight) < t.maxEffects || known:
			inFlight[u.Txn] = u
			t.publish(u, from)
		default:
			t.dropped++
		}
	}
}

// Disconnect records that another process has ended: what was in flight there may have run, if an attempt had started.
func (t *Table) Disconnect(now time.Time, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.subscribers, source)
	inFlight := slices.SortedFunc(maps.Values(t.remote[source]), func(a, b Update) int {
		return cmp.Or(a.SentAt.Compare(b.SentAt), cmp.Compare(a.Txn, b.Txn))
	})
	delete(t.remote, source)
	for _, u := range inFlight {
		u.Done = true
		t.finish(now, u, source)
	}
}

// Counts returns how many finished effects are remembered, and how many updates were dropped for want of capacity.
func (t *Table) Counts() (finished, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.finished), t.dropped
}
