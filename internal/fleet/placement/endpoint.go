package placement

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// Endpoint is one endpoint, with what this router knows of it. An endpoint that comes back after it was removed is a new one.
type Endpoint struct {
	registry.Endpoint
	Number uint32 // assigned by this router, never used again

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
	faults              failureEvidence // of all routers: failures and overdue answers
	failures            failureEvidence // of all routers: failures alone, since a busy endpoint may be overdue and well
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejection            time.Duration // length of the last one; 0: none since the last success
}

// ShortID returns a 32-bit hash of the endpoint's id. It is the same on all routers.
func (e *Endpoint) ShortID() uint32 { return uint32(e.hash) }

// recordOutcome counts an outcome of this router's calls: 1 for a failure, 0 for a success.
func (e *Endpoint) recordOutcome(failed float64) {
	e.failureShare += (failed - e.failureShare) / failureShareMemory
}

// recordSuccess ends a run of failures.
func (e *Endpoint) recordSuccess() {
	e.recordOutcome(0)
	e.consecutiveFailures, e.ejection, e.ejectedUntil = 0, 0, 0
}

// eject keeps calls away for twice as long as the last time. An ejection under way is not extended.
func (e *Endpoint) eject(now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	e.ejection = min(max(baseEjection, 2*e.ejection), maxEjection)
	e.ejectedUntil = now + e.ejection
}
