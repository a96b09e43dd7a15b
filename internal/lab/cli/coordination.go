package cli

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination"
)

// coordinationProcesses is the number of processes of one play at most.
const coordinationProcesses = 11

// coordinationCmd plays real routers that serve locks, counters, cells and watches, and judges what callers saw.
type coordinationCmd struct {
	seedPlays
	Duration time.Duration `help:"Time for which faults begin, for each seed." default:"12s"`
}

// Run plays the seeds. It ends with exitViolation if any breaks a rule.
func (c *coordinationCmd) Run(ctx context.Context, t *terminal) error {
	return c.run(ctx, t, c.Duration, coordinationProcesses, func(ctx context.Context, p *seedPlay) (playResult, error) {
		result, err := coordination.Play(ctx, coordination.Options{
			Program: p.program, Seed: p.seed, Duration: c.Duration, Folder: p.folder, Disks: p.disks,
		})
		if err != nil {
			return playResult{}, err
		}
		return playResult{
			write: result.Write, save: result.Save, isBroken: len(result.Violations) > 0, isVoid: len(result.TooBusy) > 0,
		}, nil
	})
}
