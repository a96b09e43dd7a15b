package control

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"pinelb.example/pinelb/internal/fleet/replica"
)

const (
	// viewParameter names the query parameter with the view to whose primary a caller was redirected.
	viewParameter = "view"

	// retryAfter is the time after which a caller that can't be redirected is to come back, in seconds. It is a fraction, unlike
	// the delay of RFC 9110, section 10.2.3: a change of primaries takes less than a second.
	retryAfter = "0.2"
)

// redirect sends a caller to the primary, or asks it to come back where none is known, or where this router is the primary and could not
// decide the call, as cause says. A caller that was redirected here is redirected only by a newer view than before: two routers that take
// each other for the primary, one of them by an older view, would else send it to and fro.
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

// unavailableText says why a call is answered neither by a decision nor by a redirection.
func unavailableText(cause error) string {
	if errors.Is(cause, replica.ErrUnavailable) {
		return "the outcome is not known: send the same again"
	}
	return "no primary is known at present"
}

// redirectView returns the view by which another router redirected a caller here; 0: none did.
func redirectView(r *http.Request) uint64 {
	view, err := strconv.ParseUint(r.URL.Query().Get(viewParameter), 10, 64)
	if err != nil {
		return 0
	}
	return view
}
