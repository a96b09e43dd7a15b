package router

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// maxLeadershipAge is the maximum time since the primary's leadership was last confirmed for its allocator to be active. It is less than
// the time-out after which witnesses take part in the election of another primary, so that two allocators are never active at once.
const maxLeadershipAge = 600 * time.Millisecond

// allocatorServer is this router's allocator, which grants credit and leases shares to all routers while this router is the primary.
// Its methods may be called by any goroutine. The caller must not hold the gossip's lock unless a method's comment requires it.
type allocatorServer struct {
	*environment
	gossip       *gossip
	config       *activeConfig
	leaseholders *leaseholderList
	grants       grantCache

	mu            sync.Mutex // guards the fields below; if the gossip's lock is needed too, it is taken first
	allocations   *quota.Allocator
	activeAddress string        // internal address of the router whose allocator is active; empty: not known
	activeSince   time.Duration // time on the clock at which that allocator became active
}

func newAllocatorServer(e *environment, g *gossip, c *activeConfig, l *leaseholderList) *allocatorServer {
	return &allocatorServer{
		environment: e, gossip: g, config: c, leaseholders: l, allocations: quota.NewAllocator(quotaSettings(e.settings)),
	}
}

// quotaSettings returns the bounds of quotas from the router's settings.
func quotaSettings(s *settings.Settings) quota.Settings {
	return quota.Settings{Window: s.Bounds.QuotaWindow, OvershootRatio: s.Bounds.QuotaOvershootRatio, OvershootUnits: s.Bounds.QuotaOvershootUnits}
}

// setRouters records the number of live routers.
func (a *allocatorServer) setRouters(routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocations.SetRouters(routers)
}

// activeTable returns the configuration that this router's allocator applies, or nil if the allocator is not active.
func (a *allocatorServer) activeTable() *config.Table {
	if a.replica == nil || a.draining.Load() { // a draining router has resigned
		return nil
	}
	confirmedAt, leading := a.replica.LeadershipConfirmedAt()
	if !leading || a.clock()-confirmedAt > maxLeadershipAge {
		return nil
	}
	table, _ := a.config.load()
	return table
}

// grant grants at least minimum units of credit from a tenant's quota, and up to wanted units, or rejects the request. It returns false if
// the allocator is not active or the tenant is not configured.
func (a *allocatorServer) grant(tenant string, minimum, wanted float64) (quotaGrant, bool) {
	table := a.activeTable()
	if table == nil {
		return quotaGrant{}, false
	}
	now, t := a.clock(), table.TenantByName(tenant)
	if t == nil {
		return quotaGrant{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	granted, wait := a.allocations.Grant(now, t, minimum, wanted)
	return quotaGrant{Granted: granted, WaitMs: uint64(wait / time.Millisecond)}, true
}

// receiveRequest replies to a router's request for credit, or forwards it to the primary if this allocator is not active. A retry of a
// granted request gets the same grant again.
func (a *allocatorServer) receiveRequest(p *transport.Packet) error {
	var request quotaRequest
	if err := cbor.Unmarshal(p.Body, &request); err != nil {
		return err
	}
	key := grantKey{from: requester(p, request.Origin), number: request.Number}
	grant, isRetry := a.grants.lookup(a.clock(), key)
	if !isRetry {
		var active bool
		if grant, active = a.grant(request.Tenant, request.Min, request.Want); !active {
			a.forwardToPrimary(p, request.Origin, kindQuotaRequest, request)
			return nil
		}
		grant.Number = request.Number
		a.grants.store(a.clock(), key, grant)
	}
	a.transport.Send(p.From, kindQuotaGrant, 0, grant.withOrigin(request.Origin))
	return nil
}

// receiveRenewal replies to a router's renewal of its lease, or forwards it to the primary if this allocator is not active.
func (a *allocatorServer) receiveRenewal(p *transport.Packet) error {
	var renewal leaseRenewal
	if err := cbor.Unmarshal(p.Body, &renewal); err != nil {
		return err
	}
	reply, active := a.renew(requester(p, renewal.Origin), &renewal)
	if !active {
		a.forwardToPrimary(p, renewal.Origin, kindLeaseRenewal, renewal)
		return nil
	}
	reply.Origin = renewal.Origin
	a.transport.Send(p.From, kindLeaseRenewalReply, 0, reply)
	return nil
}

// forwardToPrimary forwards a message of a router that does not reach the primary. It drops messages without an origin, which their sender
// did not ask to forward, and messages that have already been forwarded once.
func (a *allocatorServer) forwardToPrimary(p *transport.Packet, origin string, kind transport.Kind, message any) {
	if origin != p.From {
		return
	}
	if primary := a.gossip.primary(); primary != "" && primary != a.address() {
		a.transport.Send(primary, kind, 0, message)
	}
}

// renew renews a router's lease of shares. It returns false if the allocator is not active.
func (a *allocatorServer) renew(from string, renewal *leaseRenewal) (leaseRenewalReply, bool) {
	table := a.activeTable()
	if table == nil {
		return leaseRenewalReply{}, false
	}
	reply := leaseRenewalReply{Number: renewal.Number, Shares: map[string]float64{}}
	now := a.clock()
	a.gossip.mu.Lock()
	defer a.gossip.mu.Unlock()
	routers := a.gossip.node.Members.LiveCount()
	a.mu.Lock()
	defer a.mu.Unlock()
	for tenant, usage := range renewal.Usage {
		if t := limitedTenant(table, tenant); t != nil {
			reply.Shares[tenant] = a.allocations.RenewLease(now, t, from, renewal.Contact, routers, quota.Usage(usage))
		}
	}
	a.recordAnnouncement(from)
	if renewal.WantsLeaseholders && a.leaseholders.coversAllHolders() {
		reply.Leaseholders, _ = a.leaseholders.possibleHolders()
	}
	return reply, true
}

// recordAnnouncement records that a router has announced all shares that it holds, by renewing its lease. The caller holds the gossip's
// lock and the allocator's.
func (a *allocatorServer) recordAnnouncement(from string) {
	if !a.allocations.AwaitsAnnouncements(a.clock()) {
		a.leaseholders.recordHolder(from)
		return
	}
	a.allocations.RecordAnnouncement(from)
	if all, complete := a.leaseholders.possibleHolders(); complete {
		a.allocations.ExpectAnnouncements(all)
	}
}

// handleViewChange records which router's allocator is active in a new view, and activates this router's allocator if it is the primary.
// now is the time of the view change. The caller holds the gossip's lock.
func (a *allocatorServer) handleViewChange(now time.Duration, view replication.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	formerActiveFor := a.setActive(view.Primary.Address)
	if view.Primary.Address == a.address() {
		a.allocations.Activate(now, view.Number, a.allocations.View()+1 == view.Number, formerActiveFor)
	}
}

// setActive records the router whose allocator is active from now on, and returns for how long the former allocator has been active. For
// the first primary that a process learns of, possibly from its disk, that time is not known and counts as a complete quota window. The
// caller holds the lock.
func (a *allocatorServer) setActive(address string) (formerActiveFor time.Duration) {
	now := a.clock()
	if a.activeAddress == "" {
		a.activeAddress, a.activeSince = address, now-quotaSettings(a.settings).Window
	}
	formerActiveFor = now - a.activeSince
	if address != a.activeAddress {
		a.activeAddress, a.activeSince = address, now
	}
	return formerActiveFor
}

// limitedTenant returns the tenant with a name if it has a quota, or nil.
func limitedTenant(table *config.Table, name string) *config.Tenant {
	if t := table.TenantByName(name); t != nil && quota.HasQuota(t) {
		return t
	}
	return nil
}
