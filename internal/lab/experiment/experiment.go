// Package experiment runs a scenario from end to end: it makes the plan, plays it in virtual time or with processes on
// sockets, has the trace judged and computes the results. It also finds scenarios by name and makes the variants of a
// parameter sweep. The commands of pinelab call it.
package experiment

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/calibration"
	"pinelb.example/pinelb/internal/lab/judge"
	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/report"
	"pinelb.example/pinelb/internal/lab/result"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/simulation"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Config is what to play and how.
type Config struct {
	Scenario *scenario.Scenario
	Seed     uint64                 // 0 is the scenario's own
	Arrivals []plan.Arrival         // of a record, in place of the scenario's own
	Virtual  bool                   // in virtual time, with package balance for a sidecar; otherwise with processes
	Builds   [2]string              // paths of the programs, as in loopback.Options
	LogDir   string                 // folder for the sidecars' logs; "" discards them
	Progress func(at time.Duration) // is called with the time since the start of the run; may be nil
}

// Outcome is the result of a run.
type Outcome struct {
	Plan    *plan.Plan
	Trace   *trace.Log
	Verdict judge.Verdict
	Result  *result.Result
}

// Play plays a scenario once. If ctx ends first, the outcome is of what was played so far, and the error is ctx's. A player
// in virtual time does not look at ctx. Other errors come without an outcome.
func Play(ctx context.Context, c Config) (*Outcome, error) {
	p, err := c.buildPlan()
	if err != nil {
		return nil, err
	}
	meta := result.Meta{Player: "virtual"}
	var log *trace.Log
	var interrupted error
	if c.Virtual {
		log, err = simulation.Play(p)
	} else {
		meta = result.Meta{Player: "sockets", Builds: buildNames(c.Builds)}
		log, err = loopback.Play(ctx, p, loopback.Options{Builds: c.Builds, LogDir: c.LogDir, Progress: c.Progress})
		if log != nil && ctx.Err() != nil {
			interrupted, err = ctx.Err(), nil
		}
	}
	if err != nil {
		return nil, err
	}
	o := &Outcome{Plan: p, Trace: log, Verdict: judge.Judge(p, log)}
	o.Result = result.New(p, log, brokenRules(&o.Verdict), meta)
	return o, interrupted
}

// buildPlan makes the plan, with the arrivals of the scenario's record if it has one.
func (c *Config) buildPlan() (*plan.Plan, error) {
	arrivals := c.Arrivals
	if path := c.Scenario.Clients.RecordFile; path != "" && arrivals == nil {
		var err error
		if arrivals, err = readArrivals(path, c.Scenario); err != nil {
			return nil, err
		}
	}
	return plan.Build(c.Scenario, cmp.Or(c.Seed, c.Scenario.Seed), arrivals)
}

// Write writes result.json and report.html into a folder.
func (o *Outcome) Write(dir string) error {
	if err := o.Result.Write(dir); err != nil {
		return err
	}
	return report.Write(filepath.Join(dir, "report.html"), o.Result)
}

// RigRanLate reports whether the test rig itself ran late, so that the figures are void.
func (o *Outcome) RigRanLate() bool { return o.Result.Harness.Void }

// brokenRules converts a verdict into the broken rules of a result.
func brokenRules(v *judge.Verdict) []result.Violation {
	var out []result.Violation
	for _, kind := range judge.Kinds {
		if v.Counts[kind] == 0 {
			continue
		}
		b := result.Violation{Kind: string(kind), Count: v.Counts[kind]}
		for i := range v.Violations {
			if r := &v.Violations[i]; r.Kind == kind {
				b.Timelines = append(b.Timelines, append([]string{r.Text}, r.Timeline...))
			}
		}
		out = append(out, b)
	}
	return out
}

// readArrivals reads the arrivals of a sidecar's record. Its classes are found by name.
func readArrivals(path string, s *scenario.Scenario) ([]plan.Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: clients.recorded: %w", err)
	}
	defer func() { _ = f.Close() }() // only read
	r, err := accesslog.Read(f)
	if err != nil {
		return nil, fmt.Errorf("experiment: clients.recorded: %s: %w", path, err)
	}
	return calibration.Arrivals(r, s)
}

// buildNames identifies the programs by file name and hash. An unreadable one is named by the error.
func buildNames(paths [2]string) (out []string) {
	for _, path := range paths {
		if path == "" {
			continue
		}
		name, err := fingerprint(path)
		if err != nil {
			name = err.Error()
		}
		out = append(out, name)
	}
	return out
}

func fingerprint(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // only read
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %x", filepath.Base(path), h.Sum(nil)[:6]), nil
}

// FindScenario reads a scenario: a file, or else the name of one that comes with the program, which shipped reads. It
// returns its text and where it is from.
func FindScenario(name string, shipped func(name string) ([]byte, error)) (text []byte, from string, err error) {
	text, err = os.ReadFile(name)
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		return text, name, err
	}
	if !strings.ContainsAny(name, "/.") {
		if text, shippedErr := shipped(name + ".toml"); shippedErr == nil {
			return text, name + ".toml", nil
		}
	}
	return nil, name, fmt.Errorf("%s: there is no such file, and no scenario of that name comes with the program", name)
}
