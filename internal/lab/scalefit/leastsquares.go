package scalefit

import (
	"math"
	"slices"
)

// collinearityTolerance is the share of a column's length that must be left once the projections onto the columns before it
// are subtracted. Less is rounding: the column depends on the others.
const collinearityTolerance = 1e-9

// leastSquares returns the coefficients of the columns with which their sum comes closest to target. The columns are made
// orthogonal one after the other (modified Gram-Schmidt; Golub and Van Loan, Matrix Computations, 5.2.8), twice, because of
// the rounding errors of the first pass. Where a column depends on those before it, its index is returned, and -1 otherwise.
func leastSquares(columns [][]float64, target []float64) (coefficients []float64, dependent int) {
	n := len(columns)
	q, r := make([][]float64, n), make([][]float64, n)
	for j, column := range columns {
		q[j], r[j] = slices.Clone(column), make([]float64, n)
		length := math.Sqrt(dot(column, column))
		for range 2 {
			for i := range j {
				projection := dot(q[i], q[j])
				r[i][j] += projection
				subtract(q[j], projection, q[i])
			}
		}
		rest := math.Sqrt(dot(q[j], q[j]))
		if !(rest > collinearityTolerance*length) { // NaN is dependent, too
			return nil, j
		}
		r[j][j] = rest
		for row := range q[j] {
			q[j][row] /= rest
		}
	}
	residual := slices.Clone(target)
	projections := make([]float64, n)
	for range 2 {
		for i := range n {
			projection := dot(q[i], residual)
			projections[i] += projection
			subtract(residual, projection, q[i])
		}
	}
	return backSubstitute(r, projections), -1
}

// backSubstitute solves r x = b for an upper triangular r.
func backSubstitute(r [][]float64, b []float64) []float64 {
	n := len(b)
	x := make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		x[i] = b[i]
		for j := i + 1; j < n; j++ {
			x[i] -= r[i][j] * x[j]
		}
		x[i] /= r[i][i]
	}
	return x
}

func dot(a, b []float64) (sum float64) {
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// subtract subtracts factor times b from a.
func subtract(a []float64, factor float64, b []float64) {
	for i := range a {
		a[i] -= factor * b[i]
	}
}
