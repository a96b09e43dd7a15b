package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strings"
	"text/tabwriter"
	"time"

	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/stubfleet"
)

// scaleCmd measures what stub sidecars cost a list service, and how soon a change is in force at the last one.
type scaleCmd struct {
	Scenario           []string      `help:"What to play: rest, ordinary, hundredfold, stopped, restarting, cold, down-refused, down-503." default:"rest,ordinary,hundredfold"`
	Sidecars           []int         `help:"Numbers of hollow sidecars." default:"100,200,400"`
	Hosts              []int         `help:"Numbers of hosts that are listed." default:"12"`
	Changes            *float64      `help:"Changes of the list a second, in place of the scenario's."`
	Real               int           `help:"Processes of the daemon beside the hollow sidecars."`
	Racks              int           `help:"Processes that the hollow sidecars share." default:"4"`
	Seconds            int           `help:"Measured time of each play." default:"30"`
	StartSpread        time.Duration `name:"spread" help:"Time over which the sidecars of a rack start." default:"0s"`
	FinalTimeout       time.Duration `name:"within" help:"Time for which the last change may be waited for after the measured time." default:"30s"`
	Down               time.Duration `help:"Time for which the service is away at first, in down-refused and down-503." default:"3s"`
	ServiceCalls       int           `help:"Calls that the service does at a time; 0: it has no bound." default:"0"`
	ServiceCall        time.Duration `help:"Time that each takes." default:"20ms"`
	ServiceQueueLength int           `name:"service-line" help:"Calls that may wait; others get 503." default:"40"`
	Config             string        `type:"path" help:"Operator's file of all sidecars, with [discovery]; without it the service is asked as an agent is."`
	Pinelb             string        `type:"path" help:"The daemon's program, for --real; beside this one, or found by PATH, if left out."`
	Out                string        `type:"path" help:"File to which each play's figures are added as a line of JSON."`
	Seed               uint64        `help:"Seed of the sidecars' calls." default:"1"`
}

// Run plays each scenario with each number of hosts and of sidecars, in that order, and prints a line for each. All cases are checked
// before the first is played.
func (c *scaleCmd) Run(ctx context.Context, t *terminal) (err error) {
	cases, err := c.cases()
	if err != nil {
		return exitError{exitUsage, err}
	}
	out, err := openAppend(c.Out)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, scaleHeader)
	defer func() { err = errors.Join(err, w.Flush()) }()
	for _, one := range cases {
		f, err := stubfleet.Play(ctx, one)
		if errors.Is(err, context.Canceled) {
			return exitError{exitInterrupted, errors.New("stopped")}
		}
		if err != nil {
			return err
		}
		fmt.Fprintln(w, formatFigures(f))
		if f.Real > 0 {
			fmt.Fprintln(w, formatRealFigures(f))
		}
		if err := json.NewEncoder(out).Encode(f); err != nil {
			return fmt.Errorf("--out: %w", err)
		}
	}
	return nil
}

// cases returns all cases to play, each checked. An error names the flag.
func (c *scaleCmd) cases() ([]stubfleet.Case, error) {
	for key, given := range map[string]int{"scenario": len(c.Scenario), "hosts": len(c.Hosts), "sidecars": len(c.Sidecars)} {
		if given == 0 {
			return nil, fmt.Errorf("--%s: must have a value", key)
		}
	}
	m, err := stubfleet.ThisMachine()
	if err != nil {
		return nil, err
	}
	base, section, err := c.baseCase()
	if err != nil {
		return nil, err
	}
	var out []stubfleet.Case
	for _, name := range c.Scenario {
		for _, hosts := range c.Hosts {
			for _, sidecars := range c.Sidecars {
				one := base
				one.Scenario, one.Hosts, one.Sidecars = name, hosts, sidecars
				if one.Changes = stubfleet.DefaultChanges(name); c.Changes != nil {
					one.Changes = *c.Changes
				}
				if section != nil {
					one.Paced = &cluster.Pacing{Fleet: section.Pacing(sidecars + c.Real), ResyncInterval: section.FullListInterval.D()}
				}
				if err := one.Check(m); err != nil {
					var key *stubfleet.KeyError
					if errors.As(err, &key) {
						return nil, fmt.Errorf("--%s: %s", key.Key, key.Reason)
					}
					return nil, err
				}
				out = append(out, one)
			}
		}
	}
	return out, nil
}

