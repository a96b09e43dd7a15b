package pacing

import (
	"math"
	"time"
)

const (
	handshakeWindow      = 100 * time.Millisecond // in which the limit counts
	maxHandshakeLateness = 10 * time.Millisecond  // after its turn, that an instance may open a connection: more than a timer is late
)

// How package balance chooses the hosts that an instance uses: its usedLeast and usersWanted, which its tests compare with these.
const (
	MinHostsPerInstance    = 8
	TargetInstancesPerHost = 6
)

// HandshakeLimit is a bound on new connections at one upstream host, from all instances together.
//
// While no more instances use a host than connections may be opened to it in 100 ms, each has a whole number of them in any
// 100 ms: no window has more than the bound, whatever the instances do. Beyond that each has one turn in each period of
// instances / (10 * Handshakes) s, drawn at random by each process for each host. Unused turns expire. A token bucket would not
// do: after a quiet minute every instance's is full, and when a host resets its connections all connect again at once, which is
// what the bound is for. Turns by rank would be exact, and all at once where ranks are equal or clocks differ.
type HandshakeLimit struct {
	MaxHandshakes int  // new connections at one host in 100 ms; 0: no bound
	Instances     int  // of the fleet, by the settings
	Numbered      bool // the instances' ranks and number are right, so that hosts are used evenly
}

// InstancesPerHost returns how many instances open connections to one of so many hosts. Where hosts are chosen by instances'
// names these may be equal or hash unevenly, so that a host may have any number of them: all are counted.
func (l HandshakeLimit) InstancesPerHost(hosts int) float64 {
	if !l.Numbered || hosts < 1 {
		return float64(l.Instances)
	}
	used := max(MinHostsPerInstance, (TargetInstancesPerHost*hosts+l.Instances-1)/l.Instances)
	return float64(l.Instances) * float64(min(hosts, used)) / float64(hosts)
}

// Share is an instance's share of a HandshakeLimit.
type Share struct {
	Burst    int           // connections in any Interval; 0: no bound
	Interval time.Duration // more than 100 ms: connections are opened in the instance's turn alone
}

// Share returns what one instance may open to one of so many hosts. A single instance is not bounded.
func (l HandshakeLimit) Share(hosts int) Share {
	if l.MaxHandshakes <= 0 || l.Instances <= 1 {
		return Share{}
	}
	instances, limit := l.InstancesPerHost(hosts), float64(l.MaxHandshakes)
	if instances <= limit {
		return Share{Burst: int(limit / max(1, instances)), Interval: handshakeWindow}
	}
	return Share{Burst: 1, Interval: time.Duration(math.Ceil(instances / limit * float64(handshakeWindow)))}
}

// HandshakeLimiter limits one instance's new connections to one host. Its times are of a monotonic clock.
type HandshakeLimiter struct {
	// Phase is where the instance's turn is in a period, from 0 to 1, drawn at random.
	Phase  float64
	opened []time.Duration // the last ones, oldest first
}

// Next returns when the next connection may be opened: now, or at most one period later, two where the share has changed.
func (l *HandshakeLimiter) Next(s Share, now time.Duration) time.Duration {
	if s.Burst == 0 {
		return now
	}
	earliest := now // by the connections that were opened last
	if n := len(l.opened); n >= s.Burst {
		earliest = max(now, l.opened[n-s.Burst]+s.Interval)
	}
	if s.Interval <= handshakeWindow {
		return earliest
	}
	if n := len(l.opened); n > 0 { // a late one does not cost the next turn
		earliest = max(now, l.opened[n-1]+s.Interval-maxHandshakeLateness)
	}
	firstTurn := time.Duration(l.Phase * float64(s.Interval))
	sinceTurn := ((earliest-firstTurn)%s.Interval + s.Interval) % s.Interval
	if sinceTurn <= maxHandshakeLateness && (len(l.opened) == 0 || earliest-sinceTurn > l.opened[len(l.opened)-1]) {
		return earliest
	}
	return earliest - sinceTurn + s.Interval
}

// Allow reports whether a connection may be opened now, and records that it is.
func (l *HandshakeLimiter) Allow(s Share, now time.Duration) bool {
	if s.Burst == 0 {
		return true
	}
	if l.Next(s, now) > now {
		return false
	}
	if extra := len(l.opened) + 1 - s.Burst; extra > 0 {
		l.opened = append(l.opened[:0], l.opened[extra:]...)
	}
	l.opened = append(l.opened, now)
	return true
}
