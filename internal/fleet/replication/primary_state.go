package replication

import "time"

// primaryState holds a primary's data for its view.
type primaryState struct {
	startedAt     time.Duration
	matchPosition map[Replica]Position // of the state that each member or learner has stored
	lastSent      map[Replica]time.Duration
	heartbeats    heartbeatRounds

	committed    Position
	pending      bool // a change was proposed and is not committed yet
	pendingSince time.Duration
	lastEntry    []byte // the last change, to be sent again to members that have not stored it

	learners []Replica // replicas that are being brought up to date, to be added by the next view
	retained retainedEntries
}

func newPrimaryState(now time.Duration, own *HardState) *primaryState {
	return &primaryState{
		startedAt:     now,
		matchPosition: map[Replica]Position{own.Self: own.Position},
		lastSent:      map[Replica]time.Duration{},
		heartbeats:    heartbeatRounds{open: map[uint64]*heartbeatRound{}},
	}
}

// setPending records a proposed change, which this replica stores in the same step.
func (p *primaryState) setPending(now time.Duration, own Replica, position Position, entry []byte) {
	p.matchPosition[own] = position
	p.pending, p.pendingSince, p.lastEntry = true, now, entry
	p.retained.add(position.Sequence, entry)
}

// needsResend reports whether a replica has not stored a position, and the last message to it is older than
// resendInterval.
func (p *primaryState) needsResend(r Replica, position Position, now time.Duration) bool {
	return p.matchPosition[r] != position && now-p.lastSent[r] > resendInterval
}

// maxOpenRounds is the number of heartbeat rounds, counted from the last one, for which acknowledgements are still
// counted.
const maxOpenRounds = 8

// heartbeatRounds tracks a primary's heartbeat rounds. In each the primary sends a heartbeat to all witnesses; once a
// majority has acknowledged it, no later view was in effect when the round was sent.
type heartbeatRounds struct {
	number      uint64 // of the last round
	open        map[uint64]*heartbeatRound
	nextAt      time.Duration
	confirmedAt time.Duration // when the last confirmed round was sent
	isConfirmed bool          // at least one round was confirmed
}

type heartbeatRound struct {
	sent time.Duration
	acks map[Replica]bool
}

// start starts a round, which the primary itself acknowledges.
func (h *heartbeatRounds) start(self Replica, now, interval time.Duration) *heartbeatRound {
	h.number++
	h.nextAt = now + interval
	round := &heartbeatRound{sent: now, acks: map[Replica]bool{self: true}}
	h.open[h.number] = round
	delete(h.open, h.number-maxOpenRounds)
	return round
}

// confirm records that a majority has acknowledged a round.
func (h *heartbeatRounds) confirm(round *heartbeatRound) {
	if !h.isConfirmed || h.confirmedAt < round.sent {
		h.confirmedAt, h.isConfirmed = round.sent, true
	}
}

// unconfirmedFor returns the time since the last confirmed round was sent, or the time from since to now if there was
// none.
func (h *heartbeatRounds) unconfirmedFor(now, since time.Duration) time.Duration {
	if h.isConfirmed {
		return now - h.confirmedAt
	}
	return now - since
}
