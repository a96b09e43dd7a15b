package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// phase is the state of the protocol for one name.
type phase uint8

// The phases of a name.
const (
	unprepared phase = iota // no ballot
	preparing               // waiting for promises
	prepared                // a majority has promised the ballot, and no round is in progress
	proposing               // a round is in progress
)

// proposedRegister is the state that a proposer keeps for one name.
type proposedRegister struct {
	name   coordination.Name
	phase  phase
	ballot Ballot

	// state is the value of version. Both are kept when a ballot is abandoned, as acceptors need not send that version again.
	state   *coordination.State
	version Version

	queue   []*Call     // not executed under the current ballot
	batch   []execution // calls of the round in progress
	waiters []execution // watches that wait for events, with the result to return if there are none until ParkUntil

	roundTrip uint64                                    // number of the round in progress
	base      Version                                   // version before the round in progress
	change    *coordination.Change                      // of the round in progress; nil: the version is only confirmed
	progress  map[replication.Replica]*acceptorProgress // under the current ballot

	nextResend     time.Duration
	resendInterval time.Duration
	backoffUntil   time.Duration
	rejections     int // ballots rejected since the last round that a majority accepted
}

// execution is a call with its result, which is returned only after a majority has accepted the round's version.
type execution struct {
	call   *Call
	result coordination.Result
}

// acceptorProgress is the progress of one acceptor under the current ballot.
type acceptorProgress struct {
	promise  *Promise
	rejected bool
	acked    bool    // the acceptor acknowledged the round in progress
	sent     Version // newest version that the acceptor reported in its promise or was sent, unless it replied BaseMissing
}

func (r *proposedRegister) isWaiting() bool {
	return len(r.queue) > 0 || len(r.batch) > 0 || len(r.waiters) > 0 || r.phase == preparing
}

// nextTick returns the next time at which Tick must resend a message, start a ballot or round, or complete a watch.
func (r *proposedRegister) nextTick() time.Duration {
	if r.phase == preparing || r.phase == proposing {
		return r.nextResend
	}
	if len(r.queue) > 0 {
		return r.backoffUntil
	}
	next := r.waiters[0].call.ParkUntil
	for _, w := range r.waiters {
		next = min(next, w.call.ParkUntil)
	}
	return next
}

// progressOf returns an acceptor's progress under the current ballot and creates it if necessary.
func (r *proposedRegister) progressOf(acceptor replication.Replica) *acceptorProgress {
	progress := r.progress[acceptor]
	if progress == nil {
		progress = &acceptorProgress{}
		r.progress[acceptor] = progress
	}
	return progress
}

func (r *proposedRegister) count(condition func(*acceptorProgress) bool) int {
	n := 0
	for _, progress := range r.progress {
		if condition(progress) {
			n++
		}
	}
	return n
}

func (r *proposedRegister) rejected() int {
	return r.count(func(a *acceptorProgress) bool { return a.rejected })
}

// restartResends resets the interval at which messages are sent again to acceptors that have not answered.
func (r *proposedRegister) restartResends(now time.Duration) {
	r.resendInterval = retransmitInterval
	r.nextResend = now + retransmitInterval
}
