package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replica"
)

// neverFresh is the age of a configuration that nothing has confirmed.
const neverFresh = time.Hour

// Table is the configuration in force, and how long ago it surely was the newest.
func (r *Router) Table() (*config.Table, time.Duration) {
	held := r.config.Load()
	if held == nil {
		return nil, neverFresh
	}
	if !held.fresh {
		return held.table, neverFresh
	}
	return held.table, r.clock() - held.freshAt
}

// Charge takes units out of a tenant's quota.
func (r *Router) Charge(ctx context.Context, tenant *config.Tenant, units float64) (bool, time.Duration) {
	return r.quota.charge(ctx, tenant, units)
}

// Refund gives units back.
func (r *Router) Refund(tenant *config.Tenant, units float64) { r.quota.restore(tenant, units) }

// Submit has an order taken.
func (r *Router) Submit(ctx context.Context, order *config.Change) error {
	if r.replica == nil {
		return replica.ErrNotPrimary
	}
	return r.replica.Submit(ctx, order)
}

// Read returns the newest configuration.
func (r *Router) Read(ctx context.Context) (*config.Document, error) {
	if r.replica == nil {
		return nil, replica.ErrNotPrimary
	}
	return r.replica.Read(ctx)
}

// PrimaryControl is the newest view that is known, and the control address of its primary; empty: not known, or this router.
func (r *Router) PrimaryControl() (view uint64, control string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view, address := r.node.Primary()
	m, known := r.node.Members.Lookup(address)
	if !known || address == r.settings.InternalAddress() {
		return view, ""
	}
	return view, m.Control
}

// EndpointService is the service of an endpoint.
func (r *Router) EndpointService(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, _ := r.node.Registry.Lookup(id)
	return e.Service
}

// answerReady tells the platform whether clients may be sent here.
func (r *Router) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady: a configuration is held that was confirmed since the start, keys may be used, and there are endpoints.
func (r *Router) isReady() bool {
	table, age := r.Table()
	if r.ending.Load() || table == nil || table.Version == 0 || age >= neverFresh {
		return false
	}
	if lease := frontOptions(r.settings).KeyLease; lease > 0 && age > lease {
		return false
	}
	for _, service := range table.Services() {
		if r.dispatcher.ReadyCount(service) > 0 {
			return true
		}
	}
	return false
}

const (
	noticeTime   = 2500 * time.Millisecond // until the platform has noticed that this router is not ready
	endingMargin = 250 * time.Millisecond  // before the platform ends the process
)

// drain ends the process in the planned way: another router takes the primary's place, clients are sent elsewhere, and
// what is under way is finished. All the while this router tells the others what it knows.
func (r *Router) drain(ticks <-chan time.Time) {
	end := time.Now().Add(r.settings.Bounds.Grace - endingMargin)
	r.ending.Store(true)
	r.front.BeginDrain(end)
	if r.clients != nil {
		r.clients.SetKeepAlivesEnabled(false) // clients take their next connection elsewhere
	}
	r.log.Info("draining")
	if r.replica != nil {
		r.replica.Resign()
	}
	r.tickUntil(ticks, time.After(noticeTime))
	r.withNode(r.node.Leave)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	finished := make(chan time.Time)
	go func() {
		defer close(finished)
		if r.clients != nil {
			r.log.Info("drained", zap.Error(r.clients.Shutdown(ctx)))
		}
	}()
	r.tickUntil(ticks, finished)
	r.awaitRelease(ticks, end)
}

// awaitRelease lets time pass until this router's replica may end, or the platform ends the process.
func (r *Router) awaitRelease(ticks <-chan time.Time, end time.Time) {
	for r.replica != nil && !r.replica.CanStop() && time.Now().Before(end) {
		<-ticks
		r.tick()
	}
}

// tickUntil lets time pass until something is done.
func (r *Router) tickUntil(ticks, done <-chan time.Time) {
	for {
		select {
		case <-done:
			return
		case <-ticks:
			r.tick()
		}
	}
}
