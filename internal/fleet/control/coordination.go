package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// Limits of requests from applications.
const (
	maxCoordinationBytes = 64 << 10 // size of a request body
	maxNameBytes         = 256      // size of a name, a key or a holder
	maxValueBytes        = 16 << 10
	maxHold              = time.Hour
	maxWatchWait         = time.Minute
)

// Coordinator executes coordination operations for applications. Its methods are called concurrently.
type Coordinator interface {
	// Execute executes an operation. A watch waits for events for at most maxWait. The error is a *RefusedError if the operation was not
	// executed and never will be; any other error means that the outcome is unknown.
	Execute(ctx context.Context, operation *coordination.Operation, maxWait time.Duration) (coordination.Result, error)
	// Draining reports whether this machine is shutting down, so that waiting watches have to be answered.
	Draining() bool
}

// errGroupFull reports that a put was not executed because the group of its key, or the whole state, is full. The client must not be sent a refusal: a
// delayed copy of the put may still be executed once the group has room.
var errGroupFull = errors.New("the group of the key, or the state of all names, is full")

// RefusedError reports that an operation was not executed and never will be.
type RefusedError struct {
	Overloaded bool // true: too many operations are waiting; false: another reason, e.g. no machine is known that can execute it
	Err        error
}

func (e *RefusedError) Error() string { return e.Err.Error() }

func (e *RefusedError) Unwrap() error { return e.Err }

// HandleCoordination adds the routes of the coordination API, whose operations c executes. It must be called before the server
// serves its first request.
func (s *Server) HandleCoordination(c Coordinator) {
	h := &coordinationHandlers{coordinator: c, watches: newWatchLimit(s.limits.Watches)}
	s.handle(http.MethodPost, "/locks/{id}/begin", h.acquire)
	s.handle(http.MethodPost, "/locks/{id}/heartbeat", h.renew)
	s.handle(http.MethodPost, "/locks/{id}/finish", h.release)
	s.handle(http.MethodPost, "/numbers/{id}", h.increment)
	s.handle(http.MethodPost, "/cells/{id}/replace", h.put)
	s.handle(http.MethodGet, "/cells/{id}/read", h.get)
	s.handle(http.MethodGet, "/watch/{id}", h.watch)
}

// coordinationHandlers are the handlers of locks, counters, cells (keys with values) and watches.
type coordinationHandlers struct {
	coordinator Coordinator
	watches     *watchLimit
}

// lockCall is the body of a call of a lock. A pointer is nil if its field is missing.
type lockCall struct {
	Holder string  `json:"holder"`
	Fence  *uint64 `json:"fence"`
	HoldMs *int64  `json:"holdMs"`
}

// putCall is the body of a put. A pointer is nil if its field is missing.
type putCall struct {
	Value      *string `json:"value"`
	IfRevision *uint64 `json:"ifRevision"`
}

// fenceResponse, numberResponse, revisionResponse, cellResponse and watchResponse are the bodies of responses.
type fenceResponse struct {
	Fence uint64 `json:"fence"`
}

