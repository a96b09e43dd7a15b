package replica

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// currentStatus returns the last published status.
func (r *Replica) currentStatus() status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// ReadLease returns the last time (on Options.Clock) at which this replica was confirmed as the primary. At that time the last
// configuration that it published was the newest; ReadLease also returns that configuration's view and sequence number. ok is
// false unless this replica is the confirmed primary.
func (r *Replica) ReadLease() (view, sequence uint64, at time.Duration, ok bool) {
	current := r.currentStatus()
	return current.view.Number, current.sequence, current.confirmedAt, current.isPrimary && current.isConfirmed
}

// LeadershipConfirmedAt returns the last time (on Options.Clock) at which this replica was confirmed as the primary. No other view
// was in force at that time. ok is false if the replica has not been confirmed since its start, or knows a view with another
// primary. Unlike ReadLease, the result stays valid while the replica changes the composition of its own view.
func (r *Replica) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	current := r.currentStatus()
	return current.lastConfirmedAt, current.hasLastConfirmed
}

// View returns the newest view that is known to this replica.
func (r *Replica) View() replication.View { return r.currentStatus().view }
