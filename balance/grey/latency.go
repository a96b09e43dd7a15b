package grey

import "math"

// minSeconds keeps logarithms finite.
const minSeconds = 1e-6

// latencyModel is the distribution of a class's latency at hosts that answer: log-normal.
type latencyModel struct {
	prior           float64 // logarithm of the seconds that an answer is expected to take
	n, sum, squares float64 // of the logarithms; squares of their distances from the mean
}

// mean is the mean logarithm of the seconds.
func (m *latencyModel) mean() float64 {
	return (m.sum + priorLatencyWeight*m.prior) / (m.n + priorLatencyWeight)
}

// logRatio is the logarithm of the ratio of an age in seconds to the typical latency.
func (m *latencyModel) logRatio(seconds float64) float64 {
	return math.Log(max(seconds, minSeconds)) - m.mean()
}

// add takes in an answer and returns its logRatio from before that.
func (m *latencyModel) add(seconds float64) float64 {
	logRatio := m.logRatio(seconds)
	m.n++
	m.sum += math.Log(max(seconds, minSeconds))
	m.squares += logRatio * logRatio
	return logRatio
}

func (m *latencyModel) decay(keep float64) {
	m.n *= keep
	m.sum *= keep
	m.squares *= keep
}

// survival is the chance that an answer that will come has not come yet, at an age of the given logRatio.
func (m *latencyModel) survival(logRatio float64) float64 {
	return 0.5 * math.Erfc(logRatio/(m.spread()*math.Sqrt2))
}

// spread is the standard deviation of the logarithms.
func (m *latencyModel) spread() float64 {
	return max(minSpread, math.Sqrt((m.squares+priorSpreadWeight*priorSpread*priorSpread)/(m.n+priorSpreadWeight)))
}

// recentLatency is how all hosts do at this moment: by how much answers take longer than typical, and how many are fast.
type recentLatency struct{ n, sum, fast float64 }

// add takes in an attempt that was answered, or abandoned, at an age of the given logRatio. One that was abandoned before
// it was late is no evidence.
func (r *recentLatency) add(logRatio float64, answered bool) {
	fast := logRatio < maxFastLogRatio
	if !answered && fast {
		return
	}
	r.n++
	r.sum += logRatio
	if fast {
		r.fast++
	}
}

func (r *recentLatency) decay(keep float64) {
	r.n *= keep
	r.sum *= keep
	r.fast *= keep
}

// slowdown is the logarithm of the factor by which answers take longer than typical, at least 0.
func (r *recentLatency) slowdown() float64 { return max(0, r.sum/(r.n+priorFastWeight)) }

// trust is how far a missing answer is evidence of a hang, from 0 to 1: fully while most answers are as fast as ever. Where
// few are, all hosts are slow or overloaded, and no attempt is to be taken for lost. Overdue is the number of pending
// attempts that should have been answered.
func (r *recentLatency) trust(overdue float64) float64 {
	fast := (r.fast + priorFastWeight) / (r.n + priorFastWeight + overdue)
	return min(1, max(0, (fast-minTrustShare)/(fullTrustShare-minTrustShare)))
}
