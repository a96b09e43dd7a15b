package placement

import "time"

// accuracyBounds divide calls by prefilled units where expected and actual delays are compared.
var accuracyBounds = [...]float64{1000, 4000, 16000}

const accuracyClasses = len(accuracyBounds) + 1

// accuracy compares the expected and the actual time to first token of this router's calls, in seconds, by prefilled units.
type accuracy [accuracyClasses]struct{ calls, expected, actual float64 }

func (a *accuracy) observe(units float64, expected, actual time.Duration) {
	class := 0
	for class < len(accuracyBounds) && units >= accuracyBounds[class] {
		class++
	}
	a[class].calls++
	a[class].expected += expected.Seconds()
	a[class].actual += actual.Seconds()
}
