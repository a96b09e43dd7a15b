package proxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
)

// denial is an error in the request itself, with the HTTP status of the response. The request has not run, and a retry of the
// unchanged request would fail again.
type denial int

const (
	errUnreadableBody denial = http.StatusBadRequest
	errUnknownAPIKey  denial = http.StatusUnauthorized
	errNoRoute        denial = http.StatusNotFound
	errBodyTooLarge   denial = http.StatusRequestEntityTooLarge
	errHeadTooLarge   denial = http.StatusRequestHeaderFieldsTooLarge
)

// Error returns a message with the text of the HTTP status.
func (d denial) Error() string { return "proxy: request denied: " + http.StatusText(int(d)) }

// admit determines the route, tenant, service and prompt of a request. Its errors are denials.
func (s *Server) admit(q *request, table *config.Table) error {
	q.table = table
	q.route = table.Route(hostOf(q.http), q.path)
	if q.route == nil {
		return errNoRoute
	}
	var ok bool
	if q.tenant, ok = table.Authorize(q.route, q.http.Header.Get(headerAPIKey)); !ok {
		return errUnknownAPIKey
	}
	q.service = q.route.PickService(rand.Float64())
	q.prompt = placement.Prompt{Units: 1, Priority: q.priority(), Output: q.outputTokens(), MaxEventGap: q.route.MaxEventGap()}
	if text := q.http.Header.Get(headerPrefixHash); text != "" {
		q.prompt.Units, q.prompt.Prefixes = parsePrefixes(text)
	}
	return nil
}

// mayBeSent reports whether a request that was admitted may be sent to an endpoint now: the active configuration is recent enough to accept its
// API key, and still has a route for it that the key may use.
func (s *Server) mayBeSent(q *request) bool {
	table, age := s.delegate.ActiveConfig()
	if q.tenant != nil && s.options.MaxConfigAge > 0 && age >= s.options.MaxConfigAge {
		return false
	}
	if table == q.table {
		return true
	}
	route := table.Route(hostOf(q.http), q.path)
	if route == nil {
		return false
	}
	tenant, ok := table.Authorize(route, q.http.Header.Get(headerAPIKey))
	return ok && tenantName(tenant) == tenantName(q.tenant)
}

// tenantName returns a tenant's name; empty: there is no tenant.
func tenantName(t *config.Tenant) string {
	if t == nil {
		return ""
	}
	return t.Name
}

// charge charges the request to its tenant's quota. If the quota is exhausted, ok is false and wait is the time after which the
// client may retry.
func (s *Server) charge(q *request) (wait time.Duration, ok bool) {
	if q.tenant == nil {
		return 0, true
	}
	units := q.quotaUnits(q.tenant)
	ok, wait = s.delegate.Charge(q.http.Context(), q.tenant, units)
	if ok {
		q.chargedUnits = units
	}
	return wait, ok
}

// refund returns the charged units of a request that has not run and will not run to its tenant's quota.
func (s *Server) refund(q *request) {
	if q.tenant != nil && q.chargedUnits > 0 {
		s.delegate.Refund(q.tenant, q.chargedUnits)
	}
}
