package register

import (
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// simulations is the number of seeds that TestSimulation runs for each setup. To run more of them:
//
//	go test ./internal/fleet/register -run 'TestSimulation$' -simulations 2000
var simulations = flag.Int("simulations", 50, "number of seeds that TestSimulation runs for each setup")

// firstSeed is the first seed. With -simulations 1, only this seed runs, to reproduce a fault.
var firstSeed = flag.Uint64("first-seed", 0, "first seed that TestSimulation runs")

// setups are the simulated cores, of three to six machines.
var setups = map[string]setup{
	"three, one may be lost":  {machineCount: 3, founderCount: 3, tolerance: replication.Tolerance{Machines: 1}},
	"five, two may be lost":   {machineCount: 5, founderCount: 5, tolerance: replication.Tolerance{Machines: 2}},
	"six, two may be lost":    {machineCount: 6, founderCount: 5, tolerance: replication.Tolerance{Machines: 2}},
	"six, three at the start": {machineCount: 6, founderCount: 3, tolerance: replication.Tolerance{Machines: 2}},
}

// withDefaults sets the fields that are the same in all setups.
func (s setup) withDefaults() setup {
	s.zones = 3
	s.duration = 8 * time.Second
	return s
}

// Guards against any sequence of events after which an acknowledged operation is lost, an older state is returned, an
// operation takes effect twice, two holders rely on the same lock, or calls are no longer decided.
func TestSimulation(t *testing.T) {
	var found atomic.Bool // a fault in one setup stops the others
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
			t.Logf("%d seeds, %d steps, %d calls decided and %d unclear, %d changes of acceptors, %d interrupted, %d disks lost",
				*simulations, steps, decided, unclear, epochs, interruptedChanges, lostDisks)
			if decided < 150**simulations || epochs < *simulations/2 {
				t.Errorf("only %d decided calls and %d changes of acceptors: the simulation makes too little progress", decided, epochs)
			}
		})
	}
}

// Guards against simulations that are not reproducible: running a seed again must show the same fault.
func TestSimulationReplays(t *testing.T) {
	s := setups["six, two may be lost"].withDefaults()
	for seed := range uint64(6) {
		first, second := newSimulation(s, seed), newSimulation(s, seed)
		first.run()
		second.run()
		if a, b := first.random.Uint64(), second.random.Uint64(); first.steps != second.steps || a != b {
			t.Errorf("seed %d: %d steps in the first run and %d in the second", seed, first.steps, second.steps)
		}
	}
}
