package cli

import (
	"context"
	"errors"
	"time"

	"pinelb.example/pinelb/internal/lab/requests"
)

// requestsProcesses is the number of processes of one play at most, unless a number of routers is given.
const requestsProcesses = 10

// maxCoreRouters is the number of routers with disks of one play at most.
const maxCoreRouters = 5

// requestsCmd plays real routers that serve clients, before endpoints that fail, and judges what all saw.
type requestsCmd struct {
	seedPlays
	Duration time.Duration `help:"Time for which faults begin, for each seed." default:"12s"`
	Edge     int           `help:"Routers without disks; 0: 1 to 5, as the seed draws."`
}

// Run plays the seeds. It ends with exitViolation if any breaks a rule.
func (c *requestsCmd) Run(ctx context.Context, t *terminal) error {
	if c.Edge < 0 {
		return exitError{exitUsage, errors.New("--edge must not be below 0")}
	}
	return c.run(ctx, t, c.Duration, max(requestsProcesses, maxCoreRouters+c.Edge), func(ctx context.Context, p *seedPlay) (playResult, error) {
		result, err := requests.Play(ctx, requests.Options{
			Program: p.program, Seed: p.seed, Duration: c.Duration, Edge: c.Edge, Folder: p.folder, Disks: p.disks,
		})
		if err != nil {
			return playResult{}, err
		}
		return playResult{write: result.Write, save: result.Save, isBroken: len(result.Violations) > 0}, nil
	})
}
