package control

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"pinelb.example/pinelb/internal/fleet/replica"
)

const (
	// viewParameter is the query parameter with the number of the view to whose primary a client was redirected.
	viewParameter = "view"

	// retryAfter is the value of the Retry-After header, in seconds. It is a fraction, unlike the delay of RFC 9110, section 10.2.3,
	// because a new primary takes over in less than a second.
	retryAfter = "0.2"
)

// redirect redirects a client to the primary. It responds with 503 and Retry-After if no primary is known, or if this router is the
// primary and failed to complete the call, for the reason in cause. A client that was redirected here is redirected again only if
// this router knows a newer view: otherwise two routers that each consider the other the primary, one of them because its view is
// outdated, would redirect the client back and forth.
func (s *Server) redirect(w http.ResponseWriter, r *http.Request, cause error) {
	view, primary := s.delegate.PrimaryControl()
	if primary == "" || primary == s.address || view <= redirectView(r) {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, unavailableText(cause), http.StatusServiceUnavailable)
		return
	}
	target := *r.URL
	target.RawQuery = url.Values{viewParameter: {strconv.FormatUint(view, 10)}}.Encode()
	w.Header().Set("Location", "http://"+primary+target.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// unavailableText returns the text of the 503 response that redirect writes. cause is the error with which the call failed.
func unavailableText(cause error) string {
	if errors.Is(cause, replica.ErrUnavailable) {
		return "the outcome is not known: send the same again"
	}
	return "no primary is known at present"
}

// redirectView returns the number of the view by which another router redirected the client here, or 0 if none did.
func redirectView(r *http.Request) uint64 {
	view, err := strconv.ParseUint(r.URL.Query().Get(viewParameter), 10, 64)
	if err != nil {
		return 0
	}
	return view
}
