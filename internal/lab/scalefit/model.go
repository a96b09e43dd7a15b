package scalefit

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Tunables.
const (
	minSizes              = 3    // of each slope
	minSizeRatio          = 1.98 // a size over the one before it: 425 of 212 is twice as many
	MaxExtrapolation      = 8    // beyond the largest size measured, over which an answer is a guess
	collinearityTolerance = 1e-9 // of a column's length that is left once what others tell is taken out: less is nothing of its own
)

// Model is what is to be fitted: cost = fixed + slope x key + slope x key + ...
type Model struct {
	Filter      map[string]string  // words that lines must have
	UpperBounds map[string]float64 // numbers that lines must not be above, where a knee is: a line is not fitted through one
	Cost        string             // the key of what is explained
	Predictors  []string           // the keys of what explains it, and products of them: "hosts*changes_per_s" after both
}

// Fit is an answer. Residuals are measured less fitted, in the cost's unit; shares are of what was measured.
type Fit struct {
	Model
	Intercept      float64
	Slopes         []float64   // by Per
	Sizes          [][]float64 // by Per: those measured, each once, rising; none of a product
	Measurements   int
	RMSResidual    float64
	MaxResidual    float64
	RelativeRMS    float64
	RelativeMax    float64
	Commands       []string // that gave the lines, each once
	IncludesTrials bool     // any of the lines is a trial's
}

// Fit answers by least squares. Errors name the key, and the line where one is at fault.
func (q Model) Fit(lines []Measurement) (Fit, error) {
	f := Fit{Model: q}
	if len(q.Predictors) == 0 {
		return f, fmt.Errorf("slope: per: names nothing that %s could grow with", q.Cost)
	}
	columns, costs := [][]float64{}, []float64{}
	for range len(q.Predictors) + 1 {
		columns = append(columns, nil)
	}
	for _, l := range lines {
		if !l.matches(q.Filter) || l.exceeds(q.UpperBounds) {
			continue
		}
		cost, err := l.number(q.Cost)
		if err != nil {
			return f, err
		}
		costs, columns[0] = append(costs, cost), append(columns[0], 1)
		for i, key := range q.Predictors {
			v := 1.0
			for _, one := range factorsOf(key) {
				n, err := l.number(one)
				if err != nil {
					return f, err
				}
				v *= n
			}
			columns[i+1] = append(columns[i+1], v)
		}
		if c := l.strings["command"]; c != "" && !slices.Contains(f.Commands, c) {
			f.Commands = append(f.Commands, c)
		}
		f.IncludesTrials = f.IncludesTrials || l.strings["trial"] == "true"
	}
	f.Measurements = len(costs)
	for i, key := range q.Predictors {
		if isProduct(key) {
			f.Sizes = append(f.Sizes, nil)
			continue
		}
		sizes, err := distinctSizes(key, columns[i+1])
		if err != nil {
			return f, err
		}
		f.Sizes = append(f.Sizes, sizes)
	}
	if f.Measurements <= len(q.Predictors)+1 {
		return f, fmt.Errorf("slope: %s: %d measurements leave nothing over to tell the error of %d figures by", q.Cost, f.Measurements, len(q.Predictors)+1)
	}
	found, at := leastSquares(columns, costs)
	if at > 0 {
		return f, fmt.Errorf("slope: %s: grows in step with what stands before it, so that their slopes can't be told apart", q.Predictors[at-1])
	}
	f.Intercept, f.Slopes = found[0], found[1:]
	f.setResiduals(columns, costs)
	return f, nil
}

// distinctSizes are those measured, each once, rising. 0 is where nothing of the kind was there, and no size.
func distinctSizes(key string, all []float64) ([]float64, error) {
	sizes := slices.Compact(slices.Sorted(slices.Values(all)))
	if len(sizes) > 0 && sizes[0] == 0 {
		sizes = sizes[1:]
	}
	if len(sizes) < minSizes {
		return nil, fmt.Errorf("slope: %s: %d sizes measured (%v), %d are the least", key, len(sizes), sizes, minSizes)
	}
	for i, size := range sizes[1:] {
		if size < minSizeRatio*sizes[i] {
			return nil, fmt.Errorf("slope: %s: %v is not twice the size before it, %v", key, size, sizes[i])
		}
	}
	return sizes, nil
}

// residuals notes how far off the fit is.
func (f *Fit) setResiduals(columns [][]float64, costs []float64) {
	var squares, shares float64
	for row, cost := range costs {
		is := f.Intercept
		for i, slope := range f.Slopes {
			is += slope * columns[i+1][row]
		}
		off := math.Abs(cost - is)
		squares, f.MaxResidual = squares+off*off, max(f.MaxResidual, off)
		if cost != 0 {
			share := off / math.Abs(cost)
			shares, f.RelativeMax = shares+share*share, max(f.RelativeMax, share)
		}
	}
	f.RMSResidual, f.RelativeRMS = math.Sqrt(squares/float64(len(costs))), math.Sqrt(shares/float64(len(costs)))
}

// Inputs is the cost where keys have those numbers, and by how much the furthest of them lies beyond the largest measured: 1 is within.
func (f *Fit) Predict(at map[string]float64) (cost, stretch float64) {
	cost, stretch = f.Intercept, 1
	for i, key := range f.Predictors {
		size := 1.0
		for _, one := range factorsOf(key) {
			size *= at[one]
		}
		cost += f.Slopes[i] * size
		if n := len(f.Sizes[i]); n > 0 {
			stretch = max(stretch, size/f.Sizes[i][n-1])
		}
	}
	return cost, stretch
}

// factors are the keys that are multiplied in one.
func factorsOf(key string) []string { return strings.Split(key, "*") }

func isProduct(key string) bool { return strings.Contains(key, "*") }

// leastSquares is the factor of each column with which their sum comes closest to target. The columns are made orthogonal one after
// the other (modified Gram-Schmidt; Golub and Van Loan, Matrix Computations, 5.2.8), twice, for what rounding leaves of the
// first time. Where one has nothing of its own beside those before it, its index is returned, and -1 otherwise.
func leastSquares(columns [][]float64, target []float64) (factors []float64, dependent int) {
	n := len(columns)
	q, r := make([][]float64, n), make([][]float64, n)
	for j, column := range columns {
		q[j], r[j] = slices.Clone(column), make([]float64, n)
		length := math.Sqrt(dot(column, column))
		for range 2 {
			for i := range j {
				part := dot(q[i], q[j])
				r[i][j] += part
				subtract(q[j], part, q[i])
			}
		}
		own := math.Sqrt(dot(q[j], q[j]))
		if !(own > collinearityTolerance*length) {
			return nil, j
		}
		r[j][j] = own
		for row := range q[j] {
			q[j][row] /= own
		}
	}
	left := slices.Clone(target)
	parts := make([]float64, n)
	for range 2 {
		for i := range n {
			part := dot(q[i], left)
			parts[i] += part
			subtract(left, part, q[i])
		}
	}
	factors = make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		factors[i] = parts[i]
		for j := i + 1; j < n; j++ {
			factors[i] -= r[i][j] * factors[j]
		}
		factors[i] /= r[i][i]
	}
	return factors, -1
}

func dot(a, b []float64) (sum float64) {
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// subtract takes so much of b from a.
func subtract(a []float64, factor float64, b []float64) {
	for i := range a {
		a[i] -= factor * b[i]
	}
}
