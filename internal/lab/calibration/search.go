package calibration

// segment is a part of a sequence, the indexes from..to-1, and its score.
type segment struct {
	from, to int
	score    float64
}

// maxScoringSegment returns the segment of a sequence of log-likelihood ratios with the highest sum: where a change started
// and ended, if there was one (Karlin and Altschul 1990). One pass finds it (Kadane's algorithm; Bentley 1984).
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

// parameter is a number that is fitted, within bounds.
type parameter struct {
	value    *float64
	min, max float64
	step     float64 // the first one; each round halves it
}

// coordinateAscent maximizes an objective by one parameter after the other, with half the step in each round, and leaves
// them at the maximum found. It evaluates the objective once, and maxEvaluations times at most after that.
func coordinateAscent(objective func() float64, parameters []parameter, rounds, maxEvaluations int) {
	best := objective()
	for range rounds {
		for i := range parameters {
			k := &parameters[i]
			for _, direction := range []float64{1, -1} {
				moved := false
				for maxEvaluations > 0 {
					was := *k.value
					if *k.value = min(max(was+direction*k.step, k.min), k.max); *k.value == was {
						break
					}
					maxEvaluations--
					if h := objective(); h > best {
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
