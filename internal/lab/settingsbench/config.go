package settingsbench

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"
)

// Service is the one that all follow: a single one with all followers is the worst case.
const Service = "orders"

// Limits and figures of the cases.
const (
	inForceTimeout  = 15 * time.Second // after which a change counts as late
	changesPerDay   = 5300
	parallelReloads = 16   // reloads at a time, in the second half of the case "before"
	maxFollowers    = 4096 // watches that one distributor can have
)

// Config configures a measurement.
type Config struct {
	Pinelb  string        // path of the program
	Env     []string      // of its processes, in addition to this one's
	Sizes   []int         // numbers of stubs: the cases "change" and "rest" are run at each, the others at the last
	Real    int           // number of real sidecars
	Changes int           // number in a case
	Bytes   int           // size of the settings, about
	Window  time.Duration // length of the cases "rest", "day", "stopped" and "apart"
	Only    []string      // names of cases; none: all
	Out     io.Writer     // gets a line of JSON for each case
	Seed    uint64        // of the stubs' jitter
}

// Cases are the names of the cases, in their order. "before" is by hand; the others use distributors.
var Cases = []string{"before", "change", "rest", "day", "day x100", "one killed", "two killed", "one silent", "two silent", "one slow", "stopped", "apart", "joined", "cold"}

// Check returns an error that names the first key whose value is out of range.
func (c *Config) Check() error {
	for i, n := range c.Sizes {
		if n < 1 || n > maxFollowers || i > 0 && n <= c.Sizes[i-1] {
			return fmt.Errorf("sizes: %d is not from 1 to %d, or not above the one before it", n, maxFollowers)
		}
	}
	for _, name := range c.Only {
		if !slices.Contains(Cases, name) {
			return fmt.Errorf("only: %q is none of %q", name, Cases)
		}
	}
	switch {
	case len(c.Sizes) == 0:
		return errors.New("sizes: must be given")
	case c.Real < 4 || c.Real > 200:
		return errors.New("real: must be from 4 to 200")
	case c.Changes < 1 || c.Changes > 1000:
		return errors.New("changes: must be from 1 to 1000")
	case c.Bytes < 1024 || c.Bytes > 64<<10:
		return errors.New("bytes: must be from 1024 to 65536")
	case c.Window < time.Second || c.Window > time.Hour:
		return errors.New("window: must be from 1s to 1h")
	}
	if _, err := os.Stat(c.Pinelb); err != nil {
		return fmt.Errorf("pinelb: %w", err)
	}
	return nil
}
