// Package model is a server in figures: what it can do at any moment, what waits, what it takes and turns
// away, how it starts cold, falls over, and misbehaves. It does no I/O, keeps no clock and starts no
// goroutines: the caller passes the time with every call, never an earlier one than before, and carries out
// the effects. The virtual player and the players on sockets run the same model.
//
// Times are durations since the start of a run. Work is time on a standard core: a server of Speed 2 does
// 10 ms of work in 5 ms on one of its cores.
package model

import (
	"math"
	"time"
)

// Never is the time of an event that is not going to happen.
const Never = time.Duration(math.MaxInt64)

// CancelRule says what stops when a caller gives an attempt up.
type CancelRule uint8

// The rules.
const (
	CancelNothing CancelRule = iota // it runs to its end all the same
	CancelQueued                    // dropped while it waits; what runs goes on
	CancelAll                       // dropped, also while it runs
)

// Spec is one server as it was built.
type Spec struct {
	Cores         int
	Speed         float64       // of each core; 1 is the standard core
	Slots         int           // requests in work at once, sharing the cores evenly
	Queue         int           // requests that wait for a slot, in order; beyond that they are turned away unseen
	OverloadAt    int           // requests held (in work and waiting) from which it gets less efficient; 0 is never
	OverloadLoss  float64       // of its capacity, lost for each further OverloadAt requests held: c/(1+loss*over/at)
	PauseInterval time.Duration // mean time between pauses (garbage collection, say); 0 is never
	Pause         time.Duration // mean length of a pause, in which nothing gets on
	ErrorRate     float64       // share of requests answered with an error after their work, at any time

	WarmupInitialShare float64       // capacity right after a start, as a share of the full
	WarmupDuration     time.Duration // until it is warm; it warms evenly. 0 is warm at once
	WarmupByWork       bool          // it warms by work done: WarmupDuration counts its cores' busy time at cold and rising speed

	CollapseMultiple float64       // a cold server that is sent more than this times its present capacity
	CollapseWindow   time.Duration // in a window of this length falls over and stays down; 0 is never

	MaxConnections      int           // open at once; more are refused. 0 is no bound
	ConnectionTableLoss float64       // share of its capacity that a full connection table takes; in proportion
	HandshakeWork       time.Duration // work of a new connection, done with the first request on it
	Cancel              CancelRule
	DedupWindow         time.Duration // a repeat of a key within this of its first run takes no effect again; 0 is none
}

// FaultKind is a way to misbehave. Faults overlap freely.
type FaultKind uint8

// The kinds of fault.
const (
	// Vanish: the machine is silent. Nothing gets in or out; all that it held is lost. At its end the
	// machine is back, its connections are reset and it starts cold.
	Vanish FaultKind = iota + 1
	// Crash: the process is not there. Connections are reset and new ones refused; at its end it starts cold.
	Crash
	// Hang: takes everything and answers nothing. What it took then is never answered, also later.
	Hang
	// Fail: a share Size of what comes is answered with an error at once, without work.
	Fail
	// Slow: work takes Size times as long.
	Slow
	// RefuseConnections: new connections are refused; open ones go on.
	RefuseConnections
	// Truncate: a share Size of the answers stops half-way and the connection breaks; the work was done.
	Truncate
	// Corrupt: a share Size of the answers can't be read; the work was done.
	Corrupt
	// Trickle: a share Size of the answers comes a few bytes at a time, slower than any caller waits.
	Trickle
	// Drop: a share Size of what comes is taken, holds no slot and is never answered; the rest goes on as ever.
	Drop
)

// Fault is a fault that has begun. ID tells it from others when it ends.
//
// Those that strike a share of what comes (Fail, Cut, Spoil, Drip, Mute) may be bound to a class, to a crowd, or to
// connections: then a share of these is struck, always and as a whole, in place of a share of the requests.
type Fault struct {
	ID            int
	Kind          FaultKind
	Size          float64 // a share, or for Slow a factor; see the kinds
	Class         int     // strikes only jobs of it; 0 is all
	MinInFlight   int     // strikes only while so many are in work and waiting; 0 is always
	PerConnection bool
}

// Phase is what a caller's connection meets.
type Phase uint8

// The phases.
const (
	Up           Phase = iota // connections are taken and read
	Unresponsive              // no connection comes up; open ones say nothing
	Down                      // refused and reset
)

// Admission is the answer to a new connection.
type Admission uint8

// The answers.
const (
	ConnectionAccepted Admission = iota
	ConnectionRefused
	ConnectionDropped // it never comes up
)

// Job is one request as it reaches a server.
type Job struct {
	ID             uint64 // unique for each arrival at this server
	IdempotencyKey uint64 // 0 is none
	// Segments is the work before, between and after the calls to the next tier: one more than there are
	// calls. A server that calls nobody has one. The server copies it.
	Segments      []time.Duration
	NewConnection bool   // of its connection, which adds the handshake's work
	Class         int    // for faults that are bound to one
	ConnectionID  uint64 // its connection, for faults that are bound to some
}

// EventKind says what a server did.
type EventKind uint8

// The effects.
const (
	EventStarted   EventKind = iota + 1 // Job has begun to run: its work may take effect from here on
	EventResponded                      // Job is over; Answer says how. A job that is never answered has no such effect
	EventCalling                        // Job waits, in its slot, for call number Call (from 0) of the next tier: Returned goes on
	EventReset                          // every connection is broken and all jobs are lost
	EventLost                           // Job is over and nothing will come of it: withdrawn, or lost with the process
)

// Response is how a server answers.
type Response uint8

// The answers.
const (
	ResponseOK        Response = iota
	ResponseError              // 500
	ResponseRejected           // 503 unseen, never ran
	ResponseTruncated          // half of a 200, then the connection breaks
	ResponseCorrupted          // bytes that are no answer
	ResponseTrickled           // a 200 that comes too slowly for anyone
)

// Event is one thing that a server did at time At.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Job          uint64
	Response     Response
	Deduplicated bool          // EventStarted: a repeat of a key within its window, so that it has no effect of its own
	Call         int           // EventCalling
	Work         time.Duration // EventResponded, Lost: work that it took, in standard time
}

// Load is a server at one moment, for plots and judges.
type Load struct {
	Running, Queued, Connections int
	Blackholed                   int     // requests taken that will never be answered, not yet withdrawn; they hold no slot
	Capacity                     float64 // present, in standard cores, losses and faults counted, pauses not; 0 while not Up
	WarmingUp                    bool
	Collapsed                    bool
	// SentWork is the work that has reached it since it was made, whatever became of it, and Could what it
	// could have done meanwhile (cores, speed, cold share and slowness counted; crowding, connections and
	// pauses not): the two integrals whose differences over a window are its pressure.
	SentWork     time.Duration
	PossibleWork time.Duration
	DoneWork     time.Duration // work done, also what served nobody
	PeakPressure float64       // highest pressure so far while cold: work sent in a window over present capacity
}
