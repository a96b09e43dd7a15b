package loopback_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// buildProgram builds the sidecar.
func buildProgram(t testing.TB) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "pinelb")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", out, "pinelb.example/pinelb/cmd/pinelb")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("building the sidecar: %v\n%s", err, text)
	}
	return out
}

// buildPlan is the plan of a scenario's text.
func buildPlan(t testing.TB, text string) *plan.Plan {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, s.Seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const scenarioClasses = `
[[class]]
name = "read"
share = 2
work = "1ms"
aim = "500ms"
deadline = "1s"
answer = 300
[[class]]
name = "pay"
share = 1
work = "1ms"
aim = "500ms"
deadline = "1s"
effect = "unsafe"
body = 200
[[class]]
name = "note"
share = 1
work = "1ms"
aim = "500ms"
deadline = "1s"
effect = "keyed"
body = 100
`

const calmDayScenario = `
name = "calm"
length = "2s"
` + scenarioClasses + `
[[tier]]
name = "t"
[[tier.kind]]
boxes = 3
cores = 4
[clients]
rate = 150
shape = "even"
`

func TestPlayWithTheProgram(t *testing.T) {
	defer goleak.VerifyNone(t)
	built := buildProgram(t)
	t.Run("to its end", func(t *testing.T) { playToEnd(t, built, calmDayScenario) })
	t.Run("to its end over Thrift", func(t *testing.T) {
		playToEnd(t, built, calmDayScenario+"[fleet]\nprotocol = \"thrift-framed-compact\"\n")
	})
	t.Run("canceled", func(t *testing.T) { playCanceled(t, built) })
}

// playToEnd checks that in a calm run every request is served once, and that both ends record the same.
func playToEnd(t *testing.T, built, text string) {
	p := buildPlan(t, text)
	var progress []time.Duration
	var log *trace.Log
	for range 3 { // a sidecar ends a quarter of a second before its grace does: a machine that stands still for so long has it killed
		var err error
		log, err = loopback.Play(t.Context(), p, loopback.Options{Builds: [2]string{built}, LogDir: t.TempDir(),
			Progress: func(at time.Duration) { progress = append(progress, at) }})
		if err != nil {
			t.Fatal(err)
		}
		if log.SidecarEvents[len(log.SidecarEvents)-1].Kind != trace.SidecarKilled {
			break
		}
	}
	if len(log.ClientAttempts) != len(p.Requests) || len(log.Lateness) != len(p.Requests) {
		t.Fatalf("%d requests, %d attempts, %d latenesses", len(p.Requests), len(log.ClientAttempts), len(log.Lateness))
	}
	if early := slices.Min(log.Lateness); early < 0 {
		t.Errorf("a request was sent %v before it was due", -early)
	}
	requests := map[uint64][]trace.EndpointRequest{}
	for _, v := range log.EndpointRequests {
		requests[v.TransactionID] = append(requests[v.TransactionID], v)
	}
	for i, attempt := range log.ClientAttempts {
		if attempt.Request != i || attempt.Status != trace.StatusServed || attempt.Forged || attempt.Responses != 1 || attempt.Sidecar != 0 {
			t.Errorf("attempt %+v", attempt)
		}
		if !slices.ContainsFunc(requests[attempt.TransactionID], func(v trace.EndpointRequest) bool {
			return v.Endpoint == attempt.Endpoint && v.Outcome == trace.OutcomeOK && v.FirstByte >= attempt.Due && v.Ended <= attempt.Ended
		}) {
			t.Errorf("no endpoint request matches %+v: %+v", attempt, requests[attempt.TransactionID])
		}
		delete(requests, attempt.TransactionID)
	}
	if len(requests) > 0 {
		t.Errorf("endpoint requests that no client sent: %v", requests)
	}
	var changes []trace.SidecarEventKind
	for _, c := range log.SidecarEvents {
		changes = append(changes, c.Kind)
	}
	if want := []trace.SidecarEventKind{trace.SidecarStarted, trace.SidecarReady, trace.SidecarStopping, trace.SidecarExited}; !slices.Equal(changes, want) {
		t.Errorf("changes %v, want %v: %+v", changes, want, log.SidecarEvents)
	}
	if len(log.Usage) != 1 || log.Usage[0].CPU <= 0 || log.Usage[0].PeakMemory <= 0 || log.Usage[0].MaxDescriptors <= 0 {
		t.Errorf("usage: %+v", log.Usage)
	}
	if len(log.Samples) < 3 || len(progress) == 0 || log.End < p.Scenario.Length.D() || len(log.Notifications) < 3 {
		t.Errorf("%d samples, %d of progress, %d notifications, end %v", len(log.Samples), len(progress), len(log.Notifications), log.End)
	}
}

// playCanceled checks that a run that is cut short ends in order and returns what there is.
func playCanceled(t *testing.T, built string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log, err := loopback.Play(ctx, buildPlan(t, calmDayScenario), loopback.Options{Builds: [2]string{built},
		Progress: func(time.Duration) { cancel() }})
	if err != context.Canceled || log == nil || len(log.ClientAttempts) == 0 {
		t.Fatalf("%v: %+v", err, log)
	}
	if last := log.SidecarEvents[len(log.SidecarEvents)-1].Kind; last != trace.SidecarExited && last != trace.SidecarKilled {
		t.Errorf("the sidecar was left: %+v", log.SidecarEvents)
	}
}

// TestPlayMissingProgram checks that a missing program is an error of the rig, after which nothing is left.
func TestPlayMissingProgram(t *testing.T) {
	defer goleak.VerifyNone(t)
	_, err := loopback.Play(t.Context(), buildPlan(t, calmDayScenario), loopback.Options{Builds: [2]string{"/there/is/none"}})
	if err == nil || !strings.Contains(err.Error(), "/there/is/none") {
		t.Errorf("error: %v", err)
	}
}

// TestPlayPlainPolicy checks that the plain policy runs no sidecars, and that clients take the endpoints in turn, also in the second tier.
func TestPlayPlainPolicy(t *testing.T) {
	for _, protocol := range []string{"http", "thrift-binary"} {
		t.Run(protocol, func(t *testing.T) { playPlain(t, protocol) })
	}
}

func playPlain(t *testing.T, protocol string) {
	defer goleak.VerifyNone(t)
	p := buildPlan(t, `
name = "plain"
length = "500ms"
`+scenarioClasses+`
[[tier]]
name = "a"
calls = 1
[[tier.kind]]
boxes = 3
cores = 4
[[tier]]
name = "b"
[[tier.kind]]
boxes = 2
cores = 4
[clients]
rate = 200
shape = "even"
[fleet]
policy = "plain"
protocol = "`+protocol+`"
`)
	log, err := loopback.Play(t.Context(), p, loopback.Options{})
	if err != nil {
		t.Fatal(err)
	}
	boxes := map[int]int{}
	for _, attempt := range log.ClientAttempts {
		if attempt.Status != trace.StatusServed || attempt.Sidecar != -1 {
			t.Errorf("attempt %+v", attempt)
		}
		boxes[attempt.Endpoint]++
	}
	if len(log.ClientAttempts) != 2*len(p.Requests) || len(boxes) != len(p.Endpoints) {
		t.Errorf("%d requests, %d attempts, by endpoint %v", len(p.Requests), len(log.ClientAttempts), boxes)
	}
}
