package router

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Endpoints are soft state, announced again and again. When all routers have ended at once, though, the first heartbeats
// take more than a second to come. Machines with disks therefore keep the endpoints' list as a hint for that time.

const (
	endpointCacheName = "endpoints"
	restoreDelay      = 150 * time.Millisecond // after the start: by then a router that lives has told what it knows
	restoreWindow     = 2 * time.Second        // after the start: later the endpoints themselves have spoken
)

// endpointCache are the endpoints' list on the disk.
type endpointCache struct {
	file           *stateFile
	restored       []registry.Endpoint
	isRestored     bool
	writtenVersion uint64 // of the registry, that was written last
}

// startEndpointCache reads what the process before this one has left.
func (r *Router) startEndpointCache() {
	if r.settings.DataDir == "" {
		return
	}
	r.endpointCache = &endpointCache{file: newStateFile(r.settings.DataDir, endpointCacheName, r.log)}
	r.endpointCache.file.read(&r.endpointCache.restored)
}

// tickEndpointCache offers the list once, where nothing else is known, and writes it where it has changed.
func (r *Router) tickEndpointCache() {
	h, now := r.endpointCache, r.clock()
	if h == nil || now < restoreDelay {
		return
	}
	if !h.isRestored {
		h.isRestored = true
		if now < restoreWindow {
			r.restoreEndpoints(h)
		}
	}
	if now < restoreWindow || !h.file.isDue(now) {
		return
	}
	r.mu.Lock()
	version := r.node.Registry.Version()
	if version == h.writtenVersion {
		r.mu.Unlock()
		return
	}
	endpoints := r.node.Registry.Ready()
	r.mu.Unlock()
	h.writtenVersion = version
	h.file.write(now, endpoints, r.tasks.Go)
}

func (r *Router) restoreEndpoints(h *endpointCache) {
	r.stepNode(func(now time.Duration) *dissemination.Output {
		if len(r.node.Registry.Ready()) > 0 {
			return &dissemination.Output{}
		}
		return r.node.RestoreEndpoints(now, h.restored)
	})
	h.restored = nil
}
