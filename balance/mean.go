package balance

// decayedMean is a mean whose samples lose weight with time.
type decayedMean struct{ n, sum float64 }

func (m *decayedMean) add(x float64) {
	m.n++
	m.sum += x
}

// merge adds the samples of another one.
func (m *decayedMean) merge(other decayedMean) {
	m.n += other.n
	m.sum += other.sum
}

// decay leaves the samples the given share of their weight.
func (m *decayedMean) decay(keep float64) {
	m.n *= keep
	m.sum *= keep
}

// mean is the mean as if prior had been seen weight times as well.
func (m *decayedMean) mean(prior, weight float64) float64 {
	if m.n+weight <= 0 {
		return prior
	}
	return (m.sum + prior*weight) / (m.n + weight)
}
