package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// noEntries as a report's since leaves out all entries of the audit log.
const noEntries = math.MaxUint64

var errRepeatedSince = errors.New("since stands more than once")

// Audit is what auditors see of this process.
type Audit interface {
	// Report returns what the process acts on, and the entries of its audit log from a sequence number on, as many as fit.
	Report(since uint64) auditlog.Report
	// Take takes over an order. Its errors are those of version.Actor.Take.
	Take(o version.Order) error
}

// serveAudit responds to an auditor's call with JSON, or with a line that says why it was not carried out. Such calls come every
// second or so and are in the audit log, and so not in the process's log.
func (h *handler) serveAudit(w http.ResponseWriter, r *http.Request) {
	status, since, err := h.handleAudit(r)
	markComplete(r.Context()) // only now, with its body: a connection whose call stalls half-way is evicted
	if err != nil {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(status)
		_, _ = fmt.Fprintln(w, err) // an error says that the caller has left
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.audit.Report(since)) // as above
}

// handleAudit carries out an auditor's call, and returns from which entry on to report.
func (h *handler) handleAudit(r *http.Request) (status int, since uint64, err error) {
	method := http.MethodGet
	if r.URL.Path == minVersionPath {
		method = http.MethodPost
	}
	if r.Method != method {
		return http.StatusMethodNotAllowed, 0, errors.New("the method must be " + method)
	}
	if r.URL.Path == minVersionPath {
		status, err = h.takeOrder(r)
		return status, noEntries, err
	}
	if since, err = parseSince(r); err != nil {
		return http.StatusBadRequest, 0, err
	}
	return http.StatusOK, since, nil
}

// takeOrder takes over the order in a call's body.
func (h *handler) takeOrder(r *http.Request) (status int, err error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, version.MaxOrderBytes+1))
	if err != nil {
		return http.StatusBadRequest, fmt.Errorf("the body is cut off: %w", err)
	}
	order, err := version.ParseOrder(text)
	if err == nil {
		err = h.audit.Take(order)
	}
	var older version.StaleOrderError
	var otherSite version.WrongSiteError
	switch {
	case err == nil:
		return http.StatusOK, nil
	case errors.As(err, &older):
		return http.StatusConflict, err
	case errors.As(err, &otherSite):
		return http.StatusForbidden, err
	}
	return http.StatusBadRequest, err
}

// parseSince returns the sequence number from which on a report's entries are wanted; 0 without one.
func parseSince(r *http.Request) (uint64, error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	switch numbers := q["since"]; {
	case err != nil:
		return 0, fmt.Errorf("the query is malformed: %w", err)
	case r.ContentLength != 0:
		return 0, errUnexpectedBody
	case len(numbers) == 0:
		return 0, nil
	case len(numbers) > 1:
		return 0, errRepeatedSince
	default:
		n, err := strconv.ParseUint(numbers[0], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("since is no number of an entry: %w", err)
		}
		return n, nil
	}
}
