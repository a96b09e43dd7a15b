package result

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A test harness that sends later than this does not play the arrivals that the plan has, and its own lateness shows as
// the sidecar's latency: 20 ms is about the median latency of a calm run, 50 ms what an endpoint's pause adds.
const (
	maxP99Lateness    = 20 * time.Millisecond
	latenessThreshold = 50 * time.Millisecond
	maxLateShare      = 0.01 // of the first attempts may be later than latenessThreshold
)

// Harness is how punctually the test harness sent requests. A void run says nothing about the sidecars. Latenesses are in
// milliseconds.
type Harness struct {
	Measured      int     `json:"sent"` // first attempts whose lateness is known; 0 in virtual time
	P50           float64 `json:"late_p50_ms"`
	P99           float64 `json:"late_p99_ms"`
	Max           float64 `json:"late_max_ms"`
	VeryLateShare float64 `json:"very_late"` // share more than 50 ms late
	Void          bool    `json:"void"`
	Reason        string  `json:"why,omitempty"` // why the run is void
}

// harnessOf sums up the latenesses of the first attempts.
func harnessOf(lateness []time.Duration) Harness {
	histogram := newHistogram()
	veryLate := 0
	for _, d := range lateness {
		_ = histogram.RecordValue(min(max(d.Microseconds(), 0), maxLatency.Microseconds())) // no error within its bounds
		if d > latenessThreshold {
			veryLate++
		}
	}
	out := Harness{Measured: len(lateness), VeryLateShare: ratio(float64(veryLate), float64(len(lateness)))}
	if out.Measured == 0 {
		return out
	}
	out.P50 = microsToMillis(float64(histogram.ValueAtPercentile(50)))
	out.P99 = microsToMillis(float64(histogram.ValueAtPercentile(99)))
	out.Max = microsToMillis(float64(histogram.Max()))
	switch {
	case out.VeryLateShare > maxLateShare:
		out.Reason = fmt.Sprintf("%.1f%% of the first tries were sent more than %s late; %.0f%% may be",
			100*out.VeryLateShare, latenessThreshold, 100*maxLateShare)
	case out.P99 > float64(maxP99Lateness.Milliseconds()):
		out.Reason = fmt.Sprintf("one first try in a hundred was sent %.0f ms late or later; %s is the most", out.P99, maxP99Lateness)
	}
	out.Void = out.Reason != ""
	return out
}

// newHistogram returns a histogram of microseconds up to maxLatency, to three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}
