package control_test

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutant"
)

// plantedMistakes are found by TestPoints.
var plantedMistakes = map[string]mutant.Mistake{
	"digests of orders that are not replicated": {File: "../config/state.go", Edits: []mutant.Edit{
		{Right: "for _, digest := range s.orders {", Wrong: "for _, digest := range s.orders[:0] {"}}},
	"a stale primary that refuses an order": {File: "../replica/orders.go", Edits: []mutant.Edit{
		{Right: "if err := r.confirm(ctx); err != nil {\n\t\t\t\treturn err\n\t\t\t}\n\t\t\tif r.look()", Wrong: "if r.look()"}}},
	"a read that asks no witness": {File: "../replica/orders.go", Edits: []mutant.Edit{
		{Right: "if err := r.confirm(ctx); err != nil {\n\t\treturn nil, err\n\t}", Wrong: ""}}},
	"an order that is not checked against the version in place": {File: "../replica/orders.go", Edits: []mutant.Edit{
		{Right: "if order.Base != seen.state.Document.Version() {", Wrong: "if false {"}}},
	"a snapshot without the configuration": {File: "../config/state.go", Edits: []mutant.Edit{
		{Right: "e := encodedState{Document: s.Document.Encode()}", Wrong: "e := encodedState{Document: EmptyDocument().Encode()}"}}},
}

// Guards against runs that would find nothing whatever is wrong.
func TestPointsFindPlantedMistakes(t *testing.T) {
	mutant.ExpectAllFound(t, plantedMistakes, "^TestPoints$", "seed ", "-stacks", "12")
}
