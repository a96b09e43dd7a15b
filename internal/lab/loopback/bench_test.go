package loopback_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/trace"
)

// benchLength is how long each rate is played.
const benchLength = 3 * time.Second

// BenchmarkPlainPolicy plays clients and endpoints without sidecars, at fixed rates of arrivals. It reports how late the rig sent (by
// which a run is void), the share served, and the latency from the due time; a rate is sustained if p99-late is small and served is 1.
// Run it with -cpu 4 -benchtime 1x.
func BenchmarkPlainPolicy(b *testing.B) {
	for _, rate := range []int{5000, 10000, 20000, 30000, 40000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			p := buildPlan(b, fmt.Sprintf(`
name = "bench"
length = %q
settle = "1s"
`+scenarioClasses+`
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
				log, err := loopback.Play(b.Context(), p, loopback.Options{})
				if err != nil {
					b.Fatal(err)
				}
				served := 0
				var took []time.Duration
				for _, t := range log.ClientAttempts {
					if t.Status == trace.StatusServed {
						served++
						took = append(took, t.Ended-t.Due)
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

// BenchmarkFleetStart starts sidecars at one moment, with the clients there already and every endpoint cold, and reports how long they
// take to be ready, their calls to discovery and to the endpoints in the first second, and their resources, idle and busy. Run it with
// -benchtime 1x.
func BenchmarkFleetStart(b *testing.B) {
	sidecar := buildProgram(b)
	for _, rate := range []int{1, 240} {
		for _, sidecars := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("%d-sidecars-at-%d", sidecars, rate), func(b *testing.B) {
				p := buildPlan(b, fmt.Sprintf(`
name = "start"
length = "10s"
`+scenarioClasses+`
[[tier]]
name = "t"
[[tier.kind]]
boxes = 12
speed = 3.3
start = "cold"
cold_from = 0.35
cold_for = "8s"
[clients]
rate = %d
[fleet]
sidecars = %d
start = "with"
`, rate, sidecars))
				for b.Loop() {
					log, err := loopback.Play(b.Context(), p, loopback.Options{Builds: [2]string{sidecar, ""}})
					if err != nil {
						b.Fatal(err)
					}
					reportFleetStart(b, log, sidecars)
				}
			})
		}
	}
}

// reportFleetStart reports the metrics of a start.
func reportFleetStart(b *testing.B, log *trace.Log, sidecars int) {
	startedAt := make([]time.Duration, sidecars)
	var ready []time.Duration
	for _, event := range log.SidecarEvents {
		switch event.Kind {
		case trace.SidecarStarted:
			startedAt[event.Sidecar] = event.At
		case trace.SidecarReady:
			ready = append(ready, event.At-startedAt[event.Sidecar])
		}
	}
	lists, conns := map[[2]int64]bool{}, map[[2]uint64]bool{}
	for _, t := range log.Notifications {
		if t.At < time.Second {
			lists[[2]int64{int64(t.Sidecar), int64(t.At)}] = true
		}
	}
	for _, v := range log.EndpointRequests {
		if v.FirstByte < time.Second {
			conns[[2]uint64{uint64(v.Endpoint), v.ConnectionID}] = true
		}
	}
	memory, cpu, files := 0.0, 0.0, 0
	for _, u := range log.Usage {
		memory = max(memory, float64(u.PeakMemory)/(1<<20))
		cpu += u.CPU.Seconds() / float64(len(log.Usage))
		files = max(files, u.MaxDescriptors)
	}
	slices.Sort(ready)
	b.ReportMetric(float64(ready[len(ready)/2].Microseconds())/1000, "ms-ready-median")
	b.ReportMetric(float64(ready[len(ready)-1].Microseconds())/1000, "ms-ready-last")
	b.ReportMetric(float64(len(lists)), "lists-first-s")
	b.ReportMetric(float64(len(conns)), "handshakes-first-s")
	b.ReportMetric(memory, "MB-most")
	b.ReportMetric(1000*cpu/log.End.Seconds(), "ms-CPU/s-each")
	b.ReportMetric(float64(files), "descriptors-most")
}
