package quota

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes each let more through than the bound.
var plantedMistakes = map[string]mutation.Mistake{
	"shares that are out are granted too": {File: "ledger.go", Edits: []mutation.Edit{
		{Right: "b.level - b.outstanding(now, t) - l", Wrong: "b.level - l"}}},
	"a new ledger knows of no leases of the former one": {File: "share.go", Edits: []mutation.Edit{
		{Right: "return !l.complete && now-l.since <= LeaseDuration", Wrong: "return false"}}},
	"the first announcement counts for all": {File: "share.go", Edits: []mutation.Edit{
		{Right: "if !l.announced[r] {\n\t\t\treturn", Wrong: "if !l.announced[r] {\n\t\t\tcontinue"}}},
	"what routers that did not announce may have used is granted again": {File: "ledger.go", Edits: []mutation.Edit{
		{Right: "b.level -= l.unannounced(end, b)", Wrong: "_ = end"}}},
	"a share that is not used is kept without bound": {File: "lease.go", Edits: []mutation.Edit{
		{Right: "if credit > most {", Wrong: "if credit > 1e18 {"}}},
	"what is given back may flow over": {File: "share.go", Edits: []mutation.Edit{
		{Right: "kept := max(0, h.written-max(0, over))", Wrong: "kept := h.written"}}},
	"a lease that ended unheard counts as unused": {File: "share.go", Edits: []mutation.Edit{
		{Right: "h.lapsed, h.written = true, h.mostSpent(now, t)", Wrong: "h.lapsed, h.written = true, 0"}}},
	"what was used of a share is not told": {File: "share.go", Edits: []mutation.Edit{
		{Right: "h.told = told\n\th.counted += added\n\treturn added", Wrong: "h.told = told\n\th.counted += added\n\treturn 0"}}},
}

// Guards against a test of the bound that would find nothing whatever is wrong.
func TestBoundFindsPlantedMistakes(t *testing.T) {
	mutation.ExpectAllFound(t, plantedMistakes, "^(TestLeasesStayWithinTheBound|TestCrossingsStayWithinTheBound)$", "in a window", "-lease-seeds", "200")
}
