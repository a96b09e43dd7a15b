package register

import "time"

// changeStep is a step of a change of acceptors. The machine that performs it may be made to lose power.
type changeStep int

const (
	noStep            changeStep = iota
	stepProposeNext              // a planner proposes the next acceptors
	stepLearnNext                // the proposer gets the decided acceptors
	stepAdoptNext                // an acceptor adopts the next Config
	stepCollect                  // a new acceptor requests the registers of the former ones
	stepAnswerCollect            // a former acceptor sends its registers
	stepBecomeReady              // a new acceptor has collected the registers
	changeStepEnd                // number of steps, including noStep
)

// isArmed reports whether the next machine that performs the step is to lose power.
func (s *simulation) isArmed(step changeStep) bool { return step != noStep && step == s.armedStep }

// losePower ends the machine's process in the middle of a step, and restarts it after a random time.
func (m *machine) losePower(step changeStep, where string) {
	s := m.sim
	s.logEvent("%s loses power %s, in step %d of a change", m.address, where, step)
	if s.isArmed(step) {
		s.armedStep = noStep
		s.interruptedChanges++
	}
	m.powerOff(s.randomDuration(100*time.Millisecond, 4*time.Second))
}

// changeStepOf returns the step of a change that an acceptor's output performs, or noStep.
func (m *machine) changeStepOf(out *Output) changeStep {
	switch {
	case out.Write != nil && out.Write.Replace:
		return stepBecomeReady
	case out.Write != nil && out.Write.HardState.Config.Epoch > m.disk.hardState.Config.Epoch:
		return stepAdoptNext
	}
	for _, outgoing := range out.Send {
		switch outgoing.Message.(type) {
		case *Collect:
			return stepCollect
		case *Collected:
			return stepAnswerCollect
		}
	}
	return noStep
}

// plan proposes the next acceptors if the planner has chosen any, or queries the decided ones if a query is necessary.
func (m *machine) plan(now time.Duration) {
	config, self := m.proposer.Config(), m.acceptor.HardState().Self
	next, ok := m.planner.Next(now, config, self)
	if m.deciding != 0 || !ok && !m.planner.ShouldQueryNext(now, config, self) {
		return
	}
	operation := QueryNext(config.Epoch)
	if ok {
		var err error
		if operation, err = DecideNext(next); err != nil {
			panic(err)
		}
		m.sim.proposed = append(m.sim.proposed, next)
		m.sim.logEvent("%s proposes acceptors %v for epoch %d", m.address, next.Acceptors, next.Epoch)
	}
	m.lastID++
	m.deciding = m.lastID
	m.execute(m.proposer.Submit(now, &Call{ID: m.deciding, Operation: operation, Deadline: now + decideTimeout}))
	if ok && m.sim.isArmed(stepProposeNext) {
		m.losePower(stepProposeNext, "after its proposal")
	}
}

// onDecided adopts the decided acceptors and announces them to the other machines.
func (m *machine) onDecided(c Completion) {
	m.deciding = 0
	if c.Certainty != Decided || c.Result.Value == "" {
		return
	}
	next, err := DecodeConfig(c.Result.Value)
	if err != nil {
		m.sim.fail("can't decode the decided acceptors: %v", err)
		return
	}
	m.sim.logEvent("%s learns of epoch %d", m.address, next.Epoch)
	if m.sim.isArmed(stepLearnNext) {
		m.losePower(stepLearnNext, "before it announces the next acceptors")
		return
	}
	m.apply(m.acceptor.Receive(m.clock(), m.acceptor.HardState().Self, &Hello{Config: next}))
	if !m.isUp {
		return
	}
	m.setConfig(next)
	m.sendHellos()
}
