package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/front"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// In a small fleet a router tells all others of its prompts itself. In a larger one each router has one of the core tell
// them, which gathers what it is told for a moment, so that the messages a router gets grow with the core and not with
// the fleet.

const (
	directMost  = 24                    // other routers up to which each is told directly
	gatherFor   = 30 * time.Millisecond // announcements before they are told
	announceOne = 30                    // announcements in one datagram
)

// relay is a router's side of the announcements.
type relay struct {
	self string
	core bool // this router counts for the quorum
	send func(to []string, kind transport.Kind, announcements []front.Announcement)

	mu       sync.Mutex
	peers    []string // live routers beside this one
	through  string   // the router that tells all others; empty: this one does
	gathered []front.Announcement
	wake     chan struct{} // something is gathered
}

func newRelay(self string, core bool, send func([]string, transport.Kind, []front.Announcement)) *relay {
	return &relay{self: self, core: core, send: send, wake: make(chan struct{}, 1)}
}

// setPeers takes over which routers live, and which of them are of the core.
func (l *relay) setPeers(live, cores []string) {
	through := ""
	if len(live) > directMost && !l.core {
		through = l.choose(cores)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers, l.through = live, through
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
func (l *relay) announce(a front.Announcement) {
	l.mu.Lock()
	through, peers := l.through, l.peers
	l.mu.Unlock()
	switch {
	case through != "":
		l.send([]string{through}, kindRelay, []front.Announcement{a})
	case len(peers) > directMost:
		l.gather([]front.Announcement{a})
	default:
		l.send(peers, kindAnnounce, []front.Announcement{a})
	}
}

// gather keeps announcements until they are told.
func (l *relay) gather(announcements []front.Announcement) {
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
	gathered, peers := l.gathered, l.peers
	l.gathered = nil
	l.mu.Unlock()
	for part := range slices.Chunk(gathered, announceOne) {
		l.send(peers, kindAnnounce, part)
	}
}

func (r *Router) sendAnnouncements(to []string, kind transport.Kind, announcements []front.Announcement) {
	r.transport.SendAll(to, kind, announcements)
}

// receiveAnnouncements takes other routers' announcements over, and tells all others where it is asked to.
func (r *Router) receiveAnnouncements(p *transport.Packet, tell bool) error {
	var announcements []front.Announcement
	if err := cbor.Unmarshal(p.Body, &announcements); err != nil {
		return err
	}
	r.dispatcher.Heard(announcements)
	if tell {
		r.relay.gather(announcements)
	}
	return nil
}
