package membership

import (
	"slices"
	"time"
)

// Failure detection: each router sends heartbeats to its successors on the ring, and monitors its predecessors.

// Timing holds the intervals of the failure detector.
type Timing struct {
	HeartbeatInterval time.Duration // between a router's heartbeats
	FailureTimeout    time.Duration // without a message, after which a monitor declares a router dead
	TombstoneTTL      time.Duration // after which a member that is dead or has left is forgotten
}

// DefaultTiming declares a silent router dead in some three seconds.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: time.Second, FailureTimeout: 3200 * time.Millisecond, TombstoneTTL: 60 * time.Second}
}

// monitorsPerMember is how many routers monitor each member.
const monitorsPerMember = 2

// A member is probed from probeLeadTime before the time-out on. Routers whose views of the ring differ would otherwise wait for
// heartbeats that are sent to other routers.
const (
	probeLeadTime = 1200 * time.Millisecond
	probeInterval = 300 * time.Millisecond
)

// Two ticks further apart than FailureTimeout/pauseDivisor mean that this router itself was paused: all members then get another
// complete time-out.
const pauseDivisor = 3

// TickResult is what has to be done after a tick.
type TickResult struct {
	Heartbeats []string // addresses that a heartbeat is due to
	Probes     []string // addresses that a reply is wanted from
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

// purge forgets members that ended long ago.
func (l *List) purge(now time.Duration) {
	for address, e := range l.members {
		if e.Status != Alive && address != l.self.Address && now-e.endedAt > l.timing.TombstoneTTL {
			delete(l.members, address)
		}
	}
}

// checkLiveness declares a member dead, or has it probed, where its last message lies too long back.
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

// refreshMonitored works out whom this router monitors. Members that it did not monitor until now get a complete time-out, and so
// do all after a pause of this router itself.
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

// successors are this router's monitors: those that follow it on the ring.
func (l *List) successors() []string { return l.neighbours(1) }

// predecessors are the members that this router monitors: those before it on the ring.
func (l *List) predecessors() []string { return l.neighbours(-1) }

// neighbours are the members next to this router on the ring, the nearest first: with direction 1 after it, with -1 before it.
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
