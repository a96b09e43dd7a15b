package router

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// An endpoint that is told that its leave was heard expects no requests drainMs later, from whichever router. A router that
// is cut off can tell nobody. A leave is therefore acknowledged only once the primary has it, and a majority of the core has
// answered the primary since: from there every router learns of it that is in touch with the core.

const (
	leavePath    = "/leave"
	leaveTimeout = 700 * time.Millisecond // that the primary may take: the endpoint asks another router after a second
)

// errNoPrimary: no router is known that could tell all others.
var errNoPrimary = errors.New("router: no primary is known")

// leaveReply answers a router that hands an endpoint's leave on.
type leaveReply struct{}

// HandleEndpointReport takes an endpoint's word over. An error says that the others may not learn of its leave.
func (r *Router) HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error {
	endpoint.Owner = r.settings.InternalAddress()
	r.stepNode(func(now time.Duration) *dissemination.Output {
		out, _ := r.node.HandleEndpointHeartbeat(now, endpoint)
		return out
	})
	if endpoint.State == registry.Ready {
		return nil
	}
	return r.reportLeave(ctx, endpoint.ID)
}

// reportLeave has the primary know what this router knows of an endpoint.
func (r *Router) reportLeave(ctx context.Context, id string) error {
	r.mu.Lock()
	endpoint, known := r.node.Registry.Lookup(id)
	_, primary := r.node.Primary()
	r.mu.Unlock()
	if !known || endpoint.State == registry.Ready {
		return nil // nobody sends it anything because of this router
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if r.replica != nil && primary == r.settings.InternalAddress() {
		return r.replica.ConfirmLeadership(ctx)
	}
	if primary == "" {
		return errNoPrimary
	}
	return r.transport.Call(ctx, primary, leavePath, endpoint, &leaveReply{})
}

// answerLeave takes a leave over, as the primary: it tells all others, and makes sure that it is the primary.
func (r *Router) answerLeave(body []byte) (any, error) {
	var endpoint registry.Endpoint
	if err := cbor.Unmarshal(body, &endpoint); err != nil {
		return nil, err
	}
	if r.replica == nil {
		return nil, errNoPrimary
	}
	r.stepNode(func(now time.Duration) *dissemination.Output { return r.node.HandleEndpointLeave(now, endpoint) })
	ctx, cancel := context.WithTimeout(r.transport.Context(), leaveTimeout)
	defer cancel()
	return leaveReply{}, r.replica.ConfirmLeadership(ctx)
}
