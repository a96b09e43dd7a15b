package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// In a small fleet a router tells all others of its prompts itself. In a larger one each router has one of the core, in
// its own zone where there is one, tell them. It gathers what it is told for a moment and tells its own zone, and one
// router of the core in each other zone, which tells that zone. So the messages that a router gets grow with the core and
// not with the fleet, and one copy of each goes from zone to zone.

const (
	maxDirectPeers              = 24                    // other routers up to which each is told directly
	batchDelay                  = 30 * time.Millisecond // announcements before they are told
	maxAnnouncementsPerDatagram = 13                    // announcements in one datagram, which hold some 84 bytes each at most
)

// relay is a router's side of the announcements.
type announcementRelay struct {
	self string
	zone string
	core bool // this router counts for the quorum
	send func(to []string, kind transport.Kind, announcements []proxy.Announcement)

	mu     sync.Mutex
	routes announcementRoutes
	batch  []proxy.Announcement
	wake   chan struct{} // something is gathered
}

// announcementRoutes are whom a router tells.
type announcementRoutes struct {
	peers      []string // live routers beside this one
	relay      string   // the router that tells all others; empty: this one does
	local      []string // those of this router's zone
	remote     []string // those of other zones without a router of the core
	zoneRelays []string // one router of the core in each other zone that has one
}

func newRelay(self, zone string, core bool, send func([]string, transport.Kind, []proxy.Announcement)) *announcementRelay {
	return &announcementRelay{self: self, zone: zone, core: core, send: send, wake: make(chan struct{}, 1)}
}

// setPeers takes over which other routers live.
func (l *announcementRelay) setPeers(live []membership.Member) {
	routes := l.plan(live)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = routes
}

// plan works out whom this router tells.
func (l *announcementRelay) plan(live []membership.Member) announcementRoutes {
	var routes announcementRoutes
	var cores []string
	coresByZone := map[string][]string{}
	for i := range live {
		routes.peers = append(routes.peers, live[i].Address)
		if live[i].Core {
			cores = append(cores, live[i].Address)
			coresByZone[live[i].Zone] = append(coresByZone[live[i].Zone], live[i].Address)
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

// choose picks a router of the core, so that their shares are even and few change when one goes. Empty: none lives.
func (l *announcementRelay) chooseCore(cores []string) string {
	best, highest := "", uint64(0)
	for _, core := range cores {
		if weight := xxhash.Sum64String(core + " " + l.self); best == "" || weight > highest {
			best, highest = core, weight
		}
	}
	return best
}

// announce tells the other routers of a prompt.
func (l *announcementRelay) announce(a proxy.Announcement) {
	l.mu.Lock()
	through, peers := l.routes.relay, l.routes.peers
	l.mu.Unlock()
	switch {
	case through != "":
		l.send([]string{through}, kindAnnouncementRelay, []proxy.Announcement{a})
	case len(peers) > maxDirectPeers:
		l.enqueue([]proxy.Announcement{a})
	default:
		l.send(peers, kindAnnouncement, []proxy.Announcement{a})
	}
}

// gather keeps announcements until they are told.
func (l *announcementRelay) enqueue(announcements []proxy.Announcement) {
	l.mu.Lock()
	l.batch = append(l.batch, announcements...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // it is awake already
	}
}

// run tells what was gathered, until ctx ends.
func (l *announcementRelay) run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		pause.Reset(batchDelay)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		l.flush()
	}
}

func (l *announcementRelay) flush() {
	l.mu.Lock()
	gathered, routes := l.batch, l.routes
	l.batch = nil
	l.mu.Unlock()
	for part := range slices.Chunk(gathered, maxAnnouncementsPerDatagram) {
		l.send(slices.Concat(routes.local, routes.remote), kindAnnouncement, part)
		l.send(routes.zoneRelays, kindAnnouncementZoneRelay, part)
	}
}

// forwardToZone tells this router's zone what a router of another zone has gathered.
func (l *announcementRelay) forwardToZone(announcements []proxy.Announcement) {
	l.mu.Lock()
	local := l.routes.local
	l.mu.Unlock()
	l.send(local, kindAnnouncement, announcements)
}

func (r *Router) sendAnnouncements(to []string, kind transport.Kind, announcements []proxy.Announcement) {
	r.transport.SendAll(to, kind, announcements)
}

// receiveAnnouncements takes other routers' announcements over, and tells others where it is asked to.
func (r *Router) receiveAnnouncements(p *transport.Packet) error {
	var announcements []proxy.Announcement
	if err := cbor.Unmarshal(p.Body, &announcements); err != nil {
		return err
	}
	switch p.Kind {
	case kindAnnouncementRelay:
		r.relay.enqueue(announcements)
	case kindAnnouncementZoneRelay:
		r.relay.forwardToZone(announcements)
	}
	r.dispatcher.ApplyAnnouncements(announcements)
	return nil
}
