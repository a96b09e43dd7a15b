package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// publishStep makes known, after a step, what has been decided: it logs a new view, hands a commit to OnCommit, answers the changes and
// reads that wait, and updates the status. It runs on the replica's goroutine.
func (r *Replica) publishStep() {
	view := r.node.View()
	r.logElection(view)
	r.announceView(view)
	committed, isPrimary := r.node.Committed()
	if !isPrimary {
		r.failPending(ErrUnavailable)
		r.table = nil
	}
	if isPrimary && (committed != r.published || r.table == nil) {
		r.publishCommit(committed)
	}
	confirmedAt, isConfirmed := r.node.LeadershipConfirmedAt()
	r.resolveConfirmations(confirmedAt, isConfirmed)

	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.isPrimary = isPrimary && r.table != nil
	r.status.view = view
	r.status.canStop = r.node.CanStop()
	r.status.confirmedAt, r.status.isConfirmed = confirmedAt, isConfirmed
	if isConfirmed {
		r.status.lastConfirmedAt, r.status.hasLastConfirmed = confirmedAt, true
	}
	if view.Primary.Address != r.options.Address {
		r.status.hasLastConfirmed = false
	}
}

func (r *Replica) announceView(view replication.View) {
	if view.Number <= r.lastView.Number {
		return
	}
	former := r.lastView
	r.lastView = view
	r.options.Log.Info("view changed",
		zap.Uint64("number", view.Number),
		zap.String("primary", view.Primary.Address),
		zap.Int("members", len(view.Members)),
		zap.Int("witnesses", len(view.Witnesses)),
		zap.Strings("membersAdded", addressesWithout(view.Members, former.Members)),
		zap.Strings("membersRemoved", addressesWithout(former.Members, view.Members)),
		zap.Strings("witnessesAdded", addressesWithout(view.Witnesses, former.Witnesses)),
		zap.Strings("witnessesRemoved", addressesWithout(former.Witnesses, view.Witnesses)))
	r.options.OnViewChange(view)
}

// addressesWithout returns the addresses of the replicas that are not among others. A disk that was lost makes another replica of a machine.
func addressesWithout(replicas, others []replication.Replica) []string {
	var addresses []string
	for _, replica := range replicas {
		if !slices.Contains(others, replica) {
			addresses = append(addresses, replica.Address)
		}
	}
	return addresses
}

// logElection logs that this replica became a candidate, and that its election failed. One that succeeds is a view change.
func (r *Replica) logElection(view replication.View) {
	isCandidate := r.node.IsCandidate()
	switch {
	case isCandidate && !r.wasCandidate:
		r.options.Log.Info("election started",
			zap.Uint64("number", view.Number+1), zap.Stringer("reason", r.node.LastElectionReason()))
	case !isCandidate && r.wasCandidate && view.Number <= r.lastView.Number:
		r.options.Log.Warn("election failed",
			zap.Uint64("number", view.Number+1), zap.Stringer("reason", r.node.LastElectionReason()))
	}
	r.wasCandidate = isCandidate
}

// publishCommit makes the committed state known, unless a change is pending: without one, what is stored is committed.
func (r *Replica) publishCommit(committed replication.Position) {
	if r.node.HasPendingProposal() {
		return
	}
	commit := Commit{View: committed.View, Sequence: committed.Sequence, State: r.store.state}
	if p := r.pending; p != nil && p.position == committed {
		commit.Table, commit.Change = p.table, p.change
		r.pending = nil
		defer func() { p.done <- nil }() // after OnCommit
	} else {
		table, err := config.NewTable(commit.State.Document, r.table)
		if err != nil {
			r.options.Log.Error("the replicated configuration is invalid", zap.Error(err))
			return
		}
		commit.Table = table
	}
	r.published, r.table = committed, commit.Table
	r.mu.Lock()
	r.status.state, r.status.table, r.status.sequence = commit.State, commit.Table, commit.Sequence
	r.mu.Unlock()
	r.options.OnCommit(commit)
}

// resolveConfirmations answers those that wait for a round no later than the last confirmed one.
func (r *Replica) resolveConfirmations(confirmedAt time.Duration, isConfirmed bool) {
	waiting := r.confirmations[:0]
	for _, c := range r.confirmations {
		if isConfirmed && confirmedAt >= c.since {
			c.done <- nil
		} else {
			waiting = append(waiting, c)
		}
	}
	r.confirmations = waiting
}

// failPending answers the change and the confirmations that wait with an error.
func (r *Replica) failPending(err error) {
	if r.pending != nil {
		r.pending.done <- err
		r.pending = nil
	}
	for _, c := range r.confirmations {
		c.done <- err
	}
	r.confirmations = nil
}
