package placement

import (
	"math"
	"time"
)

// The model of the time that endpoints take to read prompts. All endpoints of a service share one line, which every router
// learns from its own calls and from those that others tell of; each endpoint has a factor beside, since some are slow.

const (
	prefillMemory           = 600.0  // observations after which one weighs 1/e in the shared line
	prefillPriorWeight      = 1.0    // observations that the prior counts for
	priorBase               = 0.02   // seconds to the first token without any reading, before anything was seen
	priorUnitTime           = 10e-6  // seconds a unit, the same
	minBase                 = 0.001  // bounds of the line: what a burst of odd answers can do
	maxBase                 = 2.0    // seconds
	minUnitTime             = 1e-6   // seconds
	maxUnitTime             = 200e-6 // seconds
	maxPairTime             = 20e-3  // seconds a million pairs
	typicalPrefill          = 0.05   // seconds of a prompt whose observation weighs one
	unitScale               = 1000.0 // scale of the prior's certainty
	pairScale               = 10.0   // millions of pairs, the same
	initialOutlierFactor    = 3.0    // times what was expected, or a part of it, that an answer may count as while little was seen
	outlierFactor           = 1.6    // the same afterwards: the line is near the median, which hidden queues move little
	initialObservations     = 100.0  // observations that are little
	queuedObservationWeight = 0.2    // of an answer that waited for others: their part of it is not known well
)

// line is the time that a prompt's reading takes, in seconds: first + units * perUnit + pairs * perPair.
type latencyLine struct{ base, perUnit, perPair float64 }

// reading is the time that an endpoint reads for.
func (l latencyLine) prefill(w work) float64 { return w.units*l.perUnit + w.pairs*l.perPair }

// expected is the time to the first token of a prompt that is read at once.
func (l latencyLine) firstToken(w work) float64 { return l.base + l.prefill(w) }

// priorLine is what is taken for granted before anything was seen.
var priorLine = latencyLine{base: priorBase, perUnit: priorUnitTime}

// prefillModel is a weighted least-squares fit of the line. The zero value has seen nothing.
type prefillModel struct {
	moments  [3][3]float64 // of (1, units, pairs)
	products [3]float64    // of these and the time
	weight   float64
	fitted   latencyLine
	known    bool         // something was observed
	prior    *latencyLine // what another router has learned; nil: priorLine
}

// start takes over what another router has learned, before anything was observed.
func (m *prefillModel) setPrior(l latencyLine) {
	bounded := l.bounded()
	m.prior = &bounded
}

// given is what is taken for granted.
func (m *prefillModel) priorOrDefault() latencyLine {
	if m.prior != nil {
		return *m.prior
	}
	return priorLine
}

// line is the fit to what was observed.
func (m *prefillModel) line() latencyLine {
	if !m.known {
		return m.priorOrDefault()
	}
	return m.fitted
}

// observe notes how long a first token took, beyond the reading of what came before it. Errors count by their share of
// what was expected, so that short and long prompts weigh the same.
func (m *prefillModel) observe(w work, seconds, weight float64) {
	expected := m.line().firstToken(w)
	odd := outlierFactor
	if m.weight < initialObservations {
		odd = initialOutlierFactor
	}
	seconds = min(max(seconds, expected/odd), expected*odd)
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
	m.fitted, m.known = m.fit(), true
}

// fit solves for the line; the prior keeps terms of which little was seen in place.
func (m *prefillModel) fit() latencyLine {
	given := m.priorOrDefault()
	prior := [3]float64{given.base, given.perUnit * unitScale, given.perPair * pairScale}
	var matrix [3][3]float64
	var right [3]float64
	for i := range matrix {
		matrix[i] = m.moments[i]
		matrix[i][i] += prefillPriorWeight
		right[i] = m.products[i] + prefillPriorWeight*prior[i]
	}
	solution := solveSymmetric(matrix, right)
	if solution[2] < 0 {
		// Time does not grow faster than the length: a line without the term for pairs.
		matrix[2], right[2] = [3]float64{0, 0, 1}, 0
		matrix[0][2], matrix[1][2] = 0, 0
		solution = solveSymmetric(matrix, right)
	}
	return latencyLine{base: solution[0], perUnit: solution[1] / unitScale, perPair: solution[2] / pairScale}.bounded()
}

// bounded is the line within what an endpoint's can be. What is no number is the prior's.
func (l latencyLine) bounded() latencyLine {
	within := func(value, least, most, otherwise float64) float64 {
		if math.IsNaN(value) {
			return otherwise
		}
		return min(max(value, least), most)
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

const (
	slownessMemory      = 8 * time.Second // after which what was observed of an endpoint's speed weighs 1/e
	slownessMemoryCalls = 12.0            // the same in calls
	slownessPriorCalls  = 4.0             // calls at the shared line that are taken for granted
	maxSlownessSample   = 10.0            // times the shared line that one call may count as
	slownessDeadband    = 1.3             // times, or a part, up to which an endpoint counts as one of the usual speed
)

// slowness is how many times as long as the shared line says an endpoint takes. The zero value is an endpoint of the usual
// speed.
type slowness struct {
	weight, sum float64 // of logarithms
	updatedAt   time.Duration
}

func (s *slowness) decay(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	keep := math.Exp(-float64(now-s.updatedAt) / float64(slownessMemory))
	s.weight *= keep
	s.sum *= keep
	s.updatedAt = now
}

// observe notes a call that took so many times what the shared line says.
func (s *slowness) observe(now time.Duration, times float64) {
	s.decay(now)
	keep := 1 - 1/slownessMemoryCalls
	s.weight = s.weight*keep + 1
	s.sum = s.sum*keep + math.Log(min(max(times, 1/maxSlownessSample), maxSlownessSample))
}

// times is the factor.
func (s *slowness) factor(now time.Duration) float64 {
	if s.weight == 0 {
		return 1
	}
	s.decay(now)
	times := math.Exp(s.sum / (s.weight + slownessPriorCalls))
	switch {
	case times > slownessDeadband:
		return times / slownessDeadband
	case times < 1/slownessDeadband:
		return times * slownessDeadband
	}
	return 1
}
