package router

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replica"
)

// What the proxy and the control API ask of the router: proxy.Delegate and control.Delegate.

// ActiveConfig returns the active configuration, nil where none has been received, and the time since it was last confirmed to be the newest.
func (r *Router) ActiveConfig() (*config.Table, time.Duration) { return r.config.load() }

// ConfigSuperseded reports whether a newer configuration than the active one was heard of.
func (r *Router) ConfigSuperseded() bool { return r.config.isSuperseded() }

// Charge takes units out of a tenant's quota. Where that is rejected, the duration is the time until a retry makes sense.
func (r *Router) Charge(ctx context.Context, tenant *config.Tenant, units float64) (bool, time.Duration) {
	return r.quota.charge(ctx, tenant, units)
}

// Refund gives units back to a tenant's quota, of a request that never ran.
func (r *Router) Refund(tenant *config.Tenant, units float64) { r.quota.refund(tenant, units) }

// Submit commits a change of the configuration. Its errors are those of replica.Replica.Submit; replica.ErrNotPrimary where this
// router has no replica.
func (r *Router) Submit(ctx context.Context, change *config.Change) error {
	if r.replica == nil {
		return replica.ErrNotPrimary
	}
	return r.replica.Submit(ctx, change)
}

// Read returns the newest committed configuration. Its errors are those of replica.Replica.Read; replica.ErrNotPrimary where this
// router has no replica.
func (r *Router) Read(ctx context.Context) (*config.Document, error) {
	if r.replica == nil {
		return nil, replica.ErrNotPrimary
	}
	return r.replica.Read(ctx)
}

// PrimaryControl returns the newest known view, and the control address of its primary; empty: not known, or this router itself.
func (r *Router) PrimaryControl() (view uint64, control string) {
	view, primary, ok := r.gossip.primaryMember()
	if !ok {
		return view, ""
	}
	return view, primary.Control
}

// HandleEndpointReport applies an endpoint's own report. An error means that the other routers may not learn of the endpoint's leave.
func (r *Router) HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error {
	return r.endpointReports.handle(ctx, endpoint)
}

// EndpointService returns the service of an endpoint; empty: the endpoint is not known.
func (r *Router) EndpointService(id string) string {
	endpoint, _ := r.gossip.lookupEndpoint(id)
	return endpoint.Service
}
