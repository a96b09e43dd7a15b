package dissemination

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes each make large changes late, links full, or a router that takes an old configuration for the newest.
var plantedMistakes = map[string]mutation.Mutant{
	"nothing is compressed": {File: "blob.go", Edits: []mutation.Edit{
		{Original: "if len(text) < minCompressedBytes {", Mutated: "if len(text) >= 0 {"}}},
	"copies on a link are not bounded": {File: "serve.go", Edits: []mutation.Edit{
		{Original: "if request.Packed && !n.transfers.maySend(now) {", Mutated: "if request.Packed && false {"}}},
	"a router waits for the time-out of a fetch": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "return now-f.lastStart >= fetchHedgeDelay", Mutated: "return false"}}},
	"a router that failed is asked again at once": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "case FetchFailed:\n\t\tf.postpone(address, now+failureBackoff)", Mutated: "case FetchFailed:"}}},
	"a router that holds nothing newer is asked": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "|| !isNewer(source.sequence)", Mutated: "|| isNewer == nil"}}},
	"the lag counts from the last news": {File: "lag.go", Edits: []mutation.Edit{
		{Original: "max(now-l.missing[0].at, 1)", Mutated: "max(now-l.missing[len(l.missing)-1].at, 1)"}}},
	"a confirmation of a newer configuration counts for the older": {File: "config_replica.go", Edits: []mutation.Edit{
		{Original: "if c.Table == nil || c.Sequence < sequence {", Mutated: "if c.Table == nil {"}}},
	"a confirmation is lost while its configuration is decoded": {File: "config_replica.go", Edits: []mutation.Edit{
		{Original: "if c.unconfirmed.known && c.unconfirmed.sequence <= sequence {", Mutated: "if false {"}}},
	"after what can't be decoded the same is fetched again": {File: "config_exchange.go", Edits: []mutation.Edit{
		{Original: "n.Config.history = history{}\n\t\tn.needsCompleteFetch = true", Mutated: "n.needsCompleteFetch = false"}}},
	"a busy router names nobody": {File: "serve.go", Edits: []mutation.Edit{
		{Original: "return all[:min(len(all), maxHoldersPerReply)]", Mutated: "return all[:0]"}}},
	"what is received is passed on once it is decoded, by pulls": {File: "config_exchange.go", Edits: []mutation.Edit{
		{Original: "n.disseminateChange(received, nil, 1)", Mutated: "_ = received"}}},
}

// Guards against tests that would find nothing whatever is wrong.
func TestLargeChangesFindPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedMistakes,
		"^(TestLargeChanges|TestFetcher|TestConfigLag|TestBlob|TestConfirmation|TestDamagedReply|TestBusyRouterNamesHolders|TestConfirmationOfWhatIsDecoded)$", "Expected")
}
