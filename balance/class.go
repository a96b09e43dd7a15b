package balance

import (
	"math"
	"slices"
	"time"
)

// classState is a request class with its learned statistics.
type classState struct {
	Class
	latency         decayedMean       // latencies of served attempts, in seconds
	priority        float64           // value per unit of work, rounded to a power of two, at the last maintenance
	requestShare    float64           // fraction of all requests, at the last maintenance
	latencyFactor   float64           // see Balancer.latencyFactor; at the last maintenance
	recentRemaining [16]time.Duration // ring buffer of the remaining times of the latest requests at their arrival
	arrivals        int               // number of values written to recentRemaining
}

// usualRemaining records a request's remaining time and returns the usual remaining time of the class: the 80th
// percentile of the latest requests. The maximum would make all requests look late as soon as a few clients have a
// longer time-out.
func (c *classState) usualRemaining(remaining time.Duration) time.Duration {
	c.recentRemaining[c.arrivals%len(c.recentRemaining)] = remaining
	c.arrivals++
	sorted := c.recentRemaining
	n := min(c.arrivals, len(sorted))
	slices.Sort(sorted[:n])
	return sorted[n-1-n/5]
}

// timeSpent estimates how much of its target latency a request had spent before it arrived. A request with less
// remaining time than is usual for its class has either spent the difference or has a caller with a shorter time-out.
// Where clients mark their retries, a request without the mark is a first attempt. At the first tier, a first attempt
// has spent nothing. At an inner tier, it is assumed to have spent nothing if it could otherwise no longer meet its
// target latency, because its caller is still waiting.
func (b *Balancer) timeSpent(class *classState, ev *Event) time.Duration {
	spent := max(0, class.usualRemaining(ev.Remaining)-ev.Remaining)
	firstAttempt := b.settings.MarksRetries && !ev.ClientRetry
	if firstAttempt && (b.settings.Tier == 0 || spent > class.TargetLatency-b.classLatency(class)) {
		return 0
	}
	return spent
}

// classLatency is the mean latency of the class's served attempts, or initialLatencyShare of its target latency until
// there are any.
func (b *Balancer) classLatency(class *classState) time.Duration {
	return time.Duration(class.latency.mean(initialLatencyShare*class.TargetLatency.Seconds(), 1) * float64(time.Second))
}

// latencyFactor is the class's latency divided by the mean of all classes' latencies. Latencies are divided by it to
// make those of different classes comparable. The mean is over classes rather than requests, so that it does not move when
// requests of one class are rejected.
func (b *Balancer) latencyFactor(class *classState) float64 {
	var all decayedMean
	for _, other := range b.classes {
		all.add(b.classLatency(other).Seconds())
	}
	return max(minLatencyFactor, b.classLatency(class).Seconds()/all.mean(0, 0))
}

// classPriority is the class's value per unit of work, rounded to a power of two. Without the rounding a class could
// starve because of a small difference that is mostly noise.
func (b *Balancer) classPriority(class *classState) float64 {
	value := class.Value
	if !b.settings.ValueByWork {
		value /= class.latencyFactor
	}
	return math.Exp2(math.Round(math.Log2(max(value, 1e-6))))
}

// updateClassWeights computes each class's priority and its share of all requests.
func (b *Balancer) updateClassWeights() {
	for _, class := range b.classes {
		class.latencyFactor = b.latencyFactor(class)
		class.priority = b.classPriority(class)
		class.requestShare = 0
	}
	for k, weight := range b.binWeights() {
		b.classes[k/binsPerClass].requestShare += weight
	}
}
