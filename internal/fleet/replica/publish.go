package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// publishStep publishes the outcome of a step: it logs elections and view changes, passes a commit to OnCommit, answers pending
// changes and confirmations, and updates the status. It runs on the replica's goroutine.
func (r *Replica) publishStep() {
	view := r.node.View()
	r.logElection(view)
	r.publishView(view)
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

// publishView logs a view that is newer than the last one, and passes it to OnViewChange.
func (r *Replica) publishView(view replication.View) {
	if view.Number <= r.lastView.Number {
		return
	}
	previous := r.lastView
	r.lastView = view
	r.options.Log.Info("view changed",
		zap.Uint64("number", view.Number),
		zap.String("primary", view.Primary.Address),
		zap.Int("members", len(view.Members)),
		zap.Int("witnesses", len(view.Witnesses)),
		zap.Strings("membersAdded", addressesNotIn(view.Members, previous.Members)),
		zap.Strings("membersRemoved", addressesNotIn(previous.Members, view.Members)),
		zap.Strings("witnessesAdded", addressesNotIn(view.Witnesses, previous.Witnesses)),
		zap.Strings("witnessesRemoved", addressesNotIn(previous.Witnesses, view.Witnesses)))
	r.options.OnViewChange(view)
}

// addressesNotIn returns the addresses of the replicas that are not among others. A machine that has lost its disk becomes another
// replica with the same address.
func addressesNotIn(replicas, others []replication.Replica) []string {
	var addresses []string
	for _, replica := range replicas {
		if !slices.Contains(others, replica) {
			addresses = append(addresses, replica.Address)
		}
	}
	return addresses
}

// logElection logs that this replica has become a candidate, or that its election has failed. A successful election is logged as a
// view change.
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

// publishCommit publishes the stored state, unless a proposal is pending: only without one is the stored state committed.
func (r *Replica) publishCommit(committed replication.Position) {
	if r.node.HasPendingProposal() {
		return
	}
	commit := Commit{View: committed.View, Sequence: committed.Sequence, State: r.store.state}
	if p := r.pending; p != nil && p.position == committed {
		commit.Table, commit.Change = p.table, p.change
		r.pending = nil
		defer func() { p.done <- nil }() // acknowledges the change after OnCommit
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

// resolveConfirmations answers the confirmations that are satisfied by the last confirmed heartbeat round, which was sent at
// confirmedAt.
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

// failPending answers the pending change and all waiting confirmations with an error.
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
