package placement

import "slices"

// The rows of E2E's table: for each bucket of the time that a call has spent already, the share of calls that each
// endpoint gets, moved toward a higher expected payoff by projected gradient ascent.

const (
	gradientSteps    = 20
	gradientStepSize = 0.05
	minShare         = 0.02 // of an even share that each endpoint keeps, so that its model stays fresh
	evennessPenalty  = 0.02 // payoff that a call gives up for an even row: what failed once comes back when it is well
)

// bucketEdges are in shares of the target latency that are spent before the draw.
var bucketEdges = [...]float64{0.1, 0.3, 0.6}

// bucketCount is how many rows a table has.
const bucketCount = len(bucketEdges) + 1

// bucketFor is the row for a call that has spent a share of its target.
func bucketFor(spentShare float64) int {
	for i, edge := range bucketEdges {
		if spentShare < edge {
			return i
		}
	}
	return bucketCount - 1
}

// bucketMidpoint is the share of the target that a bucket's calls have spent.
func bucketMidpoint(bucket int) float64 {
	low, high := 0.0, 1.0
	if bucket > 0 {
		low = bucketEdges[bucket-1]
	}
	if bucket < len(bucketEdges) {
		high = bucketEdges[bucket]
	}
	return (low + high) / 2
}

// problem is what the rows are solved from.
type problem struct {
	target        float64              // seconds
	rates         [bucketCount]float64 // calls a second, by bucket
	delays        []delayFit           // by endpoint
	failureShares []float64            // share of calls that fail, by endpoint
	otherRates    []float64            // calls a second that the endpoints get beside
}

// rows are shares by bucket and endpoint; each sums to one.
type rows [bucketCount][]float64

// evenRows splits all calls evenly.
func evenRows(endpoints int) rows {
	var r rows
	for k := range r {
		r[k] = make([]float64, endpoints)
		for e := range r[k] {
			r[k][e] = 1 / float64(endpoints)
		}
	}
	return r
}

func (r rows) clone() rows {
	for k := range r {
		r[k] = slices.Clone(r[k])
	}
	return r
}

// endpointRates are the calls a second that each endpoint gets under the rows.
func (p *problem) endpointRates(r rows) []float64 {
	rates := slices.Clone(p.otherRates)
	for k := range r {
		for e, share := range r[k] {
			rates[e] += p.rates[k] * share
		}
	}
	return rates
}

// limit is the time that is left to a bucket's calls.
func (p *problem) limit(bucket int) float64 { return p.target * (1 - bucketMidpoint(bucket)) }

// payoff is the share of all calls whose first token is expected in time.
func (p *problem) payoff(r rows) float64 {
	rates := p.endpointRates(r)
	sum, total := 0.0, 0.0
	for k := range r {
		total += p.rates[k]
		for e, share := range r[k] {
			chance, _ := p.delays[e].chanceWithin(p.limit(k), rates[e])
			sum += p.rates[k] * share * chance * (1 - p.failureShares[e])
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// solution is rows, and the payoff before and with them.
type solution struct {
	rows          rows
	before, after float64
}

// solve moves rows toward a higher payoff. The steps are of one length, so that they may overshoot where delays grow
// steeply with the rate; rows that came out worse are not taken.
func (p *problem) solve(start rows) solution {
	moved := start.clone()
	for range gradientSteps {
		p.step(moved)
	}
	before, after := p.payoff(start), p.payoff(moved)
	if after-p.unevenness(moved) < before-p.unevenness(start) {
		return solution{rows: start, before: before, after: before}
	}
	return solution{rows: moved, before: before, after: after}
}

// unevenness is what the rows lose by not being even, in payoff.
func (p *problem) unevenness(r rows) float64 {
	sum, total := 0.0, 0.0
	for k := range r {
		total += p.rates[k]
		even := 1 / float64(len(r[k]))
		for _, share := range r[k] {
			sum += p.rates[k] * evennessPenalty / 2 / even * (share - even) * (share - even)
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// step moves rows along the gradient.
func (p *problem) step(r rows) {
	gradient := p.gradient(r, p.endpointRates(r))
	for k := range r {
		for e := range r[k] {
			r[k][e] += gradientStepSize * gradient[k][e]
		}
		projectOnSimplex(r[k], minShare/float64(len(r[k])))
	}
}

// gradient is the payoff's, for each row in units of a call.
func (p *problem) gradient(r rows, rates []float64) rows {
	var g rows
	crowding := make([]float64, len(rates))
	for k := range r {
		g[k] = make([]float64, len(rates))
		for e, share := range r[k] {
			chance, byRate := p.delays[e].chanceWithin(p.limit(k), rates[e])
			g[k][e] = chance * (1 - p.failureShares[e])
			crowding[e] += p.rates[k] * share * byRate * (1 - p.failureShares[e])
		}
	}
	for k := range g {
		even := 1 / float64(len(rates))
		for e := range g[k] {
			g[k][e] += crowding[e] - evennessPenalty/even*(r[k][e]-even)
		}
	}
	return g
}

// projectOnSimplex moves a row to the nearest one that sums to one with no share under a least one (Duchi et al., 2008).
func projectOnSimplex(row []float64, least float64) {
	sorted := slices.Clone(row)
	for i := range sorted {
		sorted[i] -= least
	}
	slices.SortFunc(sorted, func(a, b float64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		}
		return 0
	})
	budget := 1 - least*float64(len(row))
	sum, shift := 0.0, 0.0
	for i, value := range sorted {
		sum += value
		if candidate := (sum - budget) / float64(i+1); value > candidate {
			shift = candidate
		}
	}
	for i := range row {
		row[i] = least + max(0, row[i]-least-shift)
	}
}
