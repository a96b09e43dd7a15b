// Health of single servers and of all.

package balance

// failed is a failure of a class at a server; hung is the odds that the server has said nothing.
func (b *Balancer) recordFailure(endpoint *endpointState, class int, hung float64) {
	b.detector.Failed(&endpoint.evidence, class, hung)
	endpoint.consecutiveFailures++
	if (endpoint.halfOpen || endpoint.consecutiveFailures >= ejectionThreshold && endpoint.evidence.Mostly()) && b.now >= endpoint.ejectedUntil {
		b.eject(endpoint)
	}
}

// eject leaves a server out for a while, twice as long as the last time, and then tries it gently.
func (b *Balancer) eject(endpoint *endpointState) {
	endpoint.ejectionBackoff = min(maxEjectionTime, max(baseEjectionTime, 2*endpoint.ejectionBackoff))
	endpoint.ejectedUntil, endpoint.halfOpen, endpoint.consecutiveFailures, b.solveNeeded = b.now+endpoint.ejectionBackoff, true, 0, true
}

// healthy tells whether a server is neither ejected nor silent. A vanished server shows only as
// attempts that stay out while nothing comes back.
func (b *Balancer) healthy(endpoint *endpointState) bool {
	if b.now < endpoint.ejectedUntil {
		return false
	}
	return len(endpoint.pending) == 0 || !endpoint.pending[0].likelyHung() ||
		b.runTime() < max(endpoint.lastSignal, endpoint.pending[0].sentAtRunTime)+b.overdueAfter(endpoint.pending[0].request.class)
}

// updatePanicMode: when most servers look bad, the cause is shared, and none is to be avoided for it.
func (b *Balancer) updatePanicMode() { b.panicMode = b.unhealthyCount*2 > b.availableCount }
