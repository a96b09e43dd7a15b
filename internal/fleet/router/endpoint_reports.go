package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Once drainMs have passed since the leave of an endpoint was acknowledged, the endpoint expects no more requests from any router. A
// partitioned router can't notify other routers of the leave. A leave is therefore acknowledged only after the primary has received it,
// and a majority of the core has confirmed the primary since then: the leave then reaches every router that is connected to the core.

// leaveTimeout bounds the time for the primary's confirmation of a leave. It is below one second, after which the endpoint tries another
// router.
const leaveTimeout = 700 * time.Millisecond

// errNoPrimary is returned for a leave if no primary is known that could notify all routers, or if the called router can't be primary.
var errNoPrimary = errors.New("router: no primary is known")

// errTooManyEndpoints is returned for a report of an unknown endpoint while the registry is full.
var errTooManyEndpoints = errors.New("router: too many endpoints")

// The number of endpoints that the registry may hold.
const (
	minMaxEndpoints   = 4096
	maxEndpointsPerMB = 64 // of limits.memoryMb
)

// leaveReply acknowledges an endpoint's leave to the router that reported it.
type leaveReply struct{}

// ignoredReportLogInterval is the minimum time between two log lines about ignored reports.
const ignoredReportLogInterval = time.Second

// endpointReports handles the reports that endpoints send about themselves: heartbeats and leaves. Its methods may be called by any goroutine.
type endpointReports struct {
	*environment
	gossip *gossip

	ignored      atomic.Uint64 // number of ignored reports since the start
	nextLogAfter atomic.Int64  // earliest time of the next log line about an ignored report, in nanoseconds on the clock
}

// handle applies an endpoint's report. A report that is older than the known state of the endpoint, or whose endpoint has been
// deregistered, is ignored without an error. An error means that a leave may not reach the other routers.
func (e *endpointReports) handle(ctx context.Context, endpoint registry.Endpoint) error {
	endpoint.Owner = e.address()
	applied, isFull := false, false
	e.gossip.step(func(now time.Duration) *dissemination.Output {
		if isFull = e.isFull(endpoint.ID); isFull {
			return &dissemination.Output{}
		}
		var output *dissemination.Output
		output, applied = e.gossip.node.HandleEndpointHeartbeat(now, endpoint)
		return output
	})
	if isFull {
		return errTooManyEndpoints
	}
	if !applied {
		e.recordIgnored(endpoint)
	}
	if endpoint.State == registry.Ready {
		return nil
	}
	return e.reportLeave(ctx, endpoint.ID)
}

// isFull reports whether an endpoint is not known and the registry has no room for another one. The caller holds the gossip's lock.
func (e *endpointReports) isFull(id string) bool {
	endpoints := e.gossip.node.Registry
	_, known := endpoints.Lookup(id)
	return !known && endpoints.Len() >= max(minMaxEndpoints, e.settings.Limits.MemoryMB*maxEndpointsPerMB)
}

// recordIgnored counts and logs an ignored report. The endpoint still receives an acknowledgement: an error would make a running endpoint
// switch to another router only because one of its reports arrived late.
func (e *endpointReports) recordIgnored(endpoint registry.Endpoint) {
	e.ignored.Add(1)
	now, next := int64(e.clock()), e.nextLogAfter.Load()
	if now < next || !e.nextLogAfter.CompareAndSwap(next, now+int64(ignoredReportLogInterval)) {
		return
	}
	e.log.Warn("endpoint's report ignored: late, or the endpoint has been deregistered",
		zap.String("id", endpoint.ID),
		zap.String("service", endpoint.Service),
		zap.Uint64("sequence", endpoint.Sequence),
		zap.Uint64("ignoredSinceStart", e.ignored.Load()))
}

// reportLeave reports the leave of an endpoint to the primary, or, if this router is the primary, confirms its leadership. It returns an
// error if the leave may not reach the other routers.
func (e *endpointReports) reportLeave(ctx context.Context, id string) error {
	endpoint, known := e.gossip.lookupEndpoint(id)
	primary := e.gossip.primary()
	if !known || endpoint.State == registry.Ready {
		return nil // no leave to report: the endpoint is not known, or ready again
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if e.replica != nil && primary == e.address() {
		return e.replica.ConfirmLeadership(ctx)
	}
	if primary == "" {
		return errNoPrimary
	}
	return e.transport.Call(ctx, primary, leavePath, endpoint, &leaveReply{})
}

// serveLeave handles a leave that another router reports to this one as the primary: it disseminates the leave to all routers, and has a
// majority of the core confirm its leadership. It returns an error if the leadership is not confirmed.
func (e *endpointReports) serveLeave(body []byte) (any, error) {
	var endpoint registry.Endpoint
	if err := cbor.Unmarshal(body, &endpoint); err != nil {
		return nil, err
	}
	if e.replica == nil {
		return nil, errNoPrimary
	}
	e.gossip.step(func(now time.Duration) *dissemination.Output {
		return e.gossip.node.HandleEndpointLeave(now, endpoint)
	})
	ctx, cancel := context.WithTimeout(e.transport.Context(), leaveTimeout)
	defer cancel()
	return leaveReply{}, e.replica.ConfirmLeadership(ctx)
}
