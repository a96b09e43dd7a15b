package model

import (
	"slices"
	"time"
)

// faults are those that last. Several of a kind act each by itself: shares strike independently, factors
// multiply, and what one holds down stays down until the last has ended.
type faults struct {
	active     []Fault
	slowFactor float64 // product of the Slow factors
}

func newFaults() faults { return faults{slowFactor: 1} }

func (f *faults) count(kind FaultKind) int {
	n := 0
	for _, a := range f.active {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// strikes tells whether a kind of fault strikes a job. Draw is its number among the job's draws.
func (s *Endpoint) isAffected(j *job, kind FaultKind, draw uint64) bool {
	spared := 1.0
	for _, a := range s.faults.active {
		switch {
		case a.Kind != kind, a.Class != 0 && a.Class != j.class, s.usedSlots+s.queue.n < a.MinInFlight:
		case !a.PerConnection:
			spared *= 1 - a.Size
		case s.random.happensOnConnection(j.connectionID, kind, a.Size):
			return true
		}
	}
	return s.random.happens(j.number, draw, 1-spared)
}

// update multiplies anew, as dividing by a factor that ends would leave a trace of it.
func (f *faults) updateSlowFactor() {
	f.slowFactor = 1
	for _, a := range f.active {
		if a.Kind == Slow {
			f.slowFactor *= a.Size
		}
	}
}

// StartFault is a fault that begins. Its ID is that of no other that lasts; the factor of a Slow is above 0.
func (s *Endpoint) StartFault(now time.Duration, fault Fault) {
	s.advanceTo(now)
	before := s.currentPhase()
	s.faults.active = append(s.faults.active, fault)
	s.faults.updateSlowFactor()
	switch fault.Kind {
	case Vanish:
		// What it held is lost, but nobody hears of it before the machine is back.
		s.blackholeAll()
		s.stopProcess()
	case Crash:
		if before == Up {
			s.reset()
		}
		s.stopProcess()
	case Hang:
		s.blackholeAll()
	case Slow:
		s.capacityChanged()
	}
	s.updateRates()
}

// EndFault is the end of the fault with this ID. If there is none, nothing happens.
func (s *Endpoint) EndFault(now time.Duration, id int) {
	s.advanceTo(now)
	i := slices.IndexFunc(s.faults.active, func(f Fault) bool { return f.ID == id })
	if i < 0 {
		return
	}
	before, kind := s.currentPhase(), s.faults.active[i].Kind
	s.faults.active = slices.Delete(s.faults.active, i, i+1)
	s.faults.updateSlowFactor()
	after := s.currentPhase()
	if before == Unresponsive && after != Unresponsive {
		s.reset()
	}
	if before != Up && after == Up {
		s.startProcess(true)
	}
	if kind == Slow {
		s.capacityChanged()
	}
	s.updateRates()
}
