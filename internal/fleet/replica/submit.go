package replica

import (
	"context"
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Errors of Submit, Read and ConfirmLeadership. Submit returns a *config.InvalidError for an invalid change.
var (
	// ErrUnavailable reports that the outcome is unknown: the change may have been committed, or may be committed later.
	ErrUnavailable = errors.New("replica: the order is not decided")
	// ErrNotPrimary reports that this replica is not the primary: the call has to be sent to another machine.
	ErrNotPrimary = errors.New("replica: not the primary")
	// ErrConflict reports that the change is based on another version than the present one.
	ErrConflict = errors.New("replica: another version is in place")

	// errSuperseded reports that another change is pending, or that the state has advanced since this change was checked. Submit
	// retries.
	errSuperseded = errors.New("replica: superseded by another change")
)

// supersededBackoff is the time between attempts to propose a change while another change is pending.
const supersededBackoff = 5 * time.Millisecond

// proposal is a change that is being replicated, and the state and table after it.
type proposal struct {
	position replication.Position
	change   *config.Change
	state    *config.State
	table    *config.Table
	done     chan error // buffered; receives the outcome
}

// confirmation is a call that waits until the primary is confirmed by a heartbeat round that was sent at the time since or later.
type confirmation struct {
	since time.Duration
	done  chan error // buffered; receives the outcome
}

// Submit commits a change. It returns nil once every member of the view has stored the change, and also if the same change was
// committed before. Errors are ErrUnavailable, also if ctx is done, ErrNotPrimary, ErrConflict, and a *config.InvalidError that
// explains what is wrong with the change.
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
		p, err := r.prepareAlone(ctx, current, change)
		if errors.Is(err, ErrUnavailable) {
			return err
		}
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

// prepareAlone calls prepare once no other change is being checked. It returns ErrUnavailable if ctx is done before.
func (r *Replica) prepareAlone(ctx context.Context, current status, change *config.Change) (*proposal, error) {
	select {
	case r.checks <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrUnavailable
	}
	defer func() { <-r.checks }()
	return prepare(current.state, current.table, change)
}

// prepare checks a change against the present state, and returns a proposal with the state and table after the change.
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

// propose replicates a change and waits for the outcome. If the state is no longer the one that the change was checked against,
// or another change is pending, it returns errSuperseded after supersededBackoff.
func (r *Replica) propose(ctx context.Context, sequence uint64, p *proposal) error {
	entry, err := p.change.Encode()
	if err != nil {
		return err
	}
	r.enqueue(func() { r.startProposal(sequence, p, entry) })
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

// startProposal proposes a change to the protocol, if no other change is pending and the state still has the sequence number.
// It runs on the replica's goroutine.
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

// Read returns the configuration that was in force at some time after the start of the call. Errors are ErrNotPrimary, and
// ErrUnavailable, also if ctx is done.
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

// ConfirmLeadership returns nil once a majority of the witnesses has answered a heartbeat round that was sent after the start of
// the call: no other replica was the primary when that round was sent. Errors are those of Read.
func (r *Replica) ConfirmLeadership(ctx context.Context) error {
	if !r.currentStatus().isPrimary {
		return ErrNotPrimary
	}
	return r.confirm(ctx)
}

// confirm is ConfirmLeadership, but also works on a primary that has not published a commit yet.
func (r *Replica) confirm(ctx context.Context) error {
	c := &confirmation{done: make(chan error, 1)}
	r.enqueue(func() {
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

// wait returns the outcome of a function that was passed to the replica's goroutine. It returns ErrUnavailable if ctx is done or
// the replica is closed before that.
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
