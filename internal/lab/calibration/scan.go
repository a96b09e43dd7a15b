package calibration

// run is a part of a sequence, from one place to before another, and how much speaks for it.
type run struct {
	from, to int
	score    float64
}

// strongest is the part of a sequence of log-likelihood ratios with the highest sum: where a change began and
// ended, if there was one (Karlin and Altschul 1990; found in one pass as Bentley 1984 describes).
func strongest(scores []float64) run {
	var best, here run
	for i, s := range scores {
		if here.score <= 0 {
			here = run{from: i}
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
type knob struct {
	at          *float64
	least, most float64
	step        float64 // the first one
}

// climb turns one knob after the other as long as that raises what is to be high, with smaller steps in each
// round, and leaves them at the best. evals bounds how often it asks.
func climb(high func() float64, knobs []knob, rounds, evals int) {
	best := high()
	for range rounds {
		for i := range knobs {
			k := &knobs[i]
			for _, way := range []float64{1, -1} {
				moved := false
				for evals > 0 {
					was := *k.at
					if *k.at = min(max(was+way*k.step, k.least), k.most); *k.at == was {
						break
					}
					evals--
					if h := high(); h > best {
						best, moved = h, true
						continue
					}
					*k.at = was
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
