package placement

import (
	"math"
	"time"
)

// What is known of an endpoint's failures, from this router's calls and from what other routers tell of theirs. An
// endpoint's health check says nothing of it: it may be good while calls fail, and the other way round. A single router
// of many meets an endpoint too rarely to tell a failing one from bad luck, all together do so within a second.

const (
	minFailureMemory   = 1500 * time.Millisecond // memory of failures where an endpoint gets many calls
	maxFailureMemory   = 6 * time.Second         // the same where it gets few
	failureMemoryCalls = 8.0                     // calls to an endpoint that the memory spans if it may
	priorSuccesses     = 2.0                     // calls without a failure that are taken for granted
	chanceFailures     = 1.25                    // failures that may be chance
	cleanThreshold     = 0.3                     // failures below which none counts as remembered
	relapseThreshold   = 0.2                     // share of failures from which on an endpoint has failed once more
	recoveryThreshold  = 0.05                    // share below which it is well again
	maxRelapseFactor   = 8.0                     // times the memory, for an endpoint that fails again and again
	relapseResetTime   = 30 * time.Second        // after its last failure an endpoint counts as new
	failureLoss        = 1.4                     // what a call that fails loses, in calls that are late
)

// evidence is the failures of one endpoint that are remembered. The zero value is an endpoint that never failed.
type failureEvidence struct {
	failures      float64 // decayed
	updatedAt     time.Duration
	lastFailure   time.Duration // failure
	relapseFactor float64       // times the memory; 0: none yet
	failing       bool
}

// memoryFor is how long failures are remembered of an endpoint that gets so many calls a second.
func memoryFor(callRate float64) time.Duration {
	wanted := time.Duration(failureMemoryCalls / max(callRate, 0.01) * float64(time.Second))
	return min(max(minFailureMemory, wanted), maxFailureMemory)
}

// decay lets time pass.
func (v *failureEvidence) decay(now time.Duration, callRate float64) {
	if now <= v.updatedAt {
		return
	}
	memory := float64(memoryFor(callRate)) * max(1, v.relapseFactor)
	v.failures *= math.Exp(-float64(now-v.updatedAt) / memory)
	v.updatedAt = now
}

// share is the share of all routers' calls to the endpoint that fail, as far as failures are more than chance; callRate is
// the calls a second that all routers together are taken to send it.
func (v *failureEvidence) share(now time.Duration, callRate float64) float64 {
	if v.failures == 0 {
		return 0
	}
	v.decay(now, callRate)
	calls := callRate*memoryFor(callRate).Seconds() + priorSuccesses
	share := min(1, max(0, v.failures-chanceFailures)/calls)
	if share < recoveryThreshold {
		v.failing = false
	}
	return share
}

// clean tells whether hardly a failure is remembered.
func (v *failureEvidence) isClean(now time.Duration, callRate float64) bool {
	if v.failures == 0 {
		return true
	}
	v.decay(now, callRate)
	return v.failures < cleanThreshold
}

// failed notes failures.
func (v *failureEvidence) record(now time.Duration, count, callRate float64) {
	v.decay(now, callRate)
	if now-v.lastFailure > relapseResetTime {
		v.relapseFactor = 0
	}
	v.lastFailure = now
	v.failures += count
	if !v.failing && v.share(now, callRate) > relapseThreshold {
		v.failing = true
		v.relapseFactor = min(maxRelapseFactor, max(1, 2*v.relapseFactor))
	}
}
