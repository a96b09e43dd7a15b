package result

import (
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Each measure of the fleet's load finds the fault that is injected for it, and none in a quiet run.
func TestFleetLoadMeasures(t *testing.T) {
	const ms = time.Millisecond
	quiet := func() *trace.Log {
		l := &trace.Log{End: 10 * time.Second}
		for i := range 3 {
			l.SidecarEvents = append(l.SidecarEvents, trace.SidecarEvent{Sidecar: i, Kind: trace.SidecarStarted}, trace.SidecarEvent{At: 100 * ms, Sidecar: i, Kind: trace.SidecarReady})
			l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Duration(i) * 200 * ms, Sidecar: i, Duration: 20 * ms})
			l.Connections = append(l.Connections, trace.Connection{At: time.Duration(i) * 200 * ms, Endpoint: -1}, trace.Connection{At: time.Duration(i) * 200 * ms, Endpoint: 0})
			l.ClientAttempts = append(l.ClientAttempts, trace.ClientAttempt{TransactionID: uint64(1 + i), Sidecar: i, Due: 500 * ms, Ended: 600 * ms, Status: trace.StatusServed})
			startedAt := time.Duration(i) * time.Second // a second apart: one in each
			l.EndpointRequests = append(l.EndpointRequests, trace.EndpointRequest{TransactionID: uint64(1 + i), FirstByte: startedAt, Ended: startedAt + 100*ms})
		}
		return l
	}
	inject := func(f func(*trace.Log)) *trace.Log {
		l := quiet()
		f(l)
		return l
	}
	request := func(transaction uint64, endpoint int, startedAt time.Duration) func(*trace.Log) {
		return func(l *trace.Log) {
			l.EndpointRequests = append([]trace.EndpointRequest{{TransactionID: transaction, Endpoint: endpoint, FirstByte: startedAt, Ended: trace.Unset}}, l.EndpointRequests...)
		}
	}
	for _, c := range []struct {
		what        string
		quiet, want float64
		log         *trace.Log
	}{
		{"list_calls", 3, 4, inject(func(l *trace.Log) { l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Second}) })},
		{"list_refused", 0, 0.25, inject(func(l *trace.Log) {
			l.Polls = append(l.Polls, trace.DiscoveryPoll{At: time.Second, Outcome: trace.PollRejected})
		})},
		{"list_dials", 3, 4, inject(func(l *trace.Log) { l.Connections = append(l.Connections, trace.Connection{Endpoint: -1}) })},
		{"list_peak", 1, 2, inject(func(l *trace.Log) { l.Polls = append(l.Polls, trace.DiscoveryPoll{At: 50 * ms}) })},
		{"handshakes", 1, 3, inject(func(l *trace.Log) {
			l.Connections = append(l.Connections, trace.Connection{At: 410 * ms}, trace.Connection{At: 499 * ms})
		})},
		{"attempts_peak", 1, 2, inject(request(1, 0, 999*ms))},                                                    // within a second of the first, and of the second
		{"attempts_peak", 1, 1, inject(request(1, 1, 0))},                                                         // at another endpoint
		{"attempts_peak", 1, 1, inject(request(9, 0, 0))},                                                         // of no client attempt
		{"again_peak", 0, 1, inject(request(1, 0, 999*ms))},                                                       // the first attempt's second request
		{"again_peak", 0, 0, inject(request(3, 0, 999*ms))},                                                       // the third attempt's first request
		{"unready", 0.1, 10, inject(func(l *trace.Log) { l.SidecarEvents[3].Kind = trace.SidecarReloaded })},      // the second is never ready
		{"unready", 0.1, 0.1, inject(func(l *trace.Log) { l.SidecarEvents[3].Kind = trace.SidecarKilled })},       // it is killed before it was ready
		{"unlisted", 0.42, 10, inject(func(l *trace.Log) { l.Polls[1].Outcome = trace.PollRejected })},            // the second never gets a list
		{"unlisted", 0.42, 0.42, inject(func(l *trace.Log) { l.Polls[1].Outcome = trace.PollAnswered })},          // no fault is injected
		{"unserving", 0.1, 9.5, inject(func(l *trace.Log) { l.ClientAttempts[2].Status = trace.StatusRejected })}, // the third gets requests and serves none
	} {
		p := &plan.Plan{Scenario: &scenario.Scenario{}, Endpoints: make([]plan.Endpoint, 2), Sidecars: make([]plan.Sidecar, 3)}
		for i, log := range []*trace.Log{quiet(), c.log} {
			v, known := (&analysis{plan: p, log: log}).measure(c.what, -1, 0, maxDuration)
			if want := []float64{c.quiet, c.want}[i]; !known || v != want {
				t.Errorf("%s, injected %v: %v, want %v", c.what, i == 1, v, want)
			}
		}
	}
}
