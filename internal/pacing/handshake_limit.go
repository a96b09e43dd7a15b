package pacing

import (
	"math"
	"time"
)

const (
	handshakeWindow      = 100 * time.Millisecond // over which the limit applies
	maxHandshakeLateness = 10 * time.Millisecond  // of a connection after its turn; longer than the delay of a timer
)

// These constants must equal minSubsetSize and targetInstancesPerEndpoint of package balance, which chooses the hosts
// that an instance uses. A test of that package compares them.
const (
	MinHostsPerInstance    = 8
	TargetInstancesPerHost = 6
)

// HandshakeLimit is a bound on new connections at one upstream host, from all instances together.
//
// If at most MaxHandshakes instances use a host, each may open a fixed whole number of connections in any 100 ms, so
// that the bound holds in every window, whatever the instances do. If more instances use it, each has one turn in each
// period of instances / (10 * MaxHandshakes) seconds, drawn at random by each process for each host. Unused turns
// expire.
//
// A token bucket would not work: after a minute without new connections, the buckets of all instances are full, and
// when a host resets its connections all instances reconnect at once, which the bound has to prevent. Turns by rank
// would be exact, but all would coincide if ranks are equal, and could coincide if clocks differ.
type HandshakeLimit struct {
	MaxHandshakes int  // new connections at one host in 100 ms, from all instances; 0: no bound
	Instances     int  // configured number of instances of the fleet
	Numbered      bool // ranks and number of the instances are exact, so that hosts are used evenly
}

// InstancesPerHost returns the number of instances that open connections to one of the given number of hosts. If the
// instances are not Numbered, they choose hosts by hashes of their names, which may be equal or unevenly distributed.
// Any number of instances may then use one host, so all are counted.
func (l HandshakeLimit) InstancesPerHost(hosts int) float64 {
	if !l.Numbered || hosts < 1 {
		return float64(l.Instances)
	}
	hostsPerInstance := max(MinHostsPerInstance, (TargetInstancesPerHost*hosts+l.Instances-1)/l.Instances)
	return float64(l.Instances) * float64(min(hosts, hostsPerInstance)) / float64(hosts)
}

// Share is an instance's share of a HandshakeLimit.
type Share struct {
	Burst    int           // maximum number of connections in any Interval; 0: no bound
	Interval time.Duration // if more than 100 ms, connections are opened only in the instance's turns
}

// Share returns an instance's share of the limit at one of the given number of hosts. A single instance is not bounded.
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

// HandshakeLimiter limits one instance's new connections to one host. Its times are those of a monotonic clock.
type HandshakeLimiter struct {
	// Phase is the position of the instance's turn in a period, from 0 to 1, drawn at random.
	Phase  float64
	opened []time.Duration // times of the last connections, oldest first
}

// Next returns the time at which the next connection may be opened: from now to one period later, or two periods if the
// share has changed.
func (l *HandshakeLimiter) Next(s Share, now time.Duration) time.Duration {
	if s.Burst == 0 {
		return now
	}
	earliest := now // limited by the connections that were opened last
	if n := len(l.opened); n >= s.Burst {
		earliest = max(now, l.opened[n-s.Burst]+s.Interval)
	}
	if s.Interval <= handshakeWindow {
		return earliest
	}
	if n := len(l.opened); n > 0 { // a connection that was opened late does not cost the next turn
		earliest = max(now, l.opened[n-1]+s.Interval-maxHandshakeLateness)
	}
	firstTurn := time.Duration(l.Phase * float64(s.Interval))
	sinceTurn := ((earliest-firstTurn)%s.Interval + s.Interval) % s.Interval
	if sinceTurn <= maxHandshakeLateness && (len(l.opened) == 0 || earliest-sinceTurn > l.opened[len(l.opened)-1]) {
		return earliest
	}
	return earliest - sinceTurn + s.Interval
}

// Allow reports whether a connection may be opened now, and if so records that it is opened.
func (l *HandshakeLimiter) Allow(s Share, now time.Duration) bool {
	if s.Burst == 0 {
		return true
	}
	if l.Next(s, now) > now {
		return false
	}
	if excess := len(l.opened) + 1 - s.Burst; excess > 0 {
		l.opened = append(l.opened[:0], l.opened[excess:]...)
	}
	l.opened = append(l.opened, now)
	return true
}
