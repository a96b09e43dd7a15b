package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"pinelb.example/pinelb/internal/lab/experiment"
	"pinelb.example/pinelb/internal/lab/result"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/scenarios"
)

// playOptions are the flags that all commands share that play a scenario.
type playOptions struct {
	Seed    uint64 `help:"Seed of every draw; 0 is the scenario's own."`
	Pinelb  string `type:"path" help:"The sidecar's program; beside this one, or found by PATH, if left out."`
	Other   string `type:"path" help:"A second build, run by fleet.other of the sidecars."`
	Out     string `type:"path" help:"Folder for result.json, report.html and the sidecars' logs."`
	Virtual bool   `help:"Play in virtual time, with the decision module in place of sidecars."`
}

// demoCmd plays the built-in demo.
type demoCmd struct{ playOptions }

// Run plays the demo and ends with its status.
func (c *demoCmd) Run(ctx context.Context, t *terminal) error {
	if c.Out == "" {
		dir, err := os.MkdirTemp("", "pinelab-demo-")
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		c.Out = dir
	}
	s, err := loadScenario("demo")
	if err != nil {
		return err
	}
	return c.runAndSummarize(ctx, t, s, experiment.Config{})
}

// runCmd plays a scenario with one seed or several.
type runCmd struct {
	Scenario string `arg:"" help:"A scenario's file, or the name of one that comes with the program (see list)."`
	Seeds    int    `default:"1" help:"Play so many seeds, one after another, and end with a table."`
	playOptions
}

// Run plays the scenario and ends with the status of the first seed that did not pass.
func (c *runCmd) Run(ctx context.Context, t *terminal) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 100 {
		return exitError{exitUsage, errors.New("--seeds must be from 1 to 100")}
	}
	if c.Seeds == 1 {
		return c.runAndSummarize(ctx, t, s, experiment.Config{})
	}
	return c.runSeeds(ctx, t, s, c.Seeds)
}

// checkCmd checks a scenario's file.
type checkCmd struct {
	Scenario string `arg:"" help:"A scenario's file or name."`
}

// Run prints a summary of a valid scenario.
func (c *checkCmd) Run(t *terminal) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	endpoints := len(s.EndpointNames())
	fmt.Fprintf(t.out, "%s holds: %v, %d classes, %d boxes in %d tiers, %d sidecars, %d faults, %d expectations\n",
		s.Name, s.Length.D(), len(s.Classes), endpoints, len(s.Tiers), s.Fleet.Sidecars, len(s.Faults), len(s.Expectations))
	return nil
}

// listCmd lists the built-in scenarios.
type listCmd struct{}

// Run prints the name and the purpose of each scenario.
func (c *listCmd) Run(t *terminal) error {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return err
	}
	for _, e := range entries {
		name := e.Name()[:len(e.Name())-len(".toml")]
		s, err := loadScenario(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%-18s %s\n", name, s.About)
	}
	return nil
}

// diffCmd compares two results.
type diffCmd struct {
	First  string `arg:"" type:"path" help:"A result.json, or the folder that holds it."`
	Second string `arg:"" type:"path" help:"The one to compare with it."`
}

// Run prints the differences.
func (c *diffCmd) Run(t *terminal) error {
	var results [2]*result.Result
	for i, path := range []string{c.First, c.Second} {
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			path = filepath.Join(path, "result.json")
		}
		r, err := result.Read(path)
		if err != nil {
			return exitError{exitUsage, err}
		}
		results[i] = r
	}
	return result.Diff(results[0], results[1]).Write(t.out)
}

// loadScenario reads a scenario by file or built-in name. An error is an exitError with exitUsage that names file, line and key.
func loadScenario(name string) (*scenario.Scenario, error) {
	text, from, err := experiment.FindScenario(name, scenarios.Files.ReadFile)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	s, err := scenario.Parse(from, text)
	if err != nil {
		return nil, exitError{exitUsage, err}
	}
	if at := s.Clients.RecordFile; at != "" && !filepath.IsAbs(at) {
		s.Clients.RecordFile = filepath.Join(filepath.Dir(from), at)
	}
	return s, nil
}

