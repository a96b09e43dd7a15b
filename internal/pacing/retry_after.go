package pacing

import (
	"strconv"
	"time"
)

const maxRetryAfterSeconds = 24 * 60 * 60

// ParseRetryAfter parses a Retry-After header (RFC 9110, section 10.2.3) in seconds, whole or decimal. It returns 0 for
// a date, any other text, zero, a negative number, and more than a day.
func ParseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxRetryAfterSeconds) { // also rejects NaN
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
