package dissemination

import (
	"testing"

	"pinelb.example/pinelb/internal/lab/mutation"
)

// plantedMistakes each delay large changes, saturate links, or make a router treat an old configuration as the newest.
var plantedMistakes = map[string]mutation.Mutant{
	"nothing is compressed": {File: "blob.go", Edits: []mutation.Edit{
		{Original: "if len(text) < minCompressedBytes {", Mutated: "if len(text) >= 0 {"}}},
	"transfers on a link are not bounded": {File: "serve.go", Edits: []mutation.Edit{
		{Original: "if request.Packed && !n.transfers.maySend(now) {", Mutated: "if request.Packed && false {"}}},
	"no other router is tried before a fetch times out": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "return now-f.lastStart >= fetchHedgeDelay", Mutated: "return false"}}},
	"a failed fetch is retried at once from the same router": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "case FetchFailed:\n\t\tf.postpone(address, now+failureBackoff)", Mutated: "case FetchFailed:"}}},
	"a router without a newer configuration is fetched from": {File: "fetcher.go", Edits: []mutation.Edit{
		{Original: "|| !isNewer(source.sequence)", Mutated: "|| isNewer == nil"}}},
	"the lag is measured from the last notification": {File: "lag.go", Edits: []mutation.Edit{
		{Original: "max(now-l.missing[0].at, 1)", Mutated: "max(now-l.missing[len(l.missing)-1].at, 1)"}}},
	"a confirmation of a newer configuration is applied to the older one": {File: "config_replica.go", Edits: []mutation.Edit{
		{Original: "if c.Table == nil || c.Sequence < sequence {", Mutated: "if c.Table == nil {"}}},
	"a confirmation is lost while its configuration is decoded": {File: "config_replica.go", Edits: []mutation.Edit{
		{Original: "if c.unconfirmed.valid && c.unconfirmed.sequence <= sequence {", Mutated: "if false {"}}},
	"after a failed build, the same changes are fetched again": {File: "config_exchange.go", Edits: []mutation.Edit{
		{Original: "n.Config.history = history{}\n\t\tn.needsCompleteFetch = true", Mutated: "n.needsCompleteFetch = false"}}},
	"a busy router names no holders": {File: "serve.go", Edits: []mutation.Edit{
		{Original: "return all[:min(len(all), maxHoldersPerReply)]", Mutated: "return all[:0]"}}},
	"a received configuration is not announced and spreads by pulls only": {File: "config_exchange.go", Edits: []mutation.Edit{
		{Original: "n.disseminateChange(received, nil, 1)", Mutated: "_ = received"}}},
}

// Guards against tests that pass although the code is wrong.
func TestLargeChangesFindPlantedMistakes(t *testing.T) {
	mutation.ExpectAllKilled(t, plantedMistakes,
		"^(TestLargeChanges|TestFetcher|TestConfigLag|TestBlob|TestConfirmation|TestDamagedReply|TestBusyRouterNamesHolders|TestConfirmationOfWhatIsDecoded)$", "Expected")
}
