package loopback

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

var errNoOrder = errors.New("loopback: no order was saved that could be replayed")

// orderReplayer saves operators' orders in force and gives them again later, as an attacker or a stale operator might.
type orderReplayer struct {
	run   *run
	mu    sync.Mutex
	saved map[int]version.Order // by the event's number in the plan
}

// save saves the order in force at a sidecar, in a goroutine; nothing if there is none.
func (r *orderReplayer) save(event plan.Event) {
	r.run.scheduled.Go(func() {
		report, err := r.run.fetchReport(event.Sidecar, 1)
		if err != nil || report.Minimum == nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.saved == nil {
			r.saved = map[int]version.Order{}
		}
		r.saved[event.ID] = version.Order{Minimum: *report.Minimum, Permit: report.Permit}
	})
}

// replay gives a saved order again, in a goroutine, with its epoch raised as the script has it.
func (r *orderReplayer) replay(event plan.Event) {
	r.mu.Lock()
	order, has := r.saved[event.ID]
	r.mu.Unlock()
	if !has {
		r.run.recordRigFailure(event.Sidecar, errNoOrder)
		return
	}
	order.Minimum.Epoch += uint64(event.EpochIncrement)
	body, err := json.Marshal(order)
	if err != nil {
		panic(err) // all of it is plain data
	}
	r.run.scheduled.Go(func() {
		at := r.run.elapsed()
		url := "http://" + r.run.controlAddress(event.Sidecar) + "/admin/floor"
		status, _, _ := r.run.controlCall(http.MethodPost, url, body) // without a response the status is 0
		r.run.recorder.addReplayedOrder(trace.ReplayedOrder{At: at, Sidecar: event.Sidecar, Epoch: order.Minimum.Epoch, StatusCode: status})
	})
}
