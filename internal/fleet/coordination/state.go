package coordination

import "time"

// Options bound what a state keeps.
type Options struct {
	// History is how long the events of a group are kept, at least.
	History time.Duration
	// MaxGroupBytes bounds the keys, values and events of a group: a put beyond it is refused.
	MaxGroupBytes int
}

// State is one name's value. It belongs to one goroutine.
type State struct {
	kind     Kind
	lock     lock
	counter  CounterRecord
	decision DecisionRecord
	group    *group // nil unless kind is KindGroup
}

// NewState returns the state of a name that nobody has used.
func NewState(kind Kind, options Options) *State {
	s := &State{kind: kind}
	if kind == KindGroup {
		s.group = newGroup(options)
	}
	return s
}

// Execute decides an operation and changes the state accordingly; what has changed is added to change. The result may be told once a
// majority holds the changed state.
//
// Repeating an operation whose outcome is not known is safe: a holder gets its own lock again with a higher fence, a put that was made
// gets its first revision for Options.History at least, a counter leaves a gap, and the others change nothing the second time.
//
// An operation of another kind than the state is a broken invariant of the caller, and gets the zero Result.
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

// MatchesNameKind reports whether an operation may be executed on its own name.
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

// Apply makes a change that another copy of this state has executed.
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

// Snapshot returns the change that makes any state of this kind equal to this one.
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

// OlderGrant returns that of two snapshots of one version whose lock was granted longer ago, as far as it is known: both ages are lower bounds.
func OlderGrant(a, b *Change) *Change {
	if a == nil || a.Lock != nil && b != nil && b.Lock != nil && b.Lock.AgeMs > a.Lock.AgeMs {
		return b
	}
	return a
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
