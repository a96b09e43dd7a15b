package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesAuditCmd measures an auditor's rounds.
type slopesAuditCmd struct {
	measureOptions
	Sidecars     []int         `help:"Real processes, all audited." default:"25,50,100"`
	StandIns     []int         `help:"Stand-ins in place of processes, all audited." default:"212,425,850,1700"`
	AuditLogSpan time.Duration `name:"trail" help:"Of a stand-in: attempts of so long are in its trail." default:"1m"`
	Rounds       int           `help:"Beyond the first, of which the median is taken." default:"5"`
}

// auditPoint is a line of results of slopes audit.
type auditPoint struct {
	resultPoint
	Mode         string  `json:"mode"` // processes or stand-ins
	Sidecars     int     `json:"sidecars"`
	AuditLogSpan float64 `json:"trail_s"`
	footprint.AuditCosts
}

// check returns an error that names the first flag whose value is out of range.
func (c *slopesAuditCmd) check() error {
	var flags flagChecker
	flags.number("repeat", float64(c.Repeat), 1, maxRepeats)
	flags.sizes("sidecars", c.Sidecars, maxProcesses)
	for i, n := range c.Sidecars {
		flags.processes(fmt.Sprintf("sidecars[%d]", i), n, 1)
	}
	flags.sizes("stand-ins", c.StandIns, maxHosts)
	flags.listeners("stand-ins", c.StandIns)
	flags.duration("trail", c.AuditLogSpan, 0)
	flags.number("rounds", float64(c.Rounds), 1, maxRepeats)
	return flags.err
}

// Run measures each size, with processes and then with stand-ins, and writes a line for each.
func (c *slopesAuditCmd) Run(ctx context.Context, t *terminal) error {
	return c.measure(ctx, t, c.check, c.measureSizes)
}

func (c *slopesAuditCmd) measureSizes(ctx context.Context, t *terminal, program, dir string) error {
	for n := range c.Repeat {
		for _, size := range c.Sidecars {
			if err := c.measureSize(ctx, t, footprint.AuditMeasurement{Program: program, Dir: filepath.Join(dir, fmt.Sprint("processes", size, n)), Sidecars: size, Rounds: c.Rounds}); err != nil {
				return err
			}
		}
		for _, size := range c.StandIns {
			if err := c.measureSize(ctx, t, footprint.AuditMeasurement{Program: program, Dir: filepath.Join(dir, fmt.Sprint("stand-ins", size, n)), Sidecars: size, Rounds: c.Rounds,
				Stubs: true, AuditLogSpan: c.AuditLogSpan}); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureSize measures one size and writes its line.
func (c *slopesAuditCmd) measureSize(ctx context.Context, t *terminal, a footprint.AuditMeasurement) error {
	if err := os.Mkdir(a.Dir, 0o700); err != nil {
		return err
	}
	p := auditPoint{resultPoint: c.newPoint("audit"), Mode: "processes", Sidecars: a.Sidecars, AuditLogSpan: a.AuditLogSpan.Seconds()}
	if a.Stubs {
		p.Mode = "stand-ins"
	}
	var err error
	if p.AuditCosts, err = a.Measure(ctx); err != nil {
		return err
	}
	return c.write(t, p)
}
