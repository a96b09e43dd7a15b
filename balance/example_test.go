package balance_test

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/balance"
)

// A sidecar owns one Balancer, passes it every event with the time of its own clock, and carries out the actions.
func Example() {
	b, err := balance.New(balance.Settings{
		Instances: 1, Tiers: 1, MaxAttempts: 3,
		Classes:            []balance.Class{{TargetLatency: 200 * time.Millisecond, Deadline: time.Second, Idempotency: balance.Idempotent, Value: 1}},
		WarmupInitialShare: 0.2, WarmupDuration: 20 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var now time.Duration // since any fixed moment
	var buf []balance.Action
	buf = b.Handle(now, &balance.Event{Kind: balance.EventMembership, List: balance.ListFull,
		Entries: []balance.Entry{{Endpoint: 7, State: balance.Ready, Weight: 1}}}, buf[:0])
	buf = b.Handle(now, &balance.Event{Kind: balance.EventRequest, Request: 1, Remaining: time.Second}, buf[:0])
	for _, a := range buf {
		if a.Kind == balance.ActSend {
			fmt.Println("send request", a.Request, "to endpoint", a.Endpoint)
		}
	}
	// Output: send request 1 to endpoint 7
}
