package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

// FaultKind is what happens to machines.
type FaultKind string

// The kinds of faults.
const (
	Kill     FaultKind = "kill"     // SIGKILL, and a start with the same disk
	Wipe     FaultKind = "wipe"     // SIGKILL of a core machine, and a start with an empty disk
	Freeze   FaultKind = "freeze"   // SIGSTOP and SIGCONT
	Stop     FaultKind = "stop"     // SIGTERM, and a start with the same disk
	Hangup   FaultKind = "hangup"   // SIGHUP
	Crash    FaultKind = "crash"    // an endpoint resets all of its connections and comes back as another
	Blackout FaultKind = "blackout" // all routers are killed at once, and one core machine loses its disk
)

const (
	tolerated     = 1 // core machines that may be lost at once
	minCore       = 3
	maxMoreCore   = 2
	minEdge       = 1
	maxMoreEdge   = 4
	endpointCount = 4
	warmUp        = time.Second
	minFaultPause = 100 * time.Millisecond
	maxFaultPause = 1500 * time.Millisecond
	minFaultTime  = 100 * time.Millisecond
	maxFaultTime  = 2500 * time.Millisecond
)

// Fault is one step of a script.
type Fault struct {
	At      time.Duration `json:"at"` // or later, where the machines before it are not back
	Kind    FaultKind     `json:"kind"`
	Machine int           `json:"machine"` // of the routers, the core first; of a crash: of the endpoints
	For     time.Duration `json:"for"`     // until it comes back
}

// String returns a fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %d for %v", f.Kind, f.Machine, f.For.Round(time.Millisecond))
}

// Script is what a seed draws.
type Script struct {
	Seed     uint64        `json:"seed"`
	Core     int           `json:"core"` // routers with a disk
	Edge     int           `json:"edge"` // routers without
	GraceS   int           `json:"graceS"`
	Duration time.Duration `json:"duration"` // for which faults begin
	Faults   []Fault       `json:"faults"`
}

// NewScript draws a script. edge is the number of routers without a disk; 0: it is drawn.
func NewScript(seed uint64, duration time.Duration, edge int) *Script {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &Script{
		Seed: seed, Core: minCore + random.IntN(maxMoreCore+1), Edge: minEdge + random.IntN(maxMoreEdge+1), GraceS: 1 + random.IntN(3), Duration: duration,
	}
	if edge > 0 {
		s.Edge = edge
	}
	for at := warmUp; at < duration; at += machines.Between(random, minFaultPause, maxFaultPause) {
		f := Fault{At: at, Kind: drawKind(random), For: machines.Between(random, minFaultTime, maxFaultTime)}
		switch f.Kind {
		case Wipe, Blackout:
			f.Machine = random.IntN(s.Core)
		case Crash:
			f.Machine = random.IntN(endpointCount)
		default:
			f.Machine = random.IntN(s.Core + s.Edge)
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

// drawKind draws a kind by its weight.
func drawKind(random *rand.Rand) FaultKind {
	return machines.Draw(random, []machines.Weighted[FaultKind]{
		{Value: Kill, Weight: 5},
		{Value: Wipe, Weight: 2},
		{Value: Freeze, Weight: 5},
		{Value: Stop, Weight: 5},
		{Value: Hangup, Weight: 2},
		{Value: Crash, Weight: 4},
		{Value: Blackout, Weight: 1},
	})
}
