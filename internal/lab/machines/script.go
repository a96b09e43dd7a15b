package machines

import (
	"context"
	"math/rand/v2"
	"time"
)

// Weighted is a choice with its weight, which is above 0.
type Weighted[T any] struct {
	Value  T
	Weight int
}

// Draw draws one of the choices by their weights.
func Draw[T any](random *rand.Rand, choices []Weighted[T]) T {
	total := 0
	for _, c := range choices {
		total += c.Weight
	}
	draw := random.IntN(total)
	for _, c := range choices {
		if draw -= c.Weight; draw < 0 {
			return c.Value
		}
	}
	panic("machines: the weights don't add up")
}

// Between draws a time from low to below high.
func Between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// Pause waits for a time, and reports whether that was over before ctx ended.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
