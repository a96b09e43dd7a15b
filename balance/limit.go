package balance

import "math"

// adaptLimit moves the concurrency limit by the share of their target latencies that answers take: congested endpoints turn
// slow and stay so, and only less work lets them recover. It compares with the baseline, which is what uncongested answers
// take, as delay-based congestion control does (TCP Vegas; Brakmo and Peterson 1995).
func (b *Balancer) adaptLimit() {
	if b.latencyWindow.n < minLimitResponses {
		return
	}
	share := b.latencyWindow.mean(0, 0)
	idle := b.limitUse.mean(0, 0) < minTestedUse*b.limit
	b.updateBaseline()
	b.baselineKnown = b.baselineKnown || idle && b.baseline > 0
	threshold := b.congestionThreshold()
	// An instance with few answers moves the limit seldom, and so by more: congestion grows with time, not with answers.
	intervals := float64(b.now-b.latencyWindowStart) / float64(maintenanceInterval)
	switch {
	case share > threshold && (b.baselineKnown || !idle):
		b.cutLimit(share, threshold, intervals)
	case idle: // the limit was not put to the test
	case b.congestionAvoidance:
		b.limit += max(b.instancePart(1)/10, limitGrowth*b.limit) * min(intervals, maxGrowthIntervals)
	default:
		b.limit *= math.Pow(initialLimitGrowth, min(intervals, maxGrowthIntervals))
	}
	if b.congested && share < congestionEndShare*threshold { // what was in flight beyond the limit is forgiven
		b.unusedLimit = max(0, b.unusedLimit)
		b.congested = false
	}
	b.limit = max(b.limit, b.instancePart(minLimit))
	b.latencyWindow = decayedMean{}
	b.latencyWindowStart = b.now
	b.limitUse = decayedMean{}
}

// congestionThreshold is the share of their target latencies that answers may take before the limit is cut.
func (b *Balancer) congestionThreshold() float64 {
	threshold := initialCongestionShare
	if b.baselineKnown {
		threshold = maxCongestionShare
	}
	if b.baseline > 0 {
		// Capped, or an instance that starts during congestion would take it for the baseline and never cut its limit.
		threshold = min(threshold,
			max(earlyCongestionShare, earlyCongestionFactor*b.baseline),
			b.baseline+max((congestionFactor-1)*b.baseline, minCongestionRise))
	}
	return threshold
}

// cutLimit lowers the limit, but not below what the present rate needs at the threshold (Little's law): where others made
// answers slow, fewer requests in flight make nothing faster.
func (b *Balancer) cutLimit(share, threshold, intervals float64) {
	cut := b.limit * max(math.Pow(maxLimitCut, intervals), threshold/share)
	b.limit = max(cut, min(b.limit, rateSlack*threshold*b.responses.sum/decaySeconds))
	b.congestionAvoidance = true
	b.congested = true
}

// backOffLimit lowers the limit a little: an endpoint has rejected a request or a connection.
func (b *Balancer) backOffLimit() { b.limit = max(b.instancePart(minLimit), b.limit*rejectionBackoff) }

// scaleLimitToCapacity scales the limit, and the rate below which it may not fall, with the capacity of the available
// endpoints, as they warm up, restart, come and go: up as down, or every restart would leave the limit higher.
func (b *Balancer) scaleLimitToCapacity() {
	capacity := 0.0
	for _, endpoint := range b.readyEndpoints {
		capacity += b.warmupConfig.Capacity(b.uptime(endpoint))
	}
	if capacity > 0 {
		b.limit = b.limit * capacity / b.capacity
		b.responses.sum = b.responses.sum * capacity / b.capacity
		b.capacity = capacity
	}
}

// updateBaseline moves the baseline toward the low end of what answers take. It waits for more answers than a move of the
// limit does, for of small samples the low end is mostly chance.
func (b *Balancer) updateBaseline() {
	b.baselineWindow.merge(b.latencyWindow)
	if b.baselineWindow.n < minBaselineResponses {
		return
	}
	b.baseline = trackLowEnd(b.baseline, b.baselineWindow.mean(0, 0))
	b.baselineWindow = decayedMean{}
}

// trackLowEnd moves an estimate of a low end toward a new value: down fast and up slowly.
func trackLowEnd(low, x float64) float64 {
	switch {
	case low == 0 || math.IsInf(low, 0):
		return x
	case x < low:
		return low + baselineFall*(x-low)
	}
	return low + baselineRise*(x-low)
}

// instancePart is this instance's part of so many requests an endpoint, when all instances act alike. An endpoint that is
// warming up counts by its capacity. It may be under 1.
func (b *Balancer) instancePart(perEndpoint float64) float64 {
	return max(0.01, perEndpoint*b.capacity/b.settings.processCount())
}

// allowedInFlight is the limit as a whole number of requests. A small limit is kept on average: an instance whose part is
// one request or two meets three now and then by chance, and all instances together still keep their limit. It may be
// exceeded for as long as it was not used before.
func (b *Balancer) allowedInFlight(request *requestState) float64 {
	switch {
	case b.limit >= smallLimit:
		return math.Floor(b.limit + b.limitDither)
	case b.unusedLimit < b.priorityReserve(request):
		return 0
	}
	return math.Ceil(b.limit + b.burstAllowance())
}

// burstAllowance is by how much a small limit may be exceeded for a moment: three standard deviations of a Poisson
// distribution.
func (b *Balancer) burstAllowance() float64 {
	if b.limit >= smallLimit {
		return 0
	}
	return 3 * math.Sqrt(b.limit)
}

// priorityReserve is how many request-seconds of a small limit have to be unused for a request: the more, the more of the
// calls have a higher priority. Where one request comes at a time, there is no queue from which to take the most valuable.
func (b *Balancer) priorityReserve(request *requestState) float64 {
	moreValuable := 0.0
	for _, class := range b.classes {
		if class.priority > request.priority {
			moreValuable += class.callShare
		}
	}
	return unusedLimitSeconds * b.limit * maxReserveShare * (2*moreValuable - 1)
}
