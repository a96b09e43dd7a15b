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

type requestsPoint struct {
	resultPoint
	Rate    float64 `json:"requests_per_s"`
	Seconds float64 `json:"seconds"`
	footprint.Requested
}

// check names the first key whose number can't be.
func (c *slopesRequestsCmd) check() error {
	var b flagChecker
	b.number("repeat", float64(c.Repeat), 1, maxRepeats)
	b.rates("rates", c.Rates, 0.1)
	b.duration("window", c.Window, time.Second)
	return b.err
}

func (c *slopesRequestsCmd) Run(ctx context.Context, t *terminal) error {
	if err := c.check(); err != nil {
		return err
	}
	program, err := c.prepare()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for n := range c.Repeat {
		for _, rate := range c.Rates {
			own := filepath.Join(dir, fmt.Sprint(rate, "-", n))
			if err := os.Mkdir(own, 0o700); err != nil {
				return err
			}
			p := requestsPoint{resultPoint: c.newPoint("requests"), Rate: rate, Seconds: c.Window.Seconds()}
			if p.Requested, err = (footprint.Requests{Program: program, Dir: own, Rate: rate, Window: c.Window, Seed: uint64(n + 1)}).Measure(ctx); err != nil {
				return err
			}
			if err := c.write(t, p); err != nil {
				return err
			}
		}
	}
	return nil
}
