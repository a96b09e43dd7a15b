package placement

import "time"

// failureEvidence is the failures of one endpoint that are remembered, of this router's calls and of those that other routers
// report. A single router of many meets an endpoint too rarely to tell a failing one from chance; all together do so within a
// second. An endpoint's heartbeat is no evidence: it may say "ready" while calls fail. Routers make no
// health checks.
//
// The memory is doubled each time that an endpoint fails again after a recovery, up to maxRelapseFactor, as outlier detection
// does with ejection times. The zero value is an endpoint that never failed.
type failureEvidence struct {
	count         float64 // decayed
	updatedAt     time.Duration
	lastFailure   time.Duration
	relapseFactor float64 // times the memory; 0: it has not failed yet
	failing       bool
}

// failureMemory returns how long failures are remembered of an endpoint that gets so many calls a second.
func failureMemory(callRate float64) time.Duration {
	wanted := time.Duration(failureMemoryCalls / max(callRate, minCallRate) * float64(time.Second))
	return min(max(minFailureMemory, wanted), maxFailureMemory)
}

func (v *failureEvidence) decay(now time.Duration, callRate float64) {
	if now <= v.updatedAt {
		return
	}
	memory := float64(failureMemory(callRate)) * max(1, v.relapseFactor)
	v.count *= remainingWeight(now-v.updatedAt, memory)
	v.updatedAt = now
}

// share returns the share of all routers' calls to the endpoint that fail, as far as failures are more than chance. callRate is
// the calls a second that all routers together are assumed to send it.
func (v *failureEvidence) share(now time.Duration, callRate float64) float64 {
	if v.count == 0 {
		return 0
	}
	v.decay(now, callRate)
	calls := callRate*failureMemory(callRate).Seconds() + priorSuccesses
	share := min(1, max(0, v.count-chanceFailures)/calls)
	if share < recoveryThreshold {
		v.failing = false
	}
	return share
}

// isClean reports whether hardly a failure is remembered.
func (v *failureEvidence) isClean(now time.Duration, callRate float64) bool {
	if v.count == 0 {
		return true
	}
	v.decay(now, callRate)
	return v.count < cleanThreshold
}

// record adds failures.
func (v *failureEvidence) record(now time.Duration, failures, callRate float64) {
	v.decay(now, callRate)
	if now-v.lastFailure > relapseResetTime {
		v.relapseFactor = 0
	}
	v.lastFailure = now
	v.count += failures
	if !v.failing && v.share(now, callRate) > relapseThreshold {
		v.failing = true
		v.relapseFactor = min(maxRelapseFactor, max(1, 2*v.relapseFactor))
	}
}
