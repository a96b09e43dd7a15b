package coordination

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
)

// visitHold is how long a visitor holds a lock.
const visitHold = 100 * time.Millisecond

// visitor calls names that nobody calls again before the end: what is acknowledged has to outlive the machines that stored it although no later
// call renews it.
type visitor struct {
	*caller
	visits int
}

func (v *visitor) run(ctx context.Context) {
	for v.rest(ctx, 20*time.Millisecond, 150*time.Millisecond) {
		v.visits++
		v.do(v.call(v.visits), 0)
	}
}

// call returns the call of a visit.
func (v *visitor) call(visit int) *history.Call {
	name := fmt.Sprint(v.name, "-", visit)
	switch visit % 3 {
	case 0:
		return &history.Call{Kind: history.Increment, Name: name}
	case 1:
		none := uint64(0)
		return &history.Call{Kind: history.Put, Name: name + ".k", Value: name, IfRevision: &none}
	}
	return &history.Call{Kind: history.Acquire, Name: name, Holder: v.name, HoldMs: visitHold.Milliseconds()}
}

// again returns the call that asks again for what a visit left.
func (v *visitor) again(visit int) *history.Call {
	call := v.call(visit)
	switch call.Kind {
	case history.Put:
		return &history.Call{Kind: history.Get, Name: call.Name}
	case history.Acquire:
		call.Holder += "-again"
	}
	return call
}

// isAnswer reports whether a call was answered with what the service holds. That another still holds a lock is no answer yet.
func isAnswer(call *history.Call) bool {
	return call.Status == http.StatusOK || call.Status == http.StatusNotFound || call.Status == http.StatusGone
}
