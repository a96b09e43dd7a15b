package replication

import "time"

// primaryState is what a primary knows of its view.
type primaryState struct {
	startedAt     time.Duration
	matchPosition map[Replica]Position // what each member or learner has on its disk
	lastSent      map[Replica]time.Duration
	heartbeats    heartbeatRounds

	committed    Position
	pending      bool // a change waits for members
	pendingSince time.Duration
	lastEntry    []byte // the last change, for members that have not stored it

	learners []Replica // that are being brought up to the state
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

// setPending records a change that was proposed.
func (p *primaryState) setPending(now time.Duration, own Replica, position Position, entry []byte) {
	p.matchPosition[own] = position
	p.pending, p.pendingSince, p.lastEntry = true, now, entry
	p.retained.add(position.Sequence, entry)
}

// needsResend reports whether a replica has not stored a position and is due for a repeated message.
func (p *primaryState) needsResend(r Replica, position Position, now time.Duration) bool {
	return p.matchPosition[r] != position && now-p.lastSent[r] > resendInterval
}

// maxOpenRounds is how many of the last heartbeat rounds may still be answered.
const maxOpenRounds = 8

// heartbeatRounds are a primary's heartbeats to all witnesses. A round that a majority answers confirms that no other view
// was in force when it was sent.
type heartbeatRounds struct {
	number      uint64 // of the last round
	open        map[uint64]*heartbeatRound
	nextAt      time.Duration
	confirmedAt time.Duration // when the last confirmed round was sent
	isConfirmed bool          // there was one
}

type heartbeatRound struct {
	sent time.Duration
	acks map[Replica]bool
}

// start opens a round, which the primary itself has answered.
func (h *heartbeatRounds) start(self Replica, now, interval time.Duration) *heartbeatRound {
	h.number++
	h.nextAt = now + interval
	round := &heartbeatRound{sent: now, acks: map[Replica]bool{self: true}}
	h.open[h.number] = round
	delete(h.open, h.number-maxOpenRounds)
	return round
}

// confirm records that a majority has answered a round.
func (h *heartbeatRounds) confirm(round *heartbeatRound) {
	if !h.isConfirmed || h.confirmedAt < round.sent {
		h.confirmedAt, h.isConfirmed = round.sent, true
	}
}

// unconfirmedFor is how long ago the last confirmed round was sent, or since a time if there was none.
func (h *heartbeatRounds) unconfirmedFor(now, since time.Duration) time.Duration {
	if h.isConfirmed {
		return now - h.confirmedAt
	}
	return now - since
}
