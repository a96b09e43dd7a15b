package balance

import (
	"math"
	"slices"
)

// projectToSimplex replaces a row by the nearest point of the probability simplex (Euclidean projection; Duchi et al.
// 2008).
func projectToSimplex(row []float64) {
	sorted := slices.Clone(row)
	slices.Sort(sorted)
	sum, theta := 0.0, 0.0
	for j := len(sorted) - 1; j >= 0; j-- {
		sum += sorted[j]
		if t := (sum - 1) / float64(len(sorted)-j); sorted[j] > t {
			theta = t
		}
	}
	for i := range row {
		row[i] = max(0, row[i]-theta)
	}
}

// normalise scales a row so that it sums to 1. A row of zeros is unchanged.
func normalise(row []float64) {
	sum := 0.0
	for _, x := range row {
		sum += x
	}
	for i := range row {
		if sum > 0 {
			row[i] /= sum
		}
	}
}

// maxDifference returns the largest absolute difference between corresponding elements of two slices of the same length.
func maxDifference(x, y []float64) float64 {
	largest := 0.0
	for i := range x {
		largest = max(largest, math.Abs(x[i]-y[i]))
	}
	return largest
}
