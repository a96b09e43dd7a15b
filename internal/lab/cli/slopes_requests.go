package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesRequestsCmd measures what requests cost a sidecar.
type slopesRequestsCmd struct {
	measureOptions
	Rates  []float64     `help:"Requests a second." default:"53,106,212,424"`
	Window time.Duration `help:"Length of each measurement, and of the one without a sidecar before it." default:"10s"`
}

// requestsPoint is a line of results of slopes requests.
type requestsPoint struct {
	resultPoint
	Rate    float64 `json:"requests_per_s"`
	Seconds float64 `json:"seconds"`
	footprint.RequestCosts
}

// check returns an error that names the first flag whose value is out of range.
func (c *slopesRequestsCmd) check() error {
	var flags flagChecker
	flags.number("repeat", float64(c.Repeat), 1, maxRepeats)
	flags.rates("rates", c.Rates, 0.1)
	flags.duration("window", c.Window, time.Second)
	return flags.err
}

// Run measures each rate, one at a time, and writes a line for each.
func (c *slopesRequestsCmd) Run(ctx context.Context, t *terminal) error {
	return c.measure(ctx, t, c.check, c.measureSizes)
}

func (c *slopesRequestsCmd) measureSizes(ctx context.Context, t *terminal, program, dir string) error {
	for n := range c.Repeat {
		for _, rate := range c.Rates {
			sub := filepath.Join(dir, fmt.Sprint(rate, "-", n))
			if err := os.Mkdir(sub, 0o700); err != nil {
				return err
			}
			p := requestsPoint{resultPoint: c.newPoint("requests"), Rate: rate, Seconds: c.Window.Seconds()}
			var err error
			if p.RequestCosts, err = (footprint.RequestMeasurement{Program: program, Dir: sub, Rate: rate, Window: c.Window, Seed: uint64(n + 1)}).Measure(ctx); err != nil {
				return err
			}
			if err := c.write(t, p); err != nil {
				return err
			}
		}
	}
	return nil
}
