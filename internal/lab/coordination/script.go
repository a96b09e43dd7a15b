package coordination

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
	Wipe     FaultKind = "wipe"     // SIGKILL, and a start with an empty disk
	Freeze   FaultKind = "freeze"   // SIGSTOP and SIGCONT
	Stop     FaultKind = "stop"     // SIGTERM, and a start with the same disk
	Hangup   FaultKind = "hangup"   // SIGHUP
	Stall    FaultKind = "stall"    // all core machines freeze at once
	Blackout FaultKind = "blackout" // all processes are killed at once, and two core machines lose their disks
)

const (
	tolerated       = 2 // core machines that may be lost at once
	warmUp          = 1500 * time.Millisecond
	minCore         = 5
	maxMoreCore     = 3
	maxForwarders   = 3
	minTakeover     = 250 * time.Millisecond
	maxTakeover     = 900 * time.Millisecond
	longShare       = 5 // one of so many faults lasts longer, by longTime
	longTime        = 3 * time.Second
	blackoutSpacing = 5 * time.Second
)

// Fault is one step of a script. Machines are indexes of core machines first, then of forwarders.
type Fault struct {
	At       time.Duration `json:"at"` // or later, where the machines before it are not back
	Kind     FaultKind     `json:"kind"`
	Machines []int         `json:"machines,omitempty"`
	Frozen   []int         `json:"frozen,omitempty"` // core machines that freeze before a blackout: what is acknowledged then is on no more disks than has to be
	For      time.Duration `json:"for,omitempty"`    // until the machines come back
	AfterAck bool          `json:"afterAck,omitempty"`
}

// Script is what a seed draws.
type Script struct {
	Seed       uint64        `json:"seed"`
	Core       int           `json:"core"`       // machines with a disk
	Forwarders int           `json:"forwarders"` // machines without
	GraceS     int           `json:"graceS"`     // until a silent machine counts as gone
	HistoryS   int           `json:"historyS"`   // for which events are kept at least
	BulkBytes  int           `json:"bulkBytes"`  // of each value of one group, so that logs are compacted; 0: there is no such group
	Duration   time.Duration `json:"duration"`
	Faults     []Fault       `json:"faults"`
}

// NewScript draws a script.
func NewScript(seed uint64, duration time.Duration) *Script {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &Script{
		Seed: seed, Core: minCore + max(0, random.IntN(2*maxMoreCore+1)-maxMoreCore), Forwarders: 1 + random.IntN(maxForwarders), GraceS: 1 + random.IntN(3), Duration: duration,
	}
	s.HistoryS = []int{1, 20}[random.IntN(2)]
	s.BulkBytes = []int{0, 1000, 8000}[random.IntN(3)]
	lastBlackout := time.Duration(0)
	for at := warmUp; at < duration; at += machines.Between(random, 100*time.Millisecond, 1300*time.Millisecond) {
		f := Fault{At: at, Kind: drawKind(random), AfterAck: random.IntN(2) == 0}
		if f.Kind == Blackout {
			if at-lastBlackout < blackoutSpacing {
				continue
			}
			lastBlackout = at
		}
		s.drawMachines(random, &f)
		s.Faults = append(s.Faults, f)
	}
	// The last fault of each play: what was acknowledged just before it is read back.
	last := Fault{At: duration, Kind: Blackout, AfterAck: true}
	s.drawMachines(random, &last)
	s.Faults = append(s.Faults, last)
	return s
}

// drawKind draws a kind; the weights give machines that are down, as much as is tolerated, for most of a play.
func drawKind(random *rand.Rand) FaultKind {
	return machines.Draw(random, []machines.Weighted[FaultKind]{
		{Value: Kill, Weight: 5},
		{Value: Wipe, Weight: 5},
		{Value: Freeze, Weight: 8},
		{Value: Stop, Weight: 3},
		{Value: Hangup, Weight: 1},
		{Value: Stall, Weight: 2},
		{Value: Blackout, Weight: 2},
	})
}

// drawMachines draws which machines a fault hits and for how long.
func (s *Script) drawMachines(random *rand.Rand, f *Fault) {
	f.For = machines.Between(random, 100*time.Millisecond, 2500*time.Millisecond)
	if random.IntN(longShare) == 0 { // others replace the machine meanwhile
		f.For += longTime
	}
	switch f.Kind {
	case Freeze:
		f.Machines = []int{random.IntN(s.Core + s.Forwarders)}
		if random.IntN(2) == 0 { // it wakes with calls that wait for it, and others decide its names meanwhile
			f.For = machines.Between(random, minTakeover, maxTakeover)
		}
	case Stall:
		f.For = machines.Between(random, 100*time.Millisecond, 1500*time.Millisecond)
		f.Machines = random.Perm(s.Core)
	case Blackout:
		f.For = machines.Between(random, 0, 500*time.Millisecond)
		order := random.Perm(s.Core)
		f.Machines = order[:tolerated]
		if frozen := random.IntN(4); frozen > 1 { // with three of five, nothing may be acknowledged any more
			f.Frozen = order[tolerated : tolerated+frozen]
		}
	case Wipe:
		f.Machines = random.Perm(s.Core)[:1+random.IntN(tolerated)]
	default:
		f.Machines = []int{random.IntN(s.Core + s.Forwarders)}
	}
}

// String returns a fault in one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s of %v for %v", f.Kind, f.Machines, f.For.Round(time.Millisecond))
	if len(f.Frozen) > 0 {
		text += fmt.Sprintf(" while %v are frozen", f.Frozen)
	}
	if f.AfterAck {
		text += " after an acknowledgement"
	}
	return text
}
