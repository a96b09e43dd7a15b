package placement

import "time"

// accuracyBounds are the upper bounds, in prefilled units, of the classes of calls for which accuracy is measured. The last
// class has no bound.
var accuracyBounds = [...]float64{1000, 4000, 16000}

const accuracyClasses = len(accuracyBounds) + 1

// accuracy sums the expected and the actual times to first token of this router's calls, in seconds, by class of prefilled
// units.
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
