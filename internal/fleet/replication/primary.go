package replication

import (
	"slices"
	"time"
)

// maxOpenRounds is how many of the last heartbeat rounds may still be answered.
const maxOpenRounds = 8

// leadership is what a primary knows.
type primaryState struct {
	startedAt     time.Duration
	matchPosition     map[Replica]Position // what each member has on its disk
	lastSent    map[Replica]time.Duration
	pending   bool // a change waits for members
	pendingSince time.Duration
	committed Position
	lastEntry     []byte // the last change, for members that have not stored it

	learners   []Replica   // that are brought up to the state
	retained    []retainedEntry // the last changes, for them
	retainedBytes int

	round     uint64
	rounds    map[uint64]*round
	nextRound time.Duration
	confirmedAt time.Duration // when the last round was sent that a majority answered
	isConfirmed bool          // confirmed is set
}

// round is one heartbeat to all witnesses.
type round struct {
	sent time.Duration
	acks map[Replica]bool
}

// activate makes this replica the primary of the view that it has just taken over.
func (n *Node) activate() {
	n.status = Activating
	n.primary = &primaryState{
		startedAt: n.now, matchPosition: map[Replica]Position{n.hardState.Self: n.hardState.Position},
		lastSent: map[Replica]time.Duration{}, rounds: map[uint64]*round{},
	}
	n.sendAppend()
	n.advanceCommit()
}

// Propose begins a change. It returns false where this replica is not the primary, or another change is under way.
func (n *Node) Propose(now time.Duration, entry []byte) (*Output, bool) {
	out := n.step(now)
	if n.status != Leading || n.primary.pending || !n.hardState.Promised.isZero() {
		return out, false
	}
	if !n.survivesLoss(n.notResigning(n.hardState.View.Members)) {
		return out, false
	}
	n.hardState.Position.Sequence++
	n.primary.matchPosition[n.hardState.Self] = n.hardState.Position
	n.primary.pending, n.primary.pendingSince, n.primary.lastEntry = true, now, entry
	n.primary.retainEntry(n.hardState.Position.Sequence, entry)
	n.persist().Entry = entry
	n.sendAppend()
	n.advanceCommit()
	return out, true
}

// Committed is the position up to which all members hold the state; ok is false on others than a primary.
func (n *Node) Committed() (position Position, ok bool) {
	if n.status != Leading {
		return Position{}, false
	}
	return n.primary.committed, true
}

// HasPendingProposal tells whether a change is under way.
func (n *Node) HasPendingProposal() bool { return n.primary != nil && n.primary.pending }

// LeadershipConfirmedAt is when the primary sent the last round that a majority of the witnesses answered: at that moment no other
// view was in force. ok is false on others than a primary.
func (n *Node) LeadershipConfirmedAt() (at time.Duration, ok bool) {
	if n.status != Leading || !n.primary.isConfirmed {
		return 0, false
	}
	return n.primary.confirmedAt, true
}

// ConfirmLeadership has a round begin at once.
func (n *Node) ConfirmLeadership(now time.Duration) *Output {
	out := n.step(now)
	if n.primary != nil {
		n.sendRound()
	}
	return out
}

// sendAppend brings what members, and learners, lack to them. Messages that were just sent are not repeated.
func (n *Node) sendAppend() {
	target := n.hardState.Position
	for _, member := range union(n.hardState.View.Members, n.primary.learners) {
		if n.primary.matchPosition[member] == target {
			continue
		}
		message := Append{View: n.hardState.View, Source: n.hardState.Source, Position: target}
		if n.primary.pending {
			message.Entry = n.primary.lastEntry
		}
		n.primary.lastSent[member] = n.now
		n.send(member, message)
	}
}

func (n *Node) onAppendAck(from Replica, message AppendAck) {
	if n.primary == nil || message.Number != n.hardState.View.Number {
		return
	}
	n.primary.matchPosition[from] = message.Position
	n.transfers.finish(from)
	n.advanceCommit()
}

// advanceCommit commits what all members hold, where enough of them stay.
func (n *Node) advanceCommit() {
	if !n.survivesLoss(n.notResigning(n.hardState.View.Members)) {
		return
	}
	for _, member := range n.hardState.View.Members {
		if n.primary.matchPosition[member] != n.hardState.Position {
			return
		}
	}
	n.primary.committed = n.hardState.Position
	n.primary.pending = false
	if n.status == Activating {
		n.status = Leading
		n.sendRound()
	}
}

