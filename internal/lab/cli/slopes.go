package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesCmd measures what control costs at sizes that double.
type slopesCmd struct {
	Control  slopesControlCmd  `cmd:"" help:"Sidecars at rest: processor time, memory, calls and bytes, by hosts and changes."`
	Settings slopesSettingsCmd `cmd:"" help:"A change of settings by file and SIGHUP."`
	Audit    slopesAuditCmd    `cmd:"" help:"An auditor that asks so many sidecars, in processes and stand-ins."`
	Requests slopesRequestsCmd `cmd:"" help:"What requests cost a sidecar, and what it adds to them."`
	Module   slopesModuleCmd   `cmd:"" help:"The decision module's benchmarks: a request, a change, a whole list."`
	Page     slopesPageCmd     `cmd:"" help:"Fit the results and write the page's tables."`
}

// measuring is what all measurements share.
type measureOptions struct {
	Pinelb string `help:"The sidecar's program." default:"" placeholder:"FILE"`
	Out    string `help:"File to which lines of JSON are appended; none is standard output." placeholder:"FILE"`
	Trial  bool   `help:"Mark the lines as a trial's."`
	Repeat int    `help:"Measurements of each size." default:"3"`
}

// point is one line of results.
type resultPoint struct {
	What    string  `json:"what"`
	Trial   bool    `json:"trial,omitempty"`
	Command string  `json:"command"`
	Load    float64 `json:"load_1min"` // of the machine as it began
}

// program is the sidecar's, beside this one where none is named. That lines can be written is seen before anything is measured.
func (m *measureOptions) prepare() (string, error) {
	if m.Out != "" {
		f, err := os.OpenFile(m.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return "", exitError{exitUsage, fmt.Errorf("--out: %w", err)}
		}
		f.Close()
	}
	path := m.Pinelb
	if path == "" {
		own, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(own), "pinelb")
	}
	if _, err := os.Stat(path); err != nil {
		return "", exitError{exitEnvironment, fmt.Errorf("--pinelb: %w", err)}
	}
	return path, nil
}

// begin is the head of a measurement's lines.
func (m *measureOptions) newPoint(what string) resultPoint {
	return resultPoint{What: what, Trial: m.Trial, Command: programName + " " + strings.Join(os.Args[1:], " "), Load: footprint.Load()}
}

// write appends a line to the results.
func (m *measureOptions) write(t *terminal, line any) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	if m.Out == "" {
		_, err = fmt.Fprintln(t.out, string(text))
		return err
	}
	f, err := os.OpenFile(m.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return exitError{exitUsage, fmt.Errorf("--out: %w", err)}
	}
	defer f.Close()
	_, err = fmt.Fprintln(f, string(text))
	return err
}

// slopesControlCmd measures sidecars at rest.
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

type controlPoint struct {
	resultPoint
	Mode      string  `json:"mode"`
	Hosts     int     `json:"hosts"`
	Changes   float64 `json:"changes_per_s"`
	Processes int     `json:"processes"`
	Instances int     `json:"instances"` // 0: as many as hosts
	Seconds   float64 `json:"seconds"`
	Beside    int     `json:"beside"`
	footprint.Taken
}

// check names the first key whose number can't be.
func (c *slopesControlCmd) check() error {
	var b flagChecker
	b.number("repeat", float64(c.Repeat), 1, maxRepeats)
	b.sizes("hosts", c.Hosts, maxHosts)
	b.rates("changes", c.Changes, 0)
	b.sizes("processes", c.Processes, maxProcesses)
	for i, n := range c.Instances {
		b.number(fmt.Sprintf("instances[%d]", i), float64(n), 0, maxHosts)
	}
	b.duration("settle", c.Settle, 0)
	b.number("windows", float64(c.Windows), 1, maxRepeats)
	b.duration("window", c.Window, minWindow)
	b.number("beside", float64(c.Beside), 1, maxProcesses)
	if b.err == nil {
		b.processes("processes", slices.Max(c.Processes), c.Beside)
	}
	return b.err
}

