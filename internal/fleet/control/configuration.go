package control

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replica"
)

const (
	// headerBaseVersion is the header with the version of the configuration on which a change is based.
	headerBaseVersion = "X-Base-Version"

	defaultMaxChangeBytes = 16 << 20
	submitTimeout         = 3 * time.Second // a change that exceeds it is answered with 504: it may have been committed, or may still be
	readTimeout           = 2 * time.Second
)

// submitChange returns the handler of configuration changes. A change replaces the complete configuration if replace is true, and
// modifies individual items otherwise.
func (s *Server) submitChange(replace bool) callHandler {
	return func(w http.ResponseWriter, r *http.Request) error {
		change, err := readChange(r, replace, s.limits.ChangeBytes)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
		defer cancel()
		if err := s.delegate.Submit(ctx, change); err != nil {
			return submitError(err)
		}
		writeJSON(w, http.StatusOK, struct{}{})
		return nil
	}
}

// readChange reads a change from a request. Errors are those of badBodyError.
func readChange(r *http.Request, replace bool, maxBytes int64) (*config.Change, error) {
	base, err := strconv.ParseInt(r.Header.Get(headerBaseVersion), 10, 64)
	if err != nil {
		return nil, &requestError{status: http.StatusBadRequest, reason: headerBaseVersion + " is missing or no whole number"}
	}
	body, err := readBody(r, maxBytes)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, reason: "the configuration is too large"}
	case err != nil:
		return nil, badBodyError("the body did not come whole", err)
	}
	return &config.Change{Replace: replace, Base: base, Body: body}, nil
}

// submitError converts an error of Delegate.Submit: to a requestError if the change is invalid or is based on another version than
// the present one. It returns other errors unchanged.
func submitError(err error) error {
	var invalid *config.InvalidError
	switch {
	case errors.Is(err, replica.ErrConflict):
		return &requestError{status: http.StatusPreconditionFailed, reason: "another version is in place"}
	case errors.As(err, &invalid):
		return &requestError{status: http.StatusBadRequest, reason: invalid.Error()}
	}
	return err
}

func (s *Server) readConfig(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	document, err := s.delegate.Read(ctx)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document.Encode()) // fails only if the connection is lost; the client then retries
	return nil
}
