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

const (
	auditPath = "/admin/audit"
	floorPath = "/admin/floor"
)

// Audit is this process as auditors see it.
type Audit interface {
	// Report tells what it acts on, and its trail from that entry on, so many as fit.
	Report(since uint64) auditlog.Report
	// Take takes an order, or refuses it with an error of the kinds that version.Actor.Take returns.
	Take(o version.Order) error
}

// audited answers an auditor's call: with JSON, or a line that says what is wrong. They come every second or so and stand in
// the trail, and so not in the log.
func (c *calls) audited(w http.ResponseWriter, r *http.Request) {
	status, since, fault := http.StatusOK, uint64(math.MaxUint64), error(nil) // after an order no entries
	switch {
	case r.URL.Path == auditPath && r.Method != http.MethodGet:
		status, fault = http.StatusMethodNotAllowed, errors.New("the method must be "+http.MethodGet)
	case r.URL.Path == floorPath && r.Method != http.MethodPost:
		status, fault = http.StatusMethodNotAllowed, errors.New("the method must be "+http.MethodPost)
	case r.URL.Path == auditPath:
		if since, fault = sinceOf(r); fault != nil {
			status = http.StatusBadRequest
		}
	default:
		status, fault = c.order(r)
	}
	called(r.Context()) // with its body: one that stops half-way is shed
	if fault != nil {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(status)
		_, _ = fmt.Fprintln(w, fault)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.audit.Report(since)) // an error here is the caller's leaving
}

// order has the order in a call's body be taken.
func (c *calls) order(r *http.Request) (status int, fault error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, version.MaxOrderBytes+1))
	if err != nil {
		return http.StatusBadRequest, fmt.Errorf("the body is cut off: %w", err)
	}
	o, err := version.ParseOrder(text)
	if err == nil {
		err = c.audit.Take(o)
	}
	var older version.StaleOrderError
	var other version.WrongSiteError
	switch {
	case err == nil:
		return http.StatusOK, nil
	case errors.As(err, &older):
		return http.StatusConflict, err
	case errors.As(err, &other):
		return http.StatusForbidden, err
	}
	return http.StatusBadRequest, err
}

// sinceOf is the entry from which on a report is asked for; without one all are.
func sinceOf(r *http.Request) (uint64, error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	switch seqs := q["since"]; {
	case err != nil:
		return 0, fmt.Errorf("the query is malformed: %w", err)
	case r.ContentLength != 0:
		return 0, errors.New("a call has no body")
	case len(seqs) == 0:
		return 0, nil
	case len(seqs) > 1:
		return 0, errors.New("since stands more than once")
	default:
		n, err := strconv.ParseUint(seqs[0], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("since is no number of an entry: %w", err)
		}
		return n, nil
	}
}
