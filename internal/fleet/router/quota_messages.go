package router

import (
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// The messages between routers and the allocator travel as CBOR maps with the integer keys of their tags. Units are those of the
// tenants' quotas. Where a router does not reach the primary, a peer forwards its message and the reply; Origin then holds the
// internal address of that router.

// quotaRequest asks the allocator for credit.
type quotaRequest struct {
	Number uint64  `cbor:"1,keyasint"`
	Tenant string  `cbor:"2,keyasint"`
	Min    float64 `cbor:"3,keyasint"` // units without which a grant is of no use
	Want   float64 `cbor:"4,keyasint"` // units that are wanted at most
	Origin string  `cbor:"5,keyasint,omitempty"`
}

// quotaGrant answers quotaRequest.
type quotaGrant struct {
	Number  uint64  `cbor:"1,keyasint"`
	Granted float64 `cbor:"2,keyasint"` // units; 0: rejected
	WaitMs  uint64  `cbor:"3,keyasint"` // with nothing granted: milliseconds until the next request makes sense
	Origin  string  `cbor:"4,keyasint,omitempty"`
}

// withOrigin returns the grant with the origin of the request that it answers: a retry may come another way than the first attempt.
func (g quotaGrant) withOrigin(origin string) quotaGrant {
	g.Origin = origin
	return g
}

// leaseUsage is a quota.Usage as it travels.
type leaseUsage struct {
	RatePerSecond float64 `cbor:"1,keyasint,omitempty"`
	Share         float64 `cbor:"2,keyasint,omitempty"`
	Spent         float64 `cbor:"3,keyasint,omitempty"`
}

// leaseRenewal renews a router's lease of shares, of all tenants that it has had requests of lately.
type leaseRenewal struct {
	Number            uint64                `cbor:"1,keyasint"`
	Contact           uint64                `cbor:"2,keyasint"` // as in quota.Renewal
	Usage             map[string]leaseUsage `cbor:"3,keyasint,omitempty"`
	Origin            string                `cbor:"4,keyasint,omitempty"`
	WantsLeaseholders bool                  `cbor:"5,keyasint,omitempty"` // the sender may not know all possible lease holders
}

// leaseRenewalReply answers leaseRenewal.
type leaseRenewalReply struct {
	Number       uint64             `cbor:"1,keyasint"`
	Shares       map[string]float64 `cbor:"2,keyasint,omitempty"` // by tenant
	Origin       string             `cbor:"3,keyasint,omitempty"`
	Leaseholders []string           `cbor:"4,keyasint,omitempty"` // all possible ones; empty: not requested, or not known
}

// requester is the router that a message is from: the sender, or the one that it forwards the message for.
func requester(p *transport.Packet, origin string) string {
	if origin != "" {
		return origin
	}
	return p.From
}

// usageMessages converts a renewal's usage to the form in which it travels.
func usageMessages(usage map[string]quota.Usage) map[string]leaseUsage {
	messages := map[string]leaseUsage{}
	for tenant, use := range usage {
		messages[tenant] = leaseUsage(use)
	}
	return messages
}
