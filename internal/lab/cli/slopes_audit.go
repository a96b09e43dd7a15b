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
	Sidecars []int         `help:"Real processes, all audited." default:"25,50,100"`
	StandIns []int         `help:"Stand-ins in place of processes, all audited." default:"212,425,850,1700"`
	Trail    time.Duration `help:"Of a stand-in: attempts of so long are in its trail." default:"1m"`
	Rounds   int           `help:"Beyond the first, of which the median is taken." default:"5"`
}

type auditPoint struct {
	resultPoint
	Mode     string  `json:"mode"` // processes or stand-ins
	Sidecars int     `json:"sidecars"`
	Trail    float64 `json:"trail_s"`
	footprint.Audited
}

// check names the first key whose number can't be.
func (c *slopesAuditCmd) check() error {
	var b flagChecker
	b.number("repeat", float64(c.Repeat), 1, maxRepeats)
	b.sizes("sidecars", c.Sidecars, maxProcesses)
	for i, n := range c.Sidecars {
		b.processes(fmt.Sprintf("sidecars[%d]", i), n, 1)
	}
	b.sizes("stand-ins", c.StandIns, maxHosts)
	b.listeners("stand-ins", c.StandIns)
	b.duration("trail", c.Trail, 0)
	b.number("rounds", float64(c.Rounds), 1, maxRepeats)
	return b.err
}

func (c *slopesAuditCmd) Run(ctx context.Context, t *terminal) error {
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
		for _, size := range c.Sidecars {
			if err := c.measureSize(ctx, t, footprint.Audit{Program: program, Dir: filepath.Join(dir, fmt.Sprint("processes", size, n)), Sidecars: size, Rounds: c.Rounds}); err != nil {
				return err
			}
		}
		for _, size := range c.StandIns {
			if err := c.measureSize(ctx, t, footprint.Audit{Program: program, Dir: filepath.Join(dir, fmt.Sprint("stand-ins", size, n)), Sidecars: size, Rounds: c.Rounds,
				StandIns: true, Trail: c.Trail}); err != nil {
				return err
			}
		}
	}
	return nil
}

// one measures and tells one size.
func (c *slopesAuditCmd) measureSize(ctx context.Context, t *terminal, a footprint.Audit) error {
	if err := os.Mkdir(a.Dir, 0o700); err != nil {
		return err
	}
	p := auditPoint{resultPoint: c.newPoint("audit"), Mode: "processes", Sidecars: a.Sidecars, Trail: a.Trail.Seconds()}
	if a.StandIns {
		p.Mode = "stand-ins"
	}
	var err error
	if p.Audited, err = a.Measure(ctx); err != nil {
		return err
	}
	return c.write(t, p)
}
