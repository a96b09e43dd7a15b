package balance

import (
	"math"
	"slices"
	"time"
)

// classState is a request class and what is learned of it.
type classState struct {
	Class
	latency         decayedMean       // of served attempts, in seconds
	priority        float64           // value per work, as a power of two, at the last maintenance
	callShare       float64           // its share of all calls, at the last maintenance
	latencyFactor   float64           // at the last maintenance; see Balancer.latencyFactor
	recentRemaining [16]time.Duration // ring buffer of the times that its last requests came with
	arrivals        int               // requests that were put into it
}

// usualRemaining records the time that a request came with and returns what requests of the class usually come with: the
// largest of the last ones but for the top fifth, for a few clients with more patience must not make all others look late.
func (c *classState) usualRemaining(remaining time.Duration) time.Duration {
	c.recentRemaining[c.arrivals%len(c.recentRemaining)] = remaining
	c.arrivals++
	sorted := c.recentRemaining
	n := min(c.arrivals, len(sorted))
	slices.Sort(sorted[:n])
	return sorted[n-1-n/5]
}

// timeSpent is how much of its target latency a request has used up before it came. One that comes with less time than is
// usual for its class may have spent the difference, or its caller has less patience. It is the latter where the request
// is known to be a first attempt, and is taken to be where the target could not be met any more: the caller still waits.
func (b *Balancer) timeSpent(class *classState, ev *Event) time.Duration {
	spent := max(0, class.usualRemaining(ev.Remaining)-ev.Remaining)
	firstAttempt := b.settings.MarksRetries && !ev.ClientRetry
	if firstAttempt && (b.settings.Tier == 0 || spent > class.TargetLatency-b.classLatency(class)) {
		return 0
	}
	return spent
}

// classLatency is the mean latency of a served attempt of the class; a tenth of its target until known.
func (b *Balancer) classLatency(class *classState) time.Duration {
	return time.Duration(class.latency.mean(initialLatencyShare*class.TargetLatency.Seconds(), 1) * float64(time.Second))
}

// latencyFactor is the class's latency over the plain mean of all classes': it makes calls of different work comparable.
// The mean is over classes, not calls, for it must not move when one class is rejected.
func (b *Balancer) latencyFactor(class *classState) float64 {
	var all decayedMean
	for _, other := range b.classes {
		all.add(b.classLatency(other).Seconds())
	}
	return max(minLatencyFactor, b.classLatency(class).Seconds()/all.mean(0, 0))
}

// classPriority is the class's value per work, where values are not per work already, rounded to a power of two: a finer
// order would starve a class for a difference that is mostly noise.
func (b *Balancer) classPriority(class *classState) float64 {
	value := class.Value
	if !b.settings.ValueByWork {
		value /= class.latencyFactor
	}
	return math.Exp2(math.Round(math.Log2(max(value, 1e-6))))
}

// updateClassWeights computes each class's priority and its share of all calls.
func (b *Balancer) updateClassWeights() {
	for _, class := range b.classes {
		class.latencyFactor = b.latencyFactor(class)
		class.priority = b.classPriority(class)
		class.callShare = 0
	}
	for k, weight := range b.binWeights() {
		b.classes[k/binsPerClass].callShare += weight
	}
}
