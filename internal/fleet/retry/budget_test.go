package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// withdrawAll takes all available tokens and returns their number.
func withdrawAll(b *Budget) int {
	retries := 0
	for b.Withdraw() {
		retries++
	}
	return retries
}

// Guards against more retries of all routers together than the limit allows, also if all routers restart once.
func TestRetriesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 64}
		routers := rapid.IntRange(1, 100).Draw(rt, "routers")
		requests := rapid.IntRange(0, 3000).Draw(rt, "requests")
		restarts := rapid.IntRange(0, 1).Draw(rt, "restarts")
		retries := 0
		budgets := make([]*Budget, routers)
		for range restarts + 1 {
			for i := range budgets {
				budgets[i] = New(settings, routers)
			}
			for i := range requests {
				b := budgets[i%routers]
				b.RecordRequest()
				retries += withdrawAll(b)
			}
			for _, b := range budgets {
				retries += withdrawAll(b)
			}
		}
		bound := settings.Ratio*float64(requests*(restarts+1)) + settings.Slack
		if float64(retries) > bound {
			rt.Fatalf("%d retries sent, %.0f are allowed", retries, bound)
		}
	})
}

// Guards against the loss of the token of a retry that was not sent.
func TestRefundedRetryMayBeSentAgain(t *testing.T) {
	b := New(Settings{Ratio: 0.2, Slack: 8}, 1)
	withdrawAll(b)
	b.Refund()
	if !b.Withdraw() {
		t.Error("no token is available after a refund")
	}
}
