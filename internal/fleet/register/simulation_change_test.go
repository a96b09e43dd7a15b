package register

import "time"

// changeStep is a step of a change of acceptors, at which whoever does it may be cut off.
type changeStep int

const (
	noStep            changeStep = iota
	stepProposeNext              // a planner has the next acceptors decided
	stepLearnNext                // the proposer hears what was decided
	stepAdoptNext                // an acceptor is sealed
	stepCollect                  // a new acceptor asks the former ones
	stepAnswerCollect            // a former acceptor answers
	stepBecomeReady              // a new acceptor has collected
	changeStepEnd                // no step
)

// isArmed reports whether whoever does a step is to lose power with it.
func (s *simulation) isArmed(step changeStep) bool { return step != noStep && step == s.armedStep }

// losePower ends the machine's process in the middle of a step.
func (m *machine) losePower(step changeStep, where string) {
	s := m.sim
	s.logEvent("%s loses power %s, step %d of a change", m.address, where, step)
	if s.isArmed(step) {
		s.armedStep = noStep
		s.interruptedChanges++
	}
	m.powerOff(s.randomDuration(100*time.Millisecond, 4*time.Second))
}

// changeStepOf says which step of a change an acceptor's output is.
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

// plan has the present acceptors decide the next ones, where this machine is to propose them, or asks whether they have.
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
		m.sim.logEvent("%s wants %v in epoch %d", m.address, next.Acceptors, next.Epoch)
	}
	m.lastID++
	m.deciding = m.lastID
	m.execute(m.proposer.Submit(now, &Call{ID: m.deciding, Operation: operation, Deadline: now + decideTimeout}))
	if ok && m.sim.isArmed(stepProposeNext) {
		m.losePower(stepProposeNext, "after its proposal")
	}
}

// onDecided takes over the acceptors that were decided, and tells the others.
func (m *machine) onDecided(c Completion) {
	m.deciding = 0
	if c.Certainty != Decided || c.Result.Value == "" {
		return
	}
	next, err := DecodeConfig(c.Result.Value)
	if err != nil {
		m.sim.fail("decided acceptors can't be decoded: %v", err)
		return
	}
	m.sim.logEvent("%s learns of epoch %d", m.address, next.Epoch)
	if m.sim.isArmed(stepLearnNext) {
		m.losePower(stepLearnNext, "before it told")
		return
	}
	m.apply(m.acceptor.Receive(m.clock(), m.acceptor.HardState().Self, &Hello{Config: next}))
	if !m.isUp {
		return
	}
	m.setConfig(next)
	m.sendHellos()
}
