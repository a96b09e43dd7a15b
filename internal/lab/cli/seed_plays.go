package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	maxSeeds    = 10_000
	minPlayTime = 2 * time.Second
)

// seedPlays are the flags of a command that plays real routers, seed after seed, and how the plays went.
type seedPlays struct {
	Seed     uint64 `help:"First seed." default:"1"`
	Seeds    int    `help:"Number of seeds, from the first one on." default:"1"`
	Parallel int    `help:"Plays at the same time." default:"1"`
	Pinelb   string `type:"path" help:"The router's program; beside this one, or found by PATH, if left out."`
	Out      string `type:"path" help:"Folder for the results, histories and logs of seeds that break a rule; a new one below the system's folder for temporary files, if left out." placeholder:"FOLDER"`
	Disks    string `type:"path" help:"Folder for the routers' disks, for example one in memory; below --out if left out." placeholder:"FOLDER"`
	Keep     bool   `help:"Keep them for every seed."`

	mu     sync.Mutex
	broken []uint64
	void   []uint64 // the machine was too busy
	failed []error
}

// seedPlay is one play.
type seedPlay struct {
	program string
	seed    uint64
	folder  string
	disks   string // empty: below folder
}

// playResult is what a play showed.
type playResult struct {
	write    func(io.Writer)
	save     func(folder string) error
	isBroken bool // a rule was broken
	isVoid   bool // the machine was too busy for a part of it
}

// run plays the seeds, each with so many processes at most. It ends with exitViolation if any breaks a rule.
func (c *seedPlays) run(
	ctx context.Context, t *terminal, duration time.Duration, processes int, play func(context.Context, *seedPlay) (playResult, error),
) error {
	program, err := c.prepare(duration, processes)
	if err != nil {
		return err
	}
	seeds := make(chan uint64)
	var plays sync.WaitGroup
	for range c.Parallel {
		plays.Go(func() {
			for seed := range seeds {
				c.playOne(ctx, t, program, seed, play)
			}
		})
	}
	for i := range uint64(c.Seeds) {
		if ctx.Err() == nil {
			seeds <- c.Seed + i
		}
	}
	close(seeds)
	plays.Wait()
	return c.conclude(ctx, t)
}

// prepare checks the flags and finds the program and the folder.
func (c *seedPlays) prepare(duration time.Duration, processes int) (program string, err error) {
	var b flagChecker
	b.number("seeds", float64(c.Seeds), 1, maxSeeds)
	b.number("parallel", float64(c.Parallel), 1, maxProcesses)
	b.duration("duration", duration, minPlayTime)
	b.processes("parallel", processes, c.Parallel)
	if b.err != nil {
		return "", b.err
	}
	if program, err = (&playOptions{Pinelb: c.Pinelb}).program(); err != nil {
		return "", err
	}
	if c.Out == "" {
		c.Out, err = os.MkdirTemp("", "pinelb-plays-")
	}
	return program, err
}

// playOne plays one seed and prints what it showed.
func (c *seedPlays) playOne(
	ctx context.Context, t *terminal, program string, seed uint64, play func(context.Context, *seedPlay) (playResult, error),
) {
	p := &seedPlay{program: program, seed: seed, folder: filepath.Join(c.Out, fmt.Sprint("seed-", seed))}
	if c.Disks != "" {
		p.disks = filepath.Join(c.Disks, fmt.Sprintf("pinelb-play-%d-%d", os.Getpid(), seed))
		defer func() { _ = os.RemoveAll(p.disks) }() // of no use without the processes
	}
	result, err := play(ctx, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed = append(c.failed, fmt.Errorf("seed %d: %w", seed, err))
		return
	}
	var text bytes.Buffer
	result.write(&text)
	_, _ = t.out.Write(text.Bytes())
	if result.isBroken {
		c.broken = append(c.broken, seed)
	}
	if result.isVoid {
		c.void = append(c.void, seed)
	}
	if result.isBroken || result.isVoid || c.Keep {
		err = result.save(p.folder)
	} else {
		err = os.RemoveAll(p.folder)
	}
	if err != nil {
		c.failed = append(c.failed, err)
	}
}

func (c *seedPlays) conclude(ctx context.Context, t *terminal) error {
	_ = os.Remove(c.Out) // where it is empty
	switch {
	case ctx.Err() != nil:
		return exitError{exitInterrupted, errors.New("stopped")}
	case len(c.broken) > 0:
		return exitError{exitViolation, fmt.Errorf("rules are broken by the seeds %v; %s has their histories and logs", c.broken, c.Out)}
	case len(c.failed) > 0:
		return exitError{exitEnvironment, errors.Join(c.failed...)}
	case len(c.void) > 0:
		return exitError{exitInvalidRun, fmt.Errorf("the machine was too busy for the seeds %v; %s has their histories and logs", c.void, c.Out)}
	}
	fmt.Fprintf(t.out, "%d seeds keep every rule\n", c.Seeds)
	return nil
}
