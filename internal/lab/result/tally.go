package result

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const longest = time.Duration(math.MaxInt64)

// tally sums requests up. Its histogram is of microseconds.
type tally struct {
	asked           int
	by              [outcomes]int
	worth, squares  float64
	met             float64 // worth served in aim
	tries, refusals int
	copies          int
	visits          []int
	work, wasted    time.Duration
	latency         *hdrhistogram.Histogram
}

func newTally(tiers int) *tally {
	return &tally{visits: make([]int, tiers), latency: hdrhistogram.New(1, longestLat.Microseconds(), 3)}
}

func (t *tally) reset() {
	t.latency.Reset()
	clear(t.visits)
	*t = tally{visits: t.visits, latency: t.latency}
}

func (t *tally) add(f *fate) {
	t.asked++
	t.by[f.outcome]++
	t.worth += f.worth
	t.squares += f.worth * f.worth
	t.tries += f.tries
	t.refusals += f.refusals
	t.copies += f.copies
	t.work += f.work
	t.wasted += f.wasted
	for i, n := range f.visits {
		t.visits[i] += n
	}
	if f.outcome == served {
		t.met += f.worth
	}
	if f.outcome == served || f.outcome == late {
		// It is within the histogram's bounds, so there is no error.
		_ = t.latency.RecordValue(min(max(f.latency.Microseconds(), 1), longestLat.Microseconds()))
	}
}

// window adds the requests of a class (-1 is all) that were due in it; all are sorted by that.
func (t *tally) window(all []fate, class int, from, to time.Duration) {
	i, _ := slices.BinarySearchFunc(all, from, func(f fate, at time.Duration) int { return cmp.Compare(f.due, at) })
	for ; i < len(all) && all[i].due < to; i++ {
		if f := &all[i]; class < 0 || f.class == class {
			t.add(f)
		}
	}
}

// strayed adds work that was for no request, begun in a window.
func (t *tally) strayed(s stray, from, to time.Duration) {
	for _, m := range s.work {
		if m.at >= from && m.at < to {
			t.work += m.work
			t.wasted += m.work
		}
	}
}

func (t *tally) figures() Figures {
	out := Figures{Asked: t.asked, Served: t.part(served), Late: t.part(late), Refused: t.part(refused), Failed: t.part(failed),
		Gone: t.part(gone), Service: ratio(t.met, t.worth), Sample: ratio(t.worth*t.worth, t.squares), Tries: t.each(t.tries),
		Refusals: t.each(t.refusals), Copies: t.each(t.copies), Work: tidy(t.work.Seconds()),
		Wasted: ratio(t.wasted.Seconds(), t.work.Seconds()), Attempts: make([]float64, len(t.visits))}
	for i, n := range t.visits {
		out.Attempts[i] = t.each(n)
	}
	if h := t.latency; h.TotalCount() > 0 {
		out.Latency = &Latency{P50: t.quantile(50), P90: t.quantile(90), P99: t.quantile(99), P999: t.quantile(99.9),
			Max: milli(float64(h.Max())), Mean: milli(h.Mean())}
	}
	return out
}

func (t *tally) part(o outcome) Part { return Part{t.by[o], t.each(t.by[o])} }

// each is a number for each request asked.
func (t *tally) each(n int) float64 { return ratio(float64(n), float64(t.asked)) }

// quantile is a percentile of latency in milliseconds.
func (t *tally) quantile(percent float64) float64 {
	return milli(float64(t.latency.ValueAtPercentile(percent)))
}

func milli(micros float64) float64 { return tidy(micros / 1000) }

// ratio is 0 where there is nothing to divide by.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return tidy(a / b)
}

// tidy keeps six decimals: more would be noise, and would differ between processors that fuse products and
// sums and those that don't.
func tidy(v float64) float64 { return math.Round(v*1e6) / 1e6 }
