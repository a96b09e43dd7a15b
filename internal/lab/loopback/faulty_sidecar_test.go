package loopback_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/lab/faultysidecar"
	"pinelb.example/pinelb/internal/lab/judge"
	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// TestMain is also the program of the faulty sidecar: loopback.Play starts this binary as one.
func TestMain(m *testing.M) {
	if os.Getenv(faultysidecar.EnvVariable) != "" {
		os.Exit(faultysidecar.Main())
	}
	os.Exit(m.Run())
}

// calmScenario is a second of light load that no sidecar without a fault can get wrong; what makes a fault show is added.
const calmScenario = `
name = "fault"
length = "1s"
class = [
  {name = "read", share = 1, work = "%[1]s", aim = "200ms", deadline = "1s"},
  {name = "remake-charge", share = 1, work = "%[1]s", aim = "200ms", deadline = "1s", effect = "unsafe", body = 32},
]
tier = [{name = "t", kind = [{boxes = 3, cores = 2, cold_from = 0.1}]}]
rules = {drain_grace = "300ms", fall_window = "300ms"}
clients = {shape = "even", retries = 1, try_share = 0.4, backoff = "20ms", rate = %[2]d}
discovery = {add = "100ms", notice = "50ms", spread = "0s"}
%[3]s`

const (
	drainFault = "[[fault]]\nkind = \"drain\"\nat = \"200ms\"\nnames = [\"t-2\"]\ngrace = \"3s\"\n"
	// A crash and a cold start: an endpoint then can do 0.2 standard cores and stands 2.5 times that.
	crashFault = "[[fault]]\nkind = \"crash\"\nat = \"100ms\"\nfor = \"200ms\"\nnames = [\"t-2\"]\n"
)

// TestFaultySidecarsAreDetected checks, on sockets, that the judge detects each sidecar that breaks a rule, and no other: all breaches of
// a play are of the fault's kind.
func TestFaultySidecarsAreDetected(t *testing.T) {
	for _, c := range []struct {
		fault faultysidecar.Fault
		rate  int
		work  string // of a request; a flood of few and heavy ones leaves the machine time to answer them
		more  string
		want  []judge.Kind
	}{
		{faultysidecar.NoFault, 100, "1ms", drainFault, nil},
		{faultysidecar.NoFault, 300, "1ms", crashFault, nil},
		{faultysidecar.DuplicatesResponses, 100, "1ms", "", []judge.Kind{judge.DuplicateResponse}},
		{faultysidecar.RetriesUnsafe, 100, "1ms", "", []judge.Kind{judge.DuplicateExecution}},
		{faultysidecar.IgnoresDrain, 100, "1ms", drainFault, []judge.Kind{judge.AttemptAfterDrain}},
		{faultysidecar.OverloadsCold, 150, "6ms", crashFault, []judge.Kind{judge.ColdOverload}},
		{faultysidecar.ForgesResponses, 100, "1ms", "", []judge.Kind{judge.ForgedResponse}},
		{faultysidecar.DropsRequests, 100, "1ms", "", []judge.Kind{judge.LostRequest}},
		{faultysidecar.RejectsAfterRunning, 100, "1ms", "", []judge.Kind{judge.DuplicateExecution, judge.UnsafeRejected}},
	} {
		t.Run(fmt.Sprintf("%s at %d", c.fault, c.rate), func(t *testing.T) {
			t.Setenv(faultysidecar.EnvVariable, string(c.fault))
			t.Setenv("GORACE", "atexit_sleep_ms=0") // or each end of the faulty sidecar takes a second more under -race
			v := playFaulty(t, fmt.Sprintf(calmScenario, c.work, c.rate, c.more))
			for _, kind := range c.want {
				if v.Counts[kind] == 0 {
					t.Errorf("%q was not found", kind)
				}
			}
			if len(v.Counts) != len(c.want) {
				t.Errorf("found %v, want %q\n%s", v.Counts, c.want, firstStories(v))
			}
		})
	}
}

func playFaulty(t *testing.T, text string) judge.Verdict {
	t.Helper()
	s, err := scenario.Parse("fault.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	log, err := loopback.Play(context.Background(), p, loopback.Options{Builds: [2]string{os.Args[0], ""}, LogDir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if len(log.ClientAttempts) == 0 || len(log.EndpointRequests) == 0 {
		t.Fatalf("%d client attempts, %d endpoint requests: nothing was played", len(log.ClientAttempts), len(log.EndpointRequests))
	}
	return judge.Judge(p, log)
}

// firstStories is the first story of each kind of breach.
func firstStories(v judge.Verdict) string {
	var out strings.Builder
	seen := map[judge.Kind]bool{}
	for _, b := range v.Violations {
		if !seen[b.Kind] {
			seen[b.Kind] = true
			fmt.Fprintf(&out, "%s: %s\n  %s\n", b.Kind, b.Text, strings.Join(b.Timeline, "\n  "))
		}
	}
	return out.String()
}
