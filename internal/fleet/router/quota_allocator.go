package router

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// leaseUsage is a quota.Use as it travels.
type leaseUsage struct {
	RatePerSecond float64 `cbor:"1,keyasint,omitempty"`
	Share         float64 `cbor:"2,keyasint,omitempty"`
	Spent         float64 `cbor:"3,keyasint,omitempty"`
}

// leaseRenewal renews a router's lease of shares, of all tenants that it has had requests of lately.
type leaseRenewal struct {
	Number            uint64                `cbor:"1,keyasint"`
	Contact           uint64                `cbor:"2,keyasint"`
	Usage             map[string]leaseUsage `cbor:"3,keyasint,omitempty"`
	Origin            string                `cbor:"4,keyasint,omitempty"` // as in quotaRequest
	WantsLeaseholders bool                  `cbor:"5,keyasint,omitempty"` // who may hold shares: the sender may not know all
}

// leaseRenewalReply answers leaseRenewal.
type leaseRenewalReply struct {
	Number uint64             `cbor:"1,keyasint"`
	Shares map[string]float64 `cbor:"2,keyasint,omitempty"`
	Origin string             `cbor:"3,keyasint,omitempty"` // as in quotaGrant

	Leaseholders []string `cbor:"4,keyasint,omitempty"` // all that may hold shares; empty: not asked for, or not known
}

// tick renews the lease where it is time to, and at once with a new primary, which does not know it.
func (c *quotaClient) tick(now time.Duration, view uint64, primary string, routers int, asks bool) {
	c.mu.Lock()
	if primary == "" || routers > quota.MaxLeasedRouters || now < c.nextRenewal && view == c.view {
		c.mu.Unlock()
		return
	}
	c.nextRenewal, c.view = now+quota.RenewInterval(routers), view
	wasAnswered := c.local.RenewalAnswered()
	c.renewal = c.local.BeginRenewal(now)
	c.lastRenewal++
	message := leaseRenewal{Number: c.lastRenewal, Contact: c.renewal.Contact, Usage: map[string]leaseUsage{}, WantsLeaseholders: asks}
	for name, use := range c.renewal.Usage {
		message.Usage[name] = leaseUsage(use)
	}
	c.mu.Unlock()
	if primary != c.router.settings.InternalAddress() {
		c.router.transport.Send(primary, kindLeaseRenewal, 0, message)
		if peer := c.router.relayPeer(); peer != "" && !wasAnswered {
			message.Origin = c.router.settings.InternalAddress() // the way to the primary may be cut
			c.router.transport.Send(peer, kindLeaseRenewal, 0, message)
		}
		return
	}
	if answer, acts := c.router.renewLocally(primary, &message); acts {
		c.applyRenewalReply(answer)
	}
}

// receiveRenewalReply takes the primary's answer over.
func (c *quotaClient) receiveRenewalReply(p *transport.Packet) error {
	var answer leaseRenewalReply
	if err := cbor.Unmarshal(p.Body, &answer); err != nil {
		return err
	}
	if answer.Origin != "" && answer.Origin != c.router.settings.InternalAddress() {
		c.router.transport.Send(answer.Origin, kindLeaseRenewalReply, 0, answer)
		return nil
	}
	c.applyRenewalReply(answer)
	return nil
}

func (c *quotaClient) applyRenewalReply(answer leaseRenewalReply) {
	c.router.addLeaseholders(answer.Leaseholders)
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Number != c.lastRenewal {
		return // of an earlier renewal, or of a process before this one
	}
	c.local.CompleteRenewal(c.renewal, answer.Shares)
	c.unanswered = false
}

// receiveLeaseRenewal answers a router's renewal, if this one keeps the ledger.
func (r *Router) receiveLeaseRenewal(p *transport.Packet) error {
	var renew leaseRenewal
	if err := cbor.Unmarshal(p.Body, &renew); err != nil {
		return err
	}
	answer, acts := r.renewLocally(origin(p, renew.Origin), &renew)
	if !acts {
		r.forwardToPrimary(p, renew.Origin, kindLeaseRenewal, renew)
		return nil
	}
	answer.Origin = renew.Origin
	r.transport.Send(p.From, kindLeaseRenewalReply, 0, answer)
	return nil
}

// renewLocally has this router's ledger renew a lease; false where it does not act.
func (r *Router) renewLocally(from string, renew *leaseRenewal) (leaseRenewalReply, bool) {
	table := r.allocatorTable()
	if table == nil {
		return leaseRenewalReply{}, false
	}
	answer := leaseRenewalReply{Number: renew.Number, Shares: map[string]float64{}}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	routers := r.node.Members.LiveCount()
	for name, use := range renew.Usage {
		if t := limitedTenant(table, name); t != nil {
			answer.Shares[name] = r.allocator.RenewLease(now, t, from, renew.Contact, routers, quota.Usage(use))
		}
	}
	r.recordAnnouncement(from)
	if renew.WantsLeaseholders && r.knowsAllLeaseholders() {
		answer.Leaseholders, _ = r.possibleLeaseholders()
	}
	return answer, true
}

// recordAnnouncement notes that a router has renewed all that it holds. The caller holds the lock.
func (r *Router) recordAnnouncement(from string) {
	if !r.allocator.AwaitsAnnouncements(r.clock()) {
		r.leaseholders.recordLeaseholder(from)
		return
	}
	r.allocator.RecordAnnouncement(from)
	if all, complete := r.possibleLeaseholders(); complete {
		r.allocator.ExpectAnnouncements(all)
	}
}

// allocatorChanged notes whose ledger acts from now on, and returns how long the one before has. Of the first one that a process
// hears of, which may be the one that its disk names, it is not known: it counts as long ago. The caller holds the lock.
func (r *Router) allocatorChanged(primary string) (calm time.Duration) {
	now := r.clock()
	if r.allocatorAddress == "" {
		r.allocatorAddress, r.allocatorSince = primary, now-quotaSettings(r.settings).Window
	}
	calm = now - r.allocatorSince
	if primary != r.allocatorAddress {
		r.allocatorAddress, r.allocatorSince = primary, now
	}
	return calm
}

func limitedTenant(table *config.Table, name string) *config.Tenant {
	if t := table.TenantByName(name); t != nil && quota.HasQuota(t) {
		return t
	}
	return nil
}
