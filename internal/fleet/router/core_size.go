package router

import (
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/settings"
)

const (
	coreSizeGrace    = 20 * time.Second // after the start, in which the machines find each other
	coreSizeInterval = time.Minute      // between two log lines about the core's size
)

// coreSizeCheck warns the operator of a core with fewer machines than its tolerance needs. Only the goroutine of Run uses it.
type coreSizeCheck struct {
	*environment
	gossip    *gossip
	nextCheck time.Duration
}

// requiredCoreSize returns the least number of machines that count for the quorum of which a majority is left after the tolerated loss, also
// where their disks are lost while all others lose power: docs/design/control-state.md has why fewer can't do.
func requiredCoreSize(t settings.Tolerance) int { return 2*max(t.Machines, t.Zones, t.Regions) + 1 }

// tick logs, on machines of the core, that there are too few of them.
func (c *coreSizeCheck) tick() {
	now := c.clock()
	if !c.settings.CountsForQuorum || now < max(coreSizeGrace, c.nextCheck) {
		return
	}
	c.nextCheck = now + coreSizeInterval
	size, required := c.gossip.coreSize(), requiredCoreSize(c.settings.Tolerance)
	if size < required {
		c.log.Warn("the core has fewer machines than its tolerance needs", zap.Int("machines", size), zap.Int("needed", required))
	}
}
