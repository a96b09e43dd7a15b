package proxy

import (
	"maps"
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

const continuedAfterTruncation = "a truncated response is continued"

// plantedMistakes are mutants each of which lets a request run twice, or a response reach another client.
var plantedMistakes = map[string]mutation.Mutant{
	"a failure on a reused connection counts as proof that the request has not run": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "return nil, c.proof(), err", Mutated: "return nil, NeverSent, err"}}},
	"a request of which only the last bytes were not written counts as never sent": {File: "../../upstream/proof.go", Edits: []mutation.Edit{
		{Original: "if c.written == 0 {", Mutated: "if c.written < 1<<22 {"}}},
	"a failure before the response counts as proof that the request has not run": {File: "outcome.go", Edits: []mutation.Edit{
		{Original: "return o == notSent || o == notExecuted", Mutated: "return o == notSent || o == notExecuted || o == unanswered"}}},
	"a response is accepted with the id of any request": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "case e.ID == \"\" || named == e.ID || named == \"\" && !c.namesRequests:", Mutated: "default:"},
		{Original: "\t\tdefault:\n\t\t\tif _, err := io.Copy", Mutated: "\t\tcase false:\n\t\t\tif _, err := io.Copy"}}},
	"a response without a request id is accepted on any connection": {File: "../../upstream/exchange.go", Edits: []mutation.Edit{
		{Original: "named == \"\" && !c.namesRequests", Mutated: "named == \"\""}}},
	"an unsafe request that may have run is sent again": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "f.attempts >= route.AttemptLimit() || f.mayHaveRun() && !route.Idempotent()", Mutated: "f.attempts >= route.AttemptLimit()"}}},
	continuedAfterTruncation: {File: "answer.go", Edits: []mutation.Edit{
		{Original: "if f.response.headSent && !(resumable && f.response.lastEventID != \"\") {", Mutated: "if false {"}}},
}

// plantedInTraffic are further mutants that only TestTraffic has to kill.
var plantedInTraffic = map[string]mutation.Mutant{
	"a request that may have run is rejected": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "if !f.mayHaveRun() {", Mutated: "if true {"}}},
	"a success without a signature is relayed": {File: "attempt.go", Edits: []mutation.Edit{
		{Original: "if isSuccess(reply.Status) && reply.Header.Get(headerSignature) == \"\" {", Mutated: "if false {"}}},
	"a truncated response ends like a complete one": {File: "forward.go", Edits: []mutation.Edit{
		{Original: "s.Truncated.Add(1)\n\t\tpanic(http.ErrAbortHandler)", Mutated: "s.Truncated.Add(1)\n\t\treturn"}}},
}

// Guards against a TestTraffic that does not detect mistakes.
func TestTrafficFindsPlantedMistakes(t *testing.T) {
	all := maps.Clone(plantedMistakes)
	delete(all, continuedAfterTruncation) // classifyHead prevents the same fault, so that TestTraffic cannot detect it
	maps.Copy(all, plantedInTraffic)
	mutation.ExpectAllKilled(t, all, "^TestTraffic$", "seed ", "-traffic-seeds", "40")
}

// Guards against tests of requests that do not detect mistakes.
func TestRequestsFindPlantedMistakes(t *testing.T) {
	const tests = "^(TestReusedConnections|TestMisdeliveredAnswers|TestClientDisconnect|TestRetries|TestAnswers|TestStreams|TestTruncatedAnswers|TestEndpointRunsRequestBeforeItReadsBody)$"
	mutation.ExpectAllKilled(t, plantedMistakes, tests, "--- FAIL")
}
