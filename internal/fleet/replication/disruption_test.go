package replication

import (
	"time"
)

// The disruptions of a simulation. Machines may lose power, freeze and be cut off in any number at any time. Disks are lost,
// and machines are lost for good, up to the tolerance: the next one only after the core was whole for the time that a
// machine has to catch up. Planned ends and replacements come at any time, and a disk may be lost in the middle of one.

// disrupt has something happen.
func (s *simulation) disrupt() {
	live := s.live()
	n := live[s.random.IntN(len(live))]
	switch s.random.IntN(12) {
	case 0:
		s.note("%s loses power", n.address)
		s.powerOff(n, s.span(100*time.Millisecond, 5*time.Second))
	case 1:
		s.allLosePower()
	case 2, 3:
		s.loseDisk(n, s.random.IntN(3) == 0)
	case 4, 5:
		s.replacePlanned(n)
	case 6:
		s.replaceLost(n)
	case 7:
		s.restartPlanned(n)
	case 8:
		s.cutOff(n)
	case 9:
		s.cutInHalves()
	case 10:
		s.slowUntil = s.now + s.span(500*time.Millisecond, 5*time.Second)
		s.note("messages are slow until %v", s.slowUntil)
	case 11:
		n.frozen = s.now + s.span(200*time.Millisecond, 4*time.Second)
		s.note("%s stands still until %v", n.address, n.frozen)
	}
}

func (s *simulation) allLosePower() {
	s.note("all lose power")
	for _, n := range s.live() {
		s.powerOff(n, s.span(100*time.Millisecond, 3*time.Second))
	}
}

// mayLoseDisk tells whether one more disk may be lost: with a tolerance of more than one, this many at once.
func (s *simulation) mayLoseDisk() bool {
	return s.diskLostBy == nil && s.setup.tolerance != (Tolerance{})
}

// loseDisk takes as many disks as may be lost at once, perhaps while all others lose power.
func (s *simulation) loseDisk(n *node, withPower bool) {
	if !s.mayLoseDisk() || len(s.acknowledged) == 0 {
		return
	}
	s.loses(n)
	lost := []*node{n}
	for _, other := range s.live() {
		if len(lost) < s.setup.tolerance.Machines && other != n {
			lost = append(lost, other)
		}
		if s.setup.tolerance.Machines == 0 && other != n && other.zone == n.zone {
			lost = append(lost, other) // a zone is lost whole
		}
	}
	if withPower {
		s.allLosePower()
	}
	for _, n := range lost {
		s.note("%s loses its disk", n.address)
		n.up = false
		n.state = nil
		n.disk = InitialHardState(n.address, s.nonce(), nil)
		s.powerOff(n, s.span(50*time.Millisecond, 3*time.Second))
	}
}

// replacePlanned has a new machine come, and then ends one.
func (s *simulation) replacePlanned(n *node) {
	if !s.mayResign(n) || n.successor != nil {
		return
	}
	added := s.add(address(len(s.nodes)))
	added.zone = n.zone
	n.successor, added.isSuccessor = added, true
	s.startNode(added)
	s.note("%s comes, to replace %s", added.address, n.address)
	s.later(s.span(200*time.Millisecond, 3*time.Second), func() { s.resign(n, true) })
}

// restartPlanned ends a machine that comes back with its disk.
func (s *simulation) restartPlanned(n *node) {
	if n.successor == nil {
		s.resign(n, false)
	}
}

// mayResign tells whether a machine may be told to end: it runs, and does not have to take another one's place first.
func (s *simulation) mayResign(n *node) bool {
	return n.resigned == 0 && n.runs(s.now) && !n.gone && !n.isSuccessor
}

func (s *simulation) resign(n *node, forGood bool) {
	if !s.mayResign(n) {
		if n.successor != nil {
			s.later(time.Second, func() { s.resign(n, forGood) })
		}
		return
	}
	s.note("%s is told to end, for good %v", n.address, forGood)
	n.resigned, n.forGood = s.now, forGood
	s.carryOut(n, n.machine.Resign(s.now))
}

// replaceLost has a machine go for good without a word, and another one come.
func (s *simulation) replaceLost(n *node) {
	if !s.mayLoseDisk() || s.setup.tolerance.Machines == 0 && s.setup.zones < s.setup.machines || n.resigned != 0 || n.isSuccessor || n.successor != nil {
		return
	}
	s.loses(n)
	s.note("%s goes for good", n.address)
	n.up, n.gone = false, true
	s.later(s.span(500*time.Millisecond, 2*time.Second), func() {
		added := s.add(address(len(s.nodes)))
		added.zone = n.zone
		s.startNode(added)
		s.healthySince = s.now
		s.note("%s comes in the place of %s", added.address, n.address)
	})
}

// cutOff cuts a machine from all others, or one way only.
func (s *simulation) cutOff(n *node) {
	until := s.now + s.span(300*time.Millisecond, 20*time.Second)
	in, out := s.random.IntN(4) > 0, s.random.IntN(4) > 0
	s.note("%s is cut off until %v: in %v, out %v", n.address, until, in, out)
	for _, other := range s.live() {
		if in {
			s.cuts[[2]string{other.address, n.address}] = until
		}
		if out {
			s.cuts[[2]string{n.address, other.address}] = until
		}
	}
}

func (s *simulation) cutInHalves() {
	until := s.now + s.span(300*time.Millisecond, 8*time.Second)
	live := s.live()
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	half := len(live) / 2
	s.note("%s and %d more are cut from the rest until %v", live[0].address, half-1, until)
	for _, a := range live[:half] {
		for _, b := range live[half:] {
			s.cuts[[2]string{a.address, b.address}], s.cuts[[2]string{b.address, a.address}] = until, until
		}
	}
}
