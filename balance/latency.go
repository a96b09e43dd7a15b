package balance

import (
	"slices"
	"time"
)

// recordOutcome updates what is known of an endpoint from the outcome of an attempt.
func (b *Balancer) recordOutcome(pending pendingAttempt, endpoint *endpointState, ev *Event) {
	b.recordLoad(endpoint, &ev.Load)
	class, classIndex := pending.request.class, pending.request.classIndex
	scaled := ev.Latency.Seconds() / class.latencyFactor
	switch ev.Status {
	case NotSent:
	case Cancelled: // by this instance: counts as a failure by its probability of hanging, but ejects no endpoint
		b.detector.RecordAbandoned(&endpoint.evidence, classIndex, (b.now - pending.sentAt).Seconds(), pending.hangProbability, pending.overtakenBy)
	case OK:
		b.recordServed(pending, endpoint, ev.Latency)
	case ConnectFailed:
		// An endpoint that serves other attempts is running: its connection table is full, as during congestion.
		if b.now > endpoint.lastSuccess+b.overdueAfter(class) {
			b.recordFailure(endpoint, classIndex, 0)
		}
		b.backOffLimit()
	case Rejected:
		b.backOffLimit()
	case Timeout: // its duration is a lower bound of the latency
		if scaled > b.meanLatency(endpoint) {
			endpoint.latency.add(scaled)
		}
		b.recordFailure(endpoint, classIndex, pending.hangProbability)
	default:
		b.recordFailure(endpoint, classIndex, 0)
	}
}

// recordServed records a served attempt.
func (b *Balancer) recordServed(pending pendingAttempt, endpoint *endpointState, latency time.Duration) {
	class, classIndex := pending.request.class, pending.request.classIndex
	seconds := latency.Seconds()
	scaled := seconds / class.latencyFactor
	class.latency.add(seconds)
	endpoint.latency.add(scaled)
	b.latencyWindow.add(min(1, seconds/class.TargetLatency.Seconds())) // bounded: how late an answer is does not matter
	endpoint.group.latency.add(scaled)
	endpoint.lastSuccess = b.now
	b.detector.RecordAnswer(&endpoint.evidence, classIndex, seconds, pending.hangProbability)
	b.earnWarmupCredits(endpoint)
	b.responses.add(class.TargetLatency.Seconds())
	if endpoint.halfOpen {
		b.solveNeeded = true
	}
	endpoint.consecutiveFailures = 0
	endpoint.halfOpen = false
	endpoint.ejectionBackoff = 0
}

// recordLoad updates an endpoint's utilisation from a load report.
func (b *Balancer) recordLoad(endpoint *endpointState, report *LoadReport) {
	if i := slices.Index(b.settings.LoadFields, LoadUtilisation); i >= 0 && i < report.N {
		old := endpoint.utilisation.value
		endpoint.utilisation = loadValue{value: old + utilisationSmoothing*(float64(report.V[i])-old), known: true}
	}
}

// groupLatency is the mean latency of an endpoint's group, in seconds, scaled to the mean class. Its prior is the latency
// of the first class, which is not scaled; the prior has the small weight groupPriorSamples, so that it matters only
// until the group has answers.
func (b *Balancer) groupLatency(endpoint *endpointState) float64 {
	return endpoint.group.latency.mean(b.classLatency(b.classes[0]).Seconds(), groupPriorSamples)
}

// meanLatency is an endpoint's mean latency, in seconds, scaled to the mean class and shrunk toward its group's latency.
func (b *Balancer) meanLatency(endpoint *endpointState) float64 {
	samples := endpoint.latency
	samples.merge(endpoint.overdueLatency)
	return samples.mean(b.groupLatency(endpoint), priorSamples)
}

// overdueAfter is the time for which an attempt of a class may be pending before it is overdue.
func (b *Balancer) overdueAfter(class *classState) time.Duration {
	return time.Duration(overdueFactor * float64(b.classLatency(class)))
}
