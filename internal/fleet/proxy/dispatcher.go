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
	maxConnectionIdle = 60 * time.Second // where an endpoint states no Keep-Alive time-out
)

// Dispatcher chooses endpoints and owns the connections to them. It is safe for concurrent use.
type Dispatcher struct {
	Pool *upstream.Pool
	// Announce sends an announcement to the other routers; nil: none are sent. It is set before requests come, and called
	// without the lock.
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

	// What has not been announced yet, for the next announcement; nil: nothing.
	unreportedObservation *placement.Observation
	unreportedStall       *placement.Stall
}

// NewDispatcher returns a dispatcher without endpoints. It opens at most so many connections. clock is a steady clock.
func NewDispatcher(clock func() time.Duration, settings retry.Settings, connections int) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		Pool: upstream.NewPool(connectTimeout, maxConnectionIdle, connections), clock: clock, origin: rand.Uint32(),
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

// SetEndpoints replaces the endpoints that may be sent requests.
func (d *Dispatcher) SetEndpoints(ready []registry.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added, removed := d.placer.SetEndpoints(ready)
	for _, e := range added {
		d.Pool.Set(balance.EndpointID(e.Number), e.Address)
	}
	d.removeConnections(removed)
}

// Suspend keeps requests away from endpoints from now on, also those that wait for a connection, until SetEndpoints lists them
// again.
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

// EndpointCount returns how many endpoints of a service were listed last, by SetEndpoints. Ejected ones, and those that Remove has named since,
// are counted.
func (d *Dispatcher) EndpointCount(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.EndpointCount(service)
}

// Tables returns the placement's tables, for the status.
func (d *Dispatcher) Tables() []placement.TableStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Tables()
}

// Services returns what has been learned of the endpoints, for the status.
func (d *Dispatcher) Services() []placement.ServiceStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Services(d.clock())
}

// ExportLearned returns what this router has learned of the endpoints, for one that has just started.
func (d *Dispatcher) ExportLearned() placement.LearnedState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.ExportLearned(d.clock())
}

// ImportLearned takes over what another router had learned by a time. It may be called again when more endpoints are known.
func (d *Dispatcher) ImportLearned(at time.Duration, learned *placement.LearnedState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ImportLearned(at, learned)
}

// ApplyAnnouncements records what other routers announce. This router's own announcements may be among them and are ignored.
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

// recordRequest counts a request for a service in its retry budget.
func (d *Dispatcher) recordRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest()
}

// takeRetry takes one retry out of a service's budget. It returns false where none is left.
func (d *Dispatcher) takeRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Withdraw()
}

// returnRetry returns a retry that reached no endpoint.
func (d *Dispatcher) returnRetry(service string) {
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

// place chooses a call's endpoint, records that the call is sent there, and announces it where that is worth it. It returns nil
// where no endpoint may be sent the call; else release has to follow.
func (d *Dispatcher) place(call *placement.Call) *placement.Placement {
	d.mu.Lock()
	now := d.clock()
	placed := d.placer.Place(now, call)
	announces := placed != nil && d.Announce != nil && placed.Units >= minAnnouncedUnits && d.takeAnnouncement(now, placed.Units)
	var a Announcement
	if announces {
		a = newAnnouncement(d.origin, placed, call)
		a.Observation, a.Stall = newObservationReport(d.unreportedObservation), newStallReport(d.unreportedStall)
		d.unreportedObservation, d.unreportedStall = nil, nil
	}
	d.mu.Unlock()
	if announces {
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
	seen := d.placer.RecordFirstToken(d.clock(), placed, delay)
	d.unreportedObservation = &seen
}

func (d *Dispatcher) recordStreamEnd(placed *placement.Placement, took, longestGap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stall, ok := d.placer.RecordStreamEnd(d.clock(), placed, took, longestGap); ok {
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

// reportFailure records a failure that this router has met at an endpoint, and announces it.
func (d *Dispatcher) reportFailure(e *placement.Endpoint, record func(*placement.Placer, time.Duration, *placement.Endpoint), overdue bool) {
	d.mu.Lock()
	now := d.clock()
	record(d.placer, now, e)
	announces := d.Announce != nil && d.takeFailureReport(now)
	d.mu.Unlock()
	if announces {
		d.Announce(Announcement{Origin: d.origin, Endpoint: e.ShortID(), Failures: 1, Overdue: overdue})
	}
}
