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
	maxConnectionIdle = 60 * time.Second // that an endpoint's connection may rest where it states nothing itself
)

// Dispatcher chooses endpoints and holds the connections to them. Its methods may be called by any goroutine.
type Dispatcher struct {
	Pool *upstream.Pool
	// Announce tells the other routers of a long prompt; nil: they are not told. It is set before requests come.
	Announce func(Announcement)

	clock  func() time.Duration
	origin uint32 // names this router in announcements

	mu        sync.Mutex
	placer    *placement.Placer
	settings  retry.Settings
	routers   int
	budgets   map[string]*retry.Budget
	allowed   float64 // announcements
	allowedAt time.Duration

	unreportedObservation *placement.Observation // of this router's last first token that was not told yet
	unreportedStall       *placement.Stall       // the same of a stream that a prompt has held up

	failures   float64 // that may be told of
	failuresAt time.Duration
}

// NewDispatcher returns a dispatcher without endpoints that opens at most so many connections.
func NewDispatcher(clock func() time.Duration, settings retry.Settings, connections int) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		Pool: upstream.NewPool(connectTimeout, maxConnectionIdle, connections), clock: clock, origin: rand.Uint32(), placer: placement.New(random),
		settings: settings, routers: 1, budgets: map[string]*retry.Budget{}, failures: failureReportBurst,
	}
}

// SetRouters takes over how many routers there are.
func (d *Dispatcher) SetRouters(routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers = routers
	d.placer.SetRouters(routers)
}

// Remove has endpoints get no more requests from this moment on, also none that wait for a connection.
func (d *Dispatcher) Remove(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.placer.Remove(ids) {
		d.Pool.Remove(balance.EndpointID(e.Number))
	}
}

// SetEndpoints takes over which endpoints may be sent requests.
func (d *Dispatcher) SetEndpoints(ready []registry.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added, removed := d.placer.SetEndpoints(ready)
	for _, e := range added {
		d.Pool.Set(balance.EndpointID(e.Number), e.Address)
	}
	for _, e := range removed {
		d.Pool.Remove(balance.EndpointID(e.Number))
	}
}

// ReadyCount is how many endpoints of a service may be sent requests.
func (d *Dispatcher) ReadyCount(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.ReadyCount(service)
}

// Tables shows the tables that calls are drawn from.
func (d *Dispatcher) Tables() []placement.TableView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Tables()
}

// Services shows what is learned of the endpoints.
func (d *Dispatcher) Services() []placement.ServiceView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Services(d.clock())
}

// first counts a request for a service.
func (d *Dispatcher) recordRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest()
}

// takeRetry takes one repeat out of a service's budget.
func (d *Dispatcher) takeRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Withdraw()
}

// unspent gives a repeat back that did not reach an endpoint.
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

// place draws a call's endpoint, notes that the call goes there, and tells the other routers where it is worth it.
func (d *Dispatcher) place(call *placement.Call) *placement.Placement {
	d.mu.Lock()
	now := d.clock()
	placed := d.placer.Place(now, call)
	tell := placed != nil && d.Announce != nil && placed.Units >= minAnnouncedUnits && d.takeAnnouncement(now, placed.Units)
	var told Announcement
	if tell {
		told = newAnnouncement(d.origin, placed, call)
		told.Observation, told.Stall = newObservationReport(d.unreportedObservation), newStallReport(d.unreportedStall)
		d.unreportedObservation, d.unreportedStall = nil, nil
	}
	d.mu.Unlock()
	if tell {
		d.Announce(told)
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

func (d *Dispatcher) recordStreamEnd(placed *placement.Placement, took, longestPause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pause, ok := d.placer.RecordStreamEnd(d.clock(), placed, took, longestPause); ok {
		d.unreportedStall = &pause
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

// meet notes a failure that this router has met at an endpoint, and tells the other routers of it.
func (d *Dispatcher) reportFailure(e *placement.Endpoint, note func(*placement.Placer, time.Duration, *placement.Endpoint), overdue bool) {
	d.mu.Lock()
	now := d.clock()
	note(d.placer, now, e)
	tell := d.Announce != nil && d.takeFailureReport(now)
	d.mu.Unlock()
	if tell {
		d.Announce(Announcement{Origin: d.origin, Endpoint: e.Name(), Failures: 1, Overdue: overdue})
	}
}

// uniform draws from [0, 1).
func (d *Dispatcher) uniform() float64 { return rand.Float64() }
