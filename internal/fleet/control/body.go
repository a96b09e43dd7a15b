package control

import (
	"encoding/json"
	"errors"
	"net/http"

	"pinelb.example/pinelb/internal/overload"
)

// badBodyError returns the error for a body that readBody could not read: a requestError, unless the outcome of the call is unknown.
func badBodyError(reason string, err error) error {
	var unknown *outcomeUnknownError
	if errors.As(err, &unknown) {
		return unknown
	}
	return &requestError{status: http.StatusBadRequest, reason: reason, err: err}
}

// readBody returns the body of a request. It returns errBodyTooLarge if the body is longer than maxBytes, and an outcomeUnknownError if there is no room for
// it: the call may be the retry of one that was executed.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	body, err := overload.ConnOf(r.Context()).ReadBody(r.Body, r.ContentLength, maxBytes)
	if errors.Is(err, overload.ErrNoRoom) {
		return nil, &outcomeUnknownError{err}
	}
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the connection is lost; the client then retries
}
