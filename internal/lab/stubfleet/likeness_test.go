package stubfleet

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
)

// lastCall ends the script.
const lastCall = 16

// script returns the treatment of each call of a single sidecar, with what happens before it. Nothing in it depends on time, so that
// the calls are the same however busy the machine is.
func script(s *Service, f *Frontend, calls chan<- Call) func(Call) Treatment {
	return func(c Call) Treatment {
		if c.Sequence <= lastCall {
			calls <- c
		}
		switch c.Sequence {
		case 2, 3, 11: // an update for a watch; the fourth call, the sixth and others end without one
			s.Change()
		case 5:
			return Reject
		case 7:
			return Abort
		case 8:
			return Hang
		case 9: // an outage, in which the sidecar has time to be refused
			f.Down()
			time.AfterFunc(outage, func() {
				if err := f.Up(); err != nil {
					panic(err) // nobody else uses the port
				}
			})
			return Abort
		case 12:
			s.Reset()
		}
		return Respond
	}
}

// outage is the length of the outage in the script: several attempts of a sidecar.
const outage = 500 * time.Millisecond

// received is what a service has received from a sidecar by the end of the script.
type received struct {
	calls  []Call
	counts Counts
}

// playScript plays the script against one sidecar, which start starts.
func playScript(t *testing.T, start func(fleet FleetConfig) (stop func())) received {
	t.Helper()
	s := NewService(12, nil)
	f, err := s.Open("only")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan Call, lastCall)
	s.SetTreatment(script(s, f, calls))
	stop := start(FleetConfig{Discovery: f.addr, Seed: 7})
	var out received
	for end := time.After(testTimeout); len(out.calls) < lastCall; {
		select {
		case c := <-calls:
			out.calls = append(out.calls, c)
		case <-end:
			t.Fatalf("after %s: %+v", testTimeout, out.calls)
		}
	}
	out.counts = f.Counts()
	stop()
	f.Down()
	return out
}

var timeout = regexp.MustCompile(`timeout_ms=[1-9]\d*`)

// TestLikeness guards against stubs that behave unlike the daemon. Where an agent of the machine is polled, a stub and a real sidecar of
// the same seed make the same calls on the same connections, the random waits of their watches included until the outage: how often
// they retry in it depends on time. With [discovery] the random numbers are the process's own, so that the waits differ, and all else is
// the same. The script has lists, changes, watches without an update, 503, an aborted answer, no answer, an outage and a reset service.
func TestLikeness(t *testing.T) {
	verifyNoLeaks(t)
	build := buildSidecar(t)
	for name, operator := range map[string]string{"agent": "", "discovery": "[discovery]\ncalls = 5\nwatch = \"200ms\"\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // they wait, mostly
			dir, file := t.TempDir(), ""
			var paced *cluster.Pacing
			if operator != "" {
				file = filepath.Join(dir, "operator.toml")
				if err := os.WriteFile(file, []byte(operator), 0o600); err != nil {
					t.Fatal(err)
				}
				op, err := config.LoadOperator(file)
				if err != nil {
					t.Fatal(err)
				}
				paced = &cluster.Pacing{Fleet: op.Discovery.Pacing(1), ResyncInterval: op.Discovery.FullListInterval.D()}
			}
			real := playScript(t, func(fleet FleetConfig) func() {
				r, err := launchReal(build, file, dir, fleet, 0, 1)
				if err != nil {
					t.Fatal(err)
				}
				return r.close
			})
			stub := playScript(t, func(fleet FleetConfig) func() {
				fleet.Paced = paced
				return startStub(fleet, 0).stop
			})
			assertAlike(t, real, stub, paced == nil)
		})
	}
}

// assertAlike compares what the service received from either; waits is true if the waits of watches are the same, too.
func assertAlike(t *testing.T, real, stub received, waits bool) {
	t.Helper()
	comparable := func(r received) (out []Call) {
		for _, c := range r.calls {
			if !waits || c.Sequence > 9 {
				c.Target = timeout.ReplaceAllString(c.Target, "timeout_ms=*")
			}
			out = append(out, c)
		}
		return out
	}
	a, b := comparable(real), comparable(stub)
	if !slices.Equal(a, b) {
		for i := range a {
			t.Errorf("real %+v, stub %+v", a[i], b[i])
		}
	}
	if real.counts.Connections != stub.counts.Connections || real.counts.Rejected != stub.counts.Rejected {
		t.Errorf("real %+v, stub %+v", real.counts, stub.counts)
	}
	// The bytes of a call differ by the digits of its wait, of which there are at most five and at least two.
	if off := real.counts.In - stub.counts.In; max(off, -off) > 3*lastCall {
		t.Errorf("bytes of the calls: real %d, stub %d", real.counts.In, stub.counts.In)
	}
	t.Logf("%d calls, real %+v, stub %+v", lastCall, real.counts, stub.counts)
	for _, c := range a {
		t.Logf("%+v", c)
	}
}
