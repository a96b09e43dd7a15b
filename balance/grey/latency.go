package grey

import "math"

// minLatencySeconds is the lower bound of an age or latency whose logarithm is taken, so that it is finite.
const minLatencySeconds = 1e-6

// latencyModel is the log-normal distribution of a class's latency at hosts that answer.
type latencyModel struct {
	priorMean float64 // logarithm of the expected latency in seconds
	// Decayed number, sum, and squared deviations from the mean, of the logarithms of latencies in seconds.
	weight, sum, squares float64
}

// mean returns the mean logarithm of the latency in seconds.
func (m *latencyModel) mean() float64 {
	return (m.sum + priorLatencyWeight*m.priorMean) / (m.weight + priorLatencyWeight)
}

// logRatio returns the logarithm of the ratio of an age in seconds to the typical latency.
func (m *latencyModel) logRatio(seconds float64) float64 {
	return math.Log(max(seconds, minLatencySeconds)) - m.mean()
}

// add records an answer's latency in seconds, and returns its logRatio by the distribution before it was added.
func (m *latencyModel) add(seconds float64) float64 {
	logRatio := m.logRatio(seconds)
	m.weight++
	m.sum += math.Log(max(seconds, minLatencySeconds))
	m.squares += logRatio * logRatio
	return logRatio
}

func (m *latencyModel) decay(keep float64) {
	m.weight *= keep
	m.sum *= keep
	m.squares *= keep
}

// survival returns the probability that an answer takes longer than an age with the given logRatio.
func (m *latencyModel) survival(logRatio float64) float64 {
	return 0.5 * math.Erfc(logRatio/(m.spread()*math.Sqrt2))
}

// spread returns the standard deviation of the logarithms.
func (m *latencyModel) spread() float64 {
	return max(minSpread, math.Sqrt((m.squares+priorSpreadWeight*priorSpread*priorSpread)/(m.weight+priorSpreadWeight)))
}

// recentLatency sums up the most recent attempts at all hosts: weight is their number, sum that of their logRatios, and
// fast the number of fast answers. All decay.
type recentLatency struct{ weight, sum, fast float64 }

// add records an attempt that was answered, or else abandoned, at an age with the given logRatio. An attempt that was
// abandoned before it was late is no evidence.
func (r *recentLatency) add(logRatio float64, answered bool) {
	fast := logRatio < maxFastLogRatio
	if !answered && fast {
		return
	}
	r.weight++
	r.sum += logRatio
	if fast {
		r.fast++
	}
}

func (r *recentLatency) decay(keep float64) {
	r.weight *= keep
	r.sum *= keep
	r.fast *= keep
}

// slowdown returns the logarithm of the ratio of recent latencies to typical ones, at least 0.
func (r *recentLatency) slowdown() float64 { return max(0, r.sum/(r.weight+priorFastWeight)) }

// trust returns how far a missing answer is evidence of a hang, from 0 to 1. It is 1 while most answers are fast, and 0
// if few are: all hosts are then slow or overloaded, and no pending attempt should be considered lost. overdue is the
// number of pending attempts that are later than a fast answer.
func (r *recentLatency) trust(overdue float64) float64 {
	fast := (r.fast + priorFastWeight) / (r.weight + priorFastWeight + overdue)
	return min(1, max(0, (fast-minTrustFastShare)/(fullTrustFastShare-minTrustFastShare)))
}
