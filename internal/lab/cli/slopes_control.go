package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesControlCmd measures processor time, memory, calls and bytes of sidecars that serve no requests.
type slopesControlCmd struct {
	measureOptions
	Hosts     []int         `help:"On the list." default:"106,212,425,850,1700"`
	Changes   []float64     `help:"Of the list a second." default:"0"`
	Processes []int         `help:"Sidecars beside each other, of which the sum is taken." default:"1"`
	Instances []int         `help:"That a sidecar is told of; 0 is as many as hosts." default:"0"`
	Operator  string        `help:"An operator's file." placeholder:"FILE"`
	Operators bool          `help:"Operators can call the sidecars, as [audit] needs it."`
	Mode      string        `help:"A word for the operator's file, in the results." default:"agent"`
	Settle    time.Duration `help:"Before it is measured." default:"4s"`
	Windows   int           `help:"Of which the median is taken." default:"5"`
	Window    time.Duration `help:"Length of each." default:"4s"`
	Beside    int           `help:"Measurements at a time." default:"6"`
}

// controlPoint is a line of results of slopes control.
type controlPoint struct {
	resultPoint
	Mode      string  `json:"mode"`
	Hosts     int     `json:"hosts"`
	Changes   float64 `json:"changes_per_s"`
	Processes int     `json:"processes"`
	Instances int     `json:"instances"` // 0: as many as hosts
	Seconds   float64 `json:"seconds"`
	Beside    int     `json:"beside"`
	footprint.IdleCosts
}

// check returns an error that names the first flag whose value is out of range.
func (c *slopesControlCmd) check() error {
	var flags flagChecker
	flags.number("repeat", float64(c.Repeat), 1, maxRepeats)
	flags.sizes("hosts", c.Hosts, maxHosts)
	flags.rates("changes", c.Changes, 0)
	flags.sizes("processes", c.Processes, maxProcesses)
	for i, n := range c.Instances {
		flags.number(fmt.Sprintf("instances[%d]", i), float64(n), 0, maxHosts)
	}
	flags.duration("settle", c.Settle, 0)
	flags.number("windows", float64(c.Windows), 1, maxRepeats)
	flags.duration("window", c.Window, minWindow)
	flags.number("beside", float64(c.Beside), 1, maxProcesses)
	if flags.err == nil {
		flags.processes("processes", slices.Max(c.Processes), c.Beside)
	}
	return flags.err
}

// Run measures each combination of sizes, several at a time, and writes a line for each.
func (c *slopesControlCmd) Run(ctx context.Context, t *terminal) error {
	return c.measure(ctx, t, c.check, c.measureSizes)
}

func (c *slopesControlCmd) measureSizes(ctx context.Context, t *terminal, program, dir string) error {
	operator := ""
	if c.Operator != "" {
		text, err := os.ReadFile(c.Operator)
		if err != nil {
			return exitError{exitUsage, fmt.Errorf("--operator: %w", err)}
		}
		operator = string(text)
	}
	points := c.points()
	return measureInBatches(ctx, points, c.Beside, func(i int, p *controlPoint) (err error) {
		sub := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(sub, 0o700); err != nil {
			return err
		}
		p.Load = footprint.LoadAverage()
		p.IdleCosts, err = footprint.IdleMeasurement{Program: program, Dir: sub, Hosts: p.Hosts, ChangeRate: p.Changes, Processes: p.Processes,
			Instances: p.Instances, OperatorConfig: operator, ControlEnabled: c.Operators,
			WarmUp: c.Settle, Windows: c.Windows, Window: c.Window}.Measure(ctx)
		return err
	}, func(p *controlPoint) error { return c.write(t, p) })
}

// points returns the measurements to make, in order: all sizes, repeated as a whole.
func (c *slopesControlCmd) points() []*controlPoint {
	head := c.newPoint("control")
	var points []*controlPoint
	for range c.Repeat {
		for _, hosts := range c.Hosts {
			for _, changes := range c.Changes {
				for _, n := range c.Processes {
					for _, instances := range c.Instances {
						points = append(points, &controlPoint{resultPoint: head, Mode: c.Mode, Hosts: hosts, Changes: changes, Processes: n,
							Instances: instances, Seconds: (time.Duration(c.Windows) * c.Window).Seconds(), Beside: c.Beside})
					}
				}
			}
		}
	}
	return points
}

// measureInBatches measures points, parallel of them at a time, and writes each batch in order. It ends with the first error.
func measureInBatches[P any](ctx context.Context, points []*P, parallel int, measure func(int, *P) error, write func(*P) error) error {
	for from := 0; from < len(points); from += parallel {
		batch := points[from:min(from+parallel, len(points))]
		errs := make([]error, len(batch))
		var all sync.WaitGroup
		for i, p := range batch {
			all.Go(func() { errs[i] = measure(from+i, p) })
		}
		all.Wait()
		for i, p := range batch {
			if errs[i] != nil {
				return errs[i]
			}
			if err := write(p); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}
