package replication

import (
	"time"
)

// The disruptions of a simulation. Machines may lose power, freeze and be cut off in any number at any time. Disks are lost,
// and machines are lost for good, up to the tolerance: the next one only after the core was connected for the time that a
// machine has to catch up. Planned ends and replacements come at any time, and a disk may be lost in the middle of one.

// disrupt has something happen.
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
		s.logEvent("%s stands still until %v", m.address, m.frozenUntil)
	}
}

func (s *simulation) powerOffAll() {
	s.logEvent("all lose power")
	for _, m := range s.live() {
		s.powerOff(m, s.randomDuration(100*time.Millisecond, 3*time.Second))
	}
}

// canLoseDisk reports whether one more disk may be lost: with a tolerance of more than one, this many at once.
func (s *simulation) canLoseDisk() bool {
	return s.diskLost == nil && s.setup.tolerance != (Tolerance{})
}

// loseDisk takes as many disks as may be lost at once, perhaps while all others lose power.
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
			lost = append(lost, other) // with all that is in the zone
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

// replaceGracefully has a new machine come, and then ends one.
func (s *simulation) replaceGracefully(m *machine) {
	if !s.canResign(m) || m.successor != nil {
		return
	}
	added := s.add(address(len(s.machines)))
	added.zone = m.zone
	m.successor, added.isSuccessor = added, true
	s.startMachine(added)
	s.logEvent("%s comes, to replace %s", added.address, m.address)
	s.schedule(s.randomDuration(200*time.Millisecond, 3*time.Second), func() { s.resign(m, true) })
}

// restartGracefully ends a machine that comes back with its disk.
func (s *simulation) restartGracefully(m *machine) {
	if m.successor == nil {
		s.resign(m, false)
	}
}

// canResign reports whether a machine may be told to end: it runs, and does not have to take another one's place first.
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
	s.logEvent("%s is told to end, for good %v", m.address, permanently)
	m.resignedAt, m.stopsPermanently = s.now, permanently
	s.apply(m, m.node.Resign(s.now))
}

// replaceLost has a machine go for good without a word, and another one come.
func (s *simulation) replaceLost(m *machine) {
	if !s.canLoseDisk() || s.setup.tolerance.Machines == 0 && s.setup.zones < s.setup.machineCount || m.resignedAt != 0 || m.isSuccessor || m.successor != nil {
		return
	}
	s.recordLoss(m)
	s.logEvent("%s goes for good", m.address)
	m.isUp, m.isRetired = false, true
	s.schedule(s.randomDuration(500*time.Millisecond, 2*time.Second), func() {
		added := s.add(address(len(s.machines)))
		added.zone = m.zone
		s.startMachine(added)
		s.healthySince = s.now
		s.logEvent("%s comes in the place of %s", added.address, m.address)
	})
}

// isolate partitions a machine from all others, or one way only.
func (s *simulation) isolate(m *machine) {
	until := s.now + s.randomDuration(300*time.Millisecond, 20*time.Second)
	inbound, outbound := s.random.IntN(4) > 0, s.random.IntN(4) > 0
	s.logEvent("%s is cut off until %v: in %v, out %v", m.address, until, inbound, outbound)
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
	s.logEvent("%s and %d more are cut from the rest until %v", live[0].address, half-1, until)
	for _, a := range live[:half] {
		for _, b := range live[half:] {
			s.partitions[[2]string{a.address, b.address}], s.partitions[[2]string{b.address, a.address}] = until, until
		}
	}
}
