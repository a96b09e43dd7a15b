package control

import (
	"errors"
	"net/http"
)

// requestError reports a call that is at fault, so that the caller has to change it. It is answered with its status, and its
// text as JSON.
type requestError struct {
	status int // 4xx
	reason string
	err    error // the cause; nil: reason says all
}

func (e *requestError) Error() string {
	if e.err == nil {
		return e.reason
	}
	return e.reason + ": " + e.err.Error()
}

func (e *requestError) Unwrap() error { return e.err }

// unacknowledgedError reports that the end of an endpoint's service can't be acknowledged: the endpoint has to tell another
// router.
type unacknowledgedError struct{ err error }

func (e *unacknowledgedError) Error() string {
	return "the leave can't be acknowledged: " + e.err.Error()
}

func (e *unacknowledgedError) Unwrap() error { return e.err }

// errBodyTooLarge reports a body beyond the limit of its call.
var errBodyTooLarge = errors.New("it is too long")

// writeError answers a call that its handler could not serve. Any error that this package does not type says that the call may
// be served by the primary.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var rejected *requestError
	var unacknowledged *unacknowledgedError
	var refused *RefusedError
	var unknown *outcomeUnknownError
	switch {
	case errors.As(err, &rejected):
		s.Rejected.Add(1)
		writeJSON(w, rejected.status, map[string]string{"error": rejected.Error()})
	case errors.As(err, &unacknowledged):
		http.Error(w, unacknowledged.Error(), http.StatusServiceUnavailable)
	case errors.As(err, &unknown): // also where its cause is a refusal
		http.Error(w, unknown.Error(), http.StatusGatewayTimeout)
	case errors.As(err, &refused):
		w.Header().Set("Retry-After", retryAfter)
		status := http.StatusServiceUnavailable
		if refused.Overloaded {
			status = http.StatusTooManyRequests
		}
		http.Error(w, refused.Error(), status)
	default:
		s.redirect(w, r, err)
	}
}
