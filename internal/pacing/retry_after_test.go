package pacing

import (
	"testing"
	"time"
)

// Checks that the result for any header is between 0 and a day.
func FuzzParseRetryAfter(f *testing.F) {
	for text, want := range map[string]time.Duration{"0.1": 100 * time.Millisecond, "2": 2 * time.Second, "": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e300": 0,
		"Wed, 21 Oct 2015 07:28:00 GMT": 0} {
		if got := ParseRetryAfter(text); got != want {
			f.Errorf("%q: %s, want %s", text, got, want)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if d := ParseRetryAfter(text); d < 0 || d > 24*time.Hour {
			t.Errorf("%q: %s", text, d)
		}
	})
}
