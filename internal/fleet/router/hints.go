package router

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Endpoints are soft state, announced again and again. When all routers have ended at once, though, the first heartbeats
// take more than a second to come. Machines with disks therefore keep the endpoints' list as a hint for that time.

const (
	hintName  = "endpoints"
	hintAfter = 150 * time.Millisecond // after the start: by then a router that lives has told what it knows
	hintMost  = 2 * time.Second        // after the start: later the endpoints themselves have spoken
)

// endpointHints are the endpoints' list on the disk.
type endpointHints struct {
	file    *listFile
	read    []registry.Endpoint
	offered bool
	version uint64 // of the registry, that was written last
}

// startHints reads what the process before this one has left.
func (r *Router) startHints() {
	if r.settings.DataDir == "" {
		return
	}
	r.hints = &endpointHints{file: newListFile(r.settings.DataDir, hintName, r.log)}
	r.hints.file.read(&r.hints.read)
}

// tickHints offers the list once, where nothing else is known, and writes it where it has changed.
func (r *Router) tickHints() {
	h, now := r.hints, r.clock()
	if h == nil || now < hintAfter {
		return
	}
	if !h.offered {
		h.offered = true
		if now < hintMost {
			r.offerHints(h)
		}
	}
	if now < hintMost || !h.file.isDue(now) {
		return
	}
	r.mu.Lock()
	version := r.node.Registry.Version()
	if version == h.version {
		r.mu.Unlock()
		return
	}
	endpoints := r.node.Registry.Ready()
	r.mu.Unlock()
	h.version = version
	h.file.write(now, endpoints, r.tasks.Go)
}

func (r *Router) offerHints(h *endpointHints) {
	r.withNode(func(now time.Duration) *dissemination.Output {
		if len(r.node.Registry.Ready()) > 0 {
			return &dissemination.Output{}
		}
		return r.node.RestoreEndpoints(now, h.read)
	})
	h.read = nil
}
