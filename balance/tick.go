package balance

import "math"

// onTick checks every unanswered request, and from time to time maintains what was learned.
func (b *Balancer) onTick() {
	b.emit(Action{Kind: ActTimer, Token: tickToken, After: b.tickInterval})
	for _, endpoint := range b.endpoints {
		if b.isWarmingUp(endpoint) {
			endpoint.warmup.Tick(b.now, b.trickleRate(endpoint), b.random.Float64())
		}
	}
	b.assessPending()
	b.accountLimitUse()
	b.refillQuotas()
	for i := len(b.unanswered) - 1; i >= 0; i-- { // completing one moves only a later one
		b.checkRequest(b.unanswered[i])
	}
	if b.now >= b.nextMaintenance {
		b.nextMaintenance = b.now + maintenanceInterval
		b.maintain()
	}
	b.subscribe()
	b.dispatchQueue()
}

// accountLimitUse records how much of the limit is used, and saves the unused part of it for a while.
func (b *Balancer) accountLimitUse() {
	inFlight := float64(b.inFlight)
	b.limitUse.add(inFlight)
	unused := b.unusedLimit + (b.limit-inFlight)*b.tickInterval.Seconds()
	b.unusedLimit = min(unusedLimitSeconds*b.limit, max(-unusedLimitSeconds*b.limit, unused))
}

// refillQuotas adds a tick's tokens to the tenants' quotas.
func (b *Balancer) refillQuotas() {
	for i := range b.tenants {
		bucket := &b.tenants[i]
		bucket.tokens = min(bucket.tokens+bucket.rate*b.tickInterval.Seconds(), max(1, bucket.rate))
	}
}

// maintain ages what was learned, adapts the limit, and solves for new routing weights when their inputs have moved.
func (b *Balancer) maintain() {
	keep := math.Exp(-maintenanceInterval.Seconds() / decaySeconds)
	b.detector.Decay(maintenanceInterval.Seconds())
	b.sends.decay(keep)
	b.responses.decay(keep)
	b.rejections.decay(keep)
	b.scaleLimitToCapacity()
	b.updateClassWeights()
	b.adaptLimit()
	for _, class := range b.classes {
		class.latency.decay(classKeep(keep))
	}
	for _, endpoint := range b.endpoints {
		endpoint.latency.decay(keep)
		endpoint.evidence.Decay(maintenanceInterval.Seconds())
	}
	for _, group := range b.groups {
		group.latency.decay(keep)
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

// classKeep is what samples of a class keep of their weight while those of an endpoint keep the given share: classes differ
// for long, endpoints for moments.
func classKeep(keep float64) float64 { return math.Sqrt(math.Sqrt(keep)) }
