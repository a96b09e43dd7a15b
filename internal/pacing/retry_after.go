package pacing

import (
	"strconv"
	"time"
)

// ParseRetryAfter reads a Retry-After in seconds, whole or decimal. Any other, and more than a day, is none.
func ParseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= 86400) { // NaN is neither
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
