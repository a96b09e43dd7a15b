package register

import (
	"fmt"
	"runtime/debug"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

const (
	settleTimeout  = 4 * time.Second // within which calls complete once all has healed
	workTime       = time.Second
	expiryTime     = 3200 * time.Millisecond // in which the last call is executed, at the latest, and its hold runs out
	maxDownTime    = 4 * time.Second
	maxLoggedCalls = 200 // of a seed with a fault
)

// run returns the fault of the seed; empty: none. A panic of the code under test is one.
func (s *simulation) run() (fault string) {
	defer func() {
		if cause := recover(); cause != nil {
			fault = fmt.Sprintf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	s.play()
	return s.fault
}

// play plays disruptions, lets all return, and expects service and everything that was acknowledged.
func (s *simulation) play() {
	s.runUntil(time.Second)
	for s.now < s.setup.duration && s.fault == "" {
		s.disrupt()
		s.runUntil(s.now + s.randomDuration(0, 1200*time.Millisecond))
	}
	s.heal()
	s.runUntil(s.healedAt + settleTimeout + workTime)
	s.auditing = true
	s.runUntil(s.now + expiryTime)
	s.audit()
	s.checkHistory()
	if s.fault != "" {
		s.logState()
	}
}

// disrupt does one thing that may happen to a core.
func (s *simulation) disrupt() {
	m := s.machines[s.random.IntN(len(s.machines))]
	down := s.randomDuration(100*time.Millisecond, maxDownTime)
	switch p := s.random.IntN(100); {
	case p < 14:
		s.logEvent("%s crashes for %v", m.address, down)
		m.powerOff(down)
	case p < 24:
		s.loseDisks(1+s.random.IntN(2), down)
	case p < 29:
		s.powerOffAll()
	case p < 39:
		s.logEvent("%s stands still for %v", m.address, down)
		m.freeze(down)
	case p < 53:
		m.nextFreezeDuration = s.randomDuration(50*time.Millisecond, 3*time.Second)
	case p < 65:
		s.isolate(m, down)
	case p < 71:
		s.partitionCore(down)
	case p < 76:
		s.logEvent("the network is slow for %v", down)
		s.slowUntil = s.now + down
	case p < 80:
		s.logEvent("the network loses much for %v", down)
		s.lossyUntil = s.now + down
	case p < 86:
		s.logEvent("%s leaves, and is back after %v", m.address, down)
		m.leave(down)
	default:
		s.interruptNextChange()
	}
}

// loseDisks wipes as many machines as may lose their disks now, up to a number.
func (s *simulation) loseDisks(count int, down time.Duration) {
	for _, i := range s.random.Perm(len(s.machines))[:count] {
		if s.mayLoseDisk(s.machines[i]) {
			s.machines[i].wipe(down)
		}
	}
}

// powerOffAll ends all processes at once, and up to two disks with them.
func (s *simulation) powerOffAll() {
	s.logEvent("all power is lost")
	for _, m := range s.machines {
		m.powerOff(s.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
	}
	s.loseDisks(s.random.IntN(3), s.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
}

// cut takes one machine off the network, in one direction or in both.
func (s *simulation) isolate(m *machine, span time.Duration) {
	direction := s.random.IntN(4)
	s.logEvent("%s is cut off for %v, direction %d", m.address, span, direction)
	for _, other := range s.machines {
		if other == m {
			continue
		}
		if direction != 0 {
			s.partitions[[2]string{m.address, other.address}] = s.now + span
		}
		if direction != 1 {
			s.partitions[[2]string{other.address, m.address}] = s.now + span
		}
	}
}

// partitionCore divides the machines into two sides.
func (s *simulation) partitionCore(span time.Duration) {
	s.logEvent("the core is split for %v", span)
	side := map[*machine]bool{}
	for _, m := range s.machines {
		side[m] = s.oneIn(2)
	}
	for _, a := range s.machines {
		for _, b := range s.machines {
			if side[a] != side[b] {
				s.partitions[[2]string{a.address, b.address}] = s.now + span
			}
		}
	}
}

// leave shuts the machine down in an orderly way, and starts it again later.
func (m *machine) leave(down time.Duration) {
	m.leaving = true
	boot := m.boot
	m.sim.after(2*time.Second, func() {
		if m.boot == boot {
			m.powerOff(down)
		}
	})
}

// interruptNextChange has the acceptors change, and whoever does some step of it lose power.
func (s *simulation) interruptNextChange() {
	s.armedStep = changeStep(1 + s.random.IntN(int(changeStepEnd)-1))
	m := s.machines[s.random.IntN(len(s.machines))]
	s.logEvent("step %d of the next change is to be cut off; %s goes", s.armedStep, m.address)
	switch {
	case s.mayLoseDisk(m) && s.oneIn(2):
		m.wipe(s.randomDuration(100*time.Millisecond, time.Second))
	case s.oneIn(2):
		m.leave(time.Second)
	default:
		m.freeze(s.randomDuration(2700*time.Millisecond, maxDownTime))
	}
}

// heal ends all disruptions. Processes that are down start.
func (s *simulation) heal() {
	s.logEvent("all heals")
	s.healed, s.healedAt = true, s.now
	clear(s.partitions)
	s.slowUntil, s.lossyUntil, s.armedStep = 0, 0, noStep
	for _, m := range s.machines {
		m.nextFreezeDuration, m.leaving = 0, false
		if m.isUp {
			m.thaw()
		} else {
			m.start()
		}
	}
}

// checkService: once all has healed and settled, every call is decided.
func (s *simulation) checkService(k *call) {
	if s.healed && k.startedAt >= s.healedAt+settleTimeout && k.certainty != Decided {
		s.fail("a call of %v that began %v after all had healed is not decided (certainty %d)", k.operation.Name, k.startedAt-s.healedAt, k.certainty)
	}
}

// audit asks for everything once more: what it is told is checked with the history.
func (s *simulation) audit() {
	var operations []coordination.Operation
	for _, id := range simulatedLocks {
		operations = append(operations, coordination.Operation{Kind: coordination.Acquire, Name: lockName(id), Holder: "auditor", Hold: time.Second})
	}
	for _, id := range simulatedCounters {
		operations = append(operations, coordination.Operation{Kind: coordination.Increment, Name: counterName(id)})
	}
	for _, id := range simulatedGroups {
		operations = append(operations, coordination.Operation{Kind: coordination.Watch, Name: groupName(id)})
		for _, key := range simulatedCells {
			operations = append(operations, coordination.Operation{Kind: coordination.Get, Name: groupName(id), Key: id + key})
		}
	}
	auditor := s.addIdleClient()
	for _, operation := range operations {
		var answer *call
		auditor.begin(operation, 0, func(k *call) { answer = k })
		for end := s.now + callTimeout; answer == nil && s.now < end && s.fault == ""; {
			s.runUntil(s.now + machineTick)
		}
		if answer == nil {
			s.fail("the auditor's call of %v is not answered", operation.Name)
			return
		}
		if operation.Kind == coordination.Acquire && answer.certainty == Decided && answer.result.Outcome != coordination.Done {
			s.fail("the auditor's call of %v is not answered as it should: %+v", operation.Name, answer.result)
			return
		}
	}
}

// logState records the last calls and what the disks hold.
func (s *simulation) logState() {
	for _, k := range s.history.calls[max(0, len(s.history.calls)-maxLoggedCalls):] {
		s.logEvent("%s from %v until %v: %+v, certainty %d: %+v", k.client.address, k.startedAt, k.endedAt, k.operation, k.certainty, k.result)
	}
	for _, m := range s.machines {
		h := &m.disk.hardState
		s.logEvent("%v, up %v: epoch %d, ready in %d, acceptors %v, former %v", h.Self, m.isUp, h.Config.Epoch, h.ReadyEpoch,
			h.Config.Acceptors, h.Config.Previous)
	}
}
