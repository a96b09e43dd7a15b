package membership

import (
	"slices"
	"time"
)

// Failure detection: each router sends heartbeats to its successors on the ring and monitors its predecessors.

// Timing holds the intervals and time-outs of the failure detector.
type Timing struct {
	HeartbeatInterval time.Duration // between a router's heartbeats
	FailureTimeout    time.Duration // time without a message after which a monitor declares a router dead
	TombstoneTTL      time.Duration // time after which a member that is dead or has left is removed from the list
}

// DefaultTiming returns the default timing. A router that sends no messages is declared dead after about three seconds.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: time.Second, FailureTimeout: 3200 * time.Millisecond, TombstoneTTL: 60 * time.Second}
}

// monitorsPerMember is the number of routers that monitor each member.
const monitorsPerMember = 2

// Probing of a member starts probeLeadTime before its time-out and is repeated every probeInterval. Without probes, a router
// would declare a live member dead that sends its heartbeats to other routers because its view of the ring differs.
const (
	probeLeadTime = 1200 * time.Millisecond
	probeInterval = 300 * time.Millisecond
)

// pauseDivisor determines the time between two ticks, FailureTimeout/pauseDivisor, above which this router itself is assumed to
// have been paused. The time-outs of all monitored members are then restarted.
const pauseDivisor = 3

// TickResult lists the actions that the caller has to take after a tick.
type TickResult struct {
	Heartbeats []string // addresses to which a heartbeat is to be sent
	Probes     []string // addresses to which a probe is to be sent: a heartbeat that requests a reply
	Dead       []Member // members that have just been declared dead
}

// Tick advances the failure detector to now.
func (l *List) Tick(now time.Duration) TickResult {
	var result TickResult
	if now >= l.nextHeartbeat {
		l.nextHeartbeat = now + l.timing.HeartbeatInterval
		result.Heartbeats = l.successors()
	}
	l.refreshMonitored(now)
	for address := range l.monitored {
		l.checkLiveness(now, l.members[address], &result)
	}
	l.purge(now)
	return result
}

// purge removes members that were declared dead or left longer than TombstoneTTL ago.
func (l *List) purge(now time.Duration) {
	for address, e := range l.members {
		if e.Status != Alive && address != l.self.Address && now-e.endedAt > l.timing.TombstoneTTL {
			delete(l.members, address)
		}
	}
}

// checkLiveness declares a member dead, or requests a probe of it, depending on the time since its last message.
func (l *List) checkLiveness(now time.Duration, e *entry, result *TickResult) {
	elapsed := now - e.lastContact
	switch {
	case elapsed > l.timing.FailureTimeout:
		e.Status, e.endedAt = Dead, now
		l.updateRing(e)
		result.Dead = append(result.Dead, e.Member)
	case elapsed > l.timing.FailureTimeout-probeLeadTime && now-e.lastProbe >= probeInterval:
		e.lastProbe = now
		result.Probes = append(result.Probes, e.Address)
	}
}

// refreshMonitored updates the set of members that this router monitors. The time-out starts anew for members that it did not
// monitor before, and for all members after a pause of this router itself.
func (l *List) refreshMonitored(now time.Duration) {
	paused := now-l.lastTick > l.timing.FailureTimeout/pauseDivisor
	l.lastTick = now
	monitored := map[string]bool{}
	for _, address := range l.predecessors() {
		monitored[address] = true
		if paused || !l.monitored[address] {
			l.members[address].lastContact = now
		}
	}
	l.monitored = monitored
}

// successors returns the addresses of this router's monitors: the members that follow it on the ring.
func (l *List) successors() []string { return l.neighbours(1) }

// predecessors returns the addresses of the members that this router monitors: those that precede it on the ring.
func (l *List) predecessors() []string { return l.neighbours(-1) }

// neighbours returns the addresses of the monitorsPerMember members next to this router on the ring, the nearest first.
// direction is 1 for those that follow it and -1 for those that precede it.
func (l *List) neighbours(direction int) []string {
	self := slices.Index(l.ring, l.self.Address)
	if self < 0 {
		return nil
	}
	size := len(l.ring)
	var addresses []string
	for i := 1; i <= min(monitorsPerMember, size-1); i++ {
		addresses = append(addresses, l.ring[(self+direction*i+size)%size])
	}
	return addresses
}
