package control

import (
	"errors"
	"net/http"
)

// requestError reports that a call failed because of its content, so that the client has to change it. The response has this
// status, and the error's text as JSON.
type requestError struct {
	status int // 4xx
	reason string
	err    error // the cause, or nil
}

func (e *requestError) Error() string {
	if e.err == nil {
		return e.reason
	}
	return e.reason + ": " + e.err.Error()
}

func (e *requestError) Unwrap() error { return e.err }

// unacknowledgedError reports that an endpoint's draining or deregistration is applied here but can't be acknowledged, because the other
// routers may not learn of it: the endpoint has to report it to another router.
type unacknowledgedError struct{ err error }

func (e *unacknowledgedError) Error() string {
	return "the leave can't be acknowledged: " + e.err.Error()
}

func (e *unacknowledgedError) Unwrap() error { return e.err }

// errBodyTooLarge reports a request body that exceeds the limit of its route.
var errBodyTooLarge = errors.New("it is too long")

// writeError writes the response to a call whose handler returned an error. An error that is not of one of this package's types
// means that the primary may be able to serve the call, so the client is redirected.
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
		http.Error(w, unacknowledged.Error(), http.StatusGatewayTimeout)
	case errors.As(err, &unknown): // checked before refused, because its cause may be a *RefusedError
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
