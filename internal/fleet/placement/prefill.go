package placement

import "math"

// latencyLine is the time to first token of a prompt that is prefilled at once: base + units*perUnit + pairs*perPair seconds,
// with pairs in millions.
type latencyLine struct{ base, perUnit, perPair float64 }

// prefill returns the seconds that an endpoint computes for.
func (l latencyLine) prefill(w work) float64 { return w.units*l.perUnit + w.pairs*l.perPair }

// firstToken returns the seconds until the first token.
func (l latencyLine) firstToken(w work) float64 { return l.base + l.prefill(w) }

// priorLine is assumed before any observation.
var priorLine = latencyLine{base: priorBase, perUnit: priorUnitTime}

// prefillModel is a weighted least-squares fit of the line that all endpoints of a service share. Every router fits it to its
// own calls and to those that others report. The zero value has no observation.
type prefillModel struct {
	moments  [3][3]float64 // of (1, units, pairs)
	products [3]float64    // of these and the time
	weight   float64
	fitted   latencyLine
	observed bool
	prior    *latencyLine // of another router; nil: priorLine
}

// setPrior takes over what another router has learned. It has to come before the first observation.
func (m *prefillModel) setPrior(l latencyLine) {
	bounded := l.bounded()
	m.prior = &bounded
}

// priorOrDefault returns what is assumed before any observation.
func (m *prefillModel) priorOrDefault() latencyLine {
	if m.prior != nil {
		return *m.prior
	}
	return priorLine
}

// line returns the fit, or the prior before any observation.
func (m *prefillModel) line() latencyLine {
	if !m.observed {
		return m.priorOrDefault()
	}
	return m.fitted
}

// observe records how many seconds a first token took, without the prefills in front of it. Errors count by their share of the
// expected time, so that short and long prompts weigh the same; answers far from it are cut down to outlierFactor.
func (m *prefillModel) observe(w work, seconds, weight float64) {
	expected := m.line().firstToken(w)
	outlier := outlierFactor
	if m.weight < initialObservations {
		outlier = initialOutlierFactor
	}
	seconds = min(max(seconds, expected/outlier), expected*outlier)
	scale := typicalPrefill / max(expected, minBase)
	m.weight = m.weight*(1-1/prefillMemory) + weight
	weight *= scale * scale
	features := [3]float64{1, w.units / unitScale, w.pairs / pairScale}
	keep := 1 - 1/prefillMemory
	for i, x := range features {
		m.products[i] = m.products[i]*keep + weight*x*seconds
		for j, y := range features {
			m.moments[i][j] = m.moments[i][j]*keep + weight*x*y
		}
	}
	m.fitted, m.observed = m.fit(), true
}

// fit solves for the line. The prior keeps terms in place of which little was observed.
func (m *prefillModel) fit() latencyLine {
	assumed := m.priorOrDefault()
	prior := [3]float64{assumed.base, assumed.perUnit * unitScale, assumed.perPair * pairScale}
	var matrix [3][3]float64
	var right [3]float64
	for i := range matrix {
		matrix[i] = m.moments[i]
		matrix[i][i] += prefillPriorWeight
		right[i] = m.products[i] + prefillPriorWeight*prior[i]
	}
	solution := solveSymmetric(matrix, right)
	if solution[2] < 0 {
		// The time does not grow faster than the length: fit without the term for pairs.
		matrix[2], right[2] = [3]float64{0, 0, 1}, 0
		matrix[0][2], matrix[1][2] = 0, 0
		solution = solveSymmetric(matrix, right)
	}
	return latencyLine{base: solution[0], perUnit: solution[1] / unitScale, perPair: solution[2] / pairScale}.bounded()
}

// bounded returns the line within what an endpoint's can be. NaN is replaced by the prior's.
func (l latencyLine) bounded() latencyLine {
	within := func(value, low, high, fallback float64) float64 {
		if math.IsNaN(value) {
			return fallback
		}
		return min(max(value, low), high)
	}
	return latencyLine{
		base:    within(l.base, minBase, maxBase, priorBase),
		perUnit: within(l.perUnit, minUnitTime, maxUnitTime, priorUnitTime),
		perPair: within(l.perPair, 0, maxPairTime, 0),
	}
}

// solveSymmetric solves a positive definite system of three equations by Gaussian elimination.
func solveSymmetric(matrix [3][3]float64, right [3]float64) [3]float64 {
	for pivot := range 3 {
		for row := pivot + 1; row < 3; row++ {
			factor := matrix[row][pivot] / matrix[pivot][pivot]
			for column := pivot; column < 3; column++ {
				matrix[row][column] -= factor * matrix[pivot][column]
			}
			right[row] -= factor * right[pivot]
		}
	}
	var solution [3]float64
	for row := 2; row >= 0; row-- {
		sum := right[row]
		for column := row + 1; column < 3; column++ {
			sum -= matrix[row][column] * solution[column]
		}
		solution[row] = sum / matrix[row][row]
	}
	return solution
}
