package balance

import "math"

// adaptLimit adapts the concurrency limit to latencies, measured as fractions of their targets: congested endpoints
// become slow and recover only when they get less work. As in delay-based congestion control (TCP Vegas; Brakmo and
// Peterson 1995), latencies are compared with a baseline, the latency without congestion.
func (b *Balancer) adaptLimit() {
	if b.latencyWindow.n < minLimitResponses {
		return
	}
	share := b.latencyWindow.mean(0, 0) // the mean latency, as a fraction of the targets
	idle := b.limitUse.mean(0, 0) < minTestedUse*b.limit
	b.updateBaseline()
	b.baselineKnown = b.baselineKnown || idle && b.baseline > 0
	threshold := b.congestionThreshold()
	// An instance with few answers adapts the limit less often and therefore in larger steps: congestion grows with
	// time, not with the number of answers.
	intervals := float64(b.now-b.latencyWindowStart) / float64(maintenanceInterval)
	switch {
	case share > threshold && (b.baselineKnown || !idle):
		b.cutLimit(share, threshold, intervals)
	case idle: // too little of the limit was used to tell whether it can grow
	case b.congestionAvoidance: // per interval by at least a tenth of a request per endpoint, over all instances
		b.limit += max(b.instanceShare(1)/10, limitGrowth*b.limit) * min(intervals, maxGrowthIntervals)
	default:
		b.limit *= math.Pow(initialLimitGrowth, min(intervals, maxGrowthIntervals))
	}
	if b.congested && share < congestionEndShare*threshold { // clears the negative credit that congestion has caused
		b.limitCredit = max(0, b.limitCredit)
		b.congested = false
	}
	b.limit = max(b.limit, b.instanceShare(minLimit))
	b.latencyWindow = decayedMean{}
	b.latencyWindowStart = b.now
	b.limitUse = decayedMean{}
}

// congestionThreshold is the mean latency, as a fraction of the targets, above which the limit is cut.
func (b *Balancer) congestionThreshold() float64 {
	threshold := initialCongestionShare
	if b.baselineKnown {
		threshold = maxCongestionShare
	}
	if b.baseline > 0 {
		// Without this maximum, an instance that starts during congestion would take congested latencies for its
		// baseline and never cut its limit.
		threshold = min(threshold,
			max(earlyCongestionShare, earlyCongestionFactor*b.baseline),
			b.baseline+max((congestionFactor-1)*b.baseline, minCongestionRise))
	}
	return threshold
}

// cutLimit lowers the limit, but not below the concurrency that the present rate of answers needs at the threshold
// latency (Little's law): where other instances cause the congestion, a lower limit here would not make answers faster.
func (b *Balancer) cutLimit(share, threshold, intervals float64) {
	cut := b.limit * max(math.Pow(minLimitCutFactor, intervals), threshold/share)
	b.limit = max(cut, min(b.limit, rateSlack*threshold*b.responses.sum/decaySeconds))
	b.congestionAvoidance = true
	b.congested = true
}

// backOffLimit lowers the limit slightly after an endpoint has rejected a request or a connection.
func (b *Balancer) backOffLimit() { b.limit = max(b.instanceShare(minLimit), b.limit*rejectionBackoff) }

// scaleLimitToCapacity scales the limit, and the rate that cutLimit preserves, with the capacity of the available
// endpoints as these warm up, restart, are added and are removed. It scales down as well as up: otherwise every restart
// would raise the limit.
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

// updateBaseline moves the baseline toward the low end of the observed latencies. It needs more answers than a change
// of the limit, because the low end of small samples is mostly noise.
func (b *Balancer) updateBaseline() {
	b.baselineWindow.merge(b.latencyWindow)
	if b.baselineWindow.n < minBaselineResponses {
		return
	}
	b.baseline = trackLowEnd(b.baseline, b.baselineWindow.mean(0, 0))
	b.baselineWindow = decayedMean{}
}

// trackLowEnd returns an estimate of a low end, moved toward a new value x: fast if x is lower, slowly if it is higher.
// An estimate of 0 or infinity is unknown, and x replaces it.
func trackLowEnd(low, x float64) float64 {
	switch {
	case low == 0 || math.IsInf(low, 0):
		return x
	case x < low:
		return low + baselineFall*(x-low)
	}
	return low + baselineRise*(x-low)
}

// instanceShare converts a number of requests per endpoint, over all instances, to this process's equal share of the
// requests at all available endpoints. An endpoint that is warming up counts by its capacity. The share may be below 1,
// but is at least 0.01.
func (b *Balancer) instanceShare(perEndpoint float64) float64 {
	return max(0.01, perEndpoint*b.capacity/b.settings.processCount())
}

// allowedInFlight is the limit on requests in flight for this request, as a whole number. A small limit is kept only on
// average: an instance with a share of one or two requests gets three at a time now and then by chance, and can accept
// them without the instances together exceeding their limit. It may do so as long as it has enough limitCredit.
func (b *Balancer) allowedInFlight(request *requestState) float64 {
	switch {
	case b.limit >= smallLimit:
		return math.Floor(b.limit + b.limitDither)
	case b.limitCredit < b.priorityReserve(request):
		return 0
	}
	return math.Ceil(b.limit + b.burstAllowance())
}

// burstAllowance is the number of requests by which a small limit may be exceeded for a short time: three standard
// deviations of a Poisson distribution.
func (b *Balancer) burstAllowance() float64 {
	if b.limit >= smallLimit {
		return 0
	}
	return 3 * math.Sqrt(b.limit)
}

// priorityReserve is the limitCredit, in request-seconds, that a request needs under a small limit. It increases with
// the share of the requests that have a higher priority. Where requests arrive one at a time there is no queue that could
// order them by priority, so credit is reserved for the more valuable ones instead.
func (b *Balancer) priorityReserve(request *requestState) float64 {
	moreValuable := 0.0
	for _, class := range b.classes {
		if class.priority > request.priority {
			moreValuable += class.requestShare
		}
	}
	return limitCreditSeconds * b.limit * maxReserveShare * (2*moreValuable - 1)
}
