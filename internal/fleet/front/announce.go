package front

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Routers tell each other of the prompts that they send, so that each knows of all endpoints' queues. How many a second
// is bounded, whatever the fleet's size; where not all can be told, the long ones are.

const (
	announceLeast   = 400.0   // units of a prompt that is worth telling
	announceSurely  = 6000.0  // units of one that is told before all others
	announcedMost   = 1500.0  // a second, of all routers, in a small fleet
	announcedLarge  = 70000.0 // the same times the number of routers, in a large one: some 5 KB a second at 380
	announcedAtOnce = 6.0     // by one router

	failuresMost   = 20.0   // failures a second that one router tells of, in a small fleet
	failuresLarge  = 2000.0 // the same of all routers, in a large one
	failuresAtOnce = 20.0   // by one router
)

// Announcement is what a router has just met at an endpoint: a prompt that it sent there, or failures.
type Announcement struct {
	_        struct{} `cbor:",toarray"`
	Origin   uint32   // the router that sent the prompt
	Endpoint uint32   // placement.Endpoint.Name
	Rank     uint8
	Units    uint32
	Prefixes []uint32
	Failures uint8 // 0: a prompt was sent
}

func announcement(origin uint32, placed *placement.Placed, call *placement.Call) Announcement {
	a := Announcement{Origin: origin, Endpoint: placed.Endpoint.Name(), Rank: uint8(call.Prompt.Rank), Units: uint32(placed.Units)}
	for _, prefix := range call.Prompt.Prefixes {
		a.Prefixes = append(a.Prefixes, prefix.Hash)
	}
	return a
}

// mayAnnounce takes one announcement out of what this router may send; short prompts leave some to long ones. The caller
// holds the lock.
func (d *Dispatcher) mayAnnounce(now time.Duration, units float64) bool {
	rate := min(announcedMost, announcedLarge/float64(d.routers)) / float64(d.routers)
	most := max(announcedAtOnce, rate)
	d.allowed = min(d.allowed+rate*(now-d.allowedAt).Seconds(), most)
	d.allowedAt = now
	kept := 0.5 * most * max(0, 1-units/announceSurely)
	if d.allowed < 1+kept {
		return false
	}
	d.allowed--
	return true
}

// mayTellFailure takes one failure out of what this router may tell of. The caller holds the lock.
func (d *Dispatcher) mayTellFailure(now time.Duration) bool {
	rate := min(failuresMost, failuresLarge/float64(d.routers))
	d.failures = min(d.failures+rate*(now-d.failuresAt).Seconds(), failuresAtOnce)
	d.failuresAt = now
	if d.failures < 1 {
		return false
	}
	d.failures--
	return true
}

// Heard takes other routers' announcements over. Its own may be among them, and are known.
func (d *Dispatcher) Heard(announcements []Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for i := range announcements {
		a := &announcements[i]
		if a.Origin == d.origin {
			continue
		}
		if a.Failures > 0 {
			d.placer.HeardFailures(now, a.Endpoint, int(a.Failures))
			continue
		}
		d.placer.Heard(now, a.Endpoint, int(a.Rank), float64(a.Units), a.Prefixes)
	}
}
