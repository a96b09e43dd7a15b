package register

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedInAcceptors are mistakes in acceptors and in changes of acceptors that TestSimulation must detect.
var plantedInAcceptors = map[string]mutation.Mutant{
	"an acceptor that lost its disk votes under its former identity": {File: "acceptor.go", Edits: []mutation.Edit{{
		Original: "replication.Replica{Address: address, Nonce: nonce}}", Mutated: "replication.Replica{Address: address, Nonce: nonce * 0}}"}}},
	"an acceptor is identified by its address alone": {File: "types.go", Edits: []mutation.Edit{{
		Original: "return slices.Contains(c.Acceptors, r)",
		Mutated:  "return slices.ContainsFunc(c.Acceptors, func(a replication.Replica) bool { return a.Address == r.Address })"}}},
	"half of the acceptors count as a majority": {File: "types.go", Edits: []mutation.Edit{{
		Original: "return len(replicas)/2 + 1", Mutated: "return max(1, len(replicas)/2)"}}},
	"a new acceptor takes part before it has collected": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "return sealed >= majority(a.hardState.Config.Previous) && ready > 0", Mutated: "return sealed+ready >= 0"}}},
	"an older version is carried over": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "if r.accepted.less(s.Accepted) {", Mutated: "if r.accepted == (Version{}) {"}}},
	"a lower ballot is accepted": {File: "acceptor.go", Edits: []mutation.Edit{{
		Original: "case m.Version.Ballot.less(r.promised):", Mutated: "case false:"}}},
	"a lower ballot is promised": {File: "acceptor.go", Edits: []mutation.Edit{{
		Original: "if m.Ballot.less(r.promised) {\n\t\tpromise.Promised = r.promised\n\t\treturn promise\n\t}\n\tif r.promised.less(m.Ballot) {",
		Mutated:  "if r.promised != m.Ballot {"}}},
	"a change is applied to another base version": {File: "acceptor.go", Edits: []mutation.Edit{{
		Original: "case !m.Change.IsComplete() && r.accepted != m.Base:", Mutated: "case false:"}}},
	"a collection ends with its first piece": {File: "collection.go", Edits: []mutation.Edit{{
		Original: "c.isComplete = !m.More || len(m.Registers) == 0", Mutated: "c.isComplete = true"}}},
	"a piece begins after the next register": {File: "collection.go", Edits: []mutation.Edit{{
		Original: "compareNames(name, *after) > 0) {", Mutated: "compareNames(name, *after) > 0 && len(name.ID) != len(after.ID)) {"}}},
	"an acceptor that restarts while it collects has no map of answers": {File: "acceptor.go", Edits: []mutation.Edit{{
		Original: "collections: map[replication.Replica]*collection{}, maxPieceBytes", Mutated: "maxPieceBytes"}}},
}

// plantedInProposers are mistakes in proposers and in values of registers that TestSimulation must detect.
var plantedInProposers = map[string]mutation.Mutant{
	"a read is confirmed by one acceptor": {File: "rounds.go", Edits: []mutation.Edit{{
		Original: "if r.count(func(a *acceptorProgress) bool { return a.acked }) >= majority(p.config.Acceptors) {",
		Mutated:  "if r.change == nil || r.count(func(a *acceptorProgress) bool { return a.acked }) >= majority(p.config.Acceptors) {"}}},
	"the first version found is adopted instead of the newest": {File: "rounds.go", Edits: []mutation.Edit{{
		Original: "newest.less(progress.promise.Accepted)", Mutated: "newest == (Version{})"}}},
	"a watch returns a state that is not chosen": {File: "rounds.go", Edits: []mutation.Edit{{
		Original: "r.queue = nil\n\tp.lastRoundTrip++", Mutated: "r.queue = nil\n\tp.answerWaiters(now, r)\n\tp.lastRoundTrip++"}}},
	"a call completes as not executed after a message was sent": {File: "proposer.go", Edits: []mutation.Edit{{
		Original: "if call.proposed {", Mutated: "if false {"}}},
	"a lock expires by another machine's clock": {File: "../coordination/lock.go", Edits: []mutation.Edit{{
		Original: "grantedAt: now - time.Duration(r.AgeMs)*time.Millisecond,", Mutated: "grantedAt: time.Duration(r.AgeMs) * time.Millisecond,"}}},
	"a fence is kept when its holder acquires again": {File: "../coordination/lock.go", Edits: []mutation.Edit{{
		Original: "l.holder = op.Holder\n\tl.fence++", Mutated: "if l.holder != op.Holder {\n\t\tl.fence++\n\t}\n\tl.holder = op.Holder"}}},
	"a renewal shortens a hold": {File: "../coordination/lock.go", Edits: []mutation.Edit{{
		Original: "hold = max(hold, l.hold-(now-l.grantedAt))", Mutated: "hold = op.Hold"}}},
	"a repeated put is executed twice": {File: "../coordination/group.go", Edits: []mutation.Edit{{
		Original: "exists := g.revisionOf(op.Key, op.Value); exists {", Mutated: "exists := g.revisionOf(op.Key, op.Value); exists && false {"}}},
	"events are missing from snapshots": {File: "../coordination/group.go", Edits: []mutation.Edit{
		{Original: "r := &GroupRecord{Revision: g.revision, Floor: g.floor}", Mutated: "r := &GroupRecord{Revision: g.revision, Floor: g.revision}"},
		{Original: "for _, e := range g.events {\n\t\tevent := e.Event", Mutated: "for _, e := range g.events[:0] {\n\t\tevent := e.Event"}}},
}

// plantedInScripts are mistakes whose effect needs too rare a sequence of events for a simulation. The scripted tests in
// carry_over_test.go, rounds_test.go and half_decided_test.go must detect them.
var plantedInScripts = map[string]mutation.Mutant{
	"a former acceptor is not sealed": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "a.adopt(m.Config)\n\tif !slices", Mutated: "if !slices"}}},
	"no sealed former acceptor needs to have taken part": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "&& ready > 0", Mutated: "&& ready >= 0"}}},
	"one sealed former acceptor is sufficient": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "sealed >= majority(a.hardState.Config.Previous) && ready > 0", Mutated: "sealed > 0 && ready > 0"}}},
	"acknowledgements of an earlier round are counted": {File: "rounds.go", Edits: []mutation.Edit{{
		Original: "m.RoundTrip != r.roundTrip || m.Version != r.version", Mutated: "m.Version != r.version"}}},
	"a proposal accepted by a minority stays undecided": {File: "planner.go", Edits: []mutation.Edit{{
		Original: "p.nextQuery = now + queryInterval\n\treturn true", Mutated: "return false"}}},
	"a former acceptor that was still collecting does not answer": {File: "carry_over.go", Edits: []mutation.Edit{{
		Original: "if !slices.Contains(m.Config.Previous, a.hardState.Self) {", Mutated: "if !slices.Contains(m.Config.Previous, a.hardState.Self) || !a.wasReady(m.Config.Epoch) {"}}},
}

// Guards against scripted tests that can't detect mistakes.
func TestScriptsFindPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedInScripts, "^Test(Acceptor|Proposer|SimulationOutlives)", "--- FAIL")
}

// Guards against a simulation that can't detect mistakes.
func TestSimulationFindsPlantedMistakes(t *testing.T) {
	for part, mutants := range map[string]map[string]mutation.Mutant{"acceptors": plantedInAcceptors, "proposers": plantedInProposers} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			mutation.ExpectAllKilled(t, mutants, "^TestSimulation$", "seed ", "-simulations", "150")
		})
	}
}
