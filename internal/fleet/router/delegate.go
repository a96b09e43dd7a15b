package router

import (
	"context"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replica"
)

// The methods in this file implement proxy.Delegate and control.Delegate, through which the proxy and the control API call the router.

// ActiveConfig returns the active configuration, nil if none has been received, and the time since it was last confirmed to be the newest:
// unconfirmedAge if it was never confirmed.
func (r *Router) ActiveConfig() (*config.Table, time.Duration) { return r.config.load() }

// ConfigSuperseded reports whether a newer configuration than the active one is known to exist.
func (r *Router) ConfigSuperseded() bool { return r.config.isSuperseded() }

// Charge deducts units from a tenant's quota and reports whether the quota sufficed. If not, the duration is the recommended delay before a
// retry.
func (r *Router) Charge(ctx context.Context, tenant *config.Tenant, units float64) (bool, time.Duration) {
	return r.quota.charge(ctx, tenant, units)
}

// Refund returns the units of a request that never ran to the tenant's quota.
func (r *Router) Refund(tenant *config.Tenant, units float64) { r.quota.refund(tenant, units) }

// Submit commits a change of the configuration. Its errors are those of replica.Replica.Submit, or replica.ErrNotPrimary if this router
// has no replica.
func (r *Router) Submit(ctx context.Context, change *config.Change) error {
	if r.replica == nil {
		return replica.ErrNotPrimary
	}
	return r.replica.Submit(ctx, change)
}

// Read returns the newest committed configuration. Its errors are those of replica.Replica.Read, or replica.ErrNotPrimary if this router
// has no replica.
func (r *Router) Read(ctx context.Context) (*config.Document, error) {
	if r.replica == nil {
		return nil, replica.ErrNotPrimary
	}
	return r.replica.Read(ctx)
}

// PrimaryControl returns the newest known view, and the control address of its primary. The address is empty if it is not known or if this
// router is the primary.
func (r *Router) PrimaryControl() (view uint64, control string) {
	view, primary, ok := r.gossip.primaryMember()
	if !ok {
		return view, ""
	}
	return view, primary.Control
}

// HandleEndpointReport applies an endpoint's report on itself: a heartbeat or a leave. An error means that a leave may not reach the other
// routers.
func (r *Router) HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error {
	return r.endpointReports.handle(ctx, endpoint)
}

// EndpointService returns the service of an endpoint, or "" if the endpoint is not known.
func (r *Router) EndpointService(id string) string {
	endpoint, _ := r.gossip.lookupEndpoint(id)
	return endpoint.Service
}
