package live_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/live"
	"pinelb.example/pinelb/internal/lab/trace"
)

// benchLength is how long each rate is played.
const benchLength = 3 * time.Second

// BenchmarkPlain plays clients and boxes with no sidecar between, at fixed rates of arrivals. It reports how
// late the rig sent (as a run is voided by), how many it served, and in what time from the due time; the rate
// holds if p99-late is small and served is 1. Run it with -cpu 4 -benchtime 1x.
func BenchmarkPlain(b *testing.B) {
	for _, rate := range []int{5000, 10000, 20000, 30000, 40000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			p := planned(b, fmt.Sprintf(`
name = "bench"
length = %q
settle = "1s"
`+classes+`
[[tier]]
name = "t"
[[tier.kind]]
boxes = 10
cores = 16
slots = 400
queue = 400
speed = 20
[clients]
rate = %d
[fleet]
policy = "plain"
`, benchLength, rate))
			for b.Loop() {
				log, err := live.Play(b.Context(), p, live.Options{})
				if err != nil {
					b.Fatal(err)
				}
				served := 0
				var took []time.Duration
				for _, t := range log.Tries {
					if t.Status == trace.Served {
						served++
						took = append(took, t.Answered-t.Due)
					}
				}
				late := func(l []time.Duration, part float64) float64 {
					slices.Sort(l)
					return float64(l[int(part*float64(len(l)-1))].Microseconds()) / 1000
				}
				b.ReportMetric(float64(served)/float64(len(p.Requests)), "served")
				b.ReportMetric(float64(served)/benchLength.Seconds(), "served/s")
				b.ReportMetric(late(log.Lateness, 0.5), "ms-p50-late")
				b.ReportMetric(late(log.Lateness, 0.99), "ms-p99-late")
				b.ReportMetric(late(took, 0.5), "ms-p50")
				b.ReportMetric(late(took, 0.99), "ms-p99")
			}
		})
	}
}
