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

// redirect redirects a client to the primary. If none is known, or this router is the primary, the response has Retry-After, and depends
// on cause, the error with which the call failed: 503 promises that the call has not run and will not, 504 promises nothing. A client that was redirected here is redirected again only if
// this router knows a newer view: otherwise two routers that each consider the other the primary, one of them because its view is
// outdated, would redirect the client back and forth.
func (s *Server) redirect(w http.ResponseWriter, r *http.Request, cause error) {
	view, primary := s.delegate.PrimaryControl()
	if primary == "" || primary == s.address || view <= redirectView(r) {
		w.Header().Set("Retry-After", retryAfter)
		if errors.Is(cause, replica.ErrNotPrimary) {
			http.Error(w, "no primary is known at present", http.StatusServiceUnavailable)
		} else {
			http.Error(w, "the outcome is not known: send the same again", http.StatusGatewayTimeout)
		}
		return
	}
	target := *r.URL
	target.RawQuery = url.Values{viewParameter: {strconv.FormatUint(view, 10)}}.Encode()
	w.Header().Set("Location", "http://"+primary+target.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// redirectView returns the number of the view by which another router redirected the client here, or 0 if none did.
func redirectView(r *http.Request) uint64 {
	view, err := strconv.ParseUint(r.URL.Query().Get(viewParameter), 10, 64)
	if err != nil {
		return 0
	}
	return view
}
