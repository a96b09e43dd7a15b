package register

import (
	"testing"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Guards against a Config that was accepted by a single acceptor and is decided much later, when machines in it have
// lost their disks: if two more disks are lost at once, it has no majority, and all registers are lost permanently.
func TestSimulationOutlivesProposalAcceptedByOne(t *testing.T) {
	s := setups["six, two may be lost"].withDefaults()
	sim := newSimulation(s, 1)
	sim.healed = true
	sim.runUntil(2 * time.Second)

	// A planner without Hellos of 10.0.0.3 proposed 10.0.0.6 instead; its machine lost power after sending one Accept.
	founders := sim.machines[0].disk.hardState.Config.Acceptors
	next := Config{
		Epoch: 2, Acceptors: []replication.Replica{founders[0], founders[1], founders[3], founders[4], sim.machines[5].disk.hardState.Self}, Previous: founders,
	}
	operation, err := DecideNext(next)
	if err != nil {
		t.Fatal(err)
	}
	sim.machines[3].receive(replication.Replica{Address: "10.0.0.5:1"}, &Request{Epoch: 1, Accepts: []Accept{{
		Name: operation.Name, Version: Version{Ballot: Ballot{Epoch: 1, Round: 1, Proposer: 1}, Sequence: 1},
		Change: &coordination.Change{Decision: &coordination.DecisionRecord{Value: operation.Value}},
	}}})
	sim.runUntil(20 * time.Second) // a long time without disruptions
	sim.machines[5].wipe(time.Second)
	sim.runUntil(40 * time.Second)
	sim.machines[0].wipe(time.Second)
	sim.machines[1].wipe(time.Second)
	sim.heal()
	sim.runUntil(50 * time.Second)
	if sim.fault != "" {
		sim.logState()
		t.Errorf("%s\n%s", sim.fault, sim.scriptText())
	}
}
