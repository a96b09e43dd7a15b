package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against repeats of all routers together beyond the rule's bound, also when all are started anew.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 64}
		routers := rapid.IntRange(1, 100).Draw(rt, "routers")
		firsts := rapid.IntRange(0, 3000).Draw(rt, "first tries")
		restarts := rapid.IntRange(0, 1).Draw(rt, "restarts")
		repeats := 0
		budgets := make([]*Budget, routers)
		for range restarts + 1 {
			for i := range budgets {
				budgets[i] = New(settings, routers)
			}
			for i := range firsts {
				b := budgets[i%routers]
				b.RecordRequest()
				for b.Withdraw() {
					repeats++
				}
			}
			for _, b := range budgets {
				for b.Withdraw() {
					repeats++
				}
			}
		}
		bound := settings.Ratio*float64(firsts*(restarts+1)) + settings.Slack
		if float64(repeats) > bound {
			rt.Fatalf("%d repeats, %.0f are allowed", repeats, bound)
		}
	})
}

// Guards against repeats that are lost when they were not sent.
func TestReturnedRepeatMayBeSpentAgain(t *testing.T) {
	b := New(Settings{Ratio: 0.2, Slack: 8}, 1)
	for b.Withdraw() {
	}
	b.Refund()
	if !b.Withdraw() {
		t.Error("a repeat that was given back can't be spent")
	}
}
