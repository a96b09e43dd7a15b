package control_test

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes are mutations of the source, by the number of the scenarios that have to detect them.
var plantedMistakes = map[string]map[string]mutation.Mutant{"2": {
	"digests of applied changes that are not replicated": {File: "../config/state.go", Edits: []mutation.Edit{
		{Original: "for _, digest := range s.applied {", Mutated: "for _, digest := range s.applied[:0] {"}}},
	"a change whose base version is not checked": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Original: "if change.Base != current.state.Document.Version() {", Mutated: "if false {"}}},
}, "1": {
	"a stale primary that rejects a change without confirmation by a majority": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Original: "if err := r.confirm(ctx); err != nil {\n\t\t\t\treturn err\n\t\t\t}\n\t\t\tif r.currentStatus()", Mutated: "if r.currentStatus()"}}},
	"a read without confirmation by a majority": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Original: "if err := r.ConfirmLeadership(ctx); err != nil {\n\t\treturn nil, err\n\t}", Mutated: ""}}},
}, "4": {
	"a snapshot without the configuration": {File: "../config/state.go", Edits: []mutation.Edit{
		{Original: "e := encodedState{Document: s.Document.Encode(), ", Mutated: "e := encodedState{Document: EmptyDocument().Encode(), "}}},
}}

// Guards against scenarios that pass even if the source is wrong.
func TestScenariosFindPlantedMistakes(t *testing.T) {
	for number, mistakes := range plantedMistakes {
		mutation.ExpectAllKilled(t, mistakes, "^TestScenarios$/^"+number, "seed ", "-stacks", "40")
	}
}
