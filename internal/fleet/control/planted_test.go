package control_test

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes are found by TestPoints, each by the runs of one point.
var plantedMistakes = map[string]map[string]mutation.Mistake{"2": {
	"digests of orders that are not replicated": {File: "../config/state.go", Edits: []mutation.Edit{
		{Right: "for _, digest := range s.applied {", Wrong: "for _, digest := range s.applied[:0] {"}}},
	"an order that is not checked against the version in place": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if change.Base != current.state.Document.Version() {", Wrong: "if false {"}}},
}, "1": {
	"a stale primary that refuses an order": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if err := r.confirm(ctx); err != nil {\n\t\t\t\treturn err\n\t\t\t}\n\t\t\tif r.currentStatus()", Wrong: "if r.currentStatus()"}}},
	"a read that asks no witness": {File: "../replica/submit.go", Edits: []mutation.Edit{
		{Right: "if err := r.ConfirmLeadership(ctx); err != nil {\n\t\treturn nil, err\n\t}", Wrong: ""}}},
}, "4": {
	"a snapshot without the configuration": {File: "../config/state.go", Edits: []mutation.Edit{
		{Right: "e := encodedState{Document: s.Document.Encode()}", Wrong: "e := encodedState{Document: EmptyDocument().Encode()}"}}},
}}

// Guards against runs that would find nothing whatever is wrong.
func TestPointsFindPlantedMistakes(t *testing.T) {
	for point, mistakes := range plantedMistakes {
		mutation.ExpectAllFound(t, mistakes, "^TestPoints$/^"+point, "seed ", "-stacks", "40")
	}
}
