package pacing

import (
	"math"
	"time"
)

// Tunables of the handshake limit.
const (
	handshakeWindow      = 100 * time.Millisecond // that the bound counts in
	maxHandshakeLateness = 10 * time.Millisecond  // after its moment that an instance may open: more than a timer is late
)

// By which an instance chooses its hosts: usedLeast and usersWanted of package balance, whose tests compare them.
const (
	MinHostsPerInstance    = 8
	TargetInstancesPerHost = 6
)

// HandshakeLimit is a bound on new connections at one upstream host, from all instances together.
//
// While no more instances use a host than it may be opened to in 100 ms, each has a whole number of them in any 100 ms: no
// window has more than the bound, whatever the instances do. Beyond that each has one moment in each period of users /
// (10 * Handshakes) s, drawn at random by each process for each host. Moments lapse unused. A token bucket does not do:
// after a calm minute every instance's is full, and when a host resets its connections all redial at once, which is what the
// bound is for. Moments by rank would be exact, and all at once where ranks are equal or clocks apart.
type HandshakeLimit struct {
	Handshakes int  // new connections at one host in 100 ms; 0 is no bound
	Instances  int  // of the tier, as they are told
	Numbered   bool // ranks and Instances are right, so that hosts are used evenly
}

// InstancesPerHost is how many instances open connections to one of so many hosts. Where hosts are chosen by names these may be equal or
// hash unevenly, so that a host may have any number of them: all are counted.
func (d HandshakeLimit) InstancesPerHost(hosts int) float64 {
	if !d.Numbered || hosts < 1 {
		return float64(d.Instances)
	}
	used := max(MinHostsPerInstance, (TargetInstancesPerHost*hosts+d.Instances-1)/d.Instances)
	return float64(d.Instances) * float64(min(hosts, used)) / float64(hosts)
}

// Share is an instance's part of a bound.
type Share struct {
	Burst    int           // connections in any Every; 0: no bound
	Interval time.Duration // more than 100 ms: at a moment of it
}

// Share is what one instance may open to one of so many hosts. One that is alone is not bounded.
func (d HandshakeLimit) Share(hosts int) Share {
	if d.Handshakes <= 0 || d.Instances <= 1 {
		return Share{}
	}
	users, most := d.InstancesPerHost(hosts), float64(d.Handshakes)
	if users <= most {
		return Share{Burst: int(most / max(1, users)), Interval: handshakeWindow}
	}
	return Share{Burst: 1, Interval: time.Duration(math.Ceil(users / most * float64(handshakeWindow)))}
}

// HandshakeLimiter is one instance's at one host. Times are of a clock that never goes back.
type HandshakeLimiter struct {
	// Phase is where its moments are in a period, from 0 to 1, drawn at random.
	Phase  float64
	opened []time.Duration // the last ones, oldest first
}

// Next is when the next connection may be opened: now, or no more than a period later, two where the share has changed.
func (d *HandshakeLimiter) Next(s Share, now time.Duration) time.Duration {
	if s.Burst == 0 {
		return now
	}
	from := now // when the last ones allow it
	if n := len(d.opened); n >= s.Burst {
		from = max(now, d.opened[n-s.Burst]+s.Interval)
	}
	if s.Interval <= handshakeWindow {
		return from
	}
	if n := len(d.opened); n > 0 { // a late one does not cost the next moment
		from = max(now, d.opened[n-1]+s.Interval-maxHandshakeLateness)
	}
	first := time.Duration(d.Phase * float64(s.Interval))
	gone := ((from-first)%s.Interval + s.Interval) % s.Interval // since the moment before
	if gone <= maxHandshakeLateness && (len(d.opened) == 0 || from-gone > d.opened[len(d.opened)-1]) {
		return from
	}
	return from - gone + s.Interval
}

// Allow tells whether a connection may be opened now, and notes that it is.
func (d *HandshakeLimiter) Allow(s Share, now time.Duration) bool {
	if s.Burst == 0 {
		return true
	}
	if d.Next(s, now) > now {
		return false
	}
	if extra := len(d.opened) + 1 - s.Burst; extra > 0 {
		d.opened = append(d.opened[:0], d.opened[extra:]...)
	}
	d.opened = append(d.opened, now)
	return true
}
