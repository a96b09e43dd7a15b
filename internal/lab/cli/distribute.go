package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"pinelb.example/pinelb/internal/lab/settingsbench"
)

// distributeCmd measures how settings reach a fleet.
type distributeCmd struct {
	Sizes   []int         `help:"Numbers of hollow followers; all cases are played at the last." default:"100,200,400,800,1700"`
	Real    int           `help:"Real sidecars." default:"24"`
	Changes int           `help:"Changes in a case." default:"10"`
	Bytes   int           `help:"Size of the settings." default:"4096"`
	Window  time.Duration `help:"Length of what takes time: rest, a day, a stop, regions apart." default:"20s"`
	Only    []string      `help:"Cases, by their names; all if none is named."`
	Seed    uint64        `help:"Of the followers' random numbers." default:"1"`
	Pinelb  string        `help:"The program; the one beside this if none is named." placeholder:"FILE"`
	Out     string        `help:"Where the JSON lines go; standard output if none is named." placeholder:"FILE"`
}

// Run writes a JSON line for each case.
func (c *distributeCmd) Run(ctx context.Context, t *terminal) (err error) {
	d := settingsbench.Config{Pinelb: c.Pinelb, Sizes: c.Sizes, Real: c.Real, Changes: c.Changes, Bytes: c.Bytes, Window: c.Window, Only: c.Only,
		Out: t.out, Seed: c.Seed}
	if d.Pinelb == "" {
		var err error
		if d.Pinelb, err = siblingProgram(); err != nil {
			return exitError{exitEnvironment, fmt.Errorf("--pinelb: %w", err)}
		}
	}
	if err := d.Check(); err != nil {
		return exitError{exitUsage, fmt.Errorf("--%w", err)}
	}
	if c.Out != "" {
		file, openErr := os.Create(c.Out)
		if openErr != nil {
			return exitError{exitUsage, fmt.Errorf("--out: %w", openErr)}
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		d.Out = file
	}
	err = settingsbench.Run(ctx, d)
	if errors.Is(err, context.Canceled) {
		return exitError{exitInterrupted, err}
	}
	return err
}
