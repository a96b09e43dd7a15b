package placement

import (
	"math"
	"time"
)

// The model of an endpoint's time to first token against this router's own send rate: a line, fitted to the last calls.
// Endpoints report late, so that the own rate is what is known at once.

const (
	delayMemory        = 200.0            // calls after which an observation weighs 1/e
	delayPriorCalls    = 6.0              // calls that a prior weighs
	priorDelay         = 0.15             // seconds, before anything was seen of any endpoint
	priorSpread        = 0.1              // seconds, the same
	rateMemory         = 4 * time.Second  // over which the send rate is averaged
	failureShareMemory = 30.0             // outcomes after which one weighs 1/e
	minSpread          = 0.01             // seconds
	maxSolveInterval   = 10 * time.Second // between refreshes of what the rows are solved from
)

// delayModel is a weighted least-squares fit of delay (s) by send rate (1/s).
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

// add counts another model's observations too.
func (m *delayModel) add(other *delayModel, share float64) {
	m.weight += share * other.weight
	m.sumRate += share * other.sumRate
	m.sumDelay += share * other.sumDelay
	m.sumRateRate += share * other.sumRateRate
	m.sumRateDelay += share * other.sumRateDelay
	m.sumDelayDelay += share * other.sumDelayDelay
}

// fit is a line with the spread of the calls around it.
type delayFit struct{ base, slope, spread float64 }

// fit returns the line; prior counts as delayPriorCalls calls at its mean.
func (m *delayModel) fit(prior delayFit) delayFit {
	total := m.weight + delayPriorCalls
	meanRate := m.sumRate / total
	meanDelay := (m.sumDelay + delayPriorCalls*prior.base) / total
	rateVariance := m.sumRateRate/total - meanRate*meanRate
	covariance := m.sumRateDelay/total - meanRate*(m.sumDelay/total)
	slope := 0.0
	if rateVariance > 1e-6 {
		slope = max(0, covariance/(rateVariance+1))
	}
	spread := priorSpread
	if m.weight > 1 {
		mean := m.sumDelay / m.weight
		spread = math.Sqrt(max(0, m.sumDelayDelay/m.weight-mean*mean))
	}
	return delayFit{base: meanDelay - slope*meanRate, slope: slope, spread: max(minSpread, spread)}
}

// within is the chance that a first token comes within a time, and how it changes with the rate. The delay is taken as
// logistic.
func (f delayFit) chanceWithin(limit, rate float64) (chance, byRate float64) {
	scale := f.spread * math.Sqrt(3) / math.Pi
	chance = 1 / (1 + math.Exp(-(limit-f.base-f.slope*rate)/scale))
	return chance, -chance * (1 - chance) * f.slope / scale
}

// rateMeter averages a rate over the last seconds.
type rateMeter struct {
	rate      float64 // 1/s
	updatedAt time.Duration
}

func (r *rateMeter) decay(now time.Duration) {
	if now > r.updatedAt {
		r.rate *= math.Exp(-float64(now-r.updatedAt) / float64(rateMemory))
		r.updatedAt = now
	}
}

func (r *rateMeter) count(now time.Duration) {
	r.decay(now)
	r.rate += 1 / rateMemory.Seconds()
}

func (r *rateMeter) now(now time.Duration) float64 {
	r.decay(now)
	return r.rate
}