func (c *slopesControlCmd) Run(ctx context.Context, t *terminal) error {
	if err := c.check(); err != nil {
		return err
	}
	program, err := c.prepare()
	if err != nil {
		return err
	}
	operator := ""
	if c.Operator != "" {
		text, err := os.ReadFile(c.Operator)
		if err != nil {
			return exitError{exitUsage, fmt.Errorf("--operator: %w", err)}
		}
		operator = string(text)
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	head := c.newPoint("control")
	var points []*controlPoint
	for range c.Repeat {
		for _, hosts := range c.Hosts {
			for _, changes := range c.Changes {
				for _, n := range c.Processes {
					for _, told := range c.Instances {
						points = append(points, &controlPoint{resultPoint: head, Mode: c.Mode, Hosts: hosts, Changes: changes, Processes: n,
							Instances: told, Seconds: (time.Duration(c.Windows) * c.Window).Seconds(), Beside: c.Beside})
					}
				}
			}
		}
	}
	return measureInBatches(ctx, points, c.Beside, func(i int, p *controlPoint) (err error) {
		own := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(own, 0o700); err != nil {
			return err
		}
		p.Load = footprint.Load()
		p.Taken, err = footprint.Control{Program: program, Dir: own, Hosts: p.Hosts, Changes: p.Changes, Processes: p.Processes, Instances: p.Instances, Operator: operator, Operators: c.Operators,
			Settle: c.Settle, Windows: c.Windows, Window: c.Window}.Measure(ctx)
		return err
	}, func(p *controlPoint) error { return c.write(t, p) })
}

// measureInBatches measures points, so many at a time, and tells each batch's in order; the first fault ends it.
func measureInBatches[P any](ctx context.Context, points []*P, beside int, measure func(int, *P) error, tell func(*P) error) error {
	for from := 0; from < len(points); from += beside {
		batch := points[from:min(from+beside, len(points))]
		faults := make([]error, len(batch))
		var all sync.WaitGroup
		for i, p := range batch {
			all.Go(func() { faults[i] = measure(from+i, p) })
		}
		all.Wait()
		for i, p := range batch {
			if faults[i] != nil {
				return faults[i]
			}
			if err := tell(p); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// slopesSettingsCmd measures changes of settings by hand.
type slopesSettingsCmd struct {
	measureOptions
	Known   []int `help:"Hosts that the configuration names." default:"12,106,212,425,850,1700"`
	Classes []int `help:"Of the settings." default:"3"`
	Changes int   `help:"One after the other." default:"60"`
}

type settingsPoint struct {
	resultPoint
	Known   int `json:"known"`
	Classes int `json:"classes"`
	Changes int `json:"changes"`
	footprint.Retuned
}

// check names the first key whose number can't be.
func (c *slopesSettingsCmd) check() error {
	var b flagChecker
	b.number("repeat", float64(c.Repeat), 1, maxRepeats)
	b.sizes("known", c.Known, maxHosts)
	b.sizes("classes", c.Classes, maxClasses)
	b.number("changes", float64(c.Changes), 1, maxChanges)
	return b.err
}

func (c *slopesSettingsCmd) Run(ctx context.Context, t *terminal) error {
	if err := c.check(); err != nil {
		return err
	}
	program, err := c.prepare()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for n := range c.Repeat {
		for _, known := range c.Known {
			for _, classes := range c.Classes {
				own := filepath.Join(dir, fmt.Sprint(n))
				if err := os.MkdirAll(own, 0o700); err != nil {
					return err
				}
				p := settingsPoint{resultPoint: c.newPoint("settings"), Known: known, Classes: classes, Changes: c.Changes}
				if p.Retuned, err = (footprint.Retune{Program: program, Dir: own, Known: known, Classes: classes, Changes: c.Changes}).Measure(ctx); err != nil {
					return err
				}
				if err := c.write(t, p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
