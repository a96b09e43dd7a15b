// Package model is an upstream endpoint as a queueing model: its capacity at any moment, its queue, what it accepts and
// rejects, its warm-up after a start, its collapse under too much load, and its faults. The virtual player and the player
// on sockets run the same model.
//
// The package does no I/O, reads no clock and starts no goroutines. Callers pass the time with every call, never an
// earlier one than before, and carry out the events that Endpoint.Advance returns.
//
// Times are durations since the start of a run. Work is time on a standard core: an endpoint of Speed 2 does 10 ms of
// work in 5 ms on one of its cores.
package model

import (
	"math"
	"time"
)

// Never is the time of an event that is not going to happen.
const Never = time.Duration(math.MaxInt64)

// Phase is what a caller's connection meets.
type Phase uint8

// The phases.
const (
	Up           Phase = iota // connections are accepted and read
	Unresponsive              // connections neither open nor close, and open ones carry nothing
	Down                      // connections are refused and reset
)

// Admission is the outcome of a connect.
type Admission uint8

// The outcomes.
const (
	ConnectionAccepted Admission = iota
	ConnectionRefused            // reset at once
	ConnectionDropped            // never answered: the caller's time-out ends it
)

// Load is the state of an endpoint at one moment, for plots and judges.
type Load struct {
	Running, Queued, Connections int
	Blackholed                   int     // requests accepted that will never get a response, not yet cancelled; they hold no slot
	Capacity                     float64 // present, in standard cores, with losses and faults, without pauses; 0 while not Up
	WarmingUp                    bool
	Collapsed                    bool

	// SentWork is the work that has reached the endpoint since it was made, whatever became of it. PossibleWork is what
	// it could have done meanwhile (with cores, speed, warm-up and slowness; without overload, connections and pauses).
	// The ratio of their increments over a window is its pressure.
	SentWork     time.Duration
	PossibleWork time.Duration
	DoneWork     time.Duration // also that for requests without a response
	PeakPressure float64       // so far while warming up
}
