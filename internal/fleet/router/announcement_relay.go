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

// In a fleet with at most maxDirectPeers other routers, a router sends announcements of its prompts directly to all of them. In a larger
// fleet each router sends its announcements to a relay: a core router, in its own zone if that zone has one. The relay batches
// announcements for batchDelay. It sends each batch to all routers of its own zone, and to one core router in each other zone, which
// forwards the batch within that zone; routers of zones without a core router get the batch directly. The number of messages that a router
// receives thus grows with the size of the core instead of the fleet, and each announcement is sent once to each other zone that has a
// core router.

const (
	maxDirectPeers              = 24                    // up to this many other live routers, announcements are sent to each directly
	batchDelay                  = 30 * time.Millisecond // time for which a relay batches announcements
	maxAnnouncementsPerDatagram = 13                    // an encoded announcement has at most about 84 bytes
)

// announcementRelay sends this router's announcements, and forwards those of other routers. Its methods may be called by any goroutine.
type announcementRelay struct {
	self string // internal address
	zone string
	core bool // this router is a core router: it counts for the quorum
	send func(to []string, kind transport.Kind, announcements []proxy.Announcement)
	wake chan struct{} // signals run that the batch is not empty

	mu     sync.Mutex // guards the fields below
	routes announcementRoutes
	batch  []proxy.Announcement
}

// announcementRoutes are the internal addresses to which a router sends announcements.
type announcementRoutes struct {
	peers      []string // all other live routers
	relay      string   // core router that distributes this router's announcements; empty: this router distributes them itself
	local      []string // other live routers of this router's zone
	remote     []string // live routers of zones that have no live core router
	zoneRelays []string // one live core router in each other zone that has any
}

// newRelay returns a relay without peers, which sends its messages by calling send.
func newRelay(self, zone string, core bool, send func([]string, transport.Kind, []proxy.Announcement)) *announcementRelay {
	return &announcementRelay{self: self, zone: zone, core: core, send: send, wake: make(chan struct{}, 1)}
}

// setPeers computes the routes from the other live routers.
func (l *announcementRelay) setPeers(live []membership.Member) {
	routes := l.plan(live)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = routes
}

// plan computes the routes from the other live routers.
func (l *announcementRelay) plan(live []membership.Member) announcementRoutes {
	var routes announcementRoutes
	var coreRouters []string
	coreRoutersByZone := map[string][]string{}
	for i := range live {
		m := &live[i]
		routes.peers = append(routes.peers, m.Address)
		if m.Core {
			coreRouters = append(coreRouters, m.Address)
			coreRoutersByZone[m.Zone] = append(coreRoutersByZone[m.Zone], m.Address)
		}
	}
	if len(live) <= maxDirectPeers {
		return routes
	}
	if !l.core {
		if routes.relay = l.chooseCoreRouter(coreRoutersByZone[l.zone]); routes.relay == "" {
			routes.relay = l.chooseCoreRouter(coreRouters)
		}
	}
	for i := range live {
		switch zone := live[i].Zone; {
		case zone == l.zone:
			routes.local = append(routes.local, live[i].Address)
		case len(coreRoutersByZone[zone]) == 0:
			routes.remote = append(routes.remote, live[i].Address)
		}
	}
	for zone, candidates := range coreRoutersByZone {
		if zone != l.zone {
			routes.zoneRelays = append(routes.zoneRelays, l.chooseCoreRouter(candidates))
		}
	}
	return routes
}

// chooseCoreRouter picks a core router by rendezvous hashing (Thaler, Ravishankar, 1998): the load is spread evenly, and when a core
// router fails, only the routers that had picked it pick another one. It returns "" if there are no core routers.
func (l *announcementRelay) chooseCoreRouter(coreRouters []string) string {
	best, highest := "", uint64(0)
	for _, core := range coreRouters {
		if weight := xxhash.Sum64String(core + " " + l.self); best == "" || weight > highest {
			best, highest = core, weight
		}
	}
	return best
}

// announce sends an announcement of this router to all other routers: directly, through a relay, or with the next batch.
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

// enqueue adds announcements to the next batch.
func (l *announcementRelay) enqueue(announcements []proxy.Announcement) {
	l.mu.Lock()
	l.batch = append(l.batch, announcements...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // run has a pending signal already
	}
}

// run sends each batch at most batchDelay after its first announcement, until ctx is done.
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

// flush sends the batch, in chunks of at most maxAnnouncementsPerDatagram.
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

// forwardToZone forwards announcements from another zone's relay to the other routers of this router's zone.
func (l *announcementRelay) forwardToZone(announcements []proxy.Announcement) {
	l.mu.Lock()
	local := l.routes.local
	l.mu.Unlock()
	l.send(local, kindAnnouncement, announcements)
}
