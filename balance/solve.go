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
		w[i] = b.bins[i].share + b.bins[i].seen*1e-3
		if i%spentBuckets == 0 {
			w[i] += 1e-3
		}
	}
	normalise(w)
	return w
}

// shifted tells whether an input has moved significantly since the last solve.
func (b *Balancer) shifted() bool {
	if len(b.solved.share) != len(b.bins) || len(b.solved.delay) != len(b.servers) {
		return true
	}
	for i, s := range b.servers {
		if math.Abs(b.delay(s)-b.solved.delay[i]) > solveShift*b.solved.delay[i] ||
			apart(b.failsOf(s), b.solved.fails[i]) > failShift {
			return true
		}
	}
	moved := 0.0
	for i, w := range b.binWeights() {
		moved += math.Abs(w - b.solved.share[i])
	}
	return moved/2 > binShift
}

// curve is a server's delay against its share of the calls: alone/(1 - growth*share), with alone
// the delay that it would have with no load.
type curve struct{ alone, growth float64 }

func (c *curve) at(share float64) (delay, slope float64) {
	free := max(0.05, 1-c.growth*share)
	return c.alone / free, c.alone * c.growth / free / free
}

// curves fits every server's curve through its delay at its present share. The growth is the same
// for servers of the same speed, and such that the mean server is as busy as the fleet is.
func (b *Balancer) curves(share []float64) []curve {
	n, mean := float64(len(b.servers)), average{}
	for _, s := range b.servers {
		mean.add(b.delay(s))
	}
	busy := b.busy()
	pressure := n * busy / (mean.mean(0, 0) * (1 - busy))
	cs := make([]curve, len(b.servers))
	for i, s := range b.servers {
		m := b.delay(s)
		alone := m / (1 + pressure*m*max(share[i], 0.5/n)) // a small share must not make it look slow
		cs[i] = curve{alone: alone, growth: pressure * alone}
	}
	return cs
}

// busy is the fleet's utilisation: as reported, or a middling one, at which crowding is felt.
func (b *Balancer) busy() float64 {
	var told average
	for _, s := range b.servers {
		if s.util.known {
			told.add(s.util.value)
		}
	}
	return min(0.8, max(0.3, told.mean(0.6, 0.1)))
}

// solve moves every row by projected gradient toward the most payoff summed over bins.
func (b *Balancer) solve() {
	if b.dirty {
		b.relist()
	}
	weight := b.binWeights()
	b.remember(weight)
	n := float64(len(b.servers))
	if n == 0 {
		return
	}
	cs, step := b.curves(b.totals(weight)), solveStep
	for _, row := range b.table { // from even, or one that had been bad would stay out where all pay alike
		for i := range row {
			row[i] = 1 / n
		}
	}
	best, grad, most := b.table, [][]float64(nil), math.Inf(-1)
	for range solveSteps + 1 {
		// Where curves are steep a step can pass the top: go back and halve it, or rows would swing.
		if g, payoff := b.gradient(weight, cs); payoff >= most {
			best, grad, most = b.table, g, payoff
		} else {
			step /= 2
		}
		b.table = make([][]float64, len(best))
		for k, row := range best {
			b.table[k] = slices.Clone(row)
			for i := range row {
				b.table[k][i] += step * grad[k][i]
			}
			project(b.table[k])
		}
	}
	b.table = best
	for _, row := range b.table {
		for i := range row {
			row[i] = (1-exploreShare)*row[i] + exploreShare/n
		}
	}
	b.share = b.totals(weight)
	b.sumRows()
}

// gradient is the summed payoff, and its slope by each share of each row. A call pays its class's worth, in
// units of the mean worth, times the chance of ending within the time that it has left.
func (b *Balancer) gradient(weight []float64, cs []curve) (grad [][]float64, payoff float64) {
	total, mean := b.totals(weight), 0.0
	for k, w := range weight {
		mean += w * b.classes[k/spentBuckets].Worth
	}
	grad = make([][]float64, len(b.bins))
	crowd := make([]float64, len(cs)) // what one more call on a server costs those already there
	for k, row := range b.table {
		c := b.classes[k/spentBuckets]
		f, left, lost := c.factor, c.Aim.Seconds(), 1.0
		if b.set.SecondCopies && c.Effect != Unsafe {
			lost -= copySaves
		}
		if spent := k % spentBuckets; spent > 0 {
			left *= 1 - spentEdges[spent-1]
		}
		grad[k] = make([]float64, len(cs))
		for i := range cs {
			m, slope := cs[i].at(total[i])
			worth := c.Worth / max(mean, 1e-9) * (1 - lost*b.solved.fails[i][k/spentBuckets])
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
