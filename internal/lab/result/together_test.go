package result

import (
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Each measure of processes beside each other finds the fault that is planted for it, and none in a quiet run.
func TestTogether(t *testing.T) {
	const ms = time.Millisecond
	quiet := func() *trace.Log {
		l := &trace.Log{End: 10 * time.Second}
		for i := range 3 {
			l.Changes = append(l.Changes, trace.Change{Sidecar: i, What: trace.Begun}, trace.Change{At: 100 * ms, Sidecar: i, What: trace.Able})
			l.Asked = append(l.Asked, trace.Asked{At: time.Duration(i) * 200 * ms, Sidecar: i, Took: 20 * ms})
			l.Dials = append(l.Dials, trace.Dialled{At: time.Duration(i) * 200 * ms, Box: -1}, trace.Dialled{At: time.Duration(i) * 200 * ms, Box: 0})
			l.Tries = append(l.Tries, trace.Try{Txn: uint64(1 + i), Sidecar: i, Due: 500 * ms, Answered: 600 * ms, Status: trace.Served})
			begun := time.Duration(i) * time.Second // a second apart: one in each
			l.Visits = append(l.Visits, trace.Visit{Txn: uint64(1 + i), Begun: begun, Ended: begun + 100*ms})
		}
		return l
	}
	plant := func(f func(*trace.Log)) *trace.Log {
		l := quiet()
		f(l)
		return l
	}
	visit := func(txn uint64, box int, begun time.Duration) func(*trace.Log) {
		return func(l *trace.Log) {
			l.Visits = append([]trace.Visit{{Txn: txn, Box: box, Begun: begun, Ended: trace.None}}, l.Visits...)
		}
	}
	for _, c := range []struct {
		what        string
		quiet, want float64
		log         *trace.Log
	}{
		{"list_calls", 3, 4, plant(func(l *trace.Log) { l.Asked = append(l.Asked, trace.Asked{At: time.Second}) })},
		{"list_refused", 0, 0.25, plant(func(l *trace.Log) { l.Asked = append(l.Asked, trace.Asked{At: time.Second, How: trace.Turned}) })},
		{"list_dials", 3, 4, plant(func(l *trace.Log) { l.Dials = append(l.Dials, trace.Dialled{Box: -1}) })},
		{"list_peak", 1, 2, plant(func(l *trace.Log) { l.Asked = append(l.Asked, trace.Asked{At: 50 * ms}) })},
		{"handshakes", 1, 3, plant(func(l *trace.Log) {
			l.Dials = append(l.Dials, trace.Dialled{At: 410 * ms}, trace.Dialled{At: 499 * ms})
		})},
		{"attempts_peak", 1, 2, plant(visit(1, 0, 999*ms))},                                      // within a second of the first, and of the second
		{"attempts_peak", 1, 1, plant(visit(1, 1, 0))},                                           // at another box
		{"attempts_peak", 1, 1, plant(visit(9, 0, 0))},                                           // of no try
		{"again_peak", 0, 1, plant(visit(1, 0, 999*ms))},                                         // the first try's second
		{"again_peak", 0, 0, plant(visit(3, 0, 999*ms))},                                         // the third's first
		{"unready", 0.1, 10, plant(func(l *trace.Log) { l.Changes[3].What = trace.Reloaded })},   // the second never serves
		{"unready", 0.1, 0.1, plant(func(l *trace.Log) { l.Changes[3].What = trace.Killed })},    // it is killed before it could
		{"unlisted", 0.42, 10, plant(func(l *trace.Log) { l.Asked[1].How = trace.Turned })},      // the second is never told
		{"unlisted", 0.42, 0.42, plant(func(l *trace.Log) { l.Asked[1].How = trace.Listed })},    // nothing is planted
		{"unserving", 0.1, 9.5, plant(func(l *trace.Log) { l.Tries[2].Status = trace.Refused })}, // the third is asked and serves nothing
	} {
		p := &plan.Plan{Scenario: &scenario.Scenario{}, Boxes: make([]plan.Box, 2), Sidecars: make([]plan.Sidecar, 3)}
		for i, log := range []*trace.Log{quiet(), c.log} {
			v, known := (&run{plan: p, log: log}).measure(c.what, -1, 0, longest)
			if want := []float64{c.quiet, c.want}[i]; !known || v != want {
				t.Errorf("%s, planted %v: %v, want %v", c.what, i == 1, v, want)
			}
		}
	}
}
