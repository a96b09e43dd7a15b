package register

import (
	"fmt"
	"runtime/debug"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

const (
	settleTimeout  = 4 * time.Second // time after heal until all calls must be decided
	workTime       = time.Second
	expiryTime     = 3200 * time.Millisecond // max. time until the last call has been executed and its hold has expired
	maxDownTime    = 4 * time.Second
	maxLoggedCalls = 200 // calls that are logged after a fault
)

// run runs the simulation and returns its fault, or an empty string. A panic of the code under test is a fault.
func (s *simulation) run() (fault string) {
	defer func() {
		if cause := recover(); cause != nil {
			fault = fmt.Sprintf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	s.play()
	return s.fault
}

// play causes disruptions for the setup's duration, ends them, and checks that all calls are then decided and that no
// acknowledged operation is lost.
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

// disrupt causes a random disruption.
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
		s.logEvent("%s freezes for %v", m.address, down)
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
		s.logEvent("the network is lossy for %v", down)
		s.lossyUntil = s.now + down
	case p < 86:
		s.logEvent("%s shuts down, and restarts after %v", m.address, down)
		m.leave(down)
	default:
		s.interruptNextChange()
	}
}

// loseDisks wipes the disks of up to count machines, as far as mayLoseDisk permits.
func (s *simulation) loseDisks(count int, down time.Duration) {
	for _, i := range s.random.Perm(len(s.machines))[:count] {
		if s.mayLoseDisk(s.machines[i]) {
			s.machines[i].wipe(down)
		}
	}
}

// powerOffAll ends all processes at once, and wipes up to two disks.
func (s *simulation) powerOffAll() {
	s.logEvent("all machines lose power")
	for _, m := range s.machines {
		m.powerOff(s.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
	}
	s.loseDisks(s.random.IntN(3), s.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
}

// isolate disconnects one machine from the others, in one direction or in both.
func (s *simulation) isolate(m *machine, span time.Duration) {
	direction := s.random.IntN(4)
	s.logEvent("%s is isolated for %v, direction %d", m.address, span, direction)
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

// partitionCore partitions the network into two random sides.
func (s *simulation) partitionCore(span time.Duration) {
	s.logEvent("the core is partitioned for %v", span)
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

// leave shuts the machine down gracefully: its Hellos announce it for 2 s before the process ends. It restarts later.
func (m *machine) leave(down time.Duration) {
	m.leaving = true
	boot := m.boot
	m.sim.after(2*time.Second, func() {
		if m.boot == boot {
			m.powerOff(down)
		}
	})
}

// interruptNextChange causes a change of acceptors, and a loss of power of the machine that performs a random step of it.
func (s *simulation) interruptNextChange() {
	s.armedStep = changeStep(1 + s.random.IntN(int(changeStepEnd)-1))
	m := s.machines[s.random.IntN(len(s.machines))]
	s.logEvent("step %d of the next change will be interrupted; %s fails or shuts down to cause a change", s.armedStep, m.address)
	switch {
	case s.mayLoseDisk(m) && s.oneIn(2):
		m.wipe(s.randomDuration(100*time.Millisecond, time.Second))
	case s.oneIn(2):
		m.leave(time.Second)
	default:
		m.freeze(s.randomDuration(2700*time.Millisecond, maxDownTime))
	}
}

// heal ends all disruptions and starts the processes that are down.
func (s *simulation) heal() {
	s.logEvent("all disruptions end")
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

// checkService checks that every call that starts settleTimeout or more after heal is decided.
func (s *simulation) checkService(k *call) {
	if s.healed && k.startedAt >= s.healedAt+settleTimeout && k.certainty != Decided {
		s.fail("a call of %v that started %v after all disruptions ended is not decided (certainty %d)", k.operation.Name, k.startedAt-s.healedAt, k.certainty)
	}
}

// audit acquires, increments, watches and reads all names once more. The results are checked with the history.
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
			s.fail("the auditor's call of %v got no reply", operation.Name)
			return
		}
		if operation.Kind == coordination.Acquire && answer.certainty == Decided && answer.result.Outcome != coordination.Done {
			s.fail("the auditor did not acquire %v: %+v", operation.Name, answer.result)
			return
		}
	}
}

// logState logs the last calls and the hard states of all disks.
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
