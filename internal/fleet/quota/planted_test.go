package quota

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes are changes to the code, each of which lets use exceed the bound.
var plantedMistakes = map[string]mutation.Mutant{
	"leased units are granted in addition": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "b.level - b.maxUnreported(now, t) - a", Mutated: "b.level - a"}}},
	"a new allocator ignores the leases of the previous one": {File: "announcement.go", Edits: []mutation.Edit{
		{Original: "return !a.allAnnounced && now-a.activeSince <= LeaseDuration", Mutated: "return false"}}},
	"one announcement counts for all routers": {File: "announcement.go", Edits: []mutation.Edit{
		{Original: "if !a.announced[router] {\n\t\t\treturn", Mutated: "if !a.announced[router] {\n\t\t\tcontinue"}}},
	"units used under unannounced leases are granted again": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "b.level -= a.maxUnannouncedUse(end, b)", Mutated: "_ = end"}}},
	"an unused share accrues without limit": {File: "local_lease.go", Edits: []mutation.Edit{
		{Original: "if credit > bucketSize {", Mutated: "if credit > 1e18 {"}}},
	"written-off units that are credited again exceed the bucket size": {File: "allocator.go", Edits: []mutation.Edit{
		{Original: "kept := max(0, l.writtenOff-max(0, excess))", Mutated: "kept := l.writtenOff"}}},
	"the unreported units of an expired lease are not charged": {File: "allocator_lease.go", Edits: []mutation.Edit{
		{Original: "l.expired, l.writtenOff = true, l.maxUnreported(now, t)", Mutated: "l.expired, l.writtenOff = true, 0"}}},
	"the reported use of a share is not deducted": {File: "allocator_lease.go", Edits: []mutation.Edit{
		{Original: "l.reported = spent\n\tl.accounted += added\n\treturn added", Mutated: "l.reported = spent\n\tl.accounted += added\n\treturn 0"}}},
}

// Guards against tests of the bound that would pass with a faulty allocator.
func TestBoundFindsPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedMistakes, "^(TestLeasesStayWithinBound|TestEventSequencesStayWithinBound)$", "in a window", "-lease-seeds", "200")
}
