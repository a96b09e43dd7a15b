package replica

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// What becomes of an order beside being taken.
var (
	// ErrUnavailable: nothing can be said of the order now; it may have been taken.
	ErrUnavailable = errors.New("replica: the order is not decided")
	// ErrNotPrimary: another machine has to be asked.
	ErrNotPrimary = errors.New("replica: not the primary")
	// ErrConflict: another version is in place than the one that the order builds on.
	ErrConflict = errors.New("replica: another version is in place")

	errSuperseded = errors.New("replica: another order came before")
)

// Submit has an order taken. It returns nil once every member of the view holds it, also where that very order was taken
// before. A config.InvalidError says what is wrong with it.
func (r *Replica) Submit(ctx context.Context, order *config.Change) error {
	digest := order.Digest()
	for {
		seen := r.look()
		if !seen.leading {
			return ErrNotPrimary
		}
		if seen.state.HasApplied(digest) {
			return nil
		}
		if order.Base != seen.state.Document.Version() {
			if err := r.confirm(ctx); err != nil {
				return err
			}
			if r.look().sequence == seen.sequence {
				return ErrConflict
			}
			continue
		}
		next, err := prepare(seen.state, seen.table, order)
		if err != nil {
			if unconfirmed := r.confirm(ctx); unconfirmed != nil {
				return unconfirmed
			}
			return err
		}
		err = r.propose(ctx, seen.sequence, next)
		if !errors.Is(err, errSuperseded) {
			return err
		}
	}
}

// prepare checks an order against the present state and makes the next one.
func prepare(state *config.State, table *config.Table, order *config.Change) (*proposal, error) {
	next, err := state.Apply(order)
	if err != nil {
		return nil, err
	}
	if next.Document.Version() <= state.Document.Version() {
		return nil, &config.InvalidError{Item: "version", Reason: "is not above the present one"}
	}
	nextTable, err := config.NewTable(next.Document, table)
	if err != nil {
		return nil, err
	}
	if err := config.CheckSchema(next.Document, state.Document); err != nil {
		return nil, err
	}
	return &proposal{order: order, state: next, table: nextTable, done: make(chan error, 1)}, nil
}

// propose hands an order to the members, if the state is still the one that it was checked against.
func (r *Replica) propose(ctx context.Context, sequence uint64, p *proposal) error {
	entry, err := p.order.Encode()
	if err != nil {
		return err
	}
	r.do(func() {
		if r.candidate != nil || r.published.Sequence != sequence || r.machine.Position().Sequence != sequence {
			p.done <- errSuperseded
			return
		}
		out, begun := r.machine.Propose(r.options.Clock(), entry)
		if !begun {
			p.done <- ErrUnavailable
			return
		}
		p.position = r.machine.Position()
		r.candidate = p
		r.carryOut(out)
	})
	select {
	case err := <-p.done:
		if errors.Is(err, errSuperseded) {
			return r.pause(ctx)
		}
		return err
	case <-ctx.Done():
		return ErrUnavailable
	case <-r.ended:
		return ErrUnavailable
	}
}

