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

// An endpoint whose leave has been acknowledged expects no requests drainMs later, from any router. A router that is partitioned off
// can inform nobody. A leave is therefore acknowledged only once the primary has it, and a majority of the core has confirmed the
// primary since: from there it reaches every router that is connected to the core.

// leaveTimeout is how long the primary may take: the endpoint tries another router after a second.
const leaveTimeout = 700 * time.Millisecond

// errNoPrimary means that no router is known that could inform all others.
var errNoPrimary = errors.New("router: no primary is known")

// leaveReply acknowledges an endpoint's leave to the router that reported it.
type leaveReply struct{}

// ignoredReportsInterval is the least time between two log lines about reports that are ignored.
const ignoredReportsInterval = time.Second

// endpointReports handles the endpoints' own reports. Its methods may be called by any goroutine.
type endpointReports struct {
	*environment
	gossip *gossip

	ignored      atomic.Uint64 // reports, since the start
	nextLogAfter atomic.Int64  // time on the clock, in nanoseconds, of the next log line about one
}

// handle applies an endpoint's report. One that is older than what is known, or of an endpoint that was deregistered, is ignored without an
// error. An error means that the other routers may not learn of the endpoint's leave.
func (e *endpointReports) handle(ctx context.Context, endpoint registry.Endpoint) error {
	endpoint.Owner = e.address()
	applied := false
	e.gossip.step(func(now time.Duration) *dissemination.Output {
		var output *dissemination.Output
		output, applied = e.gossip.node.HandleEndpointHeartbeat(now, endpoint)
		return output
	})
	if !applied {
		e.recordIgnored(endpoint)
	}
	if endpoint.State == registry.Ready {
		return nil
	}
	return e.reportLeave(ctx, endpoint.ID)
}

// recordIgnored counts and logs a report that is ignored. It is acknowledged all the same: a late report of an endpoint that goes on is no
// reason for the endpoint to turn to another router.
func (e *endpointReports) recordIgnored(endpoint registry.Endpoint) {
	e.ignored.Add(1)
	now, next := int64(e.clock()), e.nextLogAfter.Load()
	if now < next || !e.nextLogAfter.CompareAndSwap(next, now+int64(ignoredReportsInterval)) {
		return
	}
	e.log.Warn("endpoint's report ignored: late, or the endpoint has been deregistered",
		zap.String("id", endpoint.ID),
		zap.String("service", endpoint.Service),
		zap.Uint64("sequence", endpoint.Sequence),
		zap.Uint64("ignoredSinceStart", e.ignored.Load()))
}

// reportLeave reports the leave of an endpoint to the primary, or confirms the leadership where this router is the primary.
func (e *endpointReports) reportLeave(ctx context.Context, id string) error {
	endpoint, known := e.gossip.lookupEndpoint(id)
	primary := e.gossip.primary()
	if !known || endpoint.State == registry.Ready {
		return nil // no router sends it requests because of this one
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

// serveLeave handles another router's report of a leave, as the primary: it informs all others, and confirms that it is the primary.
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
