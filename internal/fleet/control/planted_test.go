package control_test

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes by the number of the scenarios that find them.
var plantedMistakes = map[string]map[string]mutation.Mistake{"2": {
	"digests of changes that are not replicated": {File: "../config/state.go", Edits: []mutation.Edit{
		{Right: "for _, digest := range s.applied {", Wrong: "for _, digest := range s.applied[:0] {"}}},
	"a change that is not checked against the version in place": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if change.Base != current.state.Document.Version() {", Wrong: "if false {"}}},
}, "1": {
	"a stale primary that rejects a change": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if err := r.confirm(ctx); err != nil {\n\t\t\t\treturn err\n\t\t\t}\n\t\t\tif r.currentStatus()", Wrong: "if r.currentStatus()"}}},
	"a read without confirmation by a majority": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if err := r.ConfirmLeadership(ctx); err != nil {\n\t\treturn nil, err\n\t}", Wrong: ""}}},
}, "4": {
	"a snapshot without the configuration": {File: "../config/state.go", Edits: []mutation.Edit{
		{Right: "e := encodedState{Document: s.Document.Encode()}", Wrong: "e := encodedState{Document: EmptyDocument().Encode()}"}}},
}}

// Guards against scenarios that would find nothing whatever is wrong.
func TestScenariosFindPlantedMistakes(t *testing.T) {
	for number, mistakes := range plantedMistakes {
		mutation.ExpectAllFound(t, mistakes, "^TestScenarios$/^"+number, "seed ", "-stacks", "40")
	}
}