// pause waits for the order that is under way.
func (r *Replica) pause(ctx context.Context) error {
	select {
	case <-time.After(5 * time.Millisecond):
		return errSuperseded
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// Read returns the configuration that is in force at a moment after the call.
func (r *Replica) Read(ctx context.Context) (*config.Document, error) {
	if !r.look().leading {
		return nil, ErrNotPrimary
	}
	if err := r.confirm(ctx); err != nil {
		return nil, err
	}
	seen := r.look()
	if !seen.leading {
		return nil, ErrNotPrimary
	}
	return seen.state.Document, nil
}

// ConfirmLeadership returns nil once a majority of the witnesses has answered a round that began after the call: no other replica was
// the primary meanwhile.
func (r *Replica) ConfirmLeadership(ctx context.Context) error {
	if !r.look().leading {
		return ErrNotPrimary
	}
	return r.confirm(ctx)
}

// confirm waits until a majority of the witnesses has answered a round that began after the call.
func (r *Replica) confirm(ctx context.Context) error {
	c := &confirmation{done: make(chan error, 1)}
	r.do(func() {
		if r.machine.Status() != replication.Leading {
			c.done <- ErrNotPrimary
			return
		}
		c.since = r.options.Clock()
		r.waiting = append(r.waiting, c)
		r.carryOut(r.machine.ConfirmLeadership(c.since))
	})
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	case <-r.ended:
		return ErrUnavailable
	}
}

func (r *Replica) do(f func()) {
	select {
	case r.inbox <- f:
	case <-r.ended:
	}
}

// Resign says that this replica's machine is about to end, so that others take its part over.
func (r *Replica) Resign() {
	r.do(func() { r.carryOut(r.machine.Resign(r.options.Clock())) })
}

// CanStop tells whether a replica that has resigned may end: its copy and its vote are where they have to be, as far as
// waiting helps.
func (r *Replica) CanStop() bool { return r.look().released }

// settle looks, after a step, at what has been decided.
func (r *Replica) settle() {
	view := r.machine.View()
	if view.Number > r.viewKnown {
		r.viewKnown = view.Number
		r.options.Log.Info("view", zap.Uint64("number", view.Number), zap.String("primary", view.Primary.Address),
			zap.Int("members", len(view.Members)), zap.Int("witnesses", len(view.Witnesses)))
		r.options.OnViewChange(view)
	}
	committed, leading := r.machine.Committed()
	if !leading {
		r.failAll(ErrUnavailable)
		r.table = nil
	}
	if leading && (committed != r.published || r.table == nil) {
		r.publish(committed)
	}
	confirmed, current := r.machine.LeadershipConfirmedAt()
	r.settleConfirmations(confirmed, current)
	r.mu.Lock()
	r.seen.leading, r.seen.view, r.seen.released = leading && r.table != nil, view, r.machine.CanStop()
	r.seen.confirmed, r.seen.current = confirmed, current
	if current {
		r.seen.lastConfirmed, r.seen.hasConfirmed = confirmed, true
	}
	if view.Primary.Address != r.options.Address {
		r.seen.hasConfirmed = false
	}
	r.mu.Unlock()
}

// publish makes the committed state known. What is stored is committed at this moment.
func (r *Replica) publish(committed replication.Position) {
	if r.machine.HasPendingProposal() {
		return
	}
	commit := Commit{View: committed.View, Sequence: committed.Sequence, State: r.stored}
	if p := r.candidate; p != nil && p.position == committed {
		commit.Table, commit.Change = p.table, p.order
		r.candidate = nil
		defer func() { p.done <- nil }()
	} else {
		table, err := config.NewTable(r.stored.Document, r.table)
		if err != nil {
			r.options.Log.Error("the replicated configuration is invalid", zap.Error(err))
			return
		}
		commit.Table = table
	}
	r.published, r.table = committed, commit.Table
	r.mu.Lock()
	r.seen.state, r.seen.table, r.seen.sequence = commit.State, commit.Table, commit.Sequence
	r.mu.Unlock()
	r.options.OnCommit(commit)
}

func (r *Replica) settleConfirmations(confirmed time.Duration, current bool) {
	kept := r.waiting[:0]
	for _, c := range r.waiting {
		if current && confirmed >= c.since {
			c.done <- nil
		} else {
			kept = append(kept, c)
		}
	}
	r.waiting = kept
}

// failAll answers all that waits.
func (r *Replica) failAll(err error) {
	if r.candidate != nil {
		r.candidate.done <- err
		r.candidate = nil
	}
	for _, c := range r.waiting {
		c.done <- err
	}
	r.waiting = nil
}

func (r *Replica) look() status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

// ReadLease tells until when this replica is sure that what it last published is the newest: no other view was in force
// then. ok is false on others than a primary.
func (r *Replica) ReadLease() (view, sequence uint64, at time.Duration, ok bool) {
	seen := r.look()
	return seen.view.Number, seen.sequence, seen.confirmed, seen.leading && seen.current
}

// LeadershipConfirmedAt is a moment at which this replica was the primary and no other view was in force; ok is false where it has not
// been the primary since its start, or knows of another one. Other than Freshness it holds on while the replica changes
// the composition of its own view.
func (r *Replica) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	seen := r.look()
	return seen.lastConfirmed, seen.hasConfirmed
}

// View is the newest view that this replica knows.
func (r *Replica) View() replication.View { return r.look().view }
