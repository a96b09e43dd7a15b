package quota

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes each let more through than the bound.
var plantedMistakes = map[string]mutation.Mutant{
	"leased shares are granted too": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "b.level - b.maxUnreported(now, t) - a", Mutated: "b.level - a"}}},
	"a new allocator knows of no leases of the former one": {File: "announcement.go", Edits: []mutation.Edit{
		{Original: "return !a.allAnnounced && now-a.activeSince <= LeaseDuration", Mutated: "return false"}}},
	"the first announcement counts for all": {File: "announcement.go", Edits: []mutation.Edit{
		{Original: "if !a.announced[router] {\n\t\t\treturn", Mutated: "if !a.announced[router] {\n\t\t\tcontinue"}}},
	"what routers that did not announce may have used is granted again": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "b.level -= a.maxUnannouncedUse(end, b)", Mutated: "_ = end"}}},
	"an unused share accrues without bound": {File: "local_lease.go", Edits: []mutation.Edit{
		{Original: "if credit > bucketSize {", Mutated: "if credit > 1e18 {"}}},
	"units that are credited again may overflow the bucket": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "kept := max(0, l.writtenOff-max(0, excess))", Mutated: "kept := l.writtenOff"}}},
	"a lease that expired unreported counts as unused": {File: "allocator_lease.go", Edits: []mutation.Edit{
		{Original: "l.expired, l.writtenOff = true, l.maxUnreported(now, t)", Mutated: "l.expired, l.writtenOff = true, 0"}}},
	"what was used of a share is not deducted": {File: "allocator_lease.go", Edits: []mutation.Edit{
		{Original: "l.reported = spent\n\tl.accounted += added\n\treturn added", Mutated: "l.reported = spent\n\tl.accounted += added\n\treturn 0"}}},
}

// Guards against a test of the bound that would find nothing whatever is wrong.
func TestBoundFindsPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedMistakes, "^(TestLeasesStayWithinBound|TestEventSequencesStayWithinBound)$", "in a window", "-lease-seeds", "200")
}
