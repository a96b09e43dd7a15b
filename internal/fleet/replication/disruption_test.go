package replication

import (
	"time"
)

// The disruptions of a simulation. Any number of machines may lose power, freeze and be partitioned at any time. Disks
// and machines are lost permanently only up to the tolerance; the next loss comes only after the whole group was up and
// connected for catchUpTime. Planned shutdowns and replacements come at any time, and a disk may be lost during one.

// disrupt applies a random disruption.
func (s *simulation) disrupt() {
	live := s.live()
	m := live[s.random.IntN(len(live))]
	switch s.random.IntN(12) {
	case 0:
		s.logEvent("%s loses power", m.address)
		s.powerOff(m, s.randomDuration(100*time.Millisecond, 5*time.Second))
	case 1:
		s.powerOffAll()
	case 2, 3:
		s.loseDisk(m, s.random.IntN(3) == 0)
	case 4, 5:
		s.replaceGracefully(m)
	case 6:
		s.replaceLost(m)
	case 7:
		s.restartGracefully(m)
	case 8:
		s.isolate(m)
	case 9:
		s.partitionInHalves()
	case 10:
		s.slowUntil = s.now + s.randomDuration(500*time.Millisecond, 5*time.Second)
		s.logEvent("messages are slow until %v", s.slowUntil)
	case 11:
		m.frozenUntil = s.now + s.randomDuration(200*time.Millisecond, 4*time.Second)
		s.logEvent("%s is frozen until %v", m.address, m.frozenUntil)
	}
}

func (s *simulation) powerOffAll() {
	s.logEvent("all machines lose power")
	for _, m := range s.live() {
		s.powerOff(m, s.randomDuration(100*time.Millisecond, 3*time.Second))
	}
}

// canLoseDisk reports whether disks may be lost now: a loss is tolerated, and the group has recovered from the last
// one.
func (s *simulation) canLoseDisk() bool {
	return s.diskLost == nil && s.setup.tolerance != (Tolerance{})
}

// loseDisk empties the disks of m and of as many other machines as the tolerance allows at once. If duringPowerLoss is
// set, all machines also lose power.
func (s *simulation) loseDisk(m *machine, duringPowerLoss bool) {
	if !s.canLoseDisk() || len(s.acknowledged) == 0 {
		return
	}
	s.recordLoss(m)
	lost := []*machine{m}
	for _, other := range s.live() {
		if len(lost) < s.setup.tolerance.Machines && other != m {
			lost = append(lost, other)
		}
		if s.setup.tolerance.Machines == 0 && other != m && other.zone == m.zone {
			lost = append(lost, other) // all machines in the zone lose their disks
		}
	}
	if duringPowerLoss {
		s.powerOffAll()
	}
	for _, m := range lost {
		s.logEvent("%s loses its disk", m.address)
		m.isUp = false
		m.state = nil
		m.disk = InitialHardState(m.address, s.nonce(), nil)
		s.powerOff(m, s.randomDuration(50*time.Millisecond, 3*time.Second))
	}
}

// replaceGracefully starts a new machine, and then shuts down, as planned, the one that it replaces.
func (s *simulation) replaceGracefully(m *machine) {
	if !s.canResign(m) || m.successor != nil {
		return
	}
	added := s.add(address(len(s.machines)))
	added.zone = m.zone
	m.successor, added.isSuccessor = added, true
	s.startMachine(added)
	s.logEvent("%s starts, to replace %s", added.address, m.address)
	s.schedule(s.randomDuration(200*time.Millisecond, 3*time.Second), func() { s.resign(m, true) })
}

// restartGracefully shuts down a machine as planned, which then starts again with its disk.
func (s *simulation) restartGracefully(m *machine) {
	if m.successor == nil {
		s.resign(m, false)
	}
}

// canResign reports whether a machine may begin a planned shutdown: it runs, has not begun one, and is not the
// successor of a machine that still runs.
func (s *simulation) canResign(m *machine) bool {
	return m.resignedAt == 0 && m.isRunning(s.now) && !m.isRetired && !m.isSuccessor
}

func (s *simulation) resign(m *machine, permanently bool) {
	if !s.canResign(m) {
		if m.successor != nil {
			s.schedule(time.Second, func() { s.resign(m, permanently) })
		}
		return
	}
	s.logEvent("%s begins a planned shutdown, permanently: %v", m.address, permanently)
	m.resignedAt, m.stopsPermanently = s.now, permanently
	s.apply(m, m.node.Resign(s.now))
}

// replaceLost loses a machine permanently, without a resignation, and then starts another one in its place.
func (s *simulation) replaceLost(m *machine) {
	if !s.canLoseDisk() || s.setup.tolerance.Machines == 0 && s.setup.zones < s.setup.machineCount || m.resignedAt != 0 || m.isSuccessor || m.successor != nil {
		return
	}
	s.recordLoss(m)
	s.logEvent("%s is lost permanently", m.address)
	m.isUp, m.isRetired = false, true
	s.schedule(s.randomDuration(500*time.Millisecond, 2*time.Second), func() {
		added := s.add(address(len(s.machines)))
		added.zone = m.zone
		s.startMachine(added)
		s.healthySince = s.now
		s.logEvent("%s starts in place of %s", added.address, m.address)
	})
}

// isolate partitions a machine from all others, in one direction or in both.
func (s *simulation) isolate(m *machine) {
	until := s.now + s.randomDuration(300*time.Millisecond, 20*time.Second)
	inbound, outbound := s.random.IntN(4) > 0, s.random.IntN(4) > 0
	s.logEvent("%s is partitioned until %v: inbound %v, outbound %v", m.address, until, inbound, outbound)
	for _, other := range s.live() {
		if inbound {
			s.partitions[[2]string{other.address, m.address}] = until
		}
		if outbound {
			s.partitions[[2]string{m.address, other.address}] = until
		}
	}
}

func (s *simulation) partitionInHalves() {
	until := s.now + s.randomDuration(300*time.Millisecond, 8*time.Second)
	live := s.live()
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	half := len(live) / 2
	s.logEvent("%s and %d more are partitioned from the others until %v", live[0].address, half-1, until)
	for _, a := range live[:half] {
		for _, b := range live[half:] {
			s.partitions[[2]string{a.address, b.address}], s.partitions[[2]string{b.address, a.address}] = until, until
		}
	}
}
