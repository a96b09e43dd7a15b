package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesSettingsCmd measures changes of settings by file and SIGHUP.
type slopesSettingsCmd struct {
	measureOptions
	Known   []int `help:"Hosts that the configuration names." default:"12,106,212,425,850,1700"`
	Classes []int `help:"Of the settings." default:"3"`
	Changes int   `help:"One after the other." default:"60"`
}

// settingsPoint is a line of results of slopes settings.
type settingsPoint struct {
	resultPoint
	Known   int `json:"known"`
	Classes int `json:"classes"`
	Changes int `json:"changes"`
	footprint.SettingsChangeCosts
}

// check returns an error that names the first flag whose value is out of range.
func (c *slopesSettingsCmd) check() error {
	var flags flagChecker
	flags.number("repeat", float64(c.Repeat), 1, maxRepeats)
	flags.sizes("known", c.Known, maxHosts)
	flags.sizes("classes", c.Classes, maxClasses)
	flags.number("changes", float64(c.Changes), 1, maxChanges)
	return flags.err
}

// Run measures each combination of sizes, one at a time, and writes a line for each.
func (c *slopesSettingsCmd) Run(ctx context.Context, t *terminal) error {
	return c.measure(ctx, t, c.check, c.measureSizes)
}

func (c *slopesSettingsCmd) measureSizes(ctx context.Context, t *terminal, program, dir string) error {
	for n := range c.Repeat {
		for _, known := range c.Known {
			for _, classes := range c.Classes {
				sub := filepath.Join(dir, fmt.Sprint(n))
				if err := os.MkdirAll(sub, 0o700); err != nil {
					return err
				}
				p := settingsPoint{resultPoint: c.newPoint("settings"), Known: known, Classes: classes, Changes: c.Changes}
				var err error
				if p.SettingsChangeCosts, err = (footprint.SettingsChangeMeasurement{Program: program, Dir: sub, KnownHosts: known, Classes: classes, Changes: c.Changes}).Measure(ctx); err != nil {
					return err
				}
				if err := c.write(t, p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
