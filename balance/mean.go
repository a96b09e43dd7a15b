package balance

// decayedMean is a mean whose samples lose weight with time.
type decayedMean struct{ n, sum float64 }

func (m *decayedMean) add(x float64) {
	m.n++
	m.sum += x
}

// merge adds the samples of another mean.
func (m *decayedMean) merge(other decayedMean) {
	m.n += other.n
	m.sum += other.sum
}

// decay multiplies the weight of the samples by a factor from 0 to 1.
func (m *decayedMean) decay(factor float64) {
	m.n *= factor
	m.sum *= factor
}

// mean returns the mean, with prior counted as an additional sample of the given weight.
func (m *decayedMean) mean(prior, weight float64) float64 {
	if m.n+weight <= 0 {
		return prior
	}
	return (m.sum + prior*weight) / (m.n + weight)
}
