package front

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Routers tell each other of the long prompts that they send, so that each knows of all endpoints' queues. The rate is
// bounded, whatever the fleet's size.

const (
	announceLeast   = 400     // units of a prompt that is worth a message
	announcedMost   = 200.0   // messages a second that a router gets at most, in a small fleet
	announcedBytes  = 10000.0 // the same times the number of routers, in a large one
	announcedAtOnce = 4.0     // messages
)

// Announcement is a long prompt that a router has just sent to an endpoint.
type Announcement struct {
	Endpoint string   `cbor:"1,keyasint"`
	Rank     int      `cbor:"2,keyasint,omitempty"`
	Units    float64  `cbor:"3,keyasint"`
	Prefixes []uint64 `cbor:"4,keyasint,omitempty"`
}

func announcement(placed *placement.Placed, call *placement.Call) Announcement {
	a := Announcement{Endpoint: placed.Endpoint.ID, Rank: call.Prompt.Rank, Units: placed.Units}
	for _, prefix := range call.Prompt.Prefixes {
		a.Prefixes = append(a.Prefixes, prefix.Hash)
	}
	return a
}

// mayAnnounce takes one message out of what this router may send. The caller holds the lock.
func (d *Dispatcher) mayAnnounce(now time.Duration) bool {
	rate := min(announcedMost, announcedBytes/float64(d.routers)) / float64(d.routers)
	d.allowed = min(d.allowed+rate*(now-d.allowedAt).Seconds(), max(announcedAtOnce, rate))
	d.allowedAt = now
	if d.allowed < 1 {
		return false
	}
	d.allowed--
	return true
}

// Heard takes another router's announcement over.
func (d *Dispatcher) Heard(a Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.Heard(d.clock(), a.Endpoint, a.Rank, a.Units, a.Prefixes)
}
