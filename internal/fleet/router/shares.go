package router

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// quotaUse is a quota.Use as it travels.
type quotaUse struct {
	RatePerSecond float64 `cbor:"1,keyasint,omitempty"`
	Share         float64 `cbor:"2,keyasint,omitempty"`
	Spent         float64 `cbor:"3,keyasint,omitempty"`
}

// quotaRenew renews a router's lease of shares, of all tenants that it has had requests of lately.
type quotaRenew struct {
	Number  uint64              `cbor:"1,keyasint"`
	Contact uint64              `cbor:"2,keyasint"`
	Uses    map[string]quotaUse `cbor:"3,keyasint,omitempty"`
	Origin  string              `cbor:"4,keyasint,omitempty"` // as in quotaAsk
	Asks    bool                `cbor:"5,keyasint,omitempty"` // who may hold shares: the sender may not know all
}

// quotaRenewed answers quotaRenew.
type quotaRenewed struct {
	Number uint64             `cbor:"1,keyasint"`
	Shares map[string]float64 `cbor:"2,keyasint,omitempty"`
	Origin string             `cbor:"3,keyasint,omitempty"` // as in quotaGrant

	Routers []string `cbor:"4,keyasint,omitempty"` // all that may hold shares; empty: not asked for, or not known
}

// tick renews the lease where it is time to, and at once with a new primary, which does not know it.
func (c *quotaClient) tick(now time.Duration, view uint64, primary string, routers int, asks bool) {
	c.mu.Lock()
	if primary == "" || routers > quota.MaxLeasedRouters || now < c.nextRenew && view == c.view {
		c.mu.Unlock()
		return
	}
	c.nextRenew, c.view = now+quota.RenewInterval(routers), view
	wasAnswered := c.accounts.RenewalAnswered()
	c.renewal = c.accounts.BeginRenewal(now)
	c.renewed++
	message := quotaRenew{Number: c.renewed, Contact: c.renewal.Number, Uses: map[string]quotaUse{}, Asks: asks}
	for name, use := range c.renewal.Usage {
		message.Uses[name] = quotaUse(use)
	}
	c.mu.Unlock()
	if primary != c.router.settings.InternalAddress() {
		c.router.transport.Send(primary, kindQuotaRenew, 0, message)
		if peer := c.router.relayPeer(); peer != "" && !wasAnswered {
			message.Origin = c.router.settings.InternalAddress() // the way to the primary may be cut
			c.router.transport.Send(peer, kindQuotaRenew, 0, message)
		}
		return
	}
	if answer, acts := c.router.renewHere(primary, &message); acts {
		c.takeRenewed(answer)
	}
}

// receiveRenewed takes the primary's answer over.
func (c *quotaClient) receiveRenewed(p *transport.Packet) error {
	var answer quotaRenewed
	if err := cbor.Unmarshal(p.Body, &answer); err != nil {
		return err
	}
	if answer.Origin != "" && answer.Origin != c.router.settings.InternalAddress() {
		c.router.transport.Send(answer.Origin, kindQuotaRenewed, 0, answer)
		return nil
	}
	c.takeRenewed(answer)
	return nil
}

func (c *quotaClient) takeRenewed(answer quotaRenewed) {
	c.router.learnLeaseholders(answer.Routers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Number != c.renewed {
		return // of an earlier renewal, or of a process before this one
	}
	c.accounts.CompleteRenewal(c.renewal, answer.Shares)
	c.isWithout = false
}

// receiveQuotaRenew answers a router's renewal, if this one keeps the ledger.
func (r *Router) receiveQuotaRenew(p *transport.Packet) error {
	var renew quotaRenew
	if err := cbor.Unmarshal(p.Body, &renew); err != nil {
		return err
	}
	answer, acts := r.renewHere(origin(p, renew.Origin), &renew)
	if !acts {
		r.handOn(p, renew.Origin, kindQuotaRenew, renew)
		return nil
	}
	answer.Origin = renew.Origin
	r.transport.Send(p.From, kindQuotaRenewed, 0, answer)
	return nil
}

// renewHere has this router's ledger renew a lease; false where it does not act.
func (r *Router) renewHere(from string, renew *quotaRenew) (quotaRenewed, bool) {
	table := r.ledgerTable()
	if table == nil {
		return quotaRenewed{}, false
	}
	answer := quotaRenewed{Number: renew.Number, Shares: map[string]float64{}}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	routers := r.node.Members.LiveCount()
	for name, use := range renew.Uses {
		if t := limitedTenant(table, name); t != nil {
			answer.Shares[name] = r.ledger.RenewLease(now, t, from, renew.Contact, routers, quota.Usage(use))
		}
	}
	r.noteAnnounced(from)
	if renew.Asks && r.knowsLeaseholders() {
		answer.Routers, _ = r.mayHoldShares()
	}
	return answer, true
}

// noteAnnounced notes that a router has renewed all that it holds. The caller holds the lock.
func (r *Router) noteAnnounced(from string) {
	if !r.ledger.AwaitsAnnouncements(r.clock()) {
		r.leaseholders.holds(from)
		return
	}
	r.ledger.RecordAnnouncement(from)
	if all, complete := r.mayHoldShares(); complete {
		r.ledger.ExpectAnnouncements(all)
	}
}

// ledgerChanged notes whose ledger acts from now on, and returns how long the one before has. Of the first one that a process
// hears of, which may be the one that its disk names, it is not known: it counts as long ago. The caller holds the lock.
func (r *Router) ledgerChanged(primary string) (calm time.Duration) {
	now := r.clock()
	if r.ledgerOf == "" {
		r.ledgerOf, r.ledgerSince = primary, now-quotaSettings(r.settings).Window
	}
	calm = now - r.ledgerSince
	if primary != r.ledgerOf {
		r.ledgerOf, r.ledgerSince = primary, now
	}
	return calm
}

func limitedTenant(table *config.Table, name string) *config.Tenant {
	if t := table.TenantByName(name); t != nil && quota.HasQuota(t) {
		return t
	}
	return nil
}
