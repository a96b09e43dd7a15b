// Package control is the control endpoint of a process: an HTTP/1.1 server on an address of its own, with one call to a
// connection, and with connections reserved that clients never have. Operators cordon upstream hosts there, and auditors read and
// set what the process acts on. internal/daemon wires it up. The package decides nothing: it calls Hosts and Audit.
//
// Invariants: a complete call gets a response of one line, or JSON; connections without a complete call keep no call out.
package control

import (
	"errors"
	"fmt"
	stdlog "log"
	"net/http"
	"net/url"
	"time"

	"github.com/rs/zerolog"
)

const (
	// MaxConnections is how many connections are open at once. One more evicts the oldest without a complete call, so that
	// clients who hold connections keep no call out; a complete call gets its response long before its turn.
	MaxConnections = 24

	readTimeout    = 2 * time.Second // of a complete call, from its connection's opening on
	writeTimeout   = 2 * readTimeout // of its response, from its head on
	maxHeaderBytes = 4 << 10
	maxNameBytes   = 256 // of an endpoint's id
)

// The paths.
const (
	healthPath     = "/admin/health"
	cordonPath     = "/admin/cordon"
	uncordonPath   = "/admin/uncordon"
	auditPath      = "/admin/audit"
	minVersionPath = "/admin/floor"
)

// Why a call is invalid. The texts are part of the response.
var (
	errUnexpectedBody = errors.New("a call has no body")
	errNoName         = errors.New("name is missing")
	errRepeatedName   = errors.New("name stands more than once")
	errNameTooLong    = fmt.Errorf("name is longer than %d bytes", maxNameBytes)
)

// Hosts are the upstream hosts by discovery's ids. Both methods return false for an unknown host, and have taken effect when they
// return.
type Hosts interface {
	Cordon(id string) bool
	Uncordon(id string) bool
}

// New returns a server for a listener that NewListener has made. ready reports whether the process accepts clients. With a nil
// audit, auditors' paths are unknown.
func New(ready func() bool, hosts Hosts, audit Audit, log zerolog.Logger) *http.Server {
	srv := &http.Server{
		Handler:                      &handler{ready: ready, hosts: hosts, audit: audit, log: log},
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withConn,
		ErrorLog:                     stdlog.New(log, "", 0),
	}
	srv.SetKeepAlivesEnabled(false)
	return srv
}

type handler struct {
	ready func() bool
	hosts Hosts
	audit Audit // nil: there is none
	log   zerolog.Logger
}

// ServeHTTP responds to one call with a line: a status of 2xx means that it was carried out; otherwise the line says why it was
// not.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.audit != nil && (r.URL.Path == auditPath || r.URL.Path == minVersionPath) {
		h.serveAudit(w, r)
		return
	}
	markComplete(r.Context())
	status, line := h.handle(r)
	if r.URL.Path != healthPath {
		h.log.Info().Str("call", r.Method+" "+r.URL.RequestURI()).Int("status", status).Str("answer", line).Msg("operator's call")
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, line) // an error says that the caller has left
}

// handle carries out an operator's call.
func (h *handler) handle(r *http.Request) (status int, line string) {
	var method string
	var action func(id string) bool // nil: a health check
	switch r.URL.Path {
	case healthPath:
		method = http.MethodGet
	case cordonPath:
		method, action = http.MethodPost, h.hosts.Cordon
	case uncordonPath:
		method, action = http.MethodPost, h.hosts.Uncordon
	default:
		return http.StatusNotFound, "unknown path: there are " + healthPath + ", " + cordonPath + " and " + uncordonPath
	}
	switch {
	case r.Method != method:
		return http.StatusMethodNotAllowed, "the method must be " + method
	case r.ContentLength != 0:
		return http.StatusBadRequest, errUnexpectedBody.Error()
	case action == nil && !h.ready():
		return http.StatusServiceUnavailable, "this process takes no clients"
	case action == nil:
		return http.StatusOK, "ok"
	}
	id, err := endpointName(r.URL.RawQuery)
	switch {
	case err != nil:
		return http.StatusBadRequest, err.Error()
	case !action(id):
		return http.StatusNotFound, fmt.Sprintf("name: nobody has an endpoint %q", id)
	}
	return http.StatusOK, "ok"
}

// endpointName returns the endpoint's id of a query.
func endpointName(query string) (string, error) {
	q, err := url.ParseQuery(query)
	switch ids := q["name"]; {
	case err != nil:
		return "", fmt.Errorf("the query is malformed: %w", err)
	case len(ids) == 0 || ids[0] == "":
		return "", errNoName
	case len(ids) > 1:
		return "", errRepeatedName
	case len(ids[0]) > maxNameBytes:
		return "", errNameTooLong
	default:
		return ids[0], nil
	}
}
