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
			l.SidecarEvents = append(l.SidecarEvents, trace.SidecarEvent{Sidecar: i, Kind: trace.SidecarStarted}, trace.SidecarEvent{At: 100 * ms, Sidecar: i, Kind: trace.SidecarReady})
			l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Duration(i) * 200 * ms, Sidecar: i, Duration: 20 * ms})
			l.Connections = append(l.Connections, trace.Connection{At: time.Duration(i) * 200 * ms, Endpoint: -1}, trace.Connection{At: time.Duration(i) * 200 * ms, Endpoint: 0})
			l.ClientAttempts = append(l.ClientAttempts, trace.ClientAttempt{TransactionID: uint64(1 + i), Sidecar: i, Due: 500 * ms, Ended: 600 * ms, Status: trace.StatusServed})
			begun := time.Duration(i) * time.Second // a second apart: one in each
			l.EndpointRequests = append(l.EndpointRequests, trace.EndpointRequest{TransactionID: uint64(1 + i), FirstByte: begun, Ended: begun + 100*ms})
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
			l.EndpointRequests = append([]trace.EndpointRequest{{TransactionID: txn, Endpoint: box, FirstByte: begun, Ended: trace.Unset}}, l.EndpointRequests...)
		}
	}
	for _, c := range []struct {
		what        string
		quiet, want float64
		log         *trace.Log
	}{
		{"list_calls", 3, 4, plant(func(l *trace.Log) { l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Second}) })},
		{"list_refused", 0, 0.25, plant(func(l *trace.Log) {
			l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Second, Outcome: trace.PollRejected})
		})},
		{"list_dials", 3, 4, plant(func(l *trace.Log) { l.Connections = append(l.Connections, trace.Connection{Endpoint: -1}) })},
		{"list_peak", 1, 2, plant(func(l *trace.Log) { l.Polls = append(l.Polls, trace.DiscoveryPoll{At: 50 * ms}) })},
		{"handshakes", 1, 3, plant(func(l *trace.Log) {
			l.Connections = append(l.Connections, trace.Connection{At: 410 * ms}, trace.Connection{At: 499 * ms})
		})},
		{"attempts_peak", 1, 2, plant(visit(1, 0, 999*ms))},                                                      // within a second of the first, and of the second
		{"attempts_peak", 1, 1, plant(visit(1, 1, 0))},                                                           // at another box
		{"attempts_peak", 1, 1, plant(visit(9, 0, 0))},                                                           // of no try
		{"again_peak", 0, 1, plant(visit(1, 0, 999*ms))},                                                         // the first try's second
		{"again_peak", 0, 0, plant(visit(3, 0, 999*ms))},                                                         // the third's first
		{"unready", 0.1, 10, plant(func(l *trace.Log) { l.SidecarEvents[3].Kind = trace.SidecarReloaded })},      // the second never serves
		{"unready", 0.1, 0.1, plant(func(l *trace.Log) { l.SidecarEvents[3].Kind = trace.SidecarKilled })},       // it is killed before it could
		{"unlisted", 0.42, 10, plant(func(l *trace.Log) { l.Polls[1].Outcome = trace.PollRejected })},            // the second is never told
		{"unlisted", 0.42, 0.42, plant(func(l *trace.Log) { l.Polls[1].Outcome = trace.PollAnswered })},          // nothing is planted
		{"unserving", 0.1, 9.5, plant(func(l *trace.Log) { l.ClientAttempts[2].Status = trace.StatusRejected })}, // the third is asked and serves nothing
	} {
		p := &plan.Plan{Scenario: &scenario.Scenario{}, Boxes: make([]plan.Box, 2), Sidecars: make([]plan.Sidecar, 3)}
		for i, log := range []*trace.Log{quiet(), c.log} {
			v, known := (&analysis{plan: p, log: log}).measure(c.what, -1, 0, maxDuration)
			if want := []float64{c.quiet, c.want}[i]; !known || v != want {
				t.Errorf("%s, planted %v: %v, want %v", c.what, i == 1, v, want)
			}
		}
	}
}
