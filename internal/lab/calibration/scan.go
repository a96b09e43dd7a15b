package calibration

// run is a part of a sequence, from one place to before another, and how much speaks for it.
type segment struct {
	from, to int
	score    float64
}

// strongest is the part of a sequence of log-likelihood ratios with the highest sum: where a change began and
// ended, if there was one (Karlin and Altschul 1990; found in one pass as Bentley 1984 describes).
func maxScoringSegment(scores []float64) segment {
	var best, here segment
	for i, s := range scores {
		if here.score <= 0 {
			here = segment{from: i}
		}
		here.score += s
		here.to = i + 1
		if here.score > best.score {
			best = here
		}
	}
	return best
}

// knob is a number that is fitted.
type parameter struct {
	value    *float64
	min, max float64
	step     float64 // the first one
}

// climb turns one knob after the other as long as that raises what is to be high, with smaller steps in each
// round, and leaves them at the best. evals bounds how often it asks.
func coordinateAscent(high func() float64, knobs []parameter, rounds, evals int) {
	best := high()
	for range rounds {
		for i := range knobs {
			k := &knobs[i]
			for _, way := range []float64{1, -1} {
				moved := false
				for evals > 0 {
					was := *k.value
					if *k.value = min(max(was+way*k.step, k.min), k.max); *k.value == was {
						break
					}
					evals--
					if h := high(); h > best {
						best, moved = h, true
						continue
					}
					*k.value = was
					break
				}
				if moved {
					break
				}
			}
			k.step /= 2
		}
	}
}
