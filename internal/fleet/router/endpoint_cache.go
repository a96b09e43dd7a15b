package router

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// The registry is soft state, which endpoints renew with each heartbeat. After all routers have ended at once, though, the first
// heartbeats take more than a second to come. Machines with disks therefore cache the list of endpoints for that time.

const (
	endpointCacheName = "endpoints"
	restoreDelay      = 150 * time.Millisecond // after the start: by then a router that is alive has sent what it knows
	restoreWindow     = 2 * time.Second        // after the start: later the endpoints themselves have sent heartbeats
)

// endpointCache is the list of endpoints on the disk. Only the goroutine of Router.Run uses it.
type endpointCache struct {
	*environment
	gossip         *gossip
	file           *stateFile // nil: no disk
	restored       []registry.Endpoint
	isRestored     bool   // restored has been used, or it is too late for that
	writtenVersion uint64 // of the registry
}

// start reads what the process before this one wrote.
func (c *endpointCache) start() {
	if c.settings.DataDir == "" {
		return
	}
	c.file = newStateFile(c.settings.DataDir, endpointCacheName, c.log)
	c.file.read(&c.restored)
}

// tick restores the endpoints once, where no others are known, and writes them where they have changed.
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

func (c *endpointCache) restore() {
	c.gossip.step(func(now time.Duration) *dissemination.Output {
		if len(c.gossip.node.Registry.Ready()) > 0 {
			return &dissemination.Output{}
		}
		return c.gossip.node.RestoreEndpoints(now, c.restored)
	})
	c.restored = nil
}

func (c *endpointCache) write(now time.Duration) {
	endpoints, version := c.gossip.readyEndpoints(c.writtenVersion)
	if version == c.writtenVersion {
		return
	}
	c.writtenVersion = version
	c.file.write(now, endpoints, c.tasks.Go)
}
