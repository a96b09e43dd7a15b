package scalefit

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	minSizes     = 3    // of each predictor
	minSizeRatio = 1.98 // of a size to the one before it: 425 after 212 counts as twice as many
)

// MaxExtrapolation is the factor beyond the largest size measured up to which a prediction is more than a guess.
const MaxExtrapolation = 8

// Model is a linear model of a cost: cost = intercept + slope x predictor + slope x predictor + ...
type Model struct {
	Filter      map[string]string  // strings and numbers that a measurement must have to be fitted
	UpperBounds map[string]float64 // numbers that a measurement must not exceed, where a knee is: a line is not fitted through one
	Cost        string             // key of the response
	Predictors  []string           // keys of the predictors, and products of them: "hosts*changes_per_s" after both
}

// Fit is a fitted model. Residuals are in the cost's unit; relative ones are shares of the cost measured.
type Fit struct {
	Model
	Intercept      float64
	Slopes         []float64   // by predictor
	Sizes          [][]float64 // by predictor: those measured, each once, rising; none of a product
	Measurements   int         // number of them that were fitted
	RMSResidual    float64
	MaxResidual    float64
	RelativeRMS    float64
	RelativeMax    float64
	Commands       []string // that produced the measurements, each once
	IncludesTrials bool     // any of the measurements is a trial's
}

// Fit fits the model to the measurements by least squares. An error is a *MeasurementError or a *FitError.
func (m Model) Fit(measurements []Measurement) (Fit, error) {
	f := Fit{Model: m}
	if len(m.Predictors) == 0 {
		return f, &FitError{"per", "names nothing that " + m.Cost + " could grow with"}
	}
	columns, costs, err := f.read(measurements)
	if err != nil {
		return f, err
	}
	f.Measurements = len(costs)
	for i, predictor := range m.Predictors {
		if isProduct(predictor) {
			f.Sizes = append(f.Sizes, nil)
			continue
		}
		sizes, err := distinctSizes(predictor, columns[i+1])
		if err != nil {
			return f, err
		}
		f.Sizes = append(f.Sizes, sizes)
	}
	if coefficients := len(columns); f.Measurements <= coefficients {
		problem := fmt.Sprintf("%d measurements leave nothing over to tell the error of %d figures by", f.Measurements, coefficients)
		return f, &FitError{m.Cost, problem}
	}
	coefficients, dependent := leastSquares(columns, costs)
	if dependent > 0 {
		return f, &FitError{m.Predictors[dependent-1], "grows in step with what stands before it, so that their slopes can't be told apart"}
	}
	f.Intercept, f.Slopes = coefficients[0], coefficients[1:]
	f.setResiduals(columns, costs)
	return f, nil
}

// read returns the costs of the measurements that the model is about, and its columns: ones for the intercept, then the
// predictors. It notes the measurements' commands.
func (f *Fit) read(measurements []Measurement) (columns [][]float64, costs []float64, err error) {
	columns = make([][]float64, len(f.Predictors)+1)
	for _, m := range measurements {
		if !m.matches(f.Filter) || m.exceeds(f.UpperBounds) {
			continue
		}
		cost, err := m.number(f.Cost)
		if err != nil {
			return nil, nil, err
		}
		costs = append(costs, cost)
		columns[0] = append(columns[0], 1)
		for i, predictor := range f.Predictors {
			value, err := m.product(predictor)
			if err != nil {
				return nil, nil, err
			}
			columns[i+1] = append(columns[i+1], value)
		}
		if command := m.strings["command"]; command != "" && !slices.Contains(f.Commands, command) {
			f.Commands = append(f.Commands, command)
		}
		f.IncludesTrials = f.IncludesTrials || m.strings["trial"] == "true"
	}
	return columns, costs, nil
}

// distinctSizes returns the sizes measured, each once, rising. 0 means that nothing of the kind was there, and is no size.
func distinctSizes(predictor string, values []float64) ([]float64, error) {
	sizes := slices.Compact(slices.Sorted(slices.Values(values)))
	if len(sizes) > 0 && sizes[0] == 0 {
		sizes = sizes[1:]
	}
	if len(sizes) < minSizes {
		return nil, &FitError{predictor, fmt.Sprintf("%d sizes measured (%v), %d are the least", len(sizes), sizes, minSizes)}
	}
	for i, size := range sizes[1:] {
		if size < minSizeRatio*sizes[i] {
			return nil, &FitError{predictor, fmt.Sprintf("%v is not twice the size before it, %v", size, sizes[i])}
		}
	}
	return sizes, nil
}

// setResiduals computes how far the fit is off the measurements.
func (f *Fit) setResiduals(columns [][]float64, costs []float64) {
	var squares, relativeSquares float64
	for row, cost := range costs {
		predicted := f.Intercept
		for i, slope := range f.Slopes {
			predicted += slope * columns[i+1][row]
		}
		residual := math.Abs(cost - predicted)
		squares += residual * residual
		f.MaxResidual = max(f.MaxResidual, residual)
		if cost != 0 {
			relative := residual / math.Abs(cost)
			relativeSquares += relative * relative
			f.RelativeMax = max(f.RelativeMax, relative)
		}
	}
	f.RMSResidual = math.Sqrt(squares / float64(len(costs)))
	f.RelativeRMS = math.Sqrt(relativeSquares / float64(len(costs)))
}

// Predict returns the cost at the given sizes, and the extrapolation: by what factor the furthest of the sizes lies beyond
// the largest one measured, 1 at least.
func (f *Fit) Predict(inputs map[string]float64) (cost, extrapolation float64) {
	cost, extrapolation = f.Intercept, 1
	for i, predictor := range f.Predictors {
		size := 1.0
		for _, key := range factorsOf(predictor) {
			size *= inputs[key]
		}
		cost += f.Slopes[i] * size
		if n := len(f.Sizes[i]); n > 0 {
			extrapolation = max(extrapolation, size/f.Sizes[i][n-1])
		}
	}
	return cost, extrapolation
}

// factorsOf returns the keys that a predictor is the product of.
func factorsOf(predictor string) []string { return strings.Split(predictor, "*") }

func isProduct(predictor string) bool { return strings.Contains(predictor, "*") }
