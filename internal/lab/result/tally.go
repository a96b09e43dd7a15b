package result

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxDuration = time.Duration(math.MaxInt64)
	maxLatency  = 10 * time.Minute // longer ones count as this
)

// tally sums requests up.
type tally struct {
	requested        int
	byOutcome        [outcomeCount]int
	value            float64
	squaredValues    float64 // sum of the squares
	servedValue      float64 // value of the requests served within the target latency
	clientAttempts   int
	rejections       int
	hedges           int
	endpointRequests []int // by tier
	work             time.Duration
	wasted           time.Duration
	latency          *hdrhistogram.Histogram // microseconds
}

func newTally(tiers int) *tally {
	return &tally{endpointRequests: make([]int, tiers), latency: newHistogram()}
}

func (t *tally) reset() {
	t.latency.Reset()
	clear(t.endpointRequests)
	*t = tally{endpointRequests: t.endpointRequests, latency: t.latency}
}

func (t *tally) add(r *requestResult) {
	t.requested++
	t.byOutcome[r.outcome]++
	t.value += r.value
	t.squaredValues += r.value * r.value
	t.clientAttempts += r.clientAttempts
	t.rejections += r.rejections
	t.hedges += r.hedges
	t.work += r.work
	t.wasted += r.wasted
	for tier, n := range r.endpointRequests {
		t.endpointRequests[tier] += n
	}
	if r.outcome == served {
		t.servedValue += r.value
	}
	if r.outcome == served || r.outcome == late {
		_ = t.latency.RecordValue(min(max(r.latency.Microseconds(), 1), maxLatency.Microseconds())) // no error within its bounds
	}
}

// addWindow adds the requests of a class, or of allClasses, that were due in a window. requests are sorted by due.
func (t *tally) addWindow(requests []requestResult, class int, from, to time.Duration) {
	i, _ := slices.BinarySearchFunc(requests, from, func(r requestResult, at time.Duration) int { return cmp.Compare(r.due, at) })
	for ; i < len(requests) && requests[i].due < to; i++ {
		if r := &requests[i]; class < 0 || r.class == class {
			t.add(r)
		}
	}
}

// addUnattributed adds the unattributed work that was started in a window, all of it wasted.
func (t *tally) addUnattributed(unattributed unattributedWork, from, to time.Duration) {
	for _, w := range unattributed.work {
		if w.startedAt >= from && w.startedAt < to {
			t.work += w.work
			t.wasted += w.work
		}
	}
}

func (t *tally) figures() Figures {
	out := Figures{
		Requested:           t.requested,
		Served:              t.proportion(served),
		Late:                t.proportion(late),
		Rejected:            t.proportion(rejected),
		Failed:              t.proportion(failed),
		Canceled:            t.proportion(canceled),
		Goodput:             t.goodput(),
		EffectiveSampleSize: ratio(t.value*t.value, t.squaredValues),
		ClientAttempts:      t.perRequest(t.clientAttempts),
		Rejections:          t.perRequest(t.rejections),
		EndpointRequests:    make([]float64, len(t.endpointRequests)),
		Hedges:              t.perRequest(t.hedges),
		Work:                round(t.work.Seconds()),
		WastedShare:         t.wastedShare(),
	}
	for tier, n := range t.endpointRequests {
		out.EndpointRequests[tier] = t.perRequest(n)
	}
	if t.latency.TotalCount() > 0 {
		out.Latency = &Latency{
			P50:  t.quantile(50),
			P90:  t.quantile(90),
			P99:  t.quantile(99),
			P999: t.quantile(99.9),
			Max:  microsToMillis(float64(t.latency.Max())),
			Mean: microsToMillis(t.latency.Mean()),
		}
	}
	return out
}

// second returns the figures as those of one second of the series.
func (t *tally) second(at int) Second {
	out := Second{
		At:               at,
		Requested:        t.requested,
		Served:           t.byOutcome[served],
		Late:             t.byOutcome[late],
		Rejected:         t.byOutcome[rejected],
		Failed:           t.byOutcome[failed],
		Canceled:         t.byOutcome[canceled],
		Goodput:          t.goodput(),
		ClientAttempts:   t.clientAttempts,
		Rejections:       t.rejections,
		EndpointRequests: slices.Clone(t.endpointRequests),
		Hedges:           t.hedges,
	}
	if t.latency.TotalCount() > 0 {
		out.Mean = microsToMillis(t.latency.Mean())
		out.P50 = t.quantile(50)
		out.P99 = t.quantile(99)
	}
	return out
}

// goodput returns the share of the requested value that was served within the target latency.
func (t *tally) goodput() float64 { return ratio(t.servedValue, t.value) }

func (t *tally) wastedShare() float64 { return ratio(t.wasted.Seconds(), t.work.Seconds()) }

func (t *tally) proportion(o outcome) Proportion {
	return Proportion{Count: t.byOutcome[o], Share: t.perRequest(t.byOutcome[o])}
}

func (t *tally) perRequest(n int) float64 { return ratio(float64(n), float64(t.requested)) }

// quantile returns a percentile of the latency, in milliseconds.
func (t *tally) quantile(percent float64) float64 {
	return microsToMillis(float64(t.latency.ValueAtPercentile(percent)))
}

func microsToMillis(micros float64) float64 { return round(micros / 1000) }

// ratio returns a/b, rounded, and 0 where b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return round(a / b)
}

// round rounds to six decimals. More would differ between processors that fuse multiplication and addition and those that
// don't.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }
