package balance

import (
	"math"
	"slices"
)

// solveInputs is the inputs of a solve.
type solveInputs struct {
	latency      []float64   // by endpoint, in seconds
	binShares    []float64   // by bin
	failureRates [][]float64 // by endpoint and class
}

// recordSolveInputs stores the inputs of the present solve for inputsShifted.
func (b *Balancer) recordSolveInputs(binShares []float64) {
	b.solvedFor = solveInputs{binShares: binShares}
	b.solvedAt = b.now
	b.solveNeeded = false
	for _, endpoint := range b.endpoints {
		b.solvedFor.latency = append(b.solvedFor.latency, b.meanLatency(endpoint))
		b.solvedFor.failureRates = append(b.solvedFor.failureRates, b.failureRates(endpoint))
	}
}

// inputsShifted reports whether an input has moved significantly since the last solve.
func (b *Balancer) inputsShifted() bool {
	if len(b.solvedFor.binShares) != len(b.bins) || len(b.solvedFor.latency) != len(b.endpoints) {
		return true
	}
	for i, endpoint := range b.endpoints {
		if math.Abs(b.meanLatency(endpoint)-b.solvedFor.latency[i]) > minLatencyShift*b.solvedFor.latency[i] ||
			maxDifference(b.failureRates(endpoint), b.solvedFor.failureRates[i]) > minFailureRateShift {
			return true
		}
	}
	moved := 0.0
	for i, weight := range b.binWeights() {
		moved += math.Abs(weight - b.solvedFor.binShares[i])
	}
	return moved/2 > minBinShift
}

// solve computes the routing weights that maximise the expected payoff over all bins, by projected gradient ascent.
func (b *Balancer) solve() {
	if b.solveNeeded {
		b.rebuildEndpoints()
	}
	weights := b.binWeights()
	b.recordSolveInputs(weights)
	if len(b.endpoints) == 0 {
		return
	}
	n := float64(len(b.endpoints))
	curves := b.fitCurves(b.sumShares(weights))
	// Starts from equal shares: otherwise a recovered endpoint would stay out of use where all payoffs are equal.
	for _, row := range b.rows {
		for i := range row {
			row[i] = 1 / n
		}
	}
	b.rows = b.ascend(weights, curves)
	for _, row := range b.rows {
		for i := range row {
			row[i] = (1-exploreShare)*row[i] + exploreShare/n
		}
	}
	b.totalShare = b.sumShares(weights)
	b.accumulateRows()
}

// ascend makes solveSteps gradient steps from the present rows and returns the best rows found. Where curves are steep,
// a step can overshoot the maximum. The search then continues from the best rows with half the step size, so that it
// does not oscillate.
func (b *Balancer) ascend(weights []float64, curves []latencyCurve) [][]float64 {
	step := solveStep
	best, gradient, bestPayoff := b.rows, [][]float64(nil), math.Inf(-1)
	for range solveSteps + 1 {
		if g, payoff := b.gradient(weights, curves); payoff >= bestPayoff {
			best, gradient, bestPayoff = b.rows, g, payoff
		} else {
			step /= 2
		}
		b.rows = make([][]float64, len(best))
		for k, row := range best {
			b.rows[k] = slices.Clone(row)
			for i := range row {
				b.rows[k][i] += step * gradient[k][i]
			}
			projectToSimplex(b.rows[k])
		}
	}
	return best
}

// gradient returns the expected payoff over all bins and, for each share of each row, its partial derivative divided by
// the weight of the row's bin. The payoff of a request is its class's value, in units of the mean value and reduced by the
// expected loss from failures, times the probability that it is answered within its remaining time.
func (b *Balancer) gradient(weights []float64, curves []latencyCurve) (gradient [][]float64, payoff float64) {
	total := b.sumShares(weights)
	meanValue := 0.0
	for k, weight := range weights {
		meanValue += weight * b.classes[k/binsPerClass].Value
	}
	gradient = make([][]float64, len(b.bins))
	congestion := make([]float64, len(curves)) // payoff that one more request at an endpoint costs the other requests there
	for k, row := range b.rows {
		class := b.classes[k/binsPerClass]
		lossPerFailure := b.lossPerFailure(class)
		remaining := remainingSeconds(class, k%binsPerClass)
		gradient[k] = make([]float64, len(curves))
		for i := range curves {
			latency, slope := curves[i].at(total[i])
			value := class.Value / max(meanValue, 1e-9) * (1 - lossPerFailure*b.solvedFor.failureRates[i][k/binsPerClass])
			late := math.Exp(-remaining / (class.latencyFactor * latency))
			gradient[k][i] = value * (1 - late)
			payoff += weights[k] * row[i] * gradient[k][i]
			congestion[i] += weights[k] * value * row[i] * late * remaining / (class.latencyFactor * latency * latency) * slope
		}
	}
	for k := range gradient {
		for i := range congestion {
			gradient[k][i] -= congestion[i]
		}
	}
	return gradient, payoff
}

// lossPerFailure is the fraction of a request's value that a failed attempt costs. It is lower where attempts may be hedged.
func (b *Balancer) lossPerFailure(class *classState) float64 {
	loss := 1.0
	if b.settings.Hedging && class.Idempotency != NonIdempotent {
		loss -= hedgeSavings
	}
	return loss
}

// remainingSeconds is the remaining part of the target latency, in seconds, for requests in a bin of a class.
func remainingSeconds(class *classState, bin int) float64 {
	remaining := class.TargetLatency.Seconds()
	if bin > 0 {
		remaining *= 1 - binEdges[bin-1]
	}
	return remaining
}
