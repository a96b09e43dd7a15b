package balance

// recordFailure records a failed attempt of a class at an endpoint. The hangProbability is the probability that the
// endpoint would never have answered.
func (b *Balancer) recordFailure(endpoint *endpointState, classIndex int, hangProbability float64) {
	b.detector.RecordFailure(&endpoint.evidence, classIndex, hangProbability)
	endpoint.consecutiveFailures++
	outlier := endpoint.halfOpen || endpoint.consecutiveFailures >= ejectionThreshold && endpoint.evidence.MostlyFailing()
	if outlier && b.now >= endpoint.ejectedUntil {
		b.eject(endpoint)
	}
}

// eject takes an endpoint out of use for twice as long as its last ejection, within baseEjectionTime to
// maxEjectionTime. After that it is half-open.
func (b *Balancer) eject(endpoint *endpointState) {
	endpoint.ejectionBackoff = min(maxEjectionTime, max(baseEjectionTime, 2*endpoint.ejectionBackoff))
	endpoint.ejectedUntil = b.now + endpoint.ejectionBackoff
	endpoint.halfOpen = true
	endpoint.consecutiveFailures = 0
	b.solveNeeded = true
}

// healthy reports whether an endpoint is neither ejected nor unresponsive. An endpoint that has crashed without closing
// its connections can only be recognised by attempts that stay pending while it answers nothing else.
func (b *Balancer) healthy(endpoint *endpointState) bool {
	if b.now < endpoint.ejectedUntil {
		return false
	}
	if len(endpoint.pending) == 0 || !endpoint.pending[0].likelyHung() {
		return true
	}
	oldest := &endpoint.pending[0]
	return b.runTime() < max(endpoint.lastSignal, oldest.sentAtRunTime)+b.overdueAfter(oldest.request.class)
}

// updatePanicMode sets panic mode, in which health is ignored, when more than half of the endpoints look unhealthy: the
// cause is then likely a shared one, and avoiding single endpoints does not help (compare Envoy's panic threshold).
func (b *Balancer) updatePanicMode() { b.panicMode = b.unhealthyCount*2 > b.availableCount }
