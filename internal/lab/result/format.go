package result

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// maxNames is how many names a list has that firstNames returns.
const maxNames = 3

// String returns the expectation with the value measured: "p99 of pay, from 2 s to 8 s: 0.31, at most 0.25 expected".
func (e Expectation) String() string {
	text := e.Measure
	if e.Class != "" {
		text += " of " + e.Class
	}
	if e.From > 0 || e.To > 0 {
		text += ", from " + formatNumber(e.From) + " s to "
		if e.To > 0 {
			text += formatNumber(e.To) + " s"
		} else {
			text += "the end"
		}
	}
	text += ": "
	if e.Measured == nil {
		text += "nothing to measure"
	} else {
		text += formatNumber(*e.Measured)
	}
	if e.Min != nil {
		text += ", at least " + formatNumber(*e.Min)
	}
	if e.Max != nil {
		text += ", at most " + formatNumber(*e.Max)
	}
	return text + " expected"
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

// firstNames lists three names at most.
func firstNames(names []string) string {
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

// formatNumber formats a number with four significant digits, or with all of its integer part, without trailing zeros.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// formatShare formats a share, or a dash where there is none.
func formatShare(v *float64) string {
	if v == nil {
		return "–"
	}
	return fmt.Sprintf("%.3f", *v)
}

// formatMillis formats milliseconds: "0.31 ms", "12 ms", "1.25 s".
func formatMillis(ms float64) string {
	switch d := time.Duration(ms * float64(time.Millisecond)); {
	case d >= time.Second:
		return fmt.Sprintf("%.2f s", d.Seconds())
	case d >= 10*time.Millisecond:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.2g ms", ms)
	}
}
