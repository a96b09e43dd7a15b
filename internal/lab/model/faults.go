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

// strikes tells whether a kind of fault strikes a job. Draw is its number among the job's draws.
func (s *Server) strikes(j *job, kind FaultKind, draw uint64) bool {
	spared := 1.0
	for _, a := range s.faults.active {
		switch {
		case a.Kind != kind, a.Class != 0 && a.Class != j.class, s.inWork+s.waiting.n < a.Above:
		case !a.ByConn:
			spared *= 1 - a.Size
		case s.draws.hitConn(j.conn, kind, a.Size):
			return true
		}
	}
	return s.draws.hit(j.number, draw, 1-spared)
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
