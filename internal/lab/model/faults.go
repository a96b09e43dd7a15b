package model

import (
	"slices"
	"time"
)

// faults are those that last. Several of a kind act each by itself: shares strike independently, factors
// multiply, and what one holds down stays down until the last has ended.
type faults struct {
	active []Fault
	slow   float64 // product of the Slow factors
}

func noFaults() faults { return faults{slow: 1} }

func (f *faults) count(kind FaultKind) int {
	n := 0
	for _, a := range f.active {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// share is that of the jobs which a kind strikes.
func (f *faults) share(kind FaultKind) float64 {
	spared := 1.0
	for _, a := range f.active {
		if a.Kind == kind {
			spared *= 1 - a.Size
		}
	}
	return 1 - spared
}

// update multiplies anew, as dividing by a factor that ends would leave a trace of it.
func (f *faults) update() {
	f.slow = 1
	for _, a := range f.active {
		if a.Kind == Slow {
			f.slow *= a.Size
		}
	}
}

// Begin is a fault that begins. Its ID is that of no other that lasts; the factor of a Slow is above 0.
func (s *Server) Begin(now time.Duration, fault Fault) {
	s.to(now)
	before := s.phase()
	s.faults.active = append(s.faults.active, fault)
	s.faults.update()
	switch fault.Kind {
	case Vanish:
		// What it held is lost, but nobody hears of it before the machine is back.
		s.swallow()
		s.halt()
	case Dead:
		if before == Up {
			s.reset()
		}
		s.halt()
	case Hang:
		s.swallow()
	case Slow:
		s.turned()
	}
	s.settle()
}

// End is the end of the fault with this ID. If there is none, nothing happens.
func (s *Server) End(now time.Duration, id int) {
	s.to(now)
	i := slices.IndexFunc(s.faults.active, func(f Fault) bool { return f.ID == id })
	if i < 0 {
		return
	}
	before, kind := s.phase(), s.faults.active[i].Kind
	s.faults.active = slices.Delete(s.faults.active, i, i+1)
	s.faults.update()
	after := s.phase()
	if before == Silent && after != Silent {
		s.reset()
	}
	if before != Up && after == Up {
		s.boot(true)
	}
	if kind == Slow {
		s.turned()
	}
	s.settle()
}
