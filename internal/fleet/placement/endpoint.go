package placement

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// Endpoint is an endpoint with the state that this router keeps for it. An endpoint that is listed again after its removal
// gets a new Endpoint.
type Endpoint struct {
	registry.Endpoint
	Number uint32 // assigned by this router, never reused

	hash      uint64 // of the id
	queue     queue
	prefixes  prefixCache
	streams   streamSet
	prefills  recentPrefills
	slowness  slowness
	delay     delayModel
	sendRate  rateMeter
	suspended bool
	inFlight  int

	failureShare        float64         // of this router's calls
	faults              failureEvidence // of all routers' calls: failures and overdue answers
	failures            failureEvidence // of all routers' calls: failures only, since healthy endpoints may be overdue under load
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // length of the last ejection; 0: none since the last success
}

// ShortID returns a 32-bit hash of the endpoint's id. It is the same on all routers.
func (e *Endpoint) ShortID() uint32 { return uint32(e.hash) }

// recordOutcome updates failureShare with the outcome of a call of this router: 1 for a failure, 0 for a success.
func (e *Endpoint) recordOutcome(failed float64) {
	e.failureShare += (failed - e.failureShare) / failureShareDecayCalls
}

// recordSuccess records a success, which ends an ejection and resets the count of consecutive failures.
func (e *Endpoint) recordSuccess() {
	e.recordOutcome(0)
	e.consecutiveFailures, e.ejectionTime, e.ejectedUntil = 0, 0, 0
}

// eject ejects the endpoint for twice as long as the last time, within baseEjectionTime and maxEjectionTime. An active
// ejection is not extended.
func (e *Endpoint) eject(now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	e.ejectionTime = min(max(baseEjectionTime, 2*e.ejectionTime), maxEjectionTime)
	e.ejectedUntil = now + e.ejectionTime
}
