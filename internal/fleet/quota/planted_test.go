package quota

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes each let more through than the bound.
var plantedMistakes = map[string]mutation.Mistake{
	"shares that are out are granted too": {File: "ledger.go", Edits: []mutation.Edit{
		{Right: "b.level - b.maxUnreported(now, t) - l", Wrong: "b.level - l"}}},
	"a new ledger knows of no leases of the former one": {File: "share.go", Edits: []mutation.Edit{
		{Right: "return !l.allAnnounced && now-l.activeSince <= LeaseDuration", Wrong: "return false"}}},
	"the first announcement counts for all": {File: "share.go", Edits: []mutation.Edit{
		{Right: "if !l.announced[r] {\n\t\t\treturn", Wrong: "if !l.announced[r] {\n\t\t\tcontinue"}}},
	"what routers that did not announce may have used is granted again": {File: "ledger.go", Edits: []mutation.Edit{
		{Right: "b.level -= l.maxUnannouncedUse(end, b)", Wrong: "_ = end"}}},
	"a share that is not used is kept without bound": {File: "lease.go", Edits: []mutation.Edit{
		{Right: "if credit > most {", Wrong: "if credit > 1e18 {"}}},
	"what is given back may flow over": {File: "share.go", Edits: []mutation.Edit{
		{Right: "kept := max(0, h.writtenOff-max(0, over))", Wrong: "kept := h.writtenOff"}}},
	"a lease that ended unheard counts as unused": {File: "share.go", Edits: []mutation.Edit{
		{Right: "h.expired, h.writtenOff = true, h.maxUnreported(now, t)", Wrong: "h.expired, h.writtenOff = true, 0"}}},
	"what was used of a share is not told": {File: "share.go", Edits: []mutation.Edit{
		{Right: "h.reported = told\n\th.accounted += added\n\treturn added", Wrong: "h.reported = told\n\th.accounted += added\n\treturn 0"}}},
}

// Guards against a test of the bound that would find nothing whatever is wrong.
func TestBoundFindsPlantedMistakes(t *testing.T) {
	mutation.ExpectAllFound(t, plantedMistakes, "^(TestLeasesStayWithinBound|TestEventSequencesStayWithinBound)$", "in a window", "-lease-seeds", "200")
}
