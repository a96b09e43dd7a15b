package replica

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/replication"
)

func (r *Replica) currentStatus() status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// ReadLease returns the time up to which this replica is known to have been the primary, so that what it last published was
// the newest configuration then, and the view and sequence number of that. ok is false on others than a primary.
func (r *Replica) ReadLease() (view, sequence uint64, at time.Duration, ok bool) {
	current := r.currentStatus()
	return current.view.Number, current.sequence, current.confirmedAt, current.isPrimary && current.isConfirmed
}

// LeadershipConfirmedAt returns a time at which this replica was the primary and no other view was in force; ok is false
// where it has not been the primary since its start, or knows of another one. Unlike ReadLease it stays in force while the
// replica changes the composition of its own view.
func (r *Replica) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	current := r.currentStatus()
	return current.lastConfirmedAt, current.hasLastConfirmed
}

// View returns the newest view that this replica knows.
func (r *Replica) View() replication.View { return r.currentStatus().view }
