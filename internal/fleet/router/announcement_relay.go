package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// In a small fleet a router announces its prompts to all others itself. In a larger one each router sends them to a relay, a router of
// the core, in its own zone where there is one. The relay collects announcements for a moment and sends them to its own zone, and to
// one router of the core in each other zone, which sends them to that zone. So the number of messages that a router receives grows with
// the core and not with the fleet, and each announcement crosses from zone to zone once.

const (
	maxDirectPeers              = 24                    // other routers up to which an announcement goes to each directly
	batchDelay                  = 30 * time.Millisecond // for which a relay collects announcements
	maxAnnouncementsPerDatagram = 13                    // each has some 84 bytes at most
)

// announcementRelay sends this router's announcements, and forwards those of others. Its methods may be called by any goroutine.
type announcementRelay struct {
	self string // internal address
	zone string
	core bool // this router counts for the quorum
	send func(to []string, kind transport.Kind, announcements []proxy.Announcement)
	wake chan struct{} // the batch is not empty

	mu     sync.Mutex // guards what follows
	routes announcementRoutes
	batch  []proxy.Announcement
}

// announcementRoutes are the internal addresses that a router sends announcements to.
type announcementRoutes struct {
	peers      []string // other routers that are alive
	relay      string   // the router that sends this one's announcements to all others; empty: this one does
	local      []string // those of this router's zone
	remote     []string // those of other zones that have no router of the core
	zoneRelays []string // one router of the core in each other zone that has one
}

func newRelay(self, zone string, core bool, send func([]string, transport.Kind, []proxy.Announcement)) *announcementRelay {
	return &announcementRelay{self: self, zone: zone, core: core, send: send, wake: make(chan struct{}, 1)}
}

// setPeers records which other routers are alive.
func (l *announcementRelay) setPeers(live []membership.Member) {
	routes := l.plan(live)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = routes
}

// plan works out the routes.
func (l *announcementRelay) plan(live []membership.Member) announcementRoutes {
	var routes announcementRoutes
	var cores []string
	coresByZone := map[string][]string{}
	for i := range live {
		m := &live[i]
		routes.peers = append(routes.peers, m.Address)
		if m.Core {
			cores = append(cores, m.Address)
			coresByZone[m.Zone] = append(coresByZone[m.Zone], m.Address)
		}
	}
	if len(live) <= maxDirectPeers {
		return routes
	}
	if !l.core {
		if routes.relay = l.chooseCore(coresByZone[l.zone]); routes.relay == "" {
			routes.relay = l.chooseCore(cores)
		}
	}
	for i := range live {
		switch zone := live[i].Zone; {
		case zone == l.zone:
			routes.local = append(routes.local, live[i].Address)
		case len(coresByZone[zone]) == 0:
			routes.remote = append(routes.remote, live[i].Address)
		}
	}
	for zone, candidates := range coresByZone {
		if zone != l.zone {
			routes.zoneRelays = append(routes.zoneRelays, l.chooseCore(candidates))
		}
	}
	return routes
}

// chooseCore picks a router of the core by rendezvous hashing (Thaler, Ravishankar, 1998), so that the load is even and few choices
// change when one ends; empty: there is none.
func (l *announcementRelay) chooseCore(cores []string) string {
	best, highest := "", uint64(0)
	for _, core := range cores {
		if weight := xxhash.Sum64String(core + " " + l.self); best == "" || weight > highest {
			best, highest = core, weight
		}
	}
	return best
}

// announce sends an announcement of this router's to the others.
func (l *announcementRelay) announce(a proxy.Announcement) {
	l.mu.Lock()
	relay, peers := l.routes.relay, l.routes.peers
	l.mu.Unlock()
	switch {
	case relay != "":
		l.send([]string{relay}, kindAnnouncementRelay, []proxy.Announcement{a})
	case len(peers) > maxDirectPeers:
		l.enqueue([]proxy.Announcement{a})
	default:
		l.send(peers, kindAnnouncement, []proxy.Announcement{a})
	}
}

// enqueue adds announcements to the batch.
func (l *announcementRelay) enqueue(announcements []proxy.Announcement) {
	l.mu.Lock()
	l.batch = append(l.batch, announcements...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // run has been woken already
	}
}

// run sends batches, until ctx ends.
func (l *announcementRelay) run(ctx context.Context) {
	delay := time.NewTimer(0)
	defer delay.Stop()
	<-delay.C
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		delay.Reset(batchDelay)
		select {
		case <-ctx.Done():
			return
		case <-delay.C:
		}
		l.flush()
	}
}

// flush sends the batch.
func (l *announcementRelay) flush() {
	l.mu.Lock()
	batch, routes := l.batch, l.routes
	l.batch = nil
	l.mu.Unlock()
	for chunk := range slices.Chunk(batch, maxAnnouncementsPerDatagram) {
		l.send(slices.Concat(routes.local, routes.remote), kindAnnouncement, chunk)
		l.send(routes.zoneRelays, kindAnnouncementZoneRelay, chunk)
	}
}

// forwardToZone sends the batch of another zone's relay to this router's zone.
func (l *announcementRelay) forwardToZone(announcements []proxy.Announcement) {
	l.mu.Lock()
	local := l.routes.local
	l.mu.Unlock()
	l.send(local, kindAnnouncement, announcements)
}
