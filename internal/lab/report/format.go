package report

import "fmt"

// short is a number with three digits that count, and K or M for thousands and millions.
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

// span words milliseconds.
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

func formatPercent(v *float64) string {
	if v == nil {
		return "–"
	}
	return fmt.Sprintf("%.1f%%", 100**v)
}
