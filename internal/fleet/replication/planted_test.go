package replication

import (
	"maps"
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes are mistakes that TestSimulation must find.
var plantedMistakes = map[string]mutation.Mutant{
	"a change is committed before all members have stored it": {File: "primary.go", Edits: []mutation.Edit{{
		Original: "if n.primary.matchPosition[member] != n.hardState.Position {\n\t\t\treturn\n\t\t}\n\t}\n\tn.primary.committed",
		Mutated:  "_ = member\n\t}\n\tn.primary.committed"}}},
	"leadership is confirmed without a heartbeat round": {File: "primary.go", Edits: []mutation.Edit{{Original: "return n.primary.heartbeats.confirmedAt, true", Mutated: "return n.now, true"}}},
	"an even number of witnesses while one is replaced": {File: "composition.go", Edits: []mutation.Edit{
		{Original: "} else if len(next) >= c.witnessTarget() {", Mutated: "} else if len(next) > c.witnessTarget() {"},
		{Original: "(len(witnesses) > c.witnessTarget() || len(witnesses)%2 == 0)", Mutated: "len(witnesses) > 9"}}},
	"a resigning replica is released before it is replaced": {File: "resignation.go", Edits: []mutation.Edit{{Original: "return !needsVote && !needsCopy", Mutated: "return !needsVote && !needsCopy || true"}}},
	"a machine whose disk was lost is not added again": {File: "composition.go", Edits: []mutation.Edit{
		{Original: "witnesses[at] = joiner", Mutated: "return true"}}},
	"a change stays pending after a member stopped resigning": {File: "primary.go", Edits: []mutation.Edit{
		{Original: "n.advanceCommit() // a member may not be resigning any more", Mutated: ""}}},
	"a candidate ignores accepted proposals": {File: "election.go", Edits: []mutation.Edit{
		{Original: "return best.Proposal, !best.Accepted.isZero()", Mutated: "return best.Proposal, false"}}},
	"a zone may hold half of the witnesses": {File: "composition.go", Edits: []mutation.Edit{
		{Original: "if c.survivesLocalityLoss(changed) || !c.survivesLocalityLoss(next) {", Mutated: "if true {"}}},
}

// Guards against a simulation that passes although the protocol has a fault.
func TestSimulationFindsPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedMistakes, "^TestSimulation$", "seed ", "-simulations", "80")
}

// plantedInElections are violations of promises, and of the rules by which promises are counted.
var plantedInElections = map[string]mutation.Mutant{
	"a lower ballot is promised": {File: "witness.go", Edits: []mutation.Edit{{
		Original: "if message.Ballot.less(n.hardState.Promised) {\n\t\tn.send(from, Reject{Number: n.nextNumber()",
		Mutated:  "if false {\n\t\tn.send(from, Reject{Number: n.nextNumber()"}}},
	"a lower ballot is accepted": {File: "witness.go", Edits: []mutation.Edit{{
		Original: "if message.Ballot.less(n.hardState.Promised) {\n\t\tn.send(from, Reject{Number: number",
		Mutated:  "if false {\n\t\tn.send(from, Reject{Number: number"}}},
	"a state is installed under a lower ballot": {File: "member.go", Edits: []mutation.Edit{{
		Original: "if message.Ballot.less(bound) {", Mutated: "if false {"}}},
	"a member that has promised stores changes": {File: "member.go", Edits: []mutation.Edit{{
		Original: "if !n.hardState.Promised.isZero() {\n\t\tn.send", Mutated: "if false {\n\t\tn.send"}}},
	"a witness that has promised confirms the primary": {File: "primary.go", Edits: []mutation.Edit{{
		Original: "if round == nil || !message.Current || !n", Mutated: "if round == nil || !n"}}},
	"any replica's promise counts": {File: "candidate.go", Edits: []mutation.Edit{{
		Original: "if !n.hardState.View.HasWitness(from) {\n\t\treturn\n\t}\n\te.promises", Mutated: "e.promises"}}},
}

// Guards against TestPromiseBinds and TestPromiseCounts passing although the protocol has a fault.
func TestScriptsFindPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedInElections, "^TestPromise(Binds|Counts)$", "--- FAIL")
}

// plantedInWalks are mistakes that TestWideSearch must find. TestSearchFindsPlantedMistakes covers replicas that vote
// under their former identity after the loss of their disk.
var plantedInWalks = map[string]mutation.Mutant{
	"a view is proposed before all members have installed the state": {File: "candidate.go", Edits: []mutation.Edit{{
		Original: "if len(n.election.missingInstalls(&n.hardState.View)) > 0 {\n\t\treturn\n\t}\n", Mutated: ""}}},
	"an Append is stored whatever its view and its sender": {File: "member.go", Edits: []mutation.Edit{
		{Original: "if from != n.hardState.View.Primary || from == n.hardState.Self {\n\t\treturn\n\t}\n\tif !n.hardState.Promised", Mutated: "if !n.hardState.Promised"},
		{Original: "if !n.observeView(message.View) {\n\t\tn.sendViewNotice(from)\n\t\treturn\n\t}\n\tif !n.hardState.Promised", Mutated: "if !n.hardState.Promised"}}},
	"a new witness need not install the state": {File: "election.go", Edits: []mutation.Edit{{
		Original: "return union(e.proposal.Members, newWitnesses)", Mutated: "_ = newWitnesses\n\treturn union(e.proposal.Members, nil)"}}},
	"half of the witnesses are a quorum": {File: "types.go", Edits: []mutation.Edit{{
		Original: "return len(v.Witnesses)/2 + 1", Mutated: "return max(1, len(v.Witnesses)/2)"}}},
	"a lower ballot is promised": plantedInElections["a lower ballot is promised"],
}

// Guards against a wide search that passes although the protocol has a fault.
func TestWideSearchFindsPlantedMistakes(t *testing.T) {
	all := maps.Clone(plantedInWalks)
	for _, name := range []string{
		"a change is committed before all members have stored it", "leadership is confirmed without a heartbeat round",
		"a candidate ignores accepted proposals",
	} {
		all[name] = plantedMistakes[name]
	}
	mutation.ExpectAllKilled(t, all, "^TestWideSearch$/^3_replicas", "walk ", "-wide-walks", "450")
}
