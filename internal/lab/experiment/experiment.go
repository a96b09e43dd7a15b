// Package experiment is one whole play: the plan is made, played, judged and put into figures.
package experiment

import (
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
	Seed     uint64         // 0 is the scenario's own
	Arrivals []plan.Arrival // of a record, where the scenario has none of its own
	Virtual  bool           // in virtual time, with the decision module for a sidecar
	Builds   [2]string      // programs, as in live.Options
	Logs     string         // folder for the sidecars' logs; "" keeps none
	Progress func(at time.Duration)
}

// Outcome is what came of it.
type Outcome struct {
	Plan    *plan.Plan
	Log     *trace.Log
	Verdict judge.Verdict
	Result  *result.Result
}

// Play plays a scenario once. Where ctx ends first, the outcome is of what was played so far and the error
// is ctx's.
func Play(ctx context.Context, c Config) (*Outcome, error) {
	seed := c.Seed
	if seed == 0 {
		seed = c.Scenario.Seed
	}
	arrivals := c.Arrivals
	if path := c.Scenario.Clients.Recorded; path != "" && arrivals == nil {
		var err error
		if arrivals, err = recorded(path, c.Scenario); err != nil {
			return nil, err
		}
	}
	p, err := plan.Build(c.Scenario, seed, arrivals)
	if err != nil {
		return nil, err
	}
	meta := result.Meta{Player: "virtual"}
	var log *trace.Log
	var ended error
	if c.Virtual {
		log, err = simulation.Play(p)
	} else {
		meta = result.Meta{Player: "sockets", Builds: builds(c.Builds)}
		log, err = loopback.Play(ctx, p, loopback.Options{Builds: c.Builds, LogDir: c.Logs, Progress: c.Progress})
		if log != nil && ctx.Err() != nil {
			ended, err = ctx.Err(), nil
		}
	}
	if err != nil {
		return nil, err
	}
	o := &Outcome{Plan: p, Log: log, Verdict: judge.Judge(p, log)}
	o.Result = result.New(p, log, broken(&o.Verdict), meta)
	return o, ended
}

// Write leaves result.json and report.html in a folder.
func (o *Outcome) Write(dir string) error {
	if err := o.Result.Write(dir); err != nil {
		return err
	}
	return report.Write(filepath.Join(dir, "report.html"), o.Result)
}

// Void says whether the rig itself ran late, so that the figures say nothing.
func (o *Outcome) Void() bool { return o.Result.Harness.Void }

// broken puts a verdict into a result's words.
func broken(v *judge.Verdict) []result.Violation {
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

// recorded takes the arrivals of a sidecar's record. Its classes are found by name.
func recorded(path string, s *scenario.Scenario) ([]plan.Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: clients.recorded: %w", err)
	}
	defer f.Close()
	r, err := accesslog.Read(f)
	if err != nil {
		return nil, fmt.Errorf("experiment: clients.recorded: %s: %w", path, err)
	}
	return calibration.Arrivals(r, s)
}

// builds names the programs by what they say of themselves and by their bytes.
func builds(paths [2]string) (out []string) {
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
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %x", filepath.Base(path), h.Sum(nil)[:6]), nil
}

// Find looks up a scenario: a file, or the name of one that comes with the program. It returns its text and
// where it is from.
func Find(name string, shipped func(name string) ([]byte, error)) (text []byte, from string, err error) {
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
