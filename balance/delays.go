// What is learned of delay, and the limit that follows from it.

package balance

import (
	"math"
	"slices"
	"time"
)

// learn takes from an outcome what it tells of the server.
func (b *Balancer) recordOutcome(pending pendingAttempt, endpoint *endpointState, ev *Event) {
	b.recordLoad(endpoint, &ev.Load)
	class, classIndex, d := pending.request.class, pending.request.classIndex, ev.Latency.Seconds()
	y := d / class.latencyFactor
	switch ev.Status {
	case NotSent:
	case Cancelled: // our own doing: evidence by the odds that it hung
		b.detector.GivenUp(&endpoint.evidence, classIndex, (b.now - pending.sentAt).Seconds(), pending.hangProbability, pending.overtakenBy)
	case OK:
		class.latency.add(d)
		endpoint.latency.add(y)
		b.latencyWindow.add(min(1, d/class.TargetLatency.Seconds())) // late is late, however much
		endpoint.group.latency.add(y)
		endpoint.lastSuccess = b.now
		b.detector.Answered(&endpoint.evidence, classIndex, d, pending.hangProbability)
		b.earnWarmupSends(endpoint)
		b.responses.add(class.TargetLatency.Seconds())
		b.solveNeeded = b.solveNeeded || endpoint.halfOpen
		endpoint.consecutiveFailures, endpoint.halfOpen, endpoint.ejectionBackoff = 0, false, 0
	case ConnectFailed:
		// While other attempts are answered the process runs: its connection table is full, as from a crowd.
		if b.now > endpoint.lastSuccess+b.overdueAfter(class) {
			b.recordFailure(endpoint, classIndex, 0)
		}
		fallthrough
	case Rejected:
		b.limit = max(b.instancePart(minLimit), b.limit*0.98)
	case Timeout: // a lower bound
		if y > b.meanLatency(endpoint) {
			endpoint.latency.add(y)
		}
		b.recordFailure(endpoint, classIndex, pending.hangProbability)
	default:
		b.recordFailure(endpoint, classIndex, 0)
	}
}

func (b *Balancer) recordLoad(endpoint *endpointState, rep *LoadReport) {
	if i := slices.Index(b.settings.LoadFields, LoadUtilisation); i >= 0 && i < rep.N {
		endpoint.utilisation = loadValue{endpoint.utilisation.value + 0.2*(float64(rep.V[i])-endpoint.utilisation.value), true}
	}
}

// classLatency is the mean delay of a served attempt of the class; a tenth of its aim until known.
func (b *Balancer) classLatency(class *classState) time.Duration {
	return time.Duration(class.latency.mean(0.1*class.TargetLatency.Seconds(), 1) * float64(time.Second))
}

// factor is the class's delay over the plain mean of all classes': it makes calls of different work
// comparable. The mean is over classes, not calls, for it must not move when one class is refused.
func (b *Balancer) latencyFactor(class *classState) float64 {
	var all decayedMean
	for _, o := range b.classes {
		all.add(b.classLatency(o).Seconds())
	}
	return max(0.05, b.classLatency(class).Seconds()/all.mean(0, 0))
}

// delay is the server's mean delay, shrunk toward that of its like.
func (b *Balancer) meanLatency(endpoint *endpointState) float64 {
	prior := endpoint.group.latency.mean(b.classLatency(b.classes[0]).Seconds(), 0.1)
	both := decayedMean{endpoint.latency.n + endpoint.overdueLatency.n, endpoint.latency.sum + endpoint.overdueLatency.sum}
	return both.mean(prior, priorCalls)
}

