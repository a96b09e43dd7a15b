package placement

import "math"

// delayModel is a weighted least-squares fit of an endpoint's time to first token (seconds) against the rate at which this
// router sends it calls (calls per second). The send rate is used because it is current, while reports from endpoints are
// delayed.
type delayModel struct {
	weight, sumRate, sumDelay, sumRateRate, sumRateDelay, sumDelayDelay float64
}

func (m *delayModel) observe(rate, delay float64) {
	retention := 1 - 1/delayDecayCalls
	m.weight = m.weight*retention + 1
	m.sumRate = m.sumRate*retention + rate
	m.sumDelay = m.sumDelay*retention + delay
	m.sumRateRate = m.sumRateRate*retention + rate*rate
	m.sumRateDelay = m.sumRateDelay*retention + rate*delay
	m.sumDelayDelay = m.sumDelayDelay*retention + delay*delay
}

// add adds the observations of another model, scaled by share.
func (m *delayModel) add(other *delayModel, share float64) {
	m.weight += share * other.weight
	m.sumRate += share * other.sumRate
	m.sumDelay += share * other.sumDelay
	m.sumRateRate += share * other.sumRateRate
	m.sumRateDelay += share * other.sumRateDelay
	m.sumDelayDelay += share * other.sumDelayDelay
}

// delayFit is the fitted line, base + slope*rate seconds, and the standard deviation of the delays in seconds.
type delayFit struct{ base, slope, deviation float64 }

// fit returns the fitted line. The prior counts as delayPriorCalls calls with a delay of prior.base.
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

// probabilityWithin returns the probability that the first token arrives within limit seconds at a send rate, and the
// derivative of that probability by the rate. Delays are assumed to have a logistic distribution.
func (f delayFit) probabilityWithin(limit, rate float64) (probability, derivative float64) {
	scale := f.deviation * math.Sqrt(3) / math.Pi
	probability = 1 / (1 + math.Exp(-(limit-f.base-f.slope*rate)/scale))
	return probability, -probability * (1 - probability) * f.slope / scale
}
