package report

import "math"

// maxTimeLabels is how many intervals a time axis has, unless it is longer than two hours.
const maxTimeLabels = 14

// scale maps values to vertical coordinates.
type scale struct {
	from, to    float64 // values
	top, bottom float64 // coordinates of to and of from
	log         bool    // logarithmic
}

// y returns the coordinate of a value. Values beyond the scale are moved to its end.
func (s scale) y(v float64) float64 {
	a, b := s.from, s.to
	if s.log {
		a, b, v = math.Log10(a), math.Log10(b), math.Log10(max(v, s.from))
	}
	v = min(max(v, a), b)
	return s.bottom - (v-a)/(b-a)*(s.bottom-s.top)
}

// ticks returns round values of the scale, about four of them.
func (s scale) ticks() (out []float64) {
	if s.log {
		for v := s.from; v <= s.to*1.001; v *= 10 {
			out = append(out, v)
		}
		return out
	}
	for step, i := roundUp((s.to-s.from)/4), 0.0; s.from+i*step <= s.to*1.001; i++ {
		out = append(out, s.from+i*step)
	}
	return out
}

// roundUp returns the next round number at or above v: 1, 2 or 5 times a power of ten.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 5} {
		if m*power >= v*0.999 {
			return m * power
		}
	}
	return 10 * power
}

// linearScale returns a scale from 0 up to the highest value, or to minimum if that is higher.
func linearScale(highest, minimum float64) scale {
	step := roundUp(max(highest, minimum) / 4)
	return scale{to: step * math.Ceil(max(highest, minimum)/step-1e-9)}
}

// logScale returns a logarithmic scale between powers of ten that contains low and high.
func logScale(low, high float64) scale {
	if low <= 0 || high <= 0 {
		return scale{from: 1, to: 1000, log: true}
	}
	from, to := math.Pow(10, math.Floor(math.Log10(low))), math.Pow(10, math.Ceil(math.Log10(high)))
	if to <= from {
		to = 10 * from
	}
	return scale{from: from, to: to, log: true}
}

// timeStep returns the seconds between two labels of a time axis.
func timeStep(seconds float64) float64 {
	for _, step := range []float64{1, 2, 5, 10, 15, 30, 60, 120, 300} {
		if seconds/step <= maxTimeLabels {
			return step
		}
	}
	return 600
}
