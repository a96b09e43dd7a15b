package router

import (
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/settings"
)

const (
	coreSizeGrace       = 20 * time.Second // time after the start for the machines to discover each other; no check before
	coreSizeLogInterval = time.Minute      // between checks of the core's size, each of which may log a warning
)

// coreSizeCheck logs a warning if the core has fewer machines than its configured tolerance needs. Only the goroutine of Router.Run uses
// it.
type coreSizeCheck struct {
	*environment
	gossip    *gossip
	nextCheck time.Duration
}

// requiredCoreSize returns the minimum number of machines that count for the quorum: a majority of them must survive the tolerated loss,
// even if the lost machines lose their disks while all other machines lose power. docs/design/control-state.md explains why a smaller
// core does not suffice.
func requiredCoreSize(t settings.Tolerance) int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

// tick logs the warning, on core machines only, at most once per coreSizeLogInterval.
func (c *coreSizeCheck) tick() {
	now := c.clock()
	if !c.settings.CountsForQuorum || now < max(coreSizeGrace, c.nextCheck) {
		return
	}
	c.nextCheck = now + coreSizeLogInterval
	size, required := c.gossip.coreSize(), requiredCoreSize(c.settings.Tolerance)
	if size < required {
		c.log.Warn("the core has fewer machines than its tolerance needs", zap.Int("machines", size), zap.Int("needed", required))
	}
}
