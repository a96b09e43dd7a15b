package routers

import (
	"fmt"
	"time"
)

// Ports of every router, on its own address.
const (
	proxyPort, readyPort, controlPort, internalPort = 21080, 21081, 21082, 21083
)

// The fleet's shape and intervals.
const (
	regions, zonesPerRegion = 2, 3
	pollInterval            = 2 * time.Millisecond
	heartbeatInterval       = 1200 * time.Millisecond
	settleTimePerRouter     = 30 * time.Millisecond // that updates of the start take to be disseminated
)

// Config configures a play.
type Config struct {
	Routers     int
	Core        int // of them, with disks; 2 may be lost
	Endpoints   int // that send heartbeats
	Tenants     int
	Models      int // services
	Changes     int
	Routes      int           // that each change adds; 0: each changes a service
	Rest        time.Duration // for which the fleet is measured at rest
	Timeout     time.Duration // that a start or a change may take
	Losses      []Loss        // played one after the other, at the end
	LossTimeout time.Duration // that a change is tried while routers are gone
}

// Check returns an error that names the first setting that is out of range.
func (c *Config) Check() error {
	switch {
	case c.Routers < 1 || c.Routers > 4000:
		return fmt.Errorf("routers: must be 1 to 4000, not %d", c.Routers)
	case c.Core < 1 || c.Core > c.Routers:
		return fmt.Errorf("core: must be 1 to %d, not %d", c.Routers, c.Core)
	case c.Routes < 0 || c.Routes > 20000:
		return fmt.Errorf("routes: must be 0 to 20000, not %d", c.Routes)
	case c.Rest <= 0 || c.Timeout <= 0:
		return fmt.Errorf("rest and within: must be above 0")
	}
	return nil
}
