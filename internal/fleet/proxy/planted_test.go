package proxy

import (
	"maps"
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

const goneOnWith = "an answer that breaks off is gone on with"

// plantedMistakes each make a request run twice, or an answer reach another caller.
var plantedMistakes = map[string]mutation.Mistake{
	"a kept connection that died is no proof that the request never ran": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Right: "p.discard(c)\n\t\treturn nil, MayHaveRun, err", Wrong: "p.discard(c)\n\t\treturn nil, NeverSent, err"}}},
	"an answer is taken whoever it names": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Right: "case e.ID == \"\" || named == e.ID || named == \"\" && !c.namesRequests:", Wrong: "default:"},
		{Right: "\t\tdefault:\n\t\t\tif _, err := io.Copy", Wrong: "\t\tcase false:\n\t\t\tif _, err := io.Copy"}}},
	"an answer that names nobody is taken on any connection": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Right: "named == \"\" && !c.namesRequests", Wrong: "named == \"\""}}},
	"an unsafe request that may have run is sent again": {File: "forward.go", Edits: []mutation.Edit{
		{Right: "a.arrived >= route.AttemptLimit() || a.ran && !route.Idempotent()", Wrong: "a.arrived >= route.AttemptLimit()"}}},
	goneOnWith: {File: "forward.go", Edits: []mutation.Edit{
		{Right: "if a.begun && !(resumable && a.lastID != \"\") {", Wrong: "if false {"}}},
}

// plantedInTraffic are mistakes that the seeded traffic finds by itself, beside those above.
var plantedInTraffic = map[string]mutation.Mistake{
	"a refusal after an attempt that may have run": {File: "forward.go", Edits: []mutation.Edit{
		{Right: "if !a.ran {\n\t\tif q.tenant", Wrong: "if true {\n\t\tif q.tenant"}}},
	"a success without a stamp is passed on": {File: "forward.go", Edits: []mutation.Edit{
		{Right: "if success(reply.Status) && reply.Header.Get(headerStamp) == \"\" {", Wrong: "if false {"}}},
	"an answer that broke off ends as if it were whole": {File: "forward.go", Edits: []mutation.Edit{
		{Right: "s.Truncated.Add(1)\n\t\tpanic(http.ErrAbortHandler)", Wrong: "s.Truncated.Add(1)\n\t\treturn"}}},
}

// Guards against seeded traffic that would find nothing whatever is wrong.
func TestTrafficFindsPlantedMistakes(t *testing.T) {
	all := maps.Clone(plantedMistakes)
	delete(all, goneOnWith) // an attempt that goes on with a plain answer is stopped once more, as it begins: traffic sees no fault
	maps.Copy(all, plantedInTraffic)
	mutation.ExpectAllFound(t, all, "^TestTraffic$", "seed ", "-traffic-seeds", "40")
}

// Guards against tests of requests that would find nothing whatever is wrong.
func TestRequestsFindPlantedMistakes(t *testing.T) {
	const tests = "^(TestKeptConnections|TestWhoseAnswer|TestClientGone|TestRepeats|TestAnswers|TestStreams|TestBrokenAnswers)$"
	mutation.ExpectAllFound(t, plantedMistakes, tests, "--- FAIL")
}
