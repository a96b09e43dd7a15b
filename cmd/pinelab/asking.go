package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/asking"
	"pinelb.example/pinelb/internal/lab/model"
)

// askingCmd plays how a fleet asks one list service, in virtual time.
type askingCmd struct {
	Sizes  []int         `help:"Numbers of instances." default:"300,1000,5000"`
	Policy []string      `help:"Rules to compare; all if none is named."`
	Told   float64       `help:"Instances as each is told, over the true number." default:"1"`
	Spread time.Duration `help:"Time over which they start." default:"1s"`
	Rate   float64       `help:"Calls a second that each is told." default:"150"`
	Burst  int           `help:"Calls at once that each is told." default:"20"`
	Calls  int           `help:"Calls that the service does at a time." default:"4"`
	Call   time.Duration `help:"Time that each takes." default:"20ms"`
	Line   int           `help:"Calls that may wait." default:"40"`
	Beyond string        `help:"What becomes of others: 503, silence or slower." enum:"503,silence,slower" default:"503"`
	Down   time.Duration `help:"Time for which the service is not there at the start." default:"3s"`
	Up     time.Duration `help:"Thereafter it is there for so long;"`
	Off    time.Duration `help:"and then not for so long, again and again; 0 is never."`
	Late   time.Duration `help:"Time by which each answer is late."`
	News   time.Duration `help:"All watches have news so often; 0 is never."`
	Length time.Duration `help:"Length of a play." default:"60s"`
	Seeds  int           `help:"Plays of each; the worst of each figure is printed." default:"5"`
}

// Run prints a table: a line for each rule and size, the worst of the seeds in each figure.
func (c *askingCmd) Run(t *terminal) error {
	names := c.Policy
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(asking.Policies))
	}
	fmt.Fprintf(t.out, "%-8s  %5s  %s\n", "rule", "n", asking.Heading)
	for _, name := range names {
		policy, known := asking.Policies[name]
		if !known {
			return exit{faulty, fmt.Errorf("--policy: %q is none of %s", name, strings.Join(slices.Sorted(maps.Keys(asking.Policies)), ", "))}
		}
		for _, n := range c.Sizes {
			var worst asking.Figures
			for seed := range c.Seeds {
				worst = worst.Worse(asking.Play(asking.Case{Instances: n, Told: int(c.Told * float64(n)), Spread: c.Spread, Rate: c.Rate, Burst: c.Burst,
					Calls: c.Calls, Call: c.Call, Line: c.Line, Beyond: model.Beyond(c.Beyond), Down: c.Down, Up: c.Up, Off: c.Off, Late: c.Late,
					News: c.News, Length: c.Length, Seed: uint64(seed + 1)}, policy))
			}
			fmt.Fprintf(t.out, "%-8s  %5d  %s\n", name, n, worst)
		}
	}
	return nil
}
