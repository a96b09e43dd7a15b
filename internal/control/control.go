// Package control is where operators call: an HTTP/1.1 server on an address of its own, one call to a connection, with
// connections set aside that the clients' side never has. It decides nothing; it tells the table of upstream hosts.
package control

import (
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rs/zerolog"
)

const (
	// MaxConnections is how many connections there are at once. One more takes the place of the oldest that has no whole call yet,
	// so that those who hold connections keep no call out; a call that comes whole is answered long before its turn.
	MaxConnections = 24

	readTimeout    = 2 * time.Second // a call whole, from its connection's opening on
	maxHeaderBytes = 4 << 10         // bytes of a call
	maxNameBytes   = 256             // bytes of an endpoint's id
)

// Hosts are the upstream hosts by the ids that discovery gives them. Both return false where nobody has such a host, and
// have taken effect when they return.
type Hosts interface {
	Cordon(id string) bool
	Uncordon(id string) bool
}

// New returns a server for a listener that Listener has made; ready tells whether this process takes clients. With no audit
// auditors' calls are unknown paths.
func New(ready func() bool, hosts Hosts, audit Audit, log zerolog.Logger) *http.Server {
	c := &handler{ready: ready, hosts: hosts, audit: audit, log: log}
	srv := &http.Server{Handler: c, ReadTimeout: readTimeout, WriteTimeout: 2 * readTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: withConn, ErrorLog: stdlog.New(log, "", 0)}
	srv.SetKeepAlivesEnabled(false)
	return srv
}

type handler struct {
	ready func() bool
	hosts Hosts
	audit Audit // nil: there is none
	log   zerolog.Logger
}

// ServeHTTP answers one call with a line: 2xx is yes, 4xx or 5xx is no and says why.
func (c *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.audit != nil && (r.URL.Path == auditPath || r.URL.Path == minVersionPath) {
		c.serveAudit(w, r)
		return
	}
	markComplete(r.Context())
	status, line := c.handle(r)
	if r.URL.Path != "/admin/health" {
		c.log.Info().Str("call", r.Method+" "+r.URL.RequestURI()).Int("status", status).Str("answer", line).Msg("operator's call")
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, line) // an error here is the caller's leaving
}

func (c *handler) handle(r *http.Request) (status int, line string) {
	var method string
	var do func(id string) bool
	switch r.URL.Path {
	case "/admin/health":
		method = http.MethodGet
	case "/admin/cordon":
		method, do = http.MethodPost, c.hosts.Cordon
	case "/admin/uncordon":
		method, do = http.MethodPost, c.hosts.Uncordon
	default:
		return http.StatusNotFound, "unknown path: there are /admin/health, /admin/cordon and /admin/uncordon"
	}
	switch {
	case r.Method != method:
		return http.StatusMethodNotAllowed, "the method must be " + method
	case r.ContentLength != 0:
		return http.StatusBadRequest, "a call has no body"
	case do == nil && !c.ready():
		return http.StatusServiceUnavailable, "this process takes no clients"
	case do == nil:
		return http.StatusOK, "ok"
	}
	id, err := endpointName(r.URL.RawQuery)
	switch {
	case err != nil:
		return http.StatusBadRequest, err.Error()
	case !do(id):
		return http.StatusNotFound, fmt.Sprintf("name: nobody has an endpoint %q", id)
	}
	return http.StatusOK, "ok"
}

// name is the endpoint's id that a query gives.
func endpointName(query string) (string, error) {
	q, err := url.ParseQuery(query)
	switch ids := q["name"]; {
	case err != nil:
		return "", fmt.Errorf("the query is malformed: %w", err)
	case len(ids) == 0 || ids[0] == "":
		return "", fmt.Errorf("name is missing")
	case len(ids) > 1:
		return "", fmt.Errorf("name stands more than once")
	case len(ids[0]) > maxNameBytes:
		return "", fmt.Errorf("name is longer than %d bytes", maxNameBytes)
	default:
		return ids[0], nil
	}
}

// NewListener bounds the connections of l to Most.
func NewListener(l net.Listener) net.Listener { return &listener{Listener: l} }
