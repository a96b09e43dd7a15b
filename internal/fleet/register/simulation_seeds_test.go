package register

import (
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// simulations is how many seeds TestSimulation plays of each setup; thousands by a command:
//
//	go test ./internal/fleet/register -run 'TestSimulation$' -simulations 2000
var simulations = flag.Int("simulations", 50, "seeds of each setup that TestSimulation plays")

// firstSeed is the first of them: with -simulations 1, one seed again.
var firstSeed = flag.Uint64("first-seed", 0, "the first seed that TestSimulation plays")

// setups are cores of three to six machines.
var setups = map[string]setup{
	"three, one may be lost":  {machineCount: 3, founderCount: 3, tolerance: replication.Tolerance{Machines: 1}},
	"five, two may be lost":   {machineCount: 5, founderCount: 5, tolerance: replication.Tolerance{Machines: 2}},
	"six, two may be lost":    {machineCount: 6, founderCount: 5, tolerance: replication.Tolerance{Machines: 2}},
	"six, three at the start": {machineCount: 6, founderCount: 3, tolerance: replication.Tolerance{Machines: 2}},
}

// withDefaults fills in what setups leave out.
func (s setup) withDefaults() setup {
	s.zones = 3
	s.duration = 8 * time.Second
	return s
}

// Guards against any course of events after which something acknowledged is gone, is shown older or twice, two count on one lock, or nobody
// serves.
func TestSimulation(t *testing.T) {
	var found atomic.Bool // one setup with a fault says enough
	for name, s := range setups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var steps, decided, unclear, epochs, interruptedChanges, lostDisks int
			for seed := *firstSeed; seed < *firstSeed+uint64(*simulations); seed++ {
				if found.Load() {
					return
				}
				sim := newSimulation(s.withDefaults(), seed)
				if fault := sim.run(); fault != "" {
					found.Store(true)
					t.Fatalf("seed %d: %s\n%s", seed, fault, sim.scriptText())
				}
				steps += sim.steps
				decided += sim.callsByCertainty[Decided]
				unclear += sim.callsByCertainty[Unclear]
				epochs += int(sim.newestEpoch) - 1
				interruptedChanges += sim.interruptedChanges
				lostDisks += len(sim.lostIdentities)
			}
			t.Logf("%d seeds, %d steps, %d calls decided and %d unclear, %d changes of acceptors, %d cut off, %d disks lost",
				*simulations, steps, decided, unclear, epochs, interruptedChanges, lostDisks)
			if decided < 150**simulations || epochs < *simulations/2 {
				t.Errorf("only %d calls and %d changes: the simulation does not get far", decided, epochs)
			}
		})
	}
}

// Guards against a seed that does not replay what it did: a fault that is found once has to be found again.
func TestSimulationReplays(t *testing.T) {
	s := setups["six, two may be lost"].withDefaults()
	for seed := range uint64(6) {
		first, second := newSimulation(s, seed), newSimulation(s, seed)
		first.run()
		second.run()
		if a, b := first.random.Uint64(), second.random.Uint64(); first.steps != second.steps || a != b {
			t.Errorf("seed %d: %d steps and then %d", seed, first.steps, second.steps)
		}
	}
}
