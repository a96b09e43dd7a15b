package replication

import (
	"slices"
	"time"
)

// promiseGracePeriod is how long a candidate waits for further promises after a majority, so that all responsive
// replicas are part of the next view.
const promiseGracePeriod = 60 * time.Millisecond

// resendInterval is the time between repeats of unanswered messages.
const resendInterval = 120 * time.Millisecond

// election holds the data of a candidate's attempt to decide the next view. The methods of Node that carry out its
// phases are in candidate.go.
type election struct {
	ballot       Ballot
	phaseStarted time.Duration
	resendAt     time.Duration
	excluded     map[Replica]bool // replicas that this attempt continues without
	caughtUp     map[Replica]bool // which replicas had stored this primary's state; nil: it was not leading

	// Preparing.
	promises   map[Replica]Promise
	majorityAt time.Duration // when a majority had promised; 0: not yet

	// Fetching: the replica whose state becomes the next view's initial state, and the version of that state.
	donor              Replica
	donorPosition      Position
	donorInstallBallot Ballot

	// Installing and Accepting.
	proposal         View
	installed        map[Replica]bool
	snapshotRequests map[Replica]time.Duration // when each replica last requested the snapshot
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

// onlyCaughtUp reports whether only replicas that have stored the state may be added: a primary changes the composition
// of its own view.
func (e *election) onlyCaughtUp() bool { return e.caughtUp != nil }

// hasPromised reports whether a replica has promised this attempt's ballot. It is false for a nil election.
func (e *election) hasPromised(r Replica) bool {
	if e == nil {
		return false
	}
	_, promised := e.promises[r]
	return promised
}

// isExcluded reports whether this attempt continues without a replica. It is false for a nil election.
func (e *election) isExcluded(r Replica) bool {
	return e != nil && e.excluded[r] && !e.installed[r]
}

// proposes reports whether a message with this view number and ballot refers to this attempt's proposal. It is false
// for a nil election.
func (e *election) proposes(number uint64, ballot Ballot) bool {
	return e != nil && ballot == e.ballot && number == e.proposal.Number
}

// hasEnoughPromises reports whether all witnesses have promised, or a majority had done so promiseGracePeriod ago.
func (e *election) hasEnoughPromises(view *View, now time.Duration) bool {
	if len(e.promises) < view.quorum() {
		return false
	}
	if e.majorityAt == 0 {
		e.majorityAt = now
	}
	return len(e.promises) >= len(view.Witnesses) || now-e.majorityAt >= promiseGracePeriod
}

// highestAccepted returns the proposal with the highest accepted ballot among the promises, which may have been decided
// already. ok is false if no proposal was accepted.
func (e *election) highestAccepted() (proposal View, ok bool) {
	var best Promise
	for _, p := range e.promises {
		if best.Accepted.less(p.Accepted) {
			best = p
		}
	}
	return best.Proposal, !best.Accepted.isZero()
}

// chooseDonor chooses the replica with the newest state among the candidate itself and the members that have promised.
// Each member has stored all changes that were acknowledged in the current view.
func (e *election) chooseDonor(own *HardState) {
	e.donor, e.donorPosition, e.donorInstallBallot = own.Self, own.Position, own.InstallBallot
	for _, member := range own.View.Members {
		p, promised := e.promises[member]
		if promised && e.donorPosition.Less(p.Position) {
			e.donor, e.donorPosition, e.donorInstallBallot = member, p.Position, p.InstallBallot
		}
	}
}

// installTargets returns the replicas that must install the state before the view is proposed: its members and its new
// witnesses. By installing it, a new witness shows that it is reachable and stores what it receives.
func (e *election) installTargets(current *View) []Replica {
	newWitnesses := slices.DeleteFunc(slices.Clone(e.proposal.Witnesses), current.HasWitness)
	return union(e.proposal.Members, newWitnesses)
}

// missingInstalls returns the install targets that have not installed the state.
func (e *election) missingInstalls(current *View) []Replica {
	return slices.DeleteFunc(e.installTargets(current), func(r Replica) bool { return e.installed[r] })
}

// hasRecentSnapshotRequest reports whether a replica requested the snapshot within a time before now: the transfer may
// be in progress.
func (e *election) hasRecentSnapshotRequest(r Replica, now, within time.Duration) bool {
	at, known := e.snapshotRequests[r]
	return known && now-at < within
}