// baseCase returns what all cases share, and the section [discovery] that paces the polls, or nil if there is none.
func (c *scaleCmd) baseCase() (stubfleet.Case, *config.Discovery, error) {
	one := stubfleet.Case{Real: c.Real, Racks: c.Racks, Seconds: c.Seconds, StartSpread: c.StartSpread, FinalTimeout: c.FinalTimeout, Outage: c.Down, ConcurrentCalls: c.ServiceCalls,
		CallTime: c.ServiceCall, QueueLength: c.ServiceQueueLength, Seed: c.Seed, Operator: c.Config}
	self, err := os.Executable()
	if err != nil {
		return one, nil, err
	}
	one.Rack = func() *exec.Cmd { return exec.Command(self, "rack") }
	if c.Real > 0 {
		if one.Program, err = (&playOptions{Pinelb: c.Pinelb}).program(); err != nil {
			return one, nil, fmt.Errorf("--real: %w", err)
		}
	}
	if c.Config == "" {
		return one, nil, nil
	}
	op, err := config.LoadOperator(c.Config)
	if err != nil {
		return one, nil, fmt.Errorf("--config: %w", err)
	}
	if op.Discovery == nil {
		return one, nil, fmt.Errorf("--config: %s has no section [discovery]", c.Config)
	}
	return one, op.Discovery, nil
}

// scaleHeader names the columns of formatFigures.
const scaleHeader = "scenario\tpaced\tsidecars\treal\thosts\tchanges/s\tcalls/s\tturned\tconns\tB/s each\tB/s worst 6 s\tin force p50\tp99\tlast ms\tnever\tfirst p50\tp99\tlast ms\tnever\t" +
	"service cores\tCPU ms/s each\tKB each\twrong\tload\t"

// formatFigures formats a row of the table.
func formatFigures(f stubfleet.Figures) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\t%g\t%d\t%d\t%d\t%.3g\t%.1f\t%d\t%d\t%.0f\t%.0f\t", f.Scenario, f.Rate, f.Sidecars, f.Real, f.Hosts, f.RequestedChanges, f.CallsPerS, f.Rejected,
		f.Connections, f.BytesEach, f.MaxBytesPerS)
	fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t", formatMs(f.InForceP50), formatMs(f.InForceP99), formatMs(f.InForceLast), f.NeverInForce)
	fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t", formatMs(f.FirstP50), formatMs(f.FirstP99), formatMs(f.FirstLast), f.FirstNever)
	fmt.Fprintf(&b, "%.2f\t%.2f\t%.0f\t%d\t%.1f\t", f.ServiceCores, f.StubCPU, f.StubMemory, f.WrongDigests, math.Max(f.Load, f.LoadAfter))
	return b.String()
}

// formatRealFigures formats the row of the real sidecars of the same play, in the same columns.
func formatRealFigures(f stubfleet.Figures) string {
	return fmt.Sprintf("(real)\t%g\t-\t%d\t%d\t%.3g\t%.1f\t-\t%d\t%.0f\t-\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t\t\t\t\t\t", f.Rate, f.Real, f.Hosts, f.RequestedChanges,
		f.RealCallsEach*float64(f.Real), f.RealConnections, f.RealBytesEach, formatMs(f.RealInForceP50), formatMs(f.RealInForceP99), formatMs(f.RealInForceLast), f.RealNeverInForce,
		formatMs(f.RealFirstP50), formatMs(f.RealFirstP99), formatMs(f.RealFirstLast), f.RealFirstNever)
}

// formatMs formats milliseconds; 0 stands for not measured.
func formatMs(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

// rackCmd is a process of stub sidecars, as scale starts it.
type rackCmd struct{}

// Run serves the coordinator at the other end of the standard input and output.
func (c *rackCmd) Run() error { return stubfleet.ServeRack(os.Stdin, os.Stdout) }
