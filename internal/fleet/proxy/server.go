package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/overload"
)

// Delegate is the rest of the router, as the proxy uses it. Its methods are called concurrently.
type Delegate interface {
	// ActiveConfig returns the active configuration, nil if there is none, and the time since it was last confirmed to be the
	// newest.
	ActiveConfig() (table *config.Table, age time.Duration)
	// ConfigSuperseded reports whether a newer configuration is known to be acknowledged that is not yet active here.
	ConfigSuperseded() bool
	// Charge charges units to a tenant's quota. If ok is false, nothing was charged, and the client may retry after wait.
	Charge(ctx context.Context, tenant *config.Tenant, units float64) (ok bool, wait time.Duration)
	// Refund returns the units of a request that has not run and will not run to a tenant's quota.
	Refund(tenant *config.Tenant, units float64)
}

// Options are the proxy's bounds. Ages are those of the active configuration, as Delegate.ActiveConfig returns them.
type Options struct {
	MaxConfigAge     time.Duration // age beyond which API keys are not accepted; 0: no bound
	MaxDenialAge     time.Duration // age beyond which a request without a route or a valid key is rejected (503) and not denied
	MaxSupersededAge time.Duration // age beyond which requests are rejected if a newer configuration is known to be acknowledged; 0: no bound
}

// Server handles clients' requests. It implements [http.Handler].
type Server struct {
	delegate   Delegate
	dispatcher *Dispatcher
	options    Options

	drainEnd  atomic.Pointer[time.Time] // when the process ends; nil: the server is not draining
	durations durations

	// Requests by outcome, since the start: Served have a complete response of an endpoint; Rejected have not run, whether
	// rejected or denied ("refused" in the status); Failed have no response of an endpoint; Truncated have an incomplete one.
	Served, Rejected, Failed, Truncated atomic.Uint64
	Superseded                          atomic.Uint64 // requests rejected because a newer configuration is not yet active
	Rerouted                            atomic.Uint64 // attempts abandoned because their first token was overdue
}

// NewServer returns a handler of clients' requests.
func NewServer(delegate Delegate, dispatcher *Dispatcher, options Options) *Server {
	return &Server{delegate: delegate, dispatcher: dispatcher, options: options}
}

// isOutdated reports whether a newer configuration is known and may have been acknowledged more than MaxSupersededAge ago, so that
// the active configuration may route the request differently than it must. The bound is exact: the newer configuration was
// acknowledged at most age ago, because the active one was the newest until then, and the request was sent before this check.
func (s *Server) isOutdated(age time.Duration) bool {
	return s.options.MaxSupersededAge > 0 && age > s.options.MaxSupersededAge && s.delegate.ConfigSuperseded()
}

// Values of Retry-After for rejected requests.
const (
	shortRetryAfter = 100 * time.Millisecond // another endpoint or router can probably serve the request
	longRetryAfter  = 300 * time.Millisecond // the router has no usable configuration or no memory for the body, which takes longer to resolve
)

// ServeHTTP handles one request. It panics with [http.ErrAbortHandler] if the response was truncated.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table, age := s.awaitTable(r.Context())
	if !s.acceptTable(w, table, age) {
		return
	}
	q, err := readRequest(r, table.Limits)
	switch {
	case errors.Is(err, overload.ErrNoRoom):
		s.reject(w, http.StatusServiceUnavailable, longRetryAfter)
		return
	case err != nil:
		s.deny(w, err)
		return
	}
	// The body may have taken long, and the configuration that was in force before it may allow what the present one does not.
	table, age = s.delegate.ActiveConfig()
	if !s.acceptTable(w, table, age) {
		return
	}
	if err := s.admit(q, table); err != nil {
		if age > s.options.MaxDenialAge { // a newer configuration may contain the route or the key
			s.reject(w, http.StatusServiceUnavailable, shortRetryAfter)
		} else {
			s.deny(w, err)
		}
		return
	}
	q.setDeadline()
	if !s.mayBeSent(q) || s.drainEndsBefore(q) {
		s.reject(w, http.StatusServiceUnavailable, shortRetryAfter)
		return
	}
	if wait, ok := s.charge(q); !ok {
		s.reject(w, http.StatusTooManyRequests, wait)
		return
	}
	s.dispatcher.recordRequest(q.service)
	s.forward(w, q)
}

// acceptTable reports whether requests may be admitted by a configuration of that age. If not, it rejects the request.
func (s *Server) acceptTable(w http.ResponseWriter, table *config.Table, age time.Duration) bool {
	switch {
	case table == nil || table.Version == 0:
		s.reject(w, http.StatusServiceUnavailable, longRetryAfter)
		return false
	case s.isOutdated(age):
		s.Superseded.Add(1)
		s.reject(w, http.StatusServiceUnavailable, shortRetryAfter)
		return false
	}
	return true
}

// A router that has just started receives its configuration within moments. Until then requests wait instead of being rejected.
const (
	maxStartupWait      = 90 * time.Millisecond
	startupPollInterval = maxStartupWait / 6
)

// awaitTable returns the active configuration and its age. It waits up to maxStartupWait for a usable one.
func (s *Server) awaitTable(ctx context.Context) (*config.Table, time.Duration) {
	for until := time.Now().Add(maxStartupWait); ; {
		table, age := s.delegate.ActiveConfig()
		usable := table != nil && table.Version != 0 && (s.options.MaxConfigAge == 0 || age < s.options.MaxConfigAge)
		if usable || time.Now().After(until) || ctx.Err() != nil {
			return table, age
		}
		time.Sleep(startupPollInterval)
	}
}

// BeginDrain starts a graceful shutdown of the process, which ends at the given time. From now on, each response closes its
// connection, and requests that would probably not be finished by that time are rejected.
func (s *Server) BeginDrain(end time.Time) { s.drainEnd.Store(&end) }

// drainEndsBefore reports whether the process will probably end before the response to a request is complete.
func (s *Server) drainEndsBefore(q *request) bool {
	end := s.drainEnd.Load()
	return end != nil && time.Now().Add(s.durations.estimate(q.route.Name)).After(*end)
}

// minRetryAfter is the minimum of Retry-After, so that clients do not retry immediately.
const minRetryAfter = 0.01 // seconds

// reject responds that the request has not run and will not run, and that the client may retry after wait.
func (s *Server) reject(w http.ResponseWriter, status int, wait time.Duration) {
	s.Rejected.Add(1)
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(max(minRetryAfter, wait.Seconds()), 'f', 3, 64))
	w.WriteHeader(status)
}

// deny responds to a request that has an error itself. The status is that of the denial in err.
func (s *Server) deny(w http.ResponseWriter, err error) {
	status := errUnreadableBody
	_ = errors.As(err, &status)
	s.Rejected.Add(1)
	w.WriteHeader(int(status))
}

// fail responds to a request that may have run but has no response of an endpoint.
func (s *Server) fail(w http.ResponseWriter, status int) {
	s.Failed.Add(1)
	w.WriteHeader(status)
}
