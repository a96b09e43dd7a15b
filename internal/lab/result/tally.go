package result

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxDuration = time.Duration(math.MaxInt64)

// tally sums requests up. Its histogram is of microseconds.
type tally struct {
	requested                  int
	byOutcome                  [outcomeCount]int
	value, squaredValues       float64
	servedValue                float64 // worth served in aim
	clientAttempts, rejections int
	hedges                     int
	endpointRequests           []int
	work, wasted               time.Duration
	latency                    *hdrhistogram.Histogram
}

func newTally(tiers int) *tally {
	return &tally{endpointRequests: make([]int, tiers), latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (t *tally) reset() {
	t.latency.Reset()
	clear(t.endpointRequests)
	*t = tally{endpointRequests: t.endpointRequests, latency: t.latency}
}

func (t *tally) add(f *requestResult) {
	t.requested++
	t.byOutcome[f.outcome]++
	t.value += f.value
	t.squaredValues += f.value * f.value
	t.clientAttempts += f.clientAttempts
	t.rejections += f.rejections
	t.hedges += f.hedges
	t.work += f.work
	t.wasted += f.wasted
	for i, n := range f.endpointRequests {
		t.endpointRequests[i] += n
	}
	if f.outcome == served {
		t.servedValue += f.value
	}
	if f.outcome == served || f.outcome == late {
		// It is within the histogram's bounds, so there is no error.
		_ = t.latency.RecordValue(min(max(f.latency.Microseconds(), 1), maxLatency.Microseconds()))
	}
}

// window adds the requests of a class (-1 is all) that were due in it; all are sorted by that.
func (t *tally) addWindow(all []requestResult, class int, from, to time.Duration) {
	i, _ := slices.BinarySearchFunc(all, from, func(f requestResult, at time.Duration) int { return cmp.Compare(f.due, at) })
	for ; i < len(all) && all[i].due < to; i++ {
		if f := &all[i]; class < 0 || f.class == class {
			t.add(f)
		}
	}
}

// strayed adds work that was for no request, begun in a window.
func (t *tally) addUnattributed(s unattributedWork, from, to time.Duration) {
	for _, m := range s.work {
		if m.startedAt >= from && m.startedAt < to {
			t.work += m.work
			t.wasted += m.work
		}
	}
}

func (t *tally) figures() Figures {
	out := Figures{Requested: t.requested, Served: t.proportion(served), Late: t.proportion(late), Rejected: t.proportion(rejected), Failed: t.proportion(failed),
		Canceled: t.proportion(canceled), Goodput: ratio(t.servedValue, t.value), EffectiveSampleSize: ratio(t.value*t.value, t.squaredValues), ClientAttempts: t.perRequest(t.clientAttempts),
		Rejections: t.perRequest(t.rejections), Hedges: t.perRequest(t.hedges), Work: round(t.work.Seconds()),
		WastedShare: ratio(t.wasted.Seconds(), t.work.Seconds()), EndpointRequests: make([]float64, len(t.endpointRequests))}
	for i, n := range t.endpointRequests {
		out.EndpointRequests[i] = t.perRequest(n)
	}
	if h := t.latency; h.TotalCount() > 0 {
		out.Latency = &Latency{P50: t.quantile(50), P90: t.quantile(90), P99: t.quantile(99), P999: t.quantile(99.9),
			Max: microsToMillis(float64(h.Max())), Mean: microsToMillis(h.Mean())}
	}
	return out
}

func (t *tally) proportion(o outcome) Proportion {
	return Proportion{t.byOutcome[o], t.perRequest(t.byOutcome[o])}
}

// each is a number for each request asked.
func (t *tally) perRequest(n int) float64 { return ratio(float64(n), float64(t.requested)) }

// quantile is a percentile of latency in milliseconds.
func (t *tally) quantile(percent float64) float64 {
	return microsToMillis(float64(t.latency.ValueAtPercentile(percent)))
}

func microsToMillis(micros float64) float64 { return round(micros / 1000) }

// ratio is 0 where there is nothing to divide by.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return round(a / b)
}

// tidy keeps six decimals: more would be noise, and would differ between processors that fuse products and
// sums and those that don't.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }
