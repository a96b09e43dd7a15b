package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// phase is what a proposer is doing with a name.
type phase uint8

// The phases of a name.
const (
	unprepared phase = iota // there is no ballot
	preparing               // promises are collected
	prepared                // the ballot is this proposer's, and no round is under way
	proposing               // a round is under way
)

// proposedRegister is a proposer's side of one name.
type proposedRegister struct {
	name   coordination.Name
	phase  phase
	ballot Ballot

	// state is the value of version; both outlive a ballot, as what need not be sent again.
	state   *coordination.State
	version Version

	queue   []*Call     // not executed under the present ballot
	batch   []execution // of the round under way
	waiters []execution // watches that wait for events; each has the result that it gets where none come

	trip     uint64                                    // of the round under way
	base     Version                                   // of the round under way
	change   *coordination.Change                      // of the round under way; nil: the version is only confirmed
	progress map[replication.Replica]*acceptorProgress // under the present ballot

	nextResend     time.Duration
	resendInterval time.Duration
	backoffUntil   time.Duration
	rejections     int // since the last round that a majority accepted
}

// execution is a call with its result. A round's may be told once a majority has accepted the round's version.
type execution struct {
	call   *Call
	result coordination.Result
}

// acceptorProgress is what an acceptor has done under the present ballot.
type acceptorProgress struct {
	promise  *Promise
	rejected bool
	acked    bool    // the round under way
	sent     Version // the newest that it was sent and has not missed; it had that of its promise before
}

func (r *proposedRegister) isWaiting() bool {
	return len(r.queue) > 0 || len(r.batch) > 0 || len(r.waiters) > 0 || r.phase == preparing
}

// nextDue returns when there is something to send again, to begin or to give up.
func (r *proposedRegister) nextDue() time.Duration {
	if r.phase == preparing || r.phase == proposing {
		return r.nextResend
	}
	if len(r.queue) > 0 {
		return r.backoffUntil
	}
	due := r.waiters[0].call.ParkUntil
	for _, w := range r.waiters {
		due = min(due, w.call.ParkUntil)
	}
	return due
}

// progressOf returns an acceptor's progress under the present ballot.
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

// restartResends begins the intervals at which acceptors that don't answer are asked again.
func (r *proposedRegister) restartResends(now time.Duration) {
	r.resendInterval = retransmitInterval
	r.nextResend = now + retransmitInterval
}
