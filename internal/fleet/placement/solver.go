package placement

import "slices"

// The solver of a table's rows: projected gradient ascent on the expected payoff, with a penalty for uneven rows.

// problem is what the rows are solved from.
type problem struct {
	target        float64              // seconds
	rates         [bucketCount]float64 // calls a second, by bucket
	delays        []delayFit           // by endpoint
	failureShares []float64            // of calls, by endpoint
	otherRates    []float64            // calls a second of other tables, by endpoint
}

// endpointRates returns the calls a second that each endpoint gets under the rows.
func (p *problem) endpointRates(r rows) []float64 {
	rates := slices.Clone(p.otherRates)
	for k := range r {
		for e, share := range r[k] {
			rates[e] += p.rates[k] * share
		}
	}
	return rates
}

// limit returns the seconds that are left to a bucket's calls.
func (p *problem) limit(bucket int) float64 { return p.target * (1 - bucketMidpoint(bucket)) }

// payoff returns the share of all calls whose first token is expected in time.
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

// solution is the solved rows, and the payoff of the rows before and of these.
type solution struct {
	rows          rows
	before, after float64
}

// solve moves rows toward a higher payoff less unevenness. Steps have a fixed length and may overshoot where delays grow
// steeply with the rate: rows that come out worse than the start are discarded.
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

// unevenness returns the penalty of the rows for not being even, in payoff.
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

// step moves rows along the gradient, back onto rows that sum to one.
func (p *problem) step(r rows) {
	gradient := p.gradient(r, p.endpointRates(r))
	for k := range r {
		for e := range r[k] {
			r[k][e] += gradientStepSize * gradient[k][e]
		}
		projectOnSimplex(r[k], minShare/float64(len(r[k])))
	}
}

// gradient returns the gradient of payoff less unevenness, for each row in units of one of its calls.
func (p *problem) gradient(r rows, rates []float64) rows {
	var g rows
	congestion := make([]float64, len(rates))
	for k := range r {
		g[k] = make([]float64, len(rates))
		for e, share := range r[k] {
			chance, byRate := p.delays[e].chanceWithin(p.limit(k), rates[e])
			g[k][e] = chance * (1 - p.failureShares[e])
			congestion[e] += p.rates[k] * share * byRate * (1 - p.failureShares[e])
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

// projectOnSimplex moves a row to the nearest one that sums to one and has no share below lowest (Duchi et al., 2008).
func projectOnSimplex(row []float64, lowest float64) {
	sorted := slices.Clone(row)
	for i := range sorted {
		sorted[i] -= lowest
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
	budget := 1 - lowest*float64(len(row))
	sum, shift := 0.0, 0.0
	for i, value := range sorted {
		sum += value
		if candidate := (sum - budget) / float64(i+1); value > candidate {
			shift = candidate
		}
	}
	for i := range row {
		row[i] = lowest + max(0, row[i]-lowest-shift)
	}
}
