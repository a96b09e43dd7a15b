package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/retry"
	"pinelb.example/pinelb/internal/upstream"
)

const (
	connectTimeout    = 400 * time.Millisecond
	maxConnectionIdle = 60 * time.Second // for endpoints that state no Keep-Alive time-out
)

// Dispatcher chooses endpoints and owns the connections to them. It is safe for concurrent use.
type Dispatcher struct {
	Pool *upstream.Pool
	// Announce sends an announcement to the other routers; nil: none are sent. It must be set before the first request, and is
	// called without the lock held.
	Announce func(Announcement)

	clock  func() time.Duration
	origin uint32 // identifies this router in announcements

	mu             sync.Mutex
	placer         *placement.Placer
	settings       retry.Settings
	routers        int
	budgets        map[string]*retry.Budget // by service
	announcements  tokenBucket
	failureReports tokenBucket

	// The latest observation and stall that are not yet reported to other routers, for the next announcement; nil: none.
	unreportedObservation *placement.Observation
	unreportedStall       *placement.Stall
}

// NewDispatcher returns a dispatcher without endpoints, which opens at most maxConnections connections. clock must be monotonic.
func NewDispatcher(clock func() time.Duration, settings retry.Settings, maxConnections int) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		Pool: upstream.NewPool(connectTimeout, maxConnectionIdle, maxConnections), clock: clock, origin: rand.Uint32(),
		placer: placement.New(random), settings: settings, routers: 1, budgets: map[string]*retry.Budget{},
		failureReports: tokenBucket{level: failureReportBurst},
	}
}

// SetRouters sets how many routers share the endpoints, this one included.
func (d *Dispatcher) SetRouters(routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers = routers
	d.placer.SetRouters(routers)
}

// SetEndpoints replaces the list of endpoints that requests may be sent to.
func (d *Dispatcher) SetEndpoints(ready []registry.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added, removed := d.placer.SetEndpoints(ready)
	for _, e := range added {
		d.Pool.Set(balance.EndpointID(e.Number), e.Address)
	}
	d.removeConnections(removed)
}

// Suspend stops sending requests to the endpoints with these ids, including requests that wait for a connection, until
// SetEndpoints lists the endpoints again.
func (d *Dispatcher) Suspend(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeConnections(d.placer.Suspend(ids))
}

func (d *Dispatcher) removeConnections(endpoints []*placement.Endpoint) {
	for _, e := range endpoints {
		d.Pool.Remove(balance.EndpointID(e.Number))
	}
}

// EndpointCount returns the number of a service's endpoints in the latest SetEndpoints. Ejected and suspended endpoints are
// included.
func (d *Dispatcher) EndpointCount(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.EndpointCount(service)
}

// Tables returns the status of the placement's tables.
func (d *Dispatcher) Tables() []placement.TableStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Tables()
}

// Services returns the placement's status of each service, with what was learned about its endpoints.
func (d *Dispatcher) Services() []placement.ServiceStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Services(d.clock())
}

// ExportLearned returns what this router has learned about the endpoints, for a router that has just started.
func (d *Dispatcher) ExportLearned() placement.LearnedState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.ExportLearned(d.clock())
}

// ImportLearned merges the learned state of another router, whose ages apply at a time on this router's clock. It may be called
// again with the same state when more endpoints are listed.
func (d *Dispatcher) ImportLearned(at time.Duration, learned *placement.LearnedState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ImportLearned(at, learned)
}

// ApplyAnnouncements records the announcements of other routers. Announcements of this router are ignored.
func (d *Dispatcher) ApplyAnnouncements(announcements []Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for i := range announcements {
		if a := &announcements[i]; a.Origin != d.origin {
			d.apply(now, a)
		}
	}
}

func (d *Dispatcher) apply(now time.Duration, a *Announcement) {
	if a.Failures > 0 {
		d.placer.RecordRemoteFailures(now, a.Endpoint, int(a.Failures), a.Overdue)
		return
	}
	d.placer.RecordRemoteCall(now, a.Endpoint, a.prompt(), float64(a.Units))
	if a.Observation != nil {
		d.placer.RecordRemoteFirstToken(now, a.Observation.observation())
	}
	if a.Stall != nil {
		d.placer.RecordRemoteStall(a.Stall.stall())
	}
}

// recordRequest records a client request in the retry budget of its service.
func (d *Dispatcher) recordRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest()
}

// withdrawRetry withdraws one retry from a service's budget. It returns false if none is available.
func (d *Dispatcher) withdrawRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Withdraw()
}

// refundRetry returns a withdrawn retry that has reached no endpoint to the budget.
func (d *Dispatcher) refundRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Refund()
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retry.New(d.settings, d.routers)
		d.budgets[service] = b
	}
	return b
}

// place chooses an endpoint for a call, records that the call is sent there, and announces calls with much to prefill to other
// routers, within the rate limit. It returns nil if no endpoint is available; else the caller must call release when the call
// has ended.
func (d *Dispatcher) place(call *placement.Call) *placement.Placement {
	d.mu.Lock()
	now := d.clock()
	placed := d.placer.Place(now, call)
	shouldAnnounce := placed != nil && d.Announce != nil && placed.Units >= minAnnouncedUnits && d.takeAnnouncement(now, placed.Units)
	var a Announcement
	if shouldAnnounce {
		a = newAnnouncement(d.origin, placed, call)
		a.Observation, a.Stall = newObservationReport(d.unreportedObservation), newStallReport(d.unreportedStall)
		d.unreportedObservation, d.unreportedStall = nil, nil
	}
	d.mu.Unlock()
	if shouldAnnounce {
		d.Announce(a)
	}
	return placed
}

func (d *Dispatcher) release(placed *placement.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.Release(placed)
}

func (d *Dispatcher) recordFirstToken(placed *placement.Placement, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	observation := d.placer.RecordFirstToken(d.clock(), placed, delay)
	d.unreportedObservation = &observation
}

func (d *Dispatcher) recordStreamEnd(placed *placement.Placement, duration, longestGap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stall, ok := d.placer.RecordStreamEnd(d.clock(), placed, duration, longestGap); ok {
		d.unreportedStall = &stall
	}
}

func (d *Dispatcher) recordConnectFailure(e *placement.Endpoint) {
	d.reportFailure(e, (*placement.Placer).RecordConnectFailure, false)
}

func (d *Dispatcher) recordFailure(e *placement.Endpoint) {
	d.reportFailure(e, (*placement.Placer).RecordFailure, false)
}

func (d *Dispatcher) recordOverdue(e *placement.Endpoint) {
	d.reportFailure(e, (*placement.Placer).RecordOverdue, true)
}

// reportFailure records a failure of an endpoint that this router has detected, and announces it within the rate limit.
func (d *Dispatcher) reportFailure(e *placement.Endpoint, record func(*placement.Placer, time.Duration, *placement.Endpoint), overdue bool) {
	d.mu.Lock()
	now := d.clock()
	record(d.placer, now, e)
	shouldAnnounce := d.Announce != nil && d.takeFailureReport(now)
	d.mu.Unlock()
	if shouldAnnounce {
		d.Announce(Announcement{Origin: d.origin, Endpoint: e.ShortID(), Failures: 1, Overdue: overdue})
	}
}
