package result

import "math"

// noisy is the two-sided 95% point of the normal distribution.
const normalQuantile975 = 1.96

// noise says whether two shares differ by more than chance, by the two-proportion z test with the pooled share
// (Fleiss, Statistical Methods for Rates and Proportions, 1981, 2.1). n is how many independent draws each
// share is of.
//
// Requests of a run are not independent: one fault fails many together, so that chance does more than this
// test allows for. "Within noise" can be relied on; "beyond" is a reason to play more seeds.
func significance(a, nA, b, nB float64) string {
	if nA <= 0 || nB <= 0 {
		return ""
	}
	pooled := (a*nA + b*nB) / (nA + nB)
	scatter := math.Sqrt(pooled * (1 - pooled) * (1/nA + 1/nB))
	if math.Abs(a-b) <= normalQuantile975*scatter {
		return "within noise"
	}
	return "beyond noise"
}
