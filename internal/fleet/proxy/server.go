package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Delegate is what the proxy needs of the rest of the router. Its methods are called by all requests' goroutines.
type Delegate interface {
	// ActiveConfig returns the configuration in force, nil where there is none, and how long ago it was surely the newest.
	ActiveConfig() (table *config.Table, age time.Duration)
	// ConfigSuperseded reports whether a newer configuration is known to be acknowledged, and is not yet in force here.
	ConfigSuperseded() bool
	// Charge takes units out of a tenant's quota. Where ok is false, nothing was taken and wait is when the client may retry.
	Charge(ctx context.Context, tenant *config.Tenant, units float64) (ok bool, wait time.Duration)
	// Refund gives back the units of a request that has not run and never will.
	Refund(tenant *config.Tenant, units float64)
}

// Options are bounds on the age of the configuration.
type Options struct {
	MaxConfigAge     time.Duration // age beyond which API keys are not accepted; 0: no bound
	MaxDenialAge     time.Duration // age beyond which a request without a route or a valid key gets 503 and not a denial
	MaxSupersededAge time.Duration // age beyond which nothing is served by a configuration that is known to be superseded; 0: no bound
}

// Server answers clients. It implements [http.Handler].
type Server struct {
	delegate   Delegate
	dispatcher *Dispatcher
	options    Options

	drainEnd  atomic.Pointer[time.Time] // when the process ends; nil: it is not draining
	durations durations

	// Requests by outcome since the start: answered by an endpoint; not run, whether rejected or denied ("refused" in the status);
	// failed without an answer; truncated answers.
	Served, Rejected, Failed, Truncated atomic.Uint64
	Superseded                          atomic.Uint64 // rejected because a newer configuration is not yet in force
	Rerouted                            atomic.Uint64 // attempts abandoned because their first token was overdue
}

// NewServer returns a handler of clients' requests.
func NewServer(delegate Delegate, dispatcher *Dispatcher, options Options) *Server {
	return &Server{delegate: delegate, dispatcher: dispatcher, options: options}
}

// isOutdated reports whether the configuration, with this age, may lead a request elsewhere than a newer one that was acknowledged too long
// ago. It is exact: a newer one was acknowledged no earlier than the age says, and the request was sent before now.
func (s *Server) isOutdated(age time.Duration) bool {
	return s.options.MaxSupersededAge > 0 && age > s.options.MaxSupersededAge && s.delegate.ConfigSuperseded()
}

// Times after which clients may retry.
const (
	retrySoon  = 100 * time.Millisecond // another endpoint or router will do
	retryLater = 300 * time.Millisecond // something has to be repaired first
)

// ServeHTTP answers one request. It panics with [http.ErrAbortHandler] to truncate an answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table, age := s.awaitTable(r.Context())
	if table == nil || table.Version == 0 {
		s.reject(w, http.StatusServiceUnavailable, retryLater)
		return
	}
	if s.isOutdated(age) {
		s.Superseded.Add(1)
		s.reject(w, http.StatusServiceUnavailable, retrySoon)
		return
	}
	q, err := readRequest(r, table.Limits)
	if err != nil {
		s.deny(w, err)
		return
	}
	if err := s.admit(q, table); err != nil {
		if age > s.options.MaxDenialAge { // a newer configuration may have the route or key
			s.reject(w, http.StatusServiceUnavailable, retrySoon)
		} else {
			s.deny(w, err)
		}
		return
	}
	q.setDeadline()
	if !s.apiKeyValid(q) || s.drainEndsBefore(q) {
		s.reject(w, http.StatusServiceUnavailable, retrySoon)
		return
	}
	if wait, ok := s.charge(q); !ok {
		s.reject(w, http.StatusTooManyRequests, wait)
		return
	}
	s.dispatcher.recordRequest(q.service)
	s.forward(w, q)
}

// A router that has just started gets its configuration within moments: requests wait for it instead of being rejected.
const (
	maxStartupWait      = 90 * time.Millisecond
	startupPollInterval = maxStartupWait / 6
)

// awaitTable returns the configuration in force and its age. It waits for one that may be used, up to maxStartupWait.
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

// BeginDrain starts a graceful shutdown of the process, which ends at a time: each answer closes its connection, and requests
// that would probably not be answered by then are rejected.
func (s *Server) BeginDrain(end time.Time) { s.drainEnd.Store(&end) }

// drainEndsBefore reports whether the process will probably end before the request is answered.
func (s *Server) drainEndsBefore(q *request) bool {
	end := s.drainEnd.Load()
	return end != nil && time.Now().Add(s.durations.estimate(q.route.Name)).After(*end)
}

// minRetryAfter keeps clients from retrying at once.
const minRetryAfter = 0.01 // seconds

// reject promises that the request has not run and never will, and says when the client may retry.
func (s *Server) reject(w http.ResponseWriter, status int, wait time.Duration) {
	s.Rejected.Add(1)
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(max(minRetryAfter, wait.Seconds()), 'f', 3, 64))
	w.WriteHeader(status)
}

// deny answers a request that is itself at fault, by a denial.
func (s *Server) deny(w http.ResponseWriter, err error) {
	status := errUnreadableBody
	_ = errors.As(err, &status)
	s.Rejected.Add(1)
	w.WriteHeader(int(status))
}

// fail answers a request that may have run and has no answer.
func (s *Server) fail(w http.ResponseWriter, status int) {
	s.Failed.Add(1)
	w.WriteHeader(status)
}
