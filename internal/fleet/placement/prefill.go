package placement

import "math"

// latencyLine is the time to first token of a prompt whose prefill starts without waiting: base + units*perUnit +
// pairs*perPair seconds, with pairs in millions.
type latencyLine struct{ base, perUnit, perPair float64 }

// prefill returns the seconds that the computation of a prefill takes.
func (l latencyLine) prefill(w work) float64 { return w.units*l.perUnit + w.pairs*l.perPair }

// firstToken returns the seconds to the first token.
func (l latencyLine) firstToken(w work) float64 { return l.base + l.prefill(w) }

// priorLine is used before the first observation.
var priorLine = latencyLine{base: priorBase, perUnit: priorUnitTime}

// prefillModel is a weighted least-squares fit of one latencyLine to the observations of all endpoints of a service, both of
// this router and of others. The zero value has no observations.
type prefillModel struct {
	moments  [3][3]float64 // weighted sums of the products of two of (1, units, pairs)
	products [3]float64    // weighted sums of the products of one of these and the time
	weight   float64
	fitted   latencyLine
	observed bool
	prior    *latencyLine // imported from another router; nil: priorLine
}

// setPrior sets the prior to the line of another router. It must be called before the first observation.
func (m *prefillModel) setPrior(l latencyLine) {
	bounded := l.bounded()
	m.prior = &bounded
}

// priorOrDefault returns the prior, or priorLine if none was set.
func (m *prefillModel) priorOrDefault() latencyLine {
	if m.prior != nil {
		return *m.prior
	}
	return priorLine
}

// line returns the fitted line, or the prior before the first observation.
func (m *prefillModel) line() latencyLine {
	if !m.observed {
		return m.priorOrDefault()
	}
	return m.fitted
}

// observe adds an observation: the seconds to a first token, without the wait for earlier prefills. Errors are weighted
// relative to the expected time, so that short and long prompts have the same weight. An observation that differs from the
// expected time by more than a factor of outlierFactor is clipped to it; initialOutlierFactor is used for the
// first initialObservations.
func (m *prefillModel) observe(w work, seconds, weight float64) {
	expected := m.line().firstToken(w)
	outlier := outlierFactor
	if m.weight < initialObservations {
		outlier = initialOutlierFactor
	}
	seconds = min(max(seconds, expected/outlier), expected*outlier)
	scale := typicalPrefill / max(expected, minBase)
	m.weight = m.weight*(1-1/prefillDecayObservations) + weight
	weight *= scale * scale
	features := [3]float64{1, w.units / unitScale, w.pairs / pairScale}
	retention := 1 - 1/prefillDecayObservations
	for i, x := range features {
		m.products[i] = m.products[i]*retention + weight*x*seconds
		for j, y := range features {
			m.moments[i][j] = m.moments[i][j]*retention + weight*x*y
		}
	}
	m.fitted, m.observed = m.fit(), true
}

// fit returns the line with the smallest weighted error. The prior stabilizes terms with few observations.
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
		// Time grows no faster than linearly with length: fit without the term for pairs.
		matrix[2], right[2] = [3]float64{0, 0, 1}, 0
		matrix[0][2], matrix[1][2] = 0, 0
		solution = solveSymmetric(matrix, right)
	}
	return latencyLine{base: solution[0], perUnit: solution[1] / unitScale, perPair: solution[2] / pairScale}.bounded()
}

// bounded returns the line with its coefficients limited to plausible values. NaN is replaced by the value of priorLine.
func (l latencyLine) bounded() latencyLine {
	clamp := func(value, low, high, fallback float64) float64 {
		if math.IsNaN(value) {
			return fallback
		}
		return min(max(value, low), high)
	}
	return latencyLine{
		base:    clamp(l.base, minBase, maxBase, priorBase),
		perUnit: clamp(l.perUnit, minUnitTime, maxUnitTime, priorUnitTime),
		perPair: clamp(l.perPair, 0, maxPairTime, 0),
	}
}

// solveSymmetric solves a symmetric positive definite system of three equations by Gaussian elimination.
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
