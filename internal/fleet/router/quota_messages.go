package router

import (
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Messages between routers and the allocator are encoded as CBOR maps with the integer keys of their tags. Units are those of the tenants'
// quotas. If a router does not reach the primary, a peer forwards the router's message and the reply; Origin then holds the internal
// address of the requesting router, and is empty otherwise.

// quotaRequest requests credit from the allocator.
type quotaRequest struct {
	Number uint64  `cbor:"1,keyasint"`
	Tenant string  `cbor:"2,keyasint"`
	Min    float64 `cbor:"3,keyasint"` // minimum number of units; if fewer are available, the request is rejected
	Want   float64 `cbor:"4,keyasint"` // maximum number of units
	Origin string  `cbor:"5,keyasint,omitempty"`
}

// quotaGrant is the reply to a quotaRequest.
type quotaGrant struct {
	Number  uint64  `cbor:"1,keyasint"`
	Granted float64 `cbor:"2,keyasint"` // units; 0: the request is rejected
	WaitMs  uint64  `cbor:"3,keyasint"` // if rejected: recommended delay before the next request, in milliseconds
	Origin  string  `cbor:"4,keyasint,omitempty"`
}

// withOrigin returns the grant with the origin of the attempt to which it replies: a retry may take another path than the first attempt,
// directly or through a peer.
func (g quotaGrant) withOrigin(origin string) quotaGrant {
	g.Origin = origin
	return g
}

// leaseUsage is the encoded form of quota.Usage.
type leaseUsage struct {
	RatePerSecond float64 `cbor:"1,keyasint,omitempty"`
	Share         float64 `cbor:"2,keyasint,omitempty"`
	Spent         float64 `cbor:"3,keyasint,omitempty"`
}

// leaseRenewal renews a router's lease of shares, for all tenants that have recently sent requests to the router.
type leaseRenewal struct {
	Number            uint64                `cbor:"1,keyasint"`
	Contact           uint64                `cbor:"2,keyasint"` // as in quota.Renewal
	Usage             map[string]leaseUsage `cbor:"3,keyasint,omitempty"`
	Origin            string                `cbor:"4,keyasint,omitempty"`
	WantsLeaseholders bool                  `cbor:"5,keyasint,omitempty"` // the sender may not know all possible lease holders, and requests the list
}

// leaseRenewalReply is the reply to a leaseRenewal.
type leaseRenewalReply struct {
	Number       uint64             `cbor:"1,keyasint"`
	Shares       map[string]float64 `cbor:"2,keyasint,omitempty"` // by the tenant's name
	Origin       string             `cbor:"3,keyasint,omitempty"`
	Leaseholders []string           `cbor:"4,keyasint,omitempty"` // internal addresses of all possible holders; empty: not requested, or unknown
}

// requester returns the internal address of the router that made a request: the origin if the message was forwarded, else its sender.
func requester(p *transport.Packet, origin string) string {
	if origin != "" {
		return origin
	}
	return p.From
}

// usageMessages converts a renewal's usage, by tenant, to its encoded form.
func usageMessages(usage map[string]quota.Usage) map[string]leaseUsage {
	messages := map[string]leaseUsage{}
	for tenant, use := range usage {
		messages[tenant] = leaseUsage(use)
	}
	return messages
}
