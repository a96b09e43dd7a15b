// The solve of the rows.

package balance

import (
	"math"
	"slices"
)

// binWeights is each bin's share of the calls; even over the classes until something has been seen.
func (b *Balancer) binWeights() []float64 {
	w := make([]float64, len(b.bins))
	for i := range b.bins {
		w[i] = b.bins[i].share + b.bins[i].arrivals*1e-3
		if i%binsPerClass == 0 {
			w[i] += 1e-3
		}
	}
	normalise(w)
	return w
}

// shifted tells whether an input has moved significantly since the last solve.
func (b *Balancer) inputsShifted() bool {
	if len(b.solvedFor.binShares) != len(b.bins) || len(b.solvedFor.latency) != len(b.endpoints) {
		return true
	}
	for i, endpoint := range b.endpoints {
		if math.Abs(b.meanLatency(endpoint)-b.solvedFor.latency[i]) > latencyShift*b.solvedFor.latency[i] ||
			maxDifference(b.failureRates(endpoint), b.solvedFor.failureRates[i]) > failShift {
			return true
		}
	}
	moved := 0.0
	for i, w := range b.binWeights() {
		moved += math.Abs(w - b.solvedFor.binShares[i])
	}
	return moved/2 > binShift
}

// curve is a server's delay against its share of the calls: alone/(1 - growth*share), with alone
// the delay that it would have with no load.
type latencyCurve struct{ unloaded, growth float64 }

func (c *latencyCurve) at(share float64) (delay, slope float64) {
	free := max(0.05, 1-c.growth*share)
	return c.unloaded / free, c.unloaded * c.growth / free / free
}

// curves fits every server's curve through its delay at its present share. The growth is the same
// for servers of the same speed, and such that the mean server is as busy as the fleet is.
func (b *Balancer) fitCurves(share []float64) []latencyCurve {
	n, mean := float64(len(b.endpoints)), decayedMean{}
	for _, endpoint := range b.endpoints {
		mean.add(b.meanLatency(endpoint))
	}
	busy := b.meanUtilisation()
	pressure := n * busy / (mean.mean(0, 0) * (1 - busy))
	cs := make([]latencyCurve, len(b.endpoints))
	for i, endpoint := range b.endpoints {
		m := b.meanLatency(endpoint)
		alone := m / (1 + pressure*m*max(share[i], 0.5/n)) // a small share must not make it look slow
		cs[i] = latencyCurve{unloaded: alone, growth: pressure * alone}
	}
	return cs
}

// busy is the fleet's utilisation: as reported, or a middling one, at which crowding is felt.
func (b *Balancer) meanUtilisation() float64 {
	var told decayedMean
	for _, endpoint := range b.endpoints {
		if endpoint.utilisation.known {
			told.add(endpoint.utilisation.value)
		}
	}
	return min(0.8, max(0.3, told.mean(0.6, 0.1)))
}

// solve moves every row by projected gradient toward the most payoff summed over bins.
func (b *Balancer) solve() {
	if b.solveNeeded {
		b.rebuildEndpoints()
	}
	weight := b.binWeights()
	b.recordSolveInputs(weight)
	n := float64(len(b.endpoints))
	if n == 0 {
		return
	}
	cs, step := b.fitCurves(b.sumShares(weight)), solveStep
	for _, row := range b.rows { // from even, or one that had been bad would stay out where all pay alike
		for i := range row {
			row[i] = 1 / n
		}
	}
	best, grad, most := b.rows, [][]float64(nil), math.Inf(-1)
	for range solveSteps + 1 {
		// Where curves are steep a step can pass the top: go back and halve it, or rows would swing.
		if g, payoff := b.gradient(weight, cs); payoff >= most {
			best, grad, most = b.rows, g, payoff
		} else {
			step /= 2
		}
		b.rows = make([][]float64, len(best))
		for k, row := range best {
			b.rows[k] = slices.Clone(row)
			for i := range row {
				b.rows[k][i] += step * grad[k][i]
			}
			projectToSimplex(b.rows[k])
		}
	}
	b.rows = best
	for _, row := range b.rows {
		for i := range row {
			row[i] = (1-exploreShare)*row[i] + exploreShare/n
		}
	}
	b.totalShare = b.sumShares(weight)
	b.accumulateRows()
}

// gradient is the summed payoff, and its slope by each share of each row. A call pays its class's worth, in
// units of the mean worth, times the chance of ending within the time that it has left.
func (b *Balancer) gradient(weight []float64, cs []latencyCurve) (grad [][]float64, payoff float64) {
	total, mean := b.sumShares(weight), 0.0
	for k, w := range weight {
		mean += w * b.classes[k/binsPerClass].Value
	}
	grad = make([][]float64, len(b.bins))
	crowd := make([]float64, len(cs)) // what one more call on a server costs those already there
	for k, row := range b.rows {
		class := b.classes[k/binsPerClass]
		f, left, lost := class.latencyFactor, class.TargetLatency.Seconds(), 1.0
		if b.settings.Hedging && class.Idempotency != NonIdempotent {
			lost -= hedgeSavings
		}
		if spent := k % binsPerClass; spent > 0 {
			left *= 1 - binEdges[spent-1]
		}
		grad[k] = make([]float64, len(cs))
		for i := range cs {
			m, slope := cs[i].at(total[i])
			worth := class.Value / max(mean, 1e-9) * (1 - lost*b.solvedFor.failureRates[i][k/binsPerClass])
			miss := math.Exp(-left / (f * m))
			grad[k][i] = worth * (1 - miss)
			payoff += weight[k] * row[i] * grad[k][i]
			crowd[i] += weight[k] * worth * row[i] * miss * left / (f * m * m) * slope
		}
	}
	for k := range grad {
		for i := range crowd {
			grad[k][i] -= crowd[i]
		}
	}
	return grad, payoff
}
