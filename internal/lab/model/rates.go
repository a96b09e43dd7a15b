package model

import (
	"math"
	"time"
)

// updateRates sets the rates after a change of anything that they depend on.
func (e *Endpoint) updateRates() {
	e.possibleWork.setRate(e.now, e.nominalCapacity())
	n := len(e.running)
	if n == 0 {
		e.virtualWork.idle(e.now)
	} else {
		e.virtualWork.setRate(e.now, e.jobRate(n))
		e.virtualWork.schedule(e.now, e.running[0].end)
	}
	if e.warmup.inProgress() {
		e.warmup.setSpeed(e.now, e.busyCores(n))
	}
}

// nominalCapacity is the capacity without overload, connections and pauses, in standard cores. Pressure is relative to
// it: losses that callers cause by sending too much would count twice.
func (e *Endpoint) nominalCapacity() float64 {
	if e.currentPhase() != Up {
		return 0
	}
	return float64(e.spec.Cores) * e.spec.Speed * e.warmup.share / e.faults.slowFactor
}

// efficiency is the share of the nominal capacity that remains with the pending requests and the open connections.
func (e *Endpoint) efficiency() float64 {
	share := 1.0
	if at, pending := e.spec.OverloadAt, e.usedSlots+e.queue.n; at > 0 && pending > at {
		share /= 1 + e.spec.OverloadLoss*float64(pending-at)/float64(at)
	}
	if e.spec.MaxConnections > 0 {
		share *= 1 - e.spec.ConnectionTableLoss*float64(e.connections)/float64(e.spec.MaxConnections)
	}
	return share
}

// jobRate is the capacity that each of n running jobs gets, in standard cores.
func (e *Endpoint) jobRate(n int) float64 {
	if e.pauses.paused {
		return 0
	}
	return e.nominalCapacity() * e.efficiency() / float64(max(n, e.spec.Cores))
}

// busyCores is the number of busy cores with n running jobs.
func (e *Endpoint) busyCores(n int) int {
	if e.pauses.paused {
		return 0
	}
	return min(n, e.spec.Cores)
}

// attainedWork is the work done on a running job's present segment (its attained service).
func (e *Endpoint) attainedWork(j *job) time.Duration {
	work := j.work()
	left := j.endsAt - e.virtualWork.at(e.now)
	return min(max(work-time.Duration(math.Ceil(left)), 0), work)
}
