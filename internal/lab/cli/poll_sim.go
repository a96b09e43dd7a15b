package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/pollsim"
)

// pollSimCmd simulates in virtual time how a fleet polls one list service. A name tag keeps the name of an older flag.
type pollSimCmd struct {
	Sizes             []int         `help:"Numbers of instances." default:"300,1000,5000"`
	Policy            []string      `help:"Rules to compare; all if none is named."`
	ConfiguredRatio   float64       `name:"told" help:"Instances as each is told, over the true number." default:"1"`
	StartSpread       time.Duration `name:"spread" help:"Time over which they start." default:"1s"`
	Rate              float64       `help:"Calls a second that each is told." default:"150"`
	Burst             int           `help:"Calls at once that each is told." default:"20"`
	Calls             int           `help:"Calls that the service does at a time." default:"4"`
	Call              time.Duration `help:"Time that each takes." default:"20ms"`
	QueueLength       int           `name:"line" help:"Calls that may wait." default:"40"`
	Beyond            string        `help:"What becomes of others: 503, silence or slower." enum:"503,silence,slower" default:"503"`
	Down              time.Duration `help:"Time for which the service is not there at the start." default:"3s"`
	Up                time.Duration `help:"Thereafter it is there for so long;"`
	Off               time.Duration `help:"and then not for so long, again and again; 0 is never."`
	Late              time.Duration `help:"Time by which each answer is late."`
	ChangeInterval    time.Duration `name:"news" help:"All watches have news so often; 0 is never."`
	PartitionedShare  float64       `name:"cut" help:"Part of the instances that is cut off from the service for a while, 0 to 1;"`
	PartitionStart    time.Duration `name:"cut-at" help:"from then on;" default:"30s"`
	PartitionDuration time.Duration `name:"cut-for" help:"and for so long." default:"1h"`
	Length            time.Duration `help:"Length of a play." default:"60s"`
	Seeds             int           `help:"Plays of each; the worst of each figure is printed." default:"5"`
}

// Run prints a table: a line for each rule and size, the worst of the seeds in each figure.
func (c *pollSimCmd) Run(t *terminal) error {
	if err := c.check(); err != nil {
		return exitError{exitUsage, err}
	}
	names := c.Policy
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(pollsim.Policies))
	}
	fmt.Fprintf(t.out, "%-8s  %5s  %s\n", "rule", "n", pollsim.Heading)
	for _, name := range names {
		policy, known := pollsim.Policies[name]
		if !known {
			return exitError{exitUsage, fmt.Errorf("--policy: %q is none of %s", name, strings.Join(slices.Sorted(maps.Keys(pollsim.Policies)), ", "))}
		}
		for _, n := range c.Sizes {
			var worst pollsim.Figures
			for seed := range c.Seeds {
				worst = worst.Worse(pollsim.Play(c.simulation(n, uint64(seed+1)), policy))
			}
			fmt.Fprintf(t.out, "%-8s  %5d  %s\n", name, n, worst)
		}
	}
	return nil
}

// simulation returns the case of n instances with a seed.
func (c *pollSimCmd) simulation(n int, seed uint64) pollsim.Case {
	return pollsim.Case{
		Instances:           n,
		ConfiguredInstances: int(c.ConfiguredRatio * float64(n)),
		StartSpread:         c.StartSpread,
		Rate:                c.Rate,
		Burst:               c.Burst,
		ConcurrentCalls:     c.Calls,
		CallTime:            c.Call,
		QueueLength:         c.QueueLength,
		Overload:            model.OverflowPolicy(c.Beyond),
		InitialOutage:       c.Down,
		UpTime:              c.Up,
		DownTime:            c.Off,
		ExtraLatency:        c.Late,
		UpdateInterval:      c.ChangeInterval,
		Partitioned:         int(c.PartitionedShare * float64(n)),
		PartitionAt:         c.PartitionStart,
		PartitionTime:       c.PartitionDuration,
		Length:              c.Length,
		Seed:                seed,
	}
}

// Limits of a simulation, for the sake of memory and run time.
const (
	maxSimulatedCount = 1_000_000
	maxSimulatedTime  = 24 * time.Hour
)

// check returns an error that names the first flag whose value is out of range.
func (c *pollSimCmd) check() error {
	type bound struct {
		key                 string
		value, lower, upper float64
	}
	bounds := []bound{{"told", c.ConfiguredRatio, 1e-3, 1e3}, {"rate", c.Rate, 1e-3, maxSimulatedCount}, {"burst", float64(c.Burst), 0, maxSimulatedCount},
		{"calls", float64(c.Calls), 1, maxSimulatedCount}, {"line", float64(c.QueueLength), 0, maxSimulatedCount}, {"cut", c.PartitionedShare, 0, 1}, {"seeds", float64(c.Seeds), 1, 100}}
	for _, n := range c.Sizes {
		bounds = append(bounds, bound{"sizes", float64(n), 1, maxSimulatedCount})
	}
	for _, b := range bounds {
		if !(b.value >= b.lower && b.value <= b.upper) { // NaN fails both
			return fmt.Errorf("--%s: must be from %g to %g, not %g", b.key, b.lower, b.upper, b.value)
		}
	}
	for key, d := range map[string]time.Duration{"spread": c.StartSpread, "down": c.Down, "up": c.Up, "off": c.Off, "late": c.Late, "news": c.ChangeInterval,
		"cut-at": c.PartitionStart, "cut-for": c.PartitionDuration} {
		if d < 0 || d > maxSimulatedTime {
			return fmt.Errorf("--%s: must be from 0s to %s, not %s", key, maxSimulatedTime, d)
		}
	}
	for key, d := range map[string]time.Duration{"call": c.Call, "length": c.Length} {
		if d <= 0 || d > maxSimulatedTime {
			return fmt.Errorf("--%s: must be more than 0s, and %s at most, not %s", key, maxSimulatedTime, d)
		}
	}
	if c.Off > 0 && c.Up == 0 {
		return fmt.Errorf("--up: must be more than 0s where --off is")
	}
	return nil
}
