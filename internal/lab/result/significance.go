package result

import "math"

// normalQuantile975 bounds the middle 95% of the standard normal distribution.
const normalQuantile975 = 1.96

// significance words whether two shares differ by more than chance, by the two-proportion z-test with the pooled share
// (Fleiss, Statistical Methods for Rates and Proportions, 1981, 2.1). nA and nB are the numbers of independent draws that
// the shares are of.
//
// Requests of a run are not independent: one fault fails many together, so that chance does more than this test allows
// for. "Within noise" can be relied on; "beyond noise" is a reason to play more seeds.
func significance(a, nA, b, nB float64) string {
	if nA <= 0 || nB <= 0 {
		return ""
	}
	pooled := (a*nA + b*nB) / (nA + nB)
	standardError := math.Sqrt(pooled * (1 - pooled) * (1/nA + 1/nB))
	if math.Abs(a-b) <= normalQuantile975*standardError {
		return "within noise"
	}
	return "beyond noise"
}
