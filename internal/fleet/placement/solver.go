package placement

import "slices"

// This file solves a table for its rows, by projected gradient ascent on the expected payoff with a penalty for uneven rows.

// problem holds the inputs that the rows are solved from.
type problem struct {
	target        float64              // seconds
	rates         [bucketCount]float64 // calls per second, by bucket
	delays        []delayFit           // by endpoint
	failureShares []float64            // share of calls that fail, by endpoint
	otherRates    []float64            // calls per second that other tables send, by endpoint
}

// endpointRates returns the calls per second that each endpoint gets with the rows.
func (p *problem) endpointRates(r rows) []float64 {
	rates := slices.Clone(p.otherRates)
	for k := range r {
		for e, share := range r[k] {
			rates[e] += p.rates[k] * share
		}
	}
	return rates
}

// limit returns the seconds that remain of the target for the calls of a bucket.
func (p *problem) limit(bucket int) float64 { return p.target * (1 - bucketMidpoint(bucket)) }

// payoff returns the expected share of calls whose first token arrives within the target.
func (p *problem) payoff(r rows) float64 {
	rates := p.endpointRates(r)
	sum, total := 0.0, 0.0
	for k := range r {
		total += p.rates[k]
		for e, share := range r[k] {
			probability, _ := p.delays[e].probabilityWithin(p.limit(k), rates[e])
			sum += p.rates[k] * share * probability * (1 - p.failureShares[e])
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// solution holds the solved rows, and the payoff before and after the solve.
type solution struct {
	rows          rows
	before, after float64
}

// solve changes rows to increase the payoff minus the unevenness. Steps have a fixed length and may overshoot where delays
// grow steeply with the rate: if the result is worse than the start, it is discarded.
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

// unevenness returns the penalty for the rows' deviation from even shares, in units of payoff.
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

// step moves the rows along the gradient, and projects them back to rows that sum to one.
func (p *problem) step(r rows) {
	gradient := p.gradient(r, p.endpointRates(r))
	for k := range r {
		for e := range r[k] {
			r[k][e] += gradientStepSize * gradient[k][e]
		}
		projectOnSimplex(r[k], minShare/float64(len(r[k])))
	}
}

// gradient returns the gradient of the payoff minus the unevenness. The values of each row are per call of that row.
func (p *problem) gradient(r rows, rates []float64) rows {
	var g rows
	congestion := make([]float64, len(rates))
	for k := range r {
		g[k] = make([]float64, len(rates))
		for e, share := range r[k] {
			probability, derivative := p.delays[e].probabilityWithin(p.limit(k), rates[e])
			g[k][e] = probability * (1 - p.failureShares[e])
			congestion[e] += p.rates[k] * share * derivative * (1 - p.failureShares[e])
		}
	}
	for k := range g {
		even := 1 / float64(len(rates))
		for e := range g[k] {
			g[k][e] += congestion[e] - evennessPenalty/even*(r[k][e]-even)
		}
	}
	return g
}

// projectOnSimplex replaces a row by the nearest one that sums to one and has no share below minValue (Duchi et al., 2008).
func projectOnSimplex(row []float64, minValue float64) {
	sorted := slices.Clone(row)
	for i := range sorted {
		sorted[i] -= minValue
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
	budget := 1 - minValue*float64(len(row))
	sum, shift := 0.0, 0.0
	for i, value := range sorted {
		sum += value
		if candidate := (sum - budget) / float64(i+1); value > candidate {
			shift = candidate
		}
	}
	for i := range row {
		row[i] = minValue + max(0, row[i]-minValue-shift)
	}
}
