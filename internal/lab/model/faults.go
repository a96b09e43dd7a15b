package model

import (
	"slices"
	"time"
)

// FaultKind is a kind of fault. Faults overlap freely.
type FaultKind uint8

// The kinds of fault.
const (
	// Vanish: the machine is unresponsive, and all its requests are lost. At the end of the fault it is back, resets its
	// connections and warms up.
	Vanish FaultKind = iota + 1
	// Crash: there is no process. Connections are reset and new ones refused. At the end of the fault it warms up.
	Crash
	// Hang: accepts everything and responds to nothing. Requests of that time get no response later either.
	Hang
	// Fail: a share Size of the requests gets an error at once, without work.
	Fail
	// Slow: work takes Size times as long.
	Slow
	// RefuseConnections: new connections are refused; open ones go on.
	RefuseConnections
	// Truncate: a share Size of the responses stops half-way and the connection breaks; the work was done.
	Truncate
	// Corrupt: a share Size of the responses can't be parsed; the work was done.
	Corrupt
	// Trickle: a share Size of the responses comes a few bytes at a time, more slowly than any caller waits.
	Trickle
	// Drop: a share Size of the requests is accepted, holds no slot and gets no response.
	Drop
)

// Fault is a fault that has started. ID identifies it when it ends.
//
// Those that affect a share of the requests (Fail, Truncate, Corrupt, Trickle, Drop) may be limited to a class or to
// overload, or affect a share of the connections, all requests on them, in place of a share of the requests.
type Fault struct {
	ID            int
	Kind          FaultKind
	Size          float64 // a share, or for Slow a factor above 0; see the kinds
	Class         int     // affects only jobs of it; 0 is all
	MinInFlight   int     // affects only while so many are running and queued; 0 is always
	PerConnection bool
}

// faults are the active ones. Several of a kind act independently: shares are drawn for each, factors multiply, and an
// endpoint stays down until the last that keeps it down has ended.
type faults struct {
	active     []Fault
	slowFactor float64 // product of the Slow factors
}

func newFaults() faults { return faults{slowFactor: 1} }

func (f *faults) count(kind FaultKind) int {
	n := 0
	for _, fault := range f.active {
		if fault.Kind == kind {
			n++
		}
	}
	return n
}

// isAffected reports whether a kind of fault affects a job. Draw is its number among the job's draws.
func (e *Endpoint) isAffected(j *job, kind FaultKind, draw uint64) bool {
	unaffected := 1.0
	for _, fault := range e.faults.active {
		switch {
		case fault.Kind != kind, fault.Class != 0 && fault.Class != j.class, e.usedSlots+e.queue.n < fault.MinInFlight:
		case !fault.PerConnection:
			unaffected *= 1 - fault.Size
		case e.random.happensOnConnection(j.connectionID, kind, fault.Size):
			return true
		}
	}
	return e.random.happens(j.number, draw, 1-unaffected)
}

// updateSlowFactor multiplies all factors again: dividing by one that ends would leave a rounding error.
func (f *faults) updateSlowFactor() {
	f.slowFactor = 1
	for _, fault := range f.active {
		if fault.Kind == Slow {
			f.slowFactor *= fault.Size
		}
	}
}

// StartFault starts a fault. Its ID is that of no other active one.
func (e *Endpoint) StartFault(now time.Duration, fault Fault) {
	e.advanceTo(now)
	before := e.currentPhase()
	e.faults.active = append(e.faults.active, fault)
	e.faults.updateSlowFactor()
	switch fault.Kind {
	case Vanish:
		// Its requests are lost, which callers notice only when the machine is back.
		e.blackholeAll()
		e.stopProcess()
	case Crash:
		if before == Up {
			e.reset()
		}
		e.stopProcess()
	case Hang:
		e.blackholeAll()
	case Slow:
		e.capacityChanged()
	}
	e.updateRates()
}

// EndFault ends the fault with an ID. If there is none, nothing happens.
func (e *Endpoint) EndFault(now time.Duration, id int) {
	e.advanceTo(now)
	i := slices.IndexFunc(e.faults.active, func(f Fault) bool { return f.ID == id })
	if i < 0 {
		return
	}
	before, kind := e.currentPhase(), e.faults.active[i].Kind
	e.faults.active = slices.Delete(e.faults.active, i, i+1)
	e.faults.updateSlowFactor()
	after := e.currentPhase()
	if before == Unresponsive && after != Unresponsive {
		e.reset()
	}
	if before != Up && after == Up {
		e.startProcess(true)
	}
	if kind == Slow {
		e.capacityChanged()
	}
	e.updateRates()
}
