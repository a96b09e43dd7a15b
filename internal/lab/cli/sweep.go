package cli

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"pinelb.example/pinelb/internal/lab/experiment"
	"pinelb.example/pinelb/internal/lab/result"
	"pinelb.example/pinelb/scenarios"
)

// sweepCmd plays all combinations of some keys' values, each with the same seeds, and prints a table of the
// seeds' medians. In virtual time plays run side by side; on sockets one follows the other.
type sweepCmd struct {
	Scenario string             `arg:"" help:"A scenario's file or name."`
	Vary     []experiment.Sweep `sep:"none" placeholder:"KEY=V,V" help:"A key and its values, such as fleet.sidecars=1,10,50; again for further keys."`
	Seeds    int                `default:"5" help:"How many seeds for each combination."`
	playOptions
}

// Run plays all combinations and prints the table. Errors of several plays are joined.
func (c *sweepCmd) Run(ctx context.Context, t *terminal) error {
	text, from, err := experiment.FindScenario(c.Scenario, scenarios.Files.ReadFile)
	if err != nil {
		return exitError{exitUsage, err}
	}
	variants, err := experiment.Variants(from, text, c.Vary)
	if err != nil {
		return exitError{exitUsage, err}
	}
	if c.Seeds < 1 || c.Seeds > 100 {
		return exitError{exitUsage, errors.New("--seeds must be from 1 to 100")}
	}
	parallel := 1
	if c.Virtual {
		parallel = runtime.GOMAXPROCS(0)
	}
	quiet := *t
	quiet.progress = false
	results := make([][]*result.Result, len(variants))
	slots := make(chan struct{}, parallel)
	var all sync.WaitGroup
	var mu sync.Mutex
	var failures error
	for i, v := range variants {
		results[i] = make([]*result.Result, c.Seeds)
		for k := range c.Seeds {
			seed := c.Seed
			if seed == 0 {
				seed = v.Scenario.Seed
			}
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				o, err := c.runOnce(ctx, &quiet, v.Scenario, experiment.Config{Seed: seed + uint64(k)}, "")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failures = errors.Join(failures, err)
				case o.RigRanLate():
					failures = errors.Join(failures, exitError{exitInvalidRun, fmt.Errorf("%s, seed %d: the rig ran late", strings.Join(v.Values, " "), seed+uint64(k))})
				default:
					results[i][k] = o.Result
				}
			})
		}
	}
	all.Wait()
	if errors.Is(failures, context.Canceled) {
		return exitError{exitInterrupted, errors.New("stopped")}
	}
	if failures != nil {
		return failures
	}
	return c.printTable(t, variants, results)
}

// printTable prints a line for each combination.
func (c *sweepCmd) printTable(t *terminal, variants []experiment.Variant, results [][]*result.Result) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, v := range c.Vary {
		fmt.Fprintf(w, "%s\t", v.Key)
	}
	fmt.Fprintln(w, result.MedianHeader)
	for i, v := range variants {
		for _, word := range v.Values {
			fmt.Fprintf(w, "%s\t", word)
		}
		fmt.Fprintln(w, result.MedianRow(results[i]))
	}
	return w.Flush()
}
