package replication

import (
	"slices"
	"time"
)

// promiseGracePeriod is how long a candidate waits for promises beyond a majority, so that all live replicas are in the next view.
const promiseGracePeriod = 60 * time.Millisecond

// resendInterval is the time between repeats of messages that were not answered.
const resendInterval = 120 * time.Millisecond

// election is a candidate's attempt to decide the view after the present one: the data of its phases. The candidate's
// methods are in candidate.go.
type election struct {
	ballot       Ballot
	phaseStarted time.Duration
	resendAt     time.Duration
	excluded     map[Replica]bool // replicas that this attempt goes on without
	caughtUp     map[Replica]bool // replicas that hold the state though they are no members; nil: not known

	// Preparing.
	promises   map[Replica]Promise
	majorityAt time.Duration // when a majority had promised; 0: not yet

	// Fetching: the replica whose state the next view begins with, and which state that is.
	donor              Replica
	donorPosition      Position
	donorInstallBallot Ballot

	// Installing and Accepting.
	proposal         View
	installed        map[Replica]bool
	snapshotRequests map[Replica]time.Duration // when each replica last said that it lacks the state
	accepted         map[Replica]bool
}

func newElection(ballot Ballot, caughtUp map[Replica]bool) *election {
	return &election{
		ballot:           ballot,
		caughtUp:         caughtUp,
		excluded:         map[Replica]bool{},
		promises:         map[Replica]Promise{},
		snapshotRequests: map[Replica]time.Duration{},
	}
}

// onlyCaughtUp reports whether a primary changes the composition of its own view, and so adds only replicas that hold its
// state.
func (e *election) onlyCaughtUp() bool { return e.caughtUp != nil }

// hasPromised reports whether a replica has promised in this attempt. It is false without one.
func (e *election) hasPromised(r Replica) bool {
	if e == nil {
		return false
	}
	_, promised := e.promises[r]
	return promised
}

// isExcluded reports whether this attempt goes on without a replica. It is false without one.
func (e *election) isExcluded(r Replica) bool {
	return e != nil && e.excluded[r] && !e.installed[r]
}

// proposes reports whether a message is about this attempt's proposal.
func (e *election) proposes(number uint64, ballot Ballot) bool {
	return e != nil && ballot == e.ballot && number == e.proposal.Number
}

// hasEnoughPromises reports whether all witnesses have promised, or a majority had a while ago.
func (e *election) hasEnoughPromises(view *View, now time.Duration) bool {
	if len(e.promises) < view.quorum() {
		return false
	}
	if e.majorityAt == 0 {
		e.majorityAt = now
	}
	return len(e.promises) >= len(view.Witnesses) || now-e.majorityAt >= promiseGracePeriod
}

// highestAccepted returns the proposal that may have been decided already; ok is false where there is none.
func (e *election) highestAccepted() (proposal View, ok bool) {
	var best Promise
	for _, p := range e.promises {
		if best.Accepted.less(p.Accepted) {
			best = p
		}
	}
	return best.Proposal, !best.Accepted.isZero()
}

// chooseDonor picks the member with the newest state among the candidate itself and those that have promised. Any of them
// has all that was acknowledged in the present view.
func (e *election) chooseDonor(own *HardState) {
	e.donor, e.donorPosition, e.donorInstallBallot = own.Self, own.Position, own.InstallBallot
	for _, member := range own.View.Members {
		p, promised := e.promises[member]
		if promised && e.donorPosition.Less(p.Position) {
			e.donor, e.donorPosition, e.donorInstallBallot = member, p.Position, p.InstallBallot
		}
	}
}

// installTargets returns the replicas that have to install the state before the view is proposed: its members, and
// witnesses that are new, which shows that they live and store what they are sent.
func (e *election) installTargets(current *View) []Replica {
	newWitnesses := slices.DeleteFunc(slices.Clone(e.proposal.Witnesses), current.HasWitness)
	return union(e.proposal.Members, newWitnesses)
}

// missingInstalls returns the install targets that have not installed the state.
func (e *election) missingInstalls(current *View) []Replica {
	return slices.DeleteFunc(e.installTargets(current), func(r Replica) bool { return e.installed[r] })
}

// hasRecentSnapshotRequest reports whether a replica has said within a time that it lacks the state: a snapshot may be on its way.
func (e *election) hasRecentSnapshotRequest(r Replica, now, within time.Duration) bool {
	at, known := e.snapshotRequests[r]
	return known && now-at < within
}