// program returns the path of the sidecar's program: the one named, the one beside this program, or the one in PATH.
func (c *playOptions) program() (string, error) {
	if c.Pinelb != "" || c.Virtual {
		return c.Pinelb, nil
	}
	if sibling, err := siblingProgram(); err == nil {
		if info, err := os.Stat(sibling); err == nil && !info.IsDir() {
			return sibling, nil
		}
	}
	path, err := exec.LookPath("pinelb")
	if err != nil {
		return "", exitError{exitUsage, errors.New("no pinelb is beside this program or in PATH; build it with \"go build -buildvcs=false -o bin/ ./cmd/...\" or name it with --pinelb")}
	}
	return filepath.Abs(path)
}

// runOnce plays a scenario once and writes its results to dir, unless that is empty.
func (c *playOptions) runOnce(ctx context.Context, t *terminal, s *scenario.Scenario, base experiment.Config, dir string) (*experiment.Outcome, error) {
	program, err := c.program()
	if err != nil {
		return nil, err
	}
	base.Scenario, base.Virtual, base.Builds = s, c.Virtual, [2]string{program, c.Other}
	if base.Seed == 0 {
		base.Seed = c.Seed
	}
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, fmt.Errorf("--out: %w", err)
		}
		base.LogDir = dir
	}
	if t.progress && !c.Virtual {
		base.Progress = func(at time.Duration) {
			fmt.Fprintf(t.err, "\r\x1b[K%s  %3.0f of %.0f s", s.Name, min(at, s.Length.D()).Seconds(), s.Length.D().Seconds())
		}
	}
	o, err := experiment.Play(ctx, base)
	if base.Progress != nil {
		fmt.Fprint(t.err, "\r\x1b[K")
	}
	if o != nil && dir != "" {
		if err := o.Write(dir); err != nil {
			return o, err
		}
	}
	return o, err
}

// runAndSummarize plays a scenario, prints its summary and returns its status as an error.
func (c *playOptions) runAndSummarize(ctx context.Context, t *terminal, s *scenario.Scenario, base experiment.Config) error {
	o, err := c.runOnce(ctx, t, s, base, c.Out)
	if o != nil {
		look := result.SummaryOptions{Colour: t.colour}
		if c.Out != "" {
			look.ReportPath = filepath.Join(c.Out, "report.html")
		}
		if err := result.WriteSummary(t.out, o.Result, look); err != nil {
			return err
		}
	}
	if errors.Is(err, context.Canceled) {
		return exitError{exitInterrupted, errors.New("stopped")}
	}
	if err != nil {
		return err
	}
	return outcomeError(o)
}

// outcomeError returns the exitError that an outcome stands for, or nil if it passed.
func outcomeError(o *experiment.Outcome) error {
	switch {
	case o.RigRanLate():
		return exitError{exitInvalidRun, errors.New("the rig itself ran late: this run says nothing about the sidecars")}
	case len(o.Result.Violations) > 0:
		return exitError{exitViolation, errors.New("rules were broken")}
	case !o.Result.Passed():
		return exitError{exitViolation, errors.New("an expectation of the scenario did not hold")}
	}
	return nil
}

// runSeeds plays several seeds and prints a line for each. It returns the error of the first seed that did not pass.
func (c *playOptions) runSeeds(ctx context.Context, t *terminal, s *scenario.Scenario, seeds int) error {
	first := c.Seed
	if first == 0 {
		first = s.Seed
	}
	var failure error
	var lines []*result.Result
	for seed := first; seed < first+uint64(seeds); seed++ {
		dir := ""
		if c.Out != "" {
			dir = filepath.Join(c.Out, fmt.Sprintf("seed-%d", seed))
		}
		o, err := c.runOnce(ctx, t, s, experiment.Config{Seed: seed}, dir)
		if errors.Is(err, context.Canceled) {
			return exitError{exitInterrupted, errors.New("stopped")}
		}
		if err != nil {
			return err
		}
		lines = append(lines, o.Result)
		if err := outcomeError(o); err != nil && failure == nil {
			failure = err
		}
	}
	if err := result.WriteTable(t.out, lines); err != nil {
		return err
	}
	return failure
}
