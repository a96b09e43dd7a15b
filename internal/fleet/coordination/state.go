package coordination

import "time"

// Options limits how much a State keeps.
type Options struct {
	// History is the minimum time for which the events of a group are kept.
	History time.Duration
	// MaxGroupBytes limits the total size of the cells and events of a group. A put that would exceed it is rejected.
	MaxGroupBytes int
	// HasRoom reports whether the machine's acceptors have room for a further put. nil: always.
	HasRoom func() bool
}

func (o *Options) hasRoom() bool { return o.HasRoom == nil || o.HasRoom() }

// State is the value of one name. It is not safe for concurrent use.
type State struct {
	kind     Kind
	lock     lock
	counter  CounterRecord
	decision DecisionRecord
	group    *group // nil unless kind is KindGroup
}

// NewState returns the initial state of a name.
func NewState(kind Kind, options Options) *State {
	s := &State{kind: kind}
	if kind == KindGroup {
		s.group = newGroup(options)
	}
	return s
}

// Execute executes an operation on the state and adds the effect to change. The caller must not return the result to a client
// before a majority of the acceptors has accepted the change.
//
// Repeating an operation whose outcome is unknown is safe: a holder is granted its own lock again with a higher fence; a put returns the
// revision of its first execution for at least Options.History; a counter leaves a gap; and the other operations change nothing the second
// time.
//
// An operation whose kind does not match the state violates the caller's invariant and returns the zero Result.
func (s *State) Execute(now time.Duration, op *Operation, change *Change) Result {
	switch {
	case s.kind == KindLock && op.Kind == Acquire:
		return s.lock.acquire(now, op, change)
	case s.kind == KindLock && op.Kind == Renew:
		return s.lock.renew(now, op, change)
	case s.kind == KindLock && op.Kind == Release:
		return s.lock.release(now, op, change)
	case s.kind == KindCounter && op.Kind == Increment:
		return s.increment(change)
	case s.kind == KindDecision && op.Kind == Decide:
		return s.decide(op, change)
	case s.kind == KindGroup && op.Kind == Put:
		return s.group.put(now, op, change)
	case s.kind == KindGroup && op.Kind == Get:
		return s.group.get(op.Key)
	case s.kind == KindGroup && op.Kind == Watch:
		return s.group.eventsSince(op.Since)
	}
	return Result{}
}

// MatchesNameKind reports whether the operation can be executed on the kind of its name.
func (op *Operation) MatchesNameKind() bool {
	switch op.Kind {
	case Acquire, Renew, Release:
		return op.Name.Kind == KindLock
	case Increment:
		return op.Name.Kind == KindCounter
	case Decide:
		return op.Name.Kind == KindDecision
	case Put, Get, Watch:
		return op.Name.Kind == KindGroup
	}
	return false
}

// Apply applies a change that Execute recorded on another replica of this state.
func (s *State) Apply(now time.Duration, change *Change) {
	if change == nil {
		return
	}
	if change.Lock != nil {
		s.lock.restore(now, change.Lock)
	}
	if change.Counter != nil {
		s.counter = *change.Counter
	}
	if change.Decision != nil {
		s.decision = *change.Decision
	}
	if s.group == nil {
		return
	}
	if change.Group != nil {
		s.group.restore(now, change.Group)
	}
	for _, put := range change.Puts {
		s.group.add(now, put)
	}
}

// Snapshot returns a complete change: applied to any state of this kind, it makes that state equal to this one.
func (s *State) Snapshot(now time.Duration) *Change {
	switch s.kind {
	case KindLock:
		return &Change{Lock: s.lock.record(now)}
	case KindCounter:
		counter := s.counter
		return &Change{Counter: &counter}
	case KindGroup:
		return &Change{Group: s.group.record(now)}
	}
	decision := s.decision
	return &Change{Decision: &decision}
}

// OlderGrant returns the one of two snapshots of the same version that has the greater age of the lock. Both ages are lower bounds, so the
// greater one is the more exact.
func OlderGrant(a, b *Change) *Change {
	if a == nil || a.Lock != nil && b != nil && b.Lock != nil && b.Lock.AgeMs > a.Lock.AgeMs {
		return b
	}
	return a
}

// Size returns the size of the state that counts towards the limits, in bytes.
func (s *State) Size() int {
	switch s.kind {
	case KindGroup:
		return s.group.size
	case KindLock:
		return len(s.lock.holder) + callIDBytes*len(s.lock.callIDs)
	case KindDecision:
		return len(s.decision.Value)
	}
	return 0
}

// Compact drops what is kept for longer than Options.History.
func (s *State) Compact(now time.Duration) {
	if s.group != nil {
		s.group.compact(now)
	}
}

func (s *State) increment(change *Change) Result {
	s.counter.Count++
	counter := s.counter
	change.Counter = &counter
	return Result{Outcome: Done, Count: counter.Count}
}

func (s *State) decide(op *Operation, change *Change) Result {
	if s.decision.Value == "" && op.Value != "" {
		s.decision.Value = op.Value
		decision := s.decision
		change.Decision = &decision
	}
	return Result{Outcome: Done, Value: s.decision.Value}
}
