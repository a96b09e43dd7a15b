package proxy

import (
	"maps"
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

const continuedAfterTruncation = "an answer that was truncated is continued"

// plantedMistakes each make a request run twice, or an answer reach another client.
var plantedMistakes = map[string]mutation.Mutant{
	"a reused connection that died is no proof that the request never ran": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "p.discard(c)\n\t\treturn nil, MayHaveRun, err", Mutated: "p.discard(c)\n\t\treturn nil, NeverSent, err"}}},
	"an answer is accepted whatever request it names": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "case e.ID == \"\" || named == e.ID || named == \"\" && !c.namesRequests:", Mutated: "default:"},
		{Original: "\t\tdefault:\n\t\t\tif _, err := io.Copy", Mutated: "\t\tcase false:\n\t\t\tif _, err := io.Copy"}}},
	"an answer that names no request is accepted on any connection": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "named == \"\" && !c.namesRequests", Mutated: "named == \"\""}}},
	"an unsafe request that may have run is sent again": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "f.attempts >= route.AttemptLimit() || f.mayHaveRun && !route.Idempotent()", Mutated: "f.attempts >= route.AttemptLimit()"}}},
	continuedAfterTruncation: {File: "answer.go", Edits: []mutation.Edit{
		{Original: "if f.response.headSent && !(resumable && f.response.lastEventID != \"\") {", Mutated: "if false {"}}},
}

// plantedInTraffic are mistakes that the seeded traffic finds by itself, beside those above.
var plantedInTraffic = map[string]mutation.Mutant{
	"a rejection after an attempt that may have run": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "if !f.mayHaveRun {", Mutated: "if true {"}}},
	"a success without a signature is passed on": {File: "attempt.go", Edits: []mutation.Edit{
		{Original: "if isSuccess(reply.Status) && reply.Header.Get(headerSignature) == \"\" {", Mutated: "if false {"}}},
	"a truncated answer ends as if it were complete": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "s.Truncated.Add(1)\n\t\tpanic(http.ErrAbortHandler)", Mutated: "s.Truncated.Add(1)\n\t\treturn"}}},
}

// Guards against seeded traffic that would find nothing whatever is wrong.
func TestTrafficFindsPlantedMistakes(t *testing.T) {
	all := maps.Clone(plantedMistakes)
	delete(all, continuedAfterTruncation) // an attempt that would continue a plain answer is stopped once more by its head: traffic sees no fault
	maps.Copy(all, plantedInTraffic)
	mutation.ExpectAllKilled(t, all, "^TestTraffic$", "seed ", "-traffic-seeds", "40")
}

// Guards against tests of requests that would find nothing whatever is wrong.
func TestRequestsFindPlantedMistakes(t *testing.T) {
	const tests = "^(TestReusedConnections|TestMisdeliveredAnswers|TestClientDisconnect|TestRetries|TestAnswers|TestStreams|TestTruncatedAnswers)$"
	mutation.ExpectAllKilled(t, plantedMistakes, tests, "--- FAIL")
}
