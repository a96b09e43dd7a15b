package balance

// recordFailure takes in a failed attempt of a class at an endpoint; hangProbability is the odds that the endpoint did not
// answer at all.
func (b *Balancer) recordFailure(endpoint *endpointState, classIndex int, hangProbability float64) {
	b.detector.RecordFailure(&endpoint.evidence, classIndex, hangProbability)
	endpoint.consecutiveFailures++
	outlier := endpoint.halfOpen || endpoint.consecutiveFailures >= ejectionThreshold && endpoint.evidence.MostlyFailing()
	if outlier && b.now >= endpoint.ejectedUntil {
		b.eject(endpoint)
	}
}

// eject takes an endpoint out of use for twice as long as the last time, after which it is half-open.
func (b *Balancer) eject(endpoint *endpointState) {
	endpoint.ejectionBackoff = min(maxEjectionTime, max(baseEjectionTime, 2*endpoint.ejectionBackoff))
	endpoint.ejectedUntil = b.now + endpoint.ejectionBackoff
	endpoint.halfOpen = true
	endpoint.consecutiveFailures = 0
	b.solveNeeded = true
}

// healthy reports whether an endpoint is neither ejected nor unresponsive. One that has vanished shows only as attempts that
// stay pending while no other answer comes.
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

// updatePanicMode ignores health when most endpoints look unhealthy: the cause is shared then, and avoiding any of them does
// not help (Envoy calls it the panic threshold).
func (b *Balancer) updatePanicMode() { b.panicMode = b.unhealthyCount*2 > b.availableCount }
