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

// script is what a service does at each call of the one sidecar that asks it: what becomes of the call, and what happens before. Nothing in
// it goes by the time, so that the calls that come are the same however late anyone is.
func script(s *Service, f *Frontend, calls chan<- Call) func(Call) Treatment {
	return func(c Call) Treatment {
		if c.Sequence <= lastCall {
			calls <- c
		}
		switch c.Sequence {
		case 2, 3, 11: // news for a watch; none come for the fourth call, the sixth and others, which end quietly
			s.Change()
		case 5:
			return Reject
		case 7:
			return Abort
		case 8:
			return Hang
		case 9: // down, and there again once the sidecar has had time to be refused
			f.Down()
			time.AfterFunc(back, func() {
				if err := f.Up(); err != nil {
					panic(err) // nobody else wants the port
				}
			})
			return Abort
		case 12:
			s.Reset()
		}
		return Respond
	}
}

// back is how long the service is down in the script: some of a sidecar's tries.
const back = 500 * time.Millisecond

// heard is what a service has had from a sidecar by the script's end.
type heard struct {
	calls  []Call
	counts Counts
}

// hear plays the script against one sidecar, which begin starts.
func hear(t *testing.T, begin func(told FleetConfig) (stop func())) heard {
	t.Helper()
	s := NewService(12, nil)
	f, err := s.Open("only")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan Call, lastCall)
	s.SetTreatment(script(s, f, calls))
	stop := begin(FleetConfig{Discovery: f.addr, Seed: 7})
	var out heard
	for end := time.After(ample); len(out.calls) < lastCall; {
		select {
		case c := <-calls:
			out.calls = append(out.calls, c)
		case <-end:
			t.Fatalf("after %s: %+v", ample, out.calls)
		}
	}
	out.counts = f.Counts()
	stop()
	f.Down()
	return out
}

var timeout = regexp.MustCompile(`timeout_ms=[1-9]\d*`)

// Where an agent of the machine's own is asked, a hollow sidecar and a real one of the same seed make the same calls on the same
// connections, the random waits of their watches included until the service is down: how often it is tried meanwhile hangs on the time.
// With [discovery] the random numbers are the process's own, so that the waits differ, and all else is the same. The script has lists,
// changes, quiet watches, 503, an answer that is broken off, silence, an outage and a service that has forgotten its history.
func TestLikeness(t *testing.T) {
	noLeaks(t)
	build := program(t)
	for name, operator := range map[string]string{"agent": "", "discovery": "[discovery]\ncalls = 5\nwatch = \"200ms\"\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // they wait, mostly
			dir, file := t.TempDir(), ""
			var paced *cluster.Paced
			if operator != "" {
				file = filepath.Join(dir, "operator.toml")
				if err := os.WriteFile(file, []byte(operator), 0o600); err != nil {
					t.Fatal(err)
				}
				op, err := config.LoadOperator(file)
				if err != nil {
					t.Fatal(err)
				}
				paced = &cluster.Paced{Fleet: op.Discovery.Fleet(1), Whole: op.Discovery.Whole.D()}
			}
			real := hear(t, func(told FleetConfig) func() {
				r, err := launchReal(build, file, dir, told, 0, 1)
				if err != nil {
					t.Fatal(err)
				}
				return r.close
			})
			hollow := hear(t, func(told FleetConfig) func() {
				told.Paced = paced
				return startStub(told, 0).stop
			})
			alike(t, real, hollow, paced == nil)
		})
	}
}

// alike compares what the service had from either; waits says that those of watches are the same, too.
func alike(t *testing.T, real, hollow heard, waits bool) {
	t.Helper()
	plain := func(h heard) (out []Call) {
		for _, c := range h.calls {
			if !waits || c.Sequence > 9 {
				c.Target = timeout.ReplaceAllString(c.Target, "timeout_ms=*")
			}
			out = append(out, c)
		}
		return out
	}
	a, b := plain(real), plain(hollow)
	if !slices.Equal(a, b) {
		for i := range a {
			t.Errorf("real %+v, hollow %+v", a[i], b[i])
		}
	}
	if real.counts.Connections != hollow.counts.Connections || real.counts.Rejected != hollow.counts.Rejected {
		t.Errorf("real %+v, hollow %+v", real.counts, hollow.counts)
	}
	// The bytes of a call differ by the digits of its wait, of which there are at most five and at least two.
	if off := real.counts.In - hollow.counts.In; max(off, -off) > 3*lastCall {
		t.Errorf("bytes of the calls: real %d, hollow %d", real.counts.In, hollow.counts.In)
	}
	t.Logf("%d calls, real %+v, hollow %+v", lastCall, real.counts, hollow.counts)
	for _, c := range a {
		t.Logf("%+v", c)
	}
}
