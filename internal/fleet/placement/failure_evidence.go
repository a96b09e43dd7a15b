package placement

import "time"

// failureEvidence is an exponentially decayed count of the failures of one endpoint, of this router's calls and of those
// that other routers report. One router of many sends an endpoint too few calls to distinguish a failing endpoint from
// random failures; the reports of all routers together suffice within a second. An endpoint's heartbeat is not used: it may
// report "ready" while calls fail. Routers make no health checks.
//
// The decay time is doubled each time that an endpoint fails again after a recovery, up to maxBackoffFactor, as outlier
// detection does with ejection times. The zero value is an endpoint that never failed.
type failureEvidence struct {
	count         float64 // decayed
	updatedAt     time.Duration
	lastFailure   time.Duration
	backoffFactor float64 // multiplies the decay time; 0: the endpoint has not been failing since the last reset
	failing       bool
}

// failureDecayTime returns the decay time of the failure count of an endpoint that gets callRate calls per second.
func failureDecayTime(callRate float64) time.Duration {
	unbounded := time.Duration(failureDecayCalls / max(callRate, minCallRate) * float64(time.Second))
	return min(max(minFailureDecayTime, unbounded), maxFailureDecayTime)
}

func (v *failureEvidence) decay(now time.Duration, callRate float64) {
	if now <= v.updatedAt {
		return
	}
	decayTime := float64(failureDecayTime(callRate)) * max(1, v.backoffFactor)
	v.count *= remainingWeight(now-v.updatedAt, decayTime)
	v.updatedAt = now
}

// share estimates the share of all routers' calls to the endpoint that fail, after subtracting toleratedFailures. callRate
// is the assumed rate of these calls, per second.
func (v *failureEvidence) share(now time.Duration, callRate float64) float64 {
	if v.count == 0 {
		return 0
	}
	v.decay(now, callRate)
	calls := callRate*failureDecayTime(callRate).Seconds() + priorSuccesses
	share := min(1, max(0, v.count-toleratedFailures)/calls)
	if share < recoveryThreshold {
		v.failing = false
	}
	return share
}

// isClean reports whether the decayed count of failures is below cleanThreshold.
func (v *failureEvidence) isClean(now time.Duration, callRate float64) bool {
	if v.count == 0 {
		return true
	}
	v.decay(now, callRate)
	return v.count < cleanThreshold
}

// record adds failures to the count. callRate is as for share.
func (v *failureEvidence) record(now time.Duration, failures, callRate float64) {
	v.decay(now, callRate)
	if now-v.lastFailure > backoffResetTime {
		v.backoffFactor = 0
	}
	v.lastFailure = now
	v.count += failures
	if !v.failing && v.share(now, callRate) > failingThreshold {
		v.failing = true
		v.backoffFactor = min(maxBackoffFactor, max(1, 2*v.backoffFactor))
	}
}
