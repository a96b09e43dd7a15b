package replication

import (
	"flag"
	"sync/atomic"
	"testing"
	"time"
)

// simulations is the number of seeds that TestSimulation plays with each setup. To play thousands:
//
//	go test ./internal/fleet/replication -run 'TestSimulation$' -simulations 2000
var simulations = flag.Int("simulations", 12, "seeds of each setup that TestSimulation plays")

// firstSeed is the first of the seeds. With -simulations 1 it repeats a single simulation.
var firstSeed = flag.Uint64("first-seed", 0, "the first seed that TestSimulation plays")

// setups are replica groups of one to six machines.
var setups = map[string]setup{
	"one, none may be lost":          {machineCount: 1, founderCount: 1},
	"two, none may be lost":          {machineCount: 2, founderCount: 2},
	"three, one may be lost":         {machineCount: 3, founderCount: 3, tolerance: Tolerance{Machines: 1}},
	"three, slow transfers":          {machineCount: 3, founderCount: 3, tolerance: Tolerance{Machines: 1}, transferTime: 900 * time.Millisecond},
	"four, one may be lost":          {machineCount: 4, founderCount: 3, tolerance: Tolerance{Machines: 1}},
	"five, one may be lost":          {machineCount: 5, founderCount: 3, tolerance: Tolerance{Machines: 1}},
	"five, two may be lost":          {machineCount: 5, founderCount: 3, tolerance: Tolerance{Machines: 2}},
	"six, two may be lost":           {machineCount: 6, founderCount: 3, tolerance: Tolerance{Machines: 2}},
	"three zones, one may be lost":   {machineCount: 3, founderCount: 3, tolerance: Tolerance{Zones: 1}, zones: 3},
	"six, one zone may be lost":      {machineCount: 6, founderCount: 3, tolerance: Tolerance{Zones: 1}, zones: 3},
	"four founders, one may be lost": {machineCount: 4, founderCount: 4, tolerance: Tolerance{Machines: 1}},
	"six founders, two may be lost":  {machineCount: 6, founderCount: 6, tolerance: Tolerance{Machines: 2}},
}

// withDefaults returns the setup with the default number of zones and the duration.
func (s setup) withDefaults() setup {
	if s.zones == 0 {
		s.zones = 1000 // each machine is in a zone of its own
	}
	s.duration = 60 * time.Second
	return s
}

// Guards against any sequence of events after which an acknowledged change is lost, a read lacks a change that was
// acknowledged before it, or there is no primary.
func TestSimulation(t *testing.T) {
	var found atomic.Bool // stops all setups after the first fault, since one is enough to fail the test
	for name, s := range setups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var changes, reads int
			for seed := *firstSeed; seed < *firstSeed+uint64(*simulations); seed++ {
				if found.Load() {
					return
				}
				sim := newSimulation(s.withDefaults(), seed)
				if fault := sim.run(); fault != "" {
					found.Store(true)
					t.Fatalf("seed %d: %s\n%s", seed, fault, sim.scriptText())
				}
				changes += len(sim.acknowledged) / entrySize
				reads += sim.reads
			}
			t.Logf("%d seeds, %d changes acknowledged, %d reads answered", *simulations, changes, reads)
			if changes < 20**simulations || reads < 20**simulations {
				t.Errorf("only %d changes and %d reads: the simulation covers too little", changes, reads)
			}
		})
	}
}