type numberResponse struct {
	Value uint64 `json:"value"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

type cellResponse struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

type watchResponse struct {
	Events   []eventResponse `json:"events"`
	Revision uint64          `json:"revision"`
}

type eventResponse struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func (h *coordinationHandlers) acquire(w http.ResponseWriter, r *http.Request) error {
	op, err := readLockCall(r, coordination.Acquire)
	if err != nil {
		return err
	}
	result, err := h.coordinator.Execute(r.Context(), op, 0)
	if err != nil {
		return coordinationError(op, err)
	}
	if result.Outcome == coordination.Held {
		writeJSON(w, http.StatusConflict, struct{}{})
		return nil
	}
	writeJSON(w, http.StatusOK, fenceResponse{Fence: result.Fence})
	return nil
}

func (h *coordinationHandlers) renew(w http.ResponseWriter, r *http.Request) error {
	op, err := readLockCall(r, coordination.Renew)
	if err != nil {
		return err
	}
	result, err := h.coordinator.Execute(r.Context(), op, 0)
	if err != nil {
		return coordinationError(op, err)
	}
	status := http.StatusOK
	if result.Outcome == coordination.Held {
		status = http.StatusConflict
	}
	writeJSON(w, status, struct{}{})
	return nil
}

func (h *coordinationHandlers) release(w http.ResponseWriter, r *http.Request) error {
	op, err := readLockCall(r, coordination.Release)
	if err != nil {
		return err
	}
	if _, err := h.coordinator.Execute(r.Context(), op, 0); err != nil {
		return coordinationError(op, err)
	}
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

func (h *coordinationHandlers) increment(w http.ResponseWriter, r *http.Request) error {
	id, err := readName(r)
	if err != nil {
		return err
	}
	op := &coordination.Operation{Kind: coordination.Increment, Name: coordination.Name{Kind: coordination.KindCounter, ID: id}}
	result, err := h.coordinator.Execute(r.Context(), op, 0)
	if err != nil {
		return coordinationError(op, err)
	}
	writeJSON(w, http.StatusOK, numberResponse{Value: result.Count})
	return nil
}

func (h *coordinationHandlers) put(w http.ResponseWriter, r *http.Request) error {
	key, err := readName(r)
	if err != nil {
		return err
	}
	var call putCall
	if err := decodeBody(r, &call); err != nil {
		return err
	}
	if call.Value == nil || len(*call.Value) > maxValueBytes {
		return invalidField("value", "is missing, or longer than "+strconv.Itoa(maxValueBytes)+" bytes")
	}
	op := groupOperation(coordination.Put, key)
	op.Value, op.IfRevision = *call.Value, call.IfRevision
	result, err := h.coordinator.Execute(r.Context(), op, 0)
	if err != nil {
		return coordinationError(op, err)
	}
	switch result.Outcome {
	case coordination.Mismatch:
		writeJSON(w, http.StatusPreconditionFailed, revisionResponse{Revision: result.Revision})
	case coordination.Full:
		return &outcomeUnknownError{errGroupFull}
	default:
		writeJSON(w, http.StatusOK, revisionResponse{Revision: result.Revision})
	}
	return nil
}

func (h *coordinationHandlers) get(w http.ResponseWriter, r *http.Request) error {
	key, err := readName(r)
	if err != nil {
		return err
	}
	op := groupOperation(coordination.Get, key)
	result, err := h.coordinator.Execute(r.Context(), op, 0)
	if err != nil {
		return coordinationError(op, err)
	}
	if result.Outcome == coordination.Missing {
		return &requestError{status: http.StatusNotFound, reason: "there is no such key"}
	}
	writeJSON(w, http.StatusOK, cellResponse{Value: result.Value, Revision: result.Revision})
	return nil
}

// groupOperation returns an operation on a key and its group.
func groupOperation(kind coordination.OperationKind, key string) *coordination.Operation {
	return &coordination.Operation{
		Kind: kind, Name: coordination.Name{Kind: coordination.KindGroup, ID: coordination.GroupOf(key)}, Key: key,
	}
}

// readLockCall reads and checks a call of a lock. Errors are those of badBodyError.
func readLockCall(r *http.Request, kind coordination.OperationKind) (*coordination.Operation, error) {
	id, err := readName(r)
	if err != nil {
		return nil, err
	}
	var call lockCall
	if err := decodeBody(r, &call); err != nil {
		return nil, err
	}
	if call.Holder == "" || len(call.Holder) > maxNameBytes {
		return nil, invalidField("holder", "is missing, or longer than "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	op := &coordination.Operation{Kind: kind, Name: coordination.Name{Kind: coordination.KindLock, ID: id}, Holder: call.Holder}
	if kind != coordination.Acquire {
		if call.Fence == nil {
			return nil, invalidField("fence", "is missing")
		}
		op.Fence = *call.Fence
	}
	if kind == coordination.Release {
		return op, nil
	}
	if call.HoldMs == nil || *call.HoldMs <= 0 || *call.HoldMs > maxHold.Milliseconds() {
		return nil, invalidField("holdMs", fmt.Sprintf("is missing, or not between 1 and %d", maxHold.Milliseconds()))
	}
	op.Hold = time.Duration(*call.HoldMs) * time.Millisecond
	return op, nil
}

// readName returns the name of the lock, counter, key or group in the path of a request.
func readName(r *http.Request) (string, error) {
	id := mux.Vars(r)["id"]
	if id == "" || len(id) > maxNameBytes || !utf8.ValidString(id) { // CBOR text that is not UTF-8 can't be decoded
		return "", invalidField("name", "is empty, longer than "+strconv.Itoa(maxNameBytes)+" bytes, or not UTF-8")
	}
	return id, nil
}

// decodeBody decodes the JSON body of a request into call, a pointer. Errors are those of badBodyError.
func decodeBody(r *http.Request, call any) error {
	body, err := readBody(r, maxCoordinationBytes)
	if err != nil {
		return badBodyError("the body can't be read", err)
	}
	if err := json.Unmarshal(body, call); err != nil {
		return &requestError{status: http.StatusBadRequest, reason: "the body is no such call", err: err}
	}
	return nil
}

// invalidField returns the requestError for a missing or invalid field.
func invalidField(field, reason string) error {
	return &requestError{status: http.StatusBadRequest, reason: field + " " + reason}
}

// outcomeUnknownError reports that a call of an application may have been executed, or may still be.
type outcomeUnknownError struct{ err error }

func (e *outcomeUnknownError) Error() string { return "the outcome is not known: " + e.err.Error() }

func (e *outcomeUnknownError) Unwrap() error { return e.err }

// coordinationError converts an error of Coordinator.Execute to a *RefusedError or an outcomeUnknownError. A put is never refused: it
// may be the retry of a put whose outcome is unknown, and a refusal would promise that no reader will ever see the value.
func coordinationError(op *coordination.Operation, err error) error {
	var refused *RefusedError
	if op.Kind != coordination.Put && errors.As(err, &refused) {
		return refused
	}
	return &outcomeUnknownError{err}
}
