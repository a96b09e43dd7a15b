package router

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// The registry is soft state, which endpoints renew with each heartbeat. If all routers restart at once, however, it takes more than a
// second until the first heartbeats arrive. Machines with disks therefore keep a copy of the list of endpoints on the disk and use it
// during that time. The copy also has the endpoints that are draining or have ended: acknowledged leaves outlast the restart.

const (
	endpointCacheFileName = "endpoints"
	restoreDelay          = 150 * time.Millisecond // after the start: by then a live router has sent the endpoints that it knows
	restoreWindow         = 2 * time.Second        // after the start: by then the endpoints have sent heartbeats, and the copy is no longer used
)

// endpointCache keeps a copy of the list of endpoints on the disk. Only the goroutine of Router.Run uses it.
type endpointCache struct {
	*environment
	gossip         *gossip
	file           *stateFile          // nil: no data directory is configured
	restored       []registry.Endpoint // read from the disk; nil once used
	isRestored     bool                // restored has been used, or restoreWindow has passed
	writtenVersion uint64              // registry version of the list on the disk
}

// start reads the list that the previous process wrote.
func (c *endpointCache) start() {
	if c.settings.DataDir == "" {
		return
	}
	c.file = newStateFile(c.settings.DataDir, endpointCacheFileName, c.log)
	c.file.read(&c.restored)
	c.gossip.restoreLeaves(c.restored)
}

// tick restores the endpoints once, after restoreDelay, and from restoreWindow on writes the list when it has changed.
func (c *endpointCache) tick() {
	now := c.clock()
	if c.file == nil || now < restoreDelay {
		return
	}
	if !c.isRestored {
		c.isRestored = true
		if now < restoreWindow {
			c.restore()
		}
	}
	if now >= restoreWindow && c.file.isDue(now) {
		c.write(now)
	}
}

// restore adds the endpoints of the previous process to the registry, unless it has a ready endpoint already.
func (c *endpointCache) restore() {
	c.gossip.step(func(now time.Duration) *dissemination.Output {
		if len(c.gossip.node.Registry.Ready()) > 0 {
			return &dissemination.Output{}
		}
		return c.gossip.node.RestoreEndpoints(now, c.restored)
	})
	c.restored = nil
}

// write writes the list to the disk, unless the registry has not changed since the last write.
func (c *endpointCache) write(now time.Duration) {
	endpoints, version := c.gossip.endpointSnapshot(c.writtenVersion)
	if version == c.writtenVersion {
		return
	}
	c.writtenVersion = version
	c.file.write(now, endpoints, c.tasks.Go)
}
