package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
)

// Delegate is what the front needs of the rest of the router.
type Delegate interface {
	// Table is the configuration in force; nil where none is held. fresh is until how long ago it surely was the newest.
	Table() (table *config.Table, age time.Duration)
	// Charge takes units out of a tenant's quota. Where it may not, wait is when the client may come back.
	Charge(ctx context.Context, tenant *config.Tenant, units float64) (ok bool, wait time.Duration)
	// Refund gives the units of a request back that never ran.
	Refund(tenant *config.Tenant, units float64)
}

// Options are the front's bounds.
type Options struct {
	KeyLease time.Duration // age of the configuration beyond which keys may not be used; 0: no bound
	Stale    time.Duration // age beyond which a request is not denied for want of a route or key, but told to come back
}

// Server answers clients.
type Server struct {
	delegate   Delegate
	dispatcher *Dispatcher
	options    Options

	drainEnd  atomic.Pointer[time.Time] // when the process ends; nil: not planned
	durations durations

	// Counters of outcomes since the start.
	Served, Rejected, Failed, Truncated atomic.Uint64
	Rerouted                            atomic.Uint64 // attempts given up because their first token was overdue
}

// NewServer returns a handler of clients' requests.
func NewServer(core Delegate, dispatcher *Dispatcher, options Options) *Server {
	return &Server{delegate: core, dispatcher: dispatcher, options: options}
}

// Times after which clients may come back.
const (
	retrySoon  = 100 * time.Millisecond // another endpoint or router will do
	retryLater = 300 * time.Millisecond // something has to be repaired first
)

// ServeHTTP is a request's life.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table, age := s.awaitTable(r.Context())
	if table == nil || table.Version == 0 {
		s.rejectWithRetry(w, http.StatusServiceUnavailable, retryLater)
		return
	}
	q, status := readRequest(r, table.Limits)
	if status != 0 {
		s.deny(w, status)
		return
	}
	if status := s.admit(q, table); status != 0 {
		if age > s.options.Stale {
			s.rejectWithRetry(w, http.StatusServiceUnavailable, retrySoon)
		} else {
			s.deny(w, status)
		}
		return
	}
	q.setDeadline()
	if !s.apiKeysValid(q) || s.drainEndsBefore(q) {
		s.rejectWithRetry(w, http.StatusServiceUnavailable, retrySoon)
		return
	}
	if wait, ok := s.charge(q); !ok {
		s.rejectWithRetry(w, http.StatusTooManyRequests, wait)
		return
	}
	s.dispatcher.recordRequest(q.service)
	s.forward(w, q)
}

// maxStartupWait is how long a request is held for a router that has just started to learn what it needs.
const maxStartupWait = 90 * time.Millisecond

// awaitTable returns the configuration in force, and waits a little for one that may be used.
func (s *Server) awaitTable(ctx context.Context) (*config.Table, time.Duration) {
	for until := time.Now().Add(maxStartupWait); ; {
		table, age := s.delegate.Table()
		usable := table != nil && table.Version != 0 && (s.options.KeyLease == 0 || age < s.options.KeyLease)
		if usable || time.Now().After(until) || ctx.Err() != nil {
			return table, age
		}
		time.Sleep(maxStartupWait / 6)
	}
}

// admit finds a request's route, tenant and service. It returns the status of a denial, or 0.
func (s *Server) admit(q *request, table *config.Table) int {
	q.route = table.Route(hostOf(q.http), q.path)
	if q.route == nil {
		return http.StatusNotFound
	}
	if table.RequiresAPIKey && !q.route.Public {
		if q.tenant = table.TenantByKey(q.http.Header.Get(headerAPIKey)); q.tenant == nil {
			return http.StatusUnauthorized
		}
	}
	q.service = q.route.PickService(s.dispatcher.uniform())
	q.prompt = placement.Prompt{Units: 1, Priority: q.priority(), Output: q.outputTokens(), MaxEventGap: q.route.MaxEventGap()}
	if text := q.http.Header.Get(headerPrefixHash); text != "" {
		q.prompt.Units, q.prompt.Prefixes = parsePrefixes(text)
	}
	return 0
}

// apiKeysValid tells whether the configuration is fresh enough to let the holder of a key in.
func (s *Server) apiKeysValid(q *request) bool {
	if q.tenant == nil || s.options.KeyLease == 0 {
		return true
	}
	_, age := s.delegate.Table()
	return age < s.options.KeyLease
}

// BeginDrain has each answer close its connection from now on, and takes no request that would probably not be answered by then.
func (s *Server) BeginDrain(at time.Time) { s.drainEnd.Store(&at) }

// drainEndsBefore tells whether the process will probably end before the request's answer does.
func (s *Server) drainEndsBefore(q *request) bool {
	end := s.drainEnd.Load()
	return end != nil && time.Now().Add(s.durations.estimate(q.route.Name)).After(*end)
}

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

// refuse promises that the request has not run and never will, and says when the client may come back.
func (s *Server) rejectWithRetry(w http.ResponseWriter, status int, wait time.Duration) {
	s.Rejected.Add(1)
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(max(0.01, wait.Seconds()), 'f', 3, 64))
	w.WriteHeader(status)
}

// deny says that the request is at fault.
func (s *Server) deny(w http.ResponseWriter, status int) {
	s.Rejected.Add(1)
	w.WriteHeader(status)
}

// fail says that the request may have run and has no answer.
func (s *Server) fail(w http.ResponseWriter, status int) {
	s.Failed.Add(1)
	w.WriteHeader(status)
}