// adaptLimit moves the limit on all that is held by the share of their aims that answers take: crowded
// servers turn slow and stay so, and only less work lets them recover. The measure is what answers
// take uncrowded, which is kept near the low end of what has been seen: down fast and up hardly.
func (b *Balancer) adaptLimit() {
	if b.latencyWindow.n < minLimitResponses {
		return
	}
	taken, idle := b.latencyWindow.mean(0, 0), b.limitUse.mean(0, 0) < minTestedUse*b.limit
	b.updateBaseline()
	most := initialCongestionShare
	if b.baselineKnown = b.baselineKnown || idle && b.baseline > 0; b.baselineKnown {
		most = maxCongestionShare
	}
	if b.baseline > 0 {
		// Capped, or an instance that starts in a crowd would take it for the uncrowded state, never to cut.
		most = min(most, max(earlyCongestionShare, earlyCongestionFactor*b.baseline),
			b.baseline+max((congestionFactor-1)*b.baseline, minCongestionRise))
	}
	// An instance with few answers moves it seldom, and so by more: jams grow with time, not with answers.
	looks := float64(b.now-b.latencyWindowStart) / float64(maintenanceInterval)
	switch {
	case taken > most && (b.baselineKnown || !idle):
		cut := b.limit * max(math.Pow(maxLimitCut, looks), most/taken)
		// But not below what the present rate needs at the most that an answer may take (Little's law): where
		// others made it slow, holding less makes nothing faster.
		b.limit, b.congestionAvoidance, b.congested = max(cut, min(b.limit, rateSlack*most*b.responses.sum/decaySeconds)), true, true
	case idle: // not put to the test
	case b.congestionAvoidance:
		b.limit += max(b.instancePart(1)/10, 0.05*b.limit) * min(looks, maxGrowthIntervals)
	default:
		b.limit *= math.Pow(1.25, min(looks, maxGrowthIntervals))
	}
	if b.congested && taken < congestionEndShare*most { // it is over: what was held beyond the limit is forgiven
		b.unusedLimit, b.congested = max(0, b.unusedLimit), false
	}
	b.limit = max(b.limit, b.instancePart(minLimit))
	b.latencyWindow, b.latencyWindowStart, b.limitUse = decayedMean{}, b.now, decayedMean{}
}

// scaleLimitToCapacity has the limit, and the rate that it may not fall under, follow what the servers in the list can
// do, as they warm up, start anew, come and go: up as down, or every restart would leave it higher.
func (b *Balancer) scaleLimitToCapacity() {
	able := 0.0
	for _, endpoint := range b.readyEndpoints {
		able += b.warmupConfig.Capacity(b.uptime(endpoint))
	}
	if able > 0 {
		b.limit, b.responses.sum, b.capacity = b.limit*able/b.capacity, b.responses.sum*able/b.capacity, able
	}
}

// measure takes over what answers take uncrowded, as the low end of what they take. It waits for more of
// them than a move of the limit, for of small samples the low end is mostly chance.
func (b *Balancer) updateBaseline() {
	b.baselineWindow.n, b.baselineWindow.sum = b.baselineWindow.n+b.latencyWindow.n, b.baselineWindow.sum+b.latencyWindow.sum
	if b.baselineWindow.n < minBaselineResponses {
		return
	}
	b.baseline, b.baselineWindow = trackLowEnd(b.baseline, b.baselineWindow.mean(0, 0)), decayedMean{}
}

// part is this instance's part of so many requests a server, when all instances act alike: of a cold one as
// much less as it can do less. It may be under 1.
func (b *Balancer) instancePart(each float64) float64 {
	return max(0.01, each*b.capacity/b.settings.processCount())
}

// whole is the limit as a number of requests. A small one is kept on average: an instance whose share is one
// request or two meets three now and then by chance, and all together still hold what they may. It may be
// exceeded for as long as it has not been used before.
func (b *Balancer) allowedInFlight(request *requestState) float64 {
	switch {
	case b.limit >= smallLimit:
		return math.Floor(b.limit + b.limitDither)
	case b.unusedLimit < b.priorityReserve(request):
		return 0
	}
	return math.Ceil(b.limit + b.burstAllowance())
}

// chance is by how much a small limit may be exceeded for a moment.
func (b *Balancer) burstAllowance() float64 {
	if b.limit >= smallLimit {
		return 0
	}
	return 3 * math.Sqrt(b.limit)
}

// reserve is how much of a small limit has to be unused for a request: the more, the more of the demand is
// worth more than it. There is no line from which the best could be taken where one request comes at a time.
func (b *Balancer) priorityReserve(request *requestState) float64 {
	above := 0.0
	for _, class := range b.classes {
		if class.priority > request.priority {
			above += class.callShare
		}
	}
	return unusedLimitSeconds * b.limit * maxReserveShare * (2*above - 1)
}
