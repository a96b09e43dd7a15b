package balance

import "math"

// onTick checks every unanswered request, and every maintenanceInterval maintains the learned state.
func (b *Balancer) onTick() {
	b.emit(Action{Kind: ActTimer, Token: tickToken, After: b.tickInterval})
	for _, endpoint := range b.endpoints {
		if b.isWarmingUp(endpoint) {
			// Adds a trickle credit if one is due.
			endpoint.warmup.Tick(b.now, b.trickleRate(endpoint), b.random.Float64())
		}
	}
	b.assessPending()
	b.recordLimitUse()
	b.refillQuotas()
	for i := len(b.unanswered) - 1; i >= 0; i-- { // in descending order: completing a request only moves one already checked
		b.checkRequest(b.unanswered[i])
	}
	if b.now >= b.nextMaintenance {
		b.nextMaintenance = b.now + maintenanceInterval
		b.maintain()
	}
	b.subscribe()
	b.dispatchQueue()
}

// recordLimitUse records the use of the limit, and adds the unused part to limitCredit, within limitCreditSeconds.
func (b *Balancer) recordLimitUse() {
	inFlight := float64(b.inFlight)
	b.limitUse.add(inFlight)
	unused := b.limitCredit + (b.limit-inFlight)*b.tickInterval.Seconds()
	b.limitCredit = min(limitCreditSeconds*b.limit, max(-limitCreditSeconds*b.limit, unused))
}

// refillQuotas adds the tokens of one tick to the tenants' quotas.
func (b *Balancer) refillQuotas() {
	for i := range b.tenants {
		bucket := &b.tenants[i]
		bucket.tokens = min(bucket.tokens+bucket.rate*b.tickInterval.Seconds(), max(1, bucket.rate))
	}
}

// maintain decays the learned state, adapts the limit, and computes new routing weights when their inputs have shifted.
func (b *Balancer) maintain() {
	decayFactor := math.Exp(-maintenanceInterval.Seconds() / decaySeconds)
	b.detector.Decay(maintenanceInterval.Seconds())
	b.sends.decay(decayFactor)
	b.responses.decay(decayFactor)
	b.rejections.decay(decayFactor)
	b.scaleLimitToCapacity()
	b.updateClassWeights()
	b.adaptLimit()
	for _, class := range b.classes {
		class.latency.decay(classDecayFactor(decayFactor))
	}
	for _, endpoint := range b.endpoints {
		endpoint.latency.decay(decayFactor)
		endpoint.evidence.Decay(maintenanceInterval.Seconds())
	}
	for _, group := range b.groups {
		group.latency.decay(decayFactor)
	}
	b.updatePanicMode()
	if b.now >= b.nextBinRefresh {
		b.nextBinRefresh = b.now + binRefreshInterval
		b.refreshBins()
	}
	if b.now >= b.solvedAt+minSolveInterval && (b.solveNeeded || b.inputsShifted()) {
		b.solve()
	}
}

// classDecayFactor returns the decay factor of a class's samples that corresponds to that of an endpoint's samples over
// the same time. Differences between classes last longer than those between endpoints, so class samples decay four
// times as slowly.
func classDecayFactor(endpointFactor float64) float64 { return math.Sqrt(math.Sqrt(endpointFactor)) }
