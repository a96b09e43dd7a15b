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
	directMost  = 24                    // other routers up to which each is told directly
	gatherFor   = 30 * time.Millisecond // announcements before they are told
	announceOne = 13                    // announcements in one datagram, which hold some 84 bytes each at most
)

// relay is a router's side of the announcements.
type relay struct {
	self string
	zone string
	core bool // this router counts for the quorum
	send func(to []string, kind transport.Kind, announcements []proxy.Announcement)

	mu       sync.Mutex
	routes   relayRoutes
	gathered []proxy.Announcement
	wake     chan struct{} // something is gathered
}

// relayRoutes are whom a router tells.
type relayRoutes struct {
	peers    []string // live routers beside this one
	through  string   // the router that tells all others; empty: this one does
	local    []string // those of this router's zone
	orphans  []string // those of other zones without a router of the core
	deputies []string // one router of the core in each other zone that has one
}

func newRelay(self, zone string, core bool, send func([]string, transport.Kind, []proxy.Announcement)) *relay {
	return &relay{self: self, zone: zone, core: core, send: send, wake: make(chan struct{}, 1)}
}

// setPeers takes over which other routers live.
func (l *relay) setPeers(live []membership.Member) {
	routes := l.plan(live)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes = routes
}

// plan works out whom this router tells.
func (l *relay) plan(live []membership.Member) relayRoutes {
	var routes relayRoutes
	var cores []string
	coresByZone := map[string][]string{}
	for i := range live {
		routes.peers = append(routes.peers, live[i].Address)
		if live[i].Core {
			cores = append(cores, live[i].Address)
			coresByZone[live[i].Zone] = append(coresByZone[live[i].Zone], live[i].Address)
		}
	}
	if len(live) <= directMost {
		return routes
	}
	if !l.core {
		if routes.through = l.choose(coresByZone[l.zone]); routes.through == "" {
			routes.through = l.choose(cores)
		}
	}
	for i := range live {
		switch zone := live[i].Zone; {
		case zone == l.zone:
			routes.local = append(routes.local, live[i].Address)
		case len(coresByZone[zone]) == 0:
			routes.orphans = append(routes.orphans, live[i].Address)
		}
	}
	for zone, candidates := range coresByZone {
		if zone != l.zone {
			routes.deputies = append(routes.deputies, l.choose(candidates))
		}
	}
	return routes
}

// choose picks a router of the core, so that their shares are even and few change when one goes. Empty: none lives.
func (l *relay) choose(cores []string) string {
	best, highest := "", uint64(0)
	for _, core := range cores {
		if weight := xxhash.Sum64String(core + " " + l.self); best == "" || weight > highest {
			best, highest = core, weight
		}
	}
	return best
}

// announce tells the other routers of a prompt.
func (l *relay) announce(a proxy.Announcement) {
	l.mu.Lock()
	through, peers := l.routes.through, l.routes.peers
	l.mu.Unlock()
	switch {
	case through != "":
		l.send([]string{through}, kindRelay, []proxy.Announcement{a})
	case len(peers) > directMost:
		l.gather([]proxy.Announcement{a})
	default:
		l.send(peers, kindAnnounce, []proxy.Announcement{a})
	}
}

// gather keeps announcements until they are told.
func (l *relay) gather(announcements []proxy.Announcement) {
	l.mu.Lock()
	l.gathered = append(l.gathered, announcements...)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // it is awake already
	}
}

// run tells what was gathered, until ctx ends.
func (l *relay) run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		pause.Reset(gatherFor)
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		l.flush()
	}
}

func (l *relay) flush() {
	l.mu.Lock()
	gathered, routes := l.gathered, l.routes
	l.gathered = nil
	l.mu.Unlock()
	for part := range slices.Chunk(gathered, announceOne) {
		l.send(slices.Concat(routes.local, routes.orphans), kindAnnounce, part)
		l.send(routes.deputies, kindZoneRelay, part)
	}
}

// tellZone tells this router's zone what a router of another zone has gathered.
func (l *relay) tellZone(announcements []proxy.Announcement) {
	l.mu.Lock()
	local := l.routes.local
	l.mu.Unlock()
	l.send(local, kindAnnounce, announcements)
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
	case kindRelay:
		r.relay.gather(announcements)
	case kindZoneRelay:
		r.relay.tellZone(announcements)
	}
	r.dispatcher.ApplyAnnouncements(announcements)
	return nil
}
