package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// watchPollInterval is the maximum time that one operation waits for events. A watch repeats the operation, each time on the machine
// that decides the group's operations at that time.
const watchPollInterval = 400 * time.Millisecond

// watchRetryInterval is the pause after a failed operation.
const watchRetryInterval = 50 * time.Millisecond

// watch responds with the puts after a revision, as soon as there are any, or without puts when the client's wait has elapsed.
func (h *coordinationHandlers) watch(w http.ResponseWriter, r *http.Request) error {
	group, err := readName(r)
	if err != nil {
		return err
	}
	since, err := readUint(r, "sinceRevision")
	if err != nil {
		return err
	}
	waitMs, err := readUint(r, "waitMs")
	if err != nil {
		return err
	}
	wait := min(time.Duration(min(waitMs, uint64(maxWatchWait.Milliseconds())))*time.Millisecond, maxWatchWait)
	op := &coordination.Operation{
		Kind: coordination.Watch, Name: coordination.Name{Kind: coordination.KindGroup, ID: coordination.GroupOf(group)}, Since: since,
	}
	ctx, end := h.watches.begin(r.Context())
	defer end()
	result, err := h.awaitEvents(ctx, op, time.Now().Add(wait))
	if err != nil {
		return coordinationError(op, err)
	}
	if result.Outcome == coordination.Compacted {
		return &requestError{status: http.StatusGone, reason: "the puts after sinceRevision are no longer kept"}
	}
	writeJSON(w, http.StatusOK, newWatchResponse(result))
	return nil
}

// awaitEvents repeats a watch until its outcome is no longer Pending, the deadline has passed, ctx is done, or this machine shuts
// down. It returns an error, that of the last operation, only if no operation succeeded.
func (h *coordinationHandlers) awaitEvents(ctx context.Context, op *coordination.Operation, deadline time.Time) (coordination.Result, error) {
	var lastResult coordination.Result
	for {
		result, err := h.coordinator.Execute(ctx, op, max(0, min(watchPollInterval, time.Until(deadline))))
		if err == nil {
			lastResult = result
		}
		isOver := !time.Now().Before(deadline) || h.coordinator.Draining() || ctx.Err() != nil
		switch {
		case err == nil && (result.Outcome != coordination.Pending || isOver):
			return result, nil
		case err != nil && isOver && lastResult.Outcome != 0:
			return lastResult, nil
		case err != nil && isOver:
			return coordination.Result{}, err
		case err != nil:
			pause(ctx, watchRetryInterval)
		}
	}
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func newWatchResponse(result coordination.Result) watchResponse {
	response := watchResponse{Events: []eventResponse{}, Revision: result.Revision}
	for _, e := range result.Events {
		response.Events = append(response.Events, eventResponse{Name: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return response
}

// readUint returns an unsigned integer from the query of a request, or 0 if the parameter is missing. The maximum is 1<<63 - 1.
func readUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, invalidField(name, "is no whole number")
	}
	return number, nil
}
