package cli

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"pinelb.example/pinelb/internal/lab/decision"
)

// decideCmd plays placement decisions against a model of the engines, without sockets.
type decideCmd struct {
	Site  string   `arg:"" placeholder:"FILE" help:"A site file of the bench."`
	Days  []string `help:"Days whose traffic is played, without their troubles." default:"quiet-1,scale-1"`
	Seeds int      `help:"Seeds, from 1 on." default:"5"`
	Who   []string `help:"Schedulers: routers, ideal, even." default:"routers,ideal,even" enum:"routers,ideal,even"`
	Plot  string   `help:"File for a plot of the late shares (SVG)." placeholder:"FILE"`
}

// Run plays each day with each scheduler on the same calls, and prints the shares of late calls by cause.
func (c *decideCmd) Run(ctx context.Context, t *terminal) error {
	site, err := decision.ReadSite(c.Site)
	if err != nil {
		return exitError{exitUsage, err}
	}
	for _, class := range site.Excluded() {
		fmt.Fprintf(t.err, "%s: class %s is left out: it is of %s, which has no engines or isn't the first service that has them\n", programName, class.Name, class.Service)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\tscheduler\tclass\tcalls\tlate %\ts.e.\timpossible alone %\tfirst token %\tpause %\tshared k tokens read\t")
	var rows []decision.Row
	for _, day := range c.Days {
		for _, scheduler := range c.Who {
			played, err := decision.Seeds(ctx, decision.Config{Site: site, Day: day, Scheduler: decision.Scheduler(scheduler)}, c.Seeds)
			if err != nil {
				return exitError{exitUsage, err}
			}
			for _, r := range played {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t\n", day, scheduler, r.Class, r.Calls, r.Late, r.LateError,
					r.Impossible, r.LateFirst, r.Stalled, r.MissedTokens/1000)
			}
			rows = append(rows, played...)
		}
	}
	if err := w.Flush(); err != nil {
		return exitError{exitEnvironment, err}
	}
	if c.Plot == "" {
		return nil
	}
	if err := os.WriteFile(c.Plot, decision.Plot(rows), 0o644); err != nil {
		return exitError{exitEnvironment, err}
	}
	return nil
}
