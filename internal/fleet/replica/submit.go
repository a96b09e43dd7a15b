package replica

import (
	"context"
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Errors of a change or a read. An invalid change gets a *config.InvalidError.
var (
	// ErrUnavailable says that the outcome is not known: the change may have been committed, or may be later.
	ErrUnavailable = errors.New("replica: the order is not decided")
	// ErrNotPrimary says that another machine has to be asked.
	ErrNotPrimary = errors.New("replica: not the primary")
	// ErrConflict says that the change is based on another version than the present one.
	ErrConflict = errors.New("replica: another version is in place")

	errSuperseded = errors.New("replica: another order came before")
)

// supersededBackoff is the time between attempts of a change while another one is pending.
const supersededBackoff = 5 * time.Millisecond

// proposal is a change under way.
type proposal struct {
	position replication.Position
	change   *config.Change
	state    *config.State
	table    *config.Table
	done     chan error // buffered
}

// confirmation waits for a heartbeat round that was sent at a time or later.
type confirmation struct {
	since time.Duration
	done  chan error // buffered
}

// Submit has a change committed. It returns nil once every member of the view has stored it, also where that very change
// was committed before. Errors: ErrUnavailable, also where ctx is done, ErrNotPrimary, ErrConflict, and a
// *config.InvalidError, which says what is wrong with the change.
func (r *Replica) Submit(ctx context.Context, change *config.Change) error {
	digest := change.Digest()
	for {
		current := r.currentStatus()
		if !current.isPrimary {
			return ErrNotPrimary
		}
		if current.state.HasApplied(digest) {
			return nil
		}
		if change.Base != current.state.Document.Version() {
			if err := r.confirm(ctx); err != nil {
				return err
			}
			if r.currentStatus().sequence == current.sequence {
				return ErrConflict
			}
			continue
		}
		p, err := prepare(current.state, current.table, change)
		if err != nil {
			if unconfirmed := r.confirm(ctx); unconfirmed != nil {
				return unconfirmed
			}
			return err
		}
		err = r.propose(ctx, current.sequence, p)
		if !errors.Is(err, errSuperseded) {
			return err
		}
	}
}

// prepare checks a change against the present state and makes the next one.
func prepare(state *config.State, table *config.Table, change *config.Change) (*proposal, error) {
	next, err := state.Apply(change)
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
	return &proposal{change: change, state: next, table: nextTable, done: make(chan error, 1)}, nil
}

// propose has the members store a change, if the state is still the one that it was checked against; else it returns
// errSuperseded after a while.
func (r *Replica) propose(ctx context.Context, sequence uint64, p *proposal) error {
	entry, err := p.change.Encode()
	if err != nil {
		return err
	}
	r.do(func() { r.startProposal(sequence, p, entry) })
	err = r.wait(ctx, p.done)
	if !errors.Is(err, errSuperseded) {
		return err
	}
	select {
	case <-time.After(supersededBackoff):
		return errSuperseded
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// startProposal runs on the replica's goroutine.
func (r *Replica) startProposal(sequence uint64, p *proposal, entry []byte) {
	if r.pending != nil || r.published.Sequence != sequence || r.node.Position().Sequence != sequence {
		p.done <- errSuperseded
		return
	}
	out, ok := r.node.Propose(r.options.Clock(), entry)
	if !ok {
		p.done <- ErrUnavailable
		return
	}
	p.position = r.node.Position()
	r.pending = p
	r.execute(out)
}

// Read returns the configuration that is in force at a moment after the call. Errors: ErrNotPrimary, and ErrUnavailable,
// also where ctx is done.
func (r *Replica) Read(ctx context.Context) (*config.Document, error) {
	if err := r.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	current := r.currentStatus()
	if !current.isPrimary {
		return nil, ErrNotPrimary
	}
	return current.state.Document, nil
}

// ConfirmLeadership returns nil once a majority of the witnesses has answered a heartbeat round that was sent after the
// call: no other replica was the primary meanwhile. Errors are those of Read.
func (r *Replica) ConfirmLeadership(ctx context.Context) error {
	if !r.currentStatus().isPrimary {
		return ErrNotPrimary
	}
	return r.confirm(ctx)
}

// confirm is ConfirmLeadership also for a primary that has published nothing yet.
func (r *Replica) confirm(ctx context.Context) error {
	c := &confirmation{done: make(chan error, 1)}
	r.do(func() {
		if r.node.Status() != replication.Leading {
			c.done <- ErrNotPrimary
			return
		}
		c.since = r.options.Clock()
		r.confirmations = append(r.confirmations, c)
		r.execute(r.node.ConfirmLeadership(c.since))
	})
	return r.wait(ctx, c.done)
}

// wait returns the outcome of what the replica's goroutine was given to do.
func (r *Replica) wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	case <-r.done:
		return ErrUnavailable
	}
}
