package loopback_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/judge"
	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/simulation"
	"pinelb.example/pinelb/internal/lab/trace"
)

// coldStart is a scenario in which endpoints join cold during a burst of 2.5 times what all could do if they were warm.
type coldStart struct {
	operator        string // the operator's file
	kind            string // how endpoints come to join
	sidecars, boxes int    // endpoints: that join, of twelve
	speed           float64
	length          int // s
}

func (d coldStart) String() string {
	return fmt.Sprintf("%d sidecars, operator's file %q, %d endpoints of speed %v %s", d.sidecars, d.operator, d.boxes, d.speed, d.kind)
}

func (d coldStart) plan(t testing.TB) *plan.Plan {
	able := 12 * d.speed / 0.082 // requests a second, all warm
	p := buildPlan(t, fmt.Sprintf(`
name = "throng"
length = "%ds"
settle = "3s"
[rules]
cold_for = "6s"
cold_share = 0.15
[[class]]
name = "read"
share = 70
work = "70ms"
spread = "lognormal"
cv = 0.5
aim = "600ms"
deadline = "1.5s"
[[class]]
name = "write"
share = 30
work = "110ms"
spread = "lognormal"
cv = 0.5
aim = "1s"
deadline = "2.5s"
effect = "keyed"
window = "4s"
[[tier]]
name = "t"
[[tier.kind]]
boxes = 12
speed = %g
cold_from = 0.15
cold_for = "6s"
[[burst]]
at = "0s"
for = "2s"
rate = %g
[[burst]]
at = "2s"
for = "%ds"
rate = %g
[fleet]
sidecars = %d
operator = %q
[[fault]]
kind = %q
boxes = %d
at = "500ms"
grace = "1s"
back = "1500ms"
for = "2s"
`, d.length, d.speed, able/2, d.length-2, 2.5*able, d.sidecars, d.operator, d.kind, d.boxes))
	for i := range p.Endpoints {
		p.Endpoints[i].Spec.CollapseMultiple = 1e9 // the model's fall sooner than the rule has it, and what has fallen gets no more
	}
	return p
}

const numbered = "[fleet]\nnumbered = true"

// checkRatio checks that the cold endpoints were never sent more than the rule's limit, and that they were sent something.
func (d coldStart) checkRatio(t *testing.T, p *plan.Plan, log *trace.Log) {
	t.Helper()
	ratio, where := judge.MaxColdRequestRatio(p, log)
	t.Logf("%s: %.2f of the limit, %s", d, ratio, where)
	if where == "" || ratio > 1 {
		t.Errorf("%s: %.2f of the limit, %s", d, ratio, where)
	}
}

// TestColdStarts guards against cold endpoints that collapse because each of twenty or thirty sidecars sends a little too much: one and
// several endpoints, with few requests in a window and with many. It runs in virtual time.
func TestColdStarts(t *testing.T) {
	var days []coldStart
	for _, kind := range []string{"drain", "vanish"} {
		days = append(days, coldStart{numbered, kind, 20, 1, 1, 10}, coldStart{"", kind, 20, 6, 3.3, 10}, coldStart{"", kind, 30, 1, 3.3, 10},
			coldStart{numbered, kind, 30, 6, 1, 10})
	}
	for _, d := range days {
		p := d.plan(t)
		log, err := simulation.Play(p)
		if err != nil {
			t.Fatal(err)
		}
		d.checkRatio(t, p, log)
	}
}

// TestMaxColdRequestRatio checks that the measure can fail, and that it counts as the rule does.
func TestMaxColdRequestRatio(t *testing.T) {
	p := coldStart{"", "drain", 1, 1, 3.3, 6}.plan(t)
	i := slices.IndexFunc(p.Events, func(e plan.Event) bool { return e.Kind == plan.StartEndpoint || e.Kind == plan.EndFault })
	endpoint, start := p.Events[i].Endpoint, p.Events[i].At
	// In the first second it is allowed some 22 requests and stands some 33: 2.5 x 3.3 x (0.15 + 0.85 x 0.5 s / 6 s) / 0.082 is 22.2.
	for _, c := range []struct {
		name        string
		sent        int
		over        time.Duration
		notified    int // of so many
		least, most float64
	}{
		{"what it stands", 33, time.Second, 33, 0.95, 1},
		{"one more", 34, time.Second, 34, 1, 1.05},
		{"in two windows", 34, 2 * time.Second, 34, 0.4, 0.6},
		{"most untold", 36, time.Second, 10, 0, 0.7},
	} {
		log := &trace.Log{Notifications: []trace.Notification{{At: start, Sidecar: 0, Endpoint: endpoint, Phase: trace.PhaseReady, UpSince: start}}}
		for n := range c.sent {
			from := 0
			if n >= c.notified {
				from = 1
			}
			log.ClientAttempts = append(log.ClientAttempts, trace.ClientAttempt{TransactionID: uint64(n), Sidecar: from})
			log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: uint64(n), Endpoint: endpoint, FirstByte: start + c.over*time.Duration(n+1)/time.Duration(c.sent+1)})
		}
		if over, where := judge.MaxColdRequestRatio(p, log); over < c.least || over > c.most {
			t.Errorf("%s: %.2f, want %v to %v: %s", c.name, over, c.least, c.most, where)
		}
	}
}

// TestColdStartsOfProcesses is TestColdStarts with processes, over sockets.
func TestColdStartsOfProcesses(t *testing.T) {
	built := buildProgram(t)
	for _, d := range []coldStart{{numbered, "drain", 20, 1, 2, 6}, {numbered, "vanish", 30, 6, 2, 6}} {
		p := d.plan(t)
		log, err := loopback.Play(t.Context(), p, loopback.Options{Builds: [2]string{built}, LogDir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		d.checkRatio(t, p, log)
	}
}
