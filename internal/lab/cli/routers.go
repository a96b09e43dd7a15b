package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"pinelb.example/pinelb/internal/lab/routers"
)

// routersCmd measures a fleet of routers.
type routersCmd struct {
	Sizes         []int         `help:"Numbers of routers, played one after the other." default:"30,100,380"`
	Core          int           `help:"Of them, with disks." default:"9"`
	Endpoints     float64       `help:"Endpoints a router that send heartbeats." default:"3.7"`
	Tenants       int           `help:"Tenants with keys." default:"690"`
	Models        int           `help:"Services." default:"28"`
	Changes       int           `help:"Changes of the configuration." default:"10"`
	Routes        int           `help:"Routes that each change adds; 0: each changes a service."`
	Rest          time.Duration `help:"Time for which the fleet is measured at rest." default:"5s"`
	ChangeTimeout time.Duration `name:"within" help:"Time that a change may take." default:"30s"`
	Losses        []string      `help:"Losses to play at the end, one after the other: \"zone\", or a number of core routers." placeholder:"LOSS"`
	LossTime      time.Duration `help:"Time for which a change is tried while routers are gone." default:"8s"`
	Out           string        `help:"File to which each play's figures are added as a line of JSON." placeholder:"FILE"`
}

// Run plays each size and prints a line for it.
func (c *routersCmd) Run(ctx context.Context, t *terminal) (err error) {
	var losses []routers.Loss
	for _, text := range c.Losses {
		loss, err := routers.ParseLoss(text)
		if err != nil {
			return exitError{exitUsage, err}
		}
		losses = append(losses, loss)
	}
	out, err := openAppend(c.Out)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { err = errors.Join(err, w.Flush()) }()
	fmt.Fprintln(w, "routers\tendpoints\tCPU ms/s\tbytes/s\tdatagrams/s\tMB\tack ms\tKB a change\tp50 ms\tp99 ms\tlast ms\tfailed\t")
	for _, size := range c.Sizes {
		result, err := routers.Play(ctx, routers.Config{
			Routers: size, Core: min(c.Core, size), Endpoints: int(c.Endpoints * float64(size)), Tenants: c.Tenants, Models: c.Models,
			Changes: c.Changes, Routes: c.Routes, Rest: c.Rest, Timeout: c.ChangeTimeout, Losses: losses, LossTimeout: c.LossTime,
		})
		if err != nil {
			return exitError{exitEnvironment, err}
		}
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%.0f\t%.1f\t%.2f\t%d\t%.1f\t%d\t%d\t%d\t%d\t\n", result.Routers, result.Endpoints, result.RestCPU, result.RestBytes,
			result.RestDatagrams, result.MemoryMB, result.AcknowledgeMs, result.ChangeKB, result.ChangeP50Ms, result.ChangeP99Ms, result.ChangeLastMs, result.Failed)
		for _, l := range result.Losses {
			fmt.Fprintf(w, "loss %s\t%d lost\ttaken %d ms\tin force %d ms\tback %d ms\t\n", l.Loss, l.Lost, l.AckMs, l.AppliedMs, l.RecoveredMs)
		}
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return exitError{exitEnvironment, err}
		}
	}
	return nil
}