func (n *Node) sendRound() {
	l := n.primary
	l.round++
	l.nextRound = n.now + n.options.Timing.HeartbeatInterval
	l.rounds[l.round] = &round{sent: n.now, acks: map[Replica]bool{n.hardState.Self: true}}
	delete(l.rounds, l.round-maxOpenRounds)
	age := n.now - l.startedAt
	if l.isConfirmed {
		age = n.now - l.confirmedAt
	}
	message := Heartbeat{View: n.hardState.View, Round: l.round, ConfirmedAgeMs: uint64(age / time.Millisecond)}
	for _, replica := range union(n.hardState.View.Witnesses, n.joiningReplicas()) {
		n.send(replica, message)
	}
	n.countRound(l.rounds[l.round])
}

func (n *Node) onHeartbeatAck(from Replica, message HeartbeatAck) {
	n.recordResigning(from, message.Leaving)
	if n.primary == nil || message.Number != n.hardState.View.Number {
		return
	}
	r := n.primary.rounds[message.Round]
	if r == nil || !message.Current || !n.hardState.View.HasWitness(from) {
		return
	}
	r.acks[from] = true
	n.countRound(r)
}

func (n *Node) countRound(r *round) {
	if len(r.acks) < n.hardState.View.quorum() || !n.hardState.Promised.isZero() {
		return
	}
	if !n.primary.isConfirmed || n.primary.confirmedAt < r.sent {
		n.primary.confirmedAt, n.primary.isConfirmed = r.sent, true
	}
}

func (n *Node) tickPrimary() {
	l := n.primary
	if n.now >= l.nextRound {
		n.sendRound()
	}
	if n.status == Activating || l.pending {
		n.advanceCommit() // a member may have said since that it stays
		n.resendAppend()
	} else {
		n.syncLearners()
	}
	if n.needsViewChange() {
		n.startElection()
	}
}

func (n *Node) resendAppend() {
	for _, member := range n.hardState.View.Members {
		if n.primary.matchPosition[member] != n.hardState.Position && n.now-n.primary.lastSent[member] > resendInterval {
			n.sendAppend()
			return
		}
	}
}

// needsViewChange tells whether another composition of the view would be better: without a silent, slow or leaving member,
// where the rest suffices, or with replicas that hold the state already.
func (n *Node) needsViewChange() bool {
	if n.canDropFailedMember() {
		return true
	}
	if n.status != Leading || n.primary.pending {
		return false
	}
	return n.canDropResigningMember() || n.now-n.primary.startedAt > n.options.Timing.MinViewChangeInterval && n.canImproveComposition()
}

func (n *Node) canDropFailedMember() bool {
	t := n.options.Timing
	since := n.primary.startedAt
	if n.primary.pending {
		since = n.primary.pendingSince
	}
	late := (n.primary.pending || n.status == Activating) && n.now-since > t.AppendTimeout
	silent := false
	var rest []Replica
	for _, member := range n.hardState.View.Members {
		switch {
		case late && n.primary.matchPosition[member] != n.hardState.Position:
			n.penalize(member)
			silent = true
		case n.now-n.primary.startedAt > t.MemberTimeout && !n.isLive(member, t.MemberTimeout):
			silent = true
		default:
			rest = append(rest, member)
		}
	}
	return silent && n.survivesLoss(n.notResigning(append(rest, n.spareWitnesses()...)))
}

// spares are live witnesses that are no members.
func (n *Node) spareWitnesses() []Replica {
	var all []Replica
	for _, r := range n.hardState.View.Witnesses {
		if !n.hardState.View.HasMember(r) && n.isLive(r, n.options.Timing.MemberTimeout) && !n.isPenalized(r) {
			all = append(all, r)
		}
	}
	return all
}

// canDropResigningMember tells whether a member that leaves can be done without at once.
func (n *Node) canDropResigningMember() bool {
	isMember := slices.ContainsFunc(n.hardState.View.Members, n.isResigning)
	return isMember && n.survivesLoss(n.nextMembers(n.nextWitnesses(true), n.isInSync))
}

// canImproveComposition tells whether a view change would change the composition, and could: all that it would take in hold the
// state.
func (n *Node) canImproveComposition() bool {
	view := &n.hardState.View
	witnesses := n.nextWitnesses(true)
	members := n.nextMembers(witnesses, n.isInSync)
	if !n.survivesLoss(members) {
		return false
	}
	better := len(members) > len(view.Members) || slices.ContainsFunc(members, func(r Replica) bool { return !view.HasMember(r) })
	return better || !sameReplicas(witnesses, view.Witnesses)
}
