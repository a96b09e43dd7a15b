package placement

import "math"

// delayModel is a weighted least-squares fit of an endpoint's time to first token (seconds) by this router's own send rate
// (calls a second). Endpoints' reports come late; the own rate is known at once.
type delayModel struct {
	weight, sumRate, sumDelay, sumRateRate, sumRateDelay, sumDelayDelay float64
}

func (m *delayModel) observe(rate, delay float64) {
	keep := 1 - 1/delayMemory
	m.weight = m.weight*keep + 1
	m.sumRate = m.sumRate*keep + rate
	m.sumDelay = m.sumDelay*keep + delay
	m.sumRateRate = m.sumRateRate*keep + rate*rate
	m.sumRateDelay = m.sumRateDelay*keep + rate*delay
	m.sumDelayDelay = m.sumDelayDelay*keep + delay*delay
}

// add adds a share of another model's observations.
func (m *delayModel) add(other *delayModel, share float64) {
	m.weight += share * other.weight
	m.sumRate += share * other.sumRate
	m.sumDelay += share * other.sumDelay
	m.sumRateRate += share * other.sumRateRate
	m.sumRateDelay += share * other.sumRateDelay
	m.sumDelayDelay += share * other.sumDelayDelay
}

// delayFit is the line, base + slope*rate seconds, and the standard deviation of calls around it in seconds.
type delayFit struct{ base, slope, deviation float64 }

// fit returns the line. The prior counts as delayPriorCalls calls at its base.
func (m *delayModel) fit(prior delayFit) delayFit {
	total := m.weight + delayPriorCalls
	meanRate := m.sumRate / total
	meanDelay := (m.sumDelay + delayPriorCalls*prior.base) / total
	rateVariance := m.sumRateRate/total - meanRate*meanRate
	covariance := m.sumRateDelay/total - meanRate*(m.sumDelay/total)
	slope := 0.0
	if rateVariance > minRateVariance {
		slope = max(0, covariance/(rateVariance+1))
	}
	deviation := priorDeviation
	if m.weight > 1 {
		mean := m.sumDelay / m.weight
		deviation = math.Sqrt(max(0, m.sumDelayDelay/m.weight-mean*mean))
	}
	return delayFit{base: meanDelay - slope*meanRate, slope: slope, deviation: max(minDeviation, deviation)}
}

// chanceWithin returns the probability that a first token comes within a limit (seconds) at a rate, and its derivative by the
// rate. The delay is taken as logistic.
func (f delayFit) chanceWithin(limit, rate float64) (chance, byRate float64) {
	scale := f.deviation * math.Sqrt(3) / math.Pi
	chance = 1 / (1 + math.Exp(-(limit-f.base-f.slope*rate)/scale))
	return chance, -chance * (1 - chance) * f.slope / scale
}
