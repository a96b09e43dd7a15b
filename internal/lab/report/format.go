package report

import "fmt"

// formatNumber formats a number with three significant digits, and with K or M for thousands and millions.
func formatNumber(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e4:
		return fmt.Sprintf("%.3gK", v/1e3)
	case v >= 1e3:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// formatMillis formats milliseconds, in s, ms or µs.
func formatMillis(ms float64) string {
	switch {
	case ms >= 1000:
		return fmt.Sprintf("%.3g s", ms/1000)
	case ms >= 0.1:
		return fmt.Sprintf("%.3g ms", ms)
	case ms > 0:
		return fmt.Sprintf("%.3g µs", 1000*ms)
	}
	return "0"
}

// formatPercent formats a share in per cent, or a dash where there is none.
func formatPercent(v *float64) string {
	if v == nil {
		return "–"
	}
	return fmt.Sprintf("%.1f%%", 100**v)
}
