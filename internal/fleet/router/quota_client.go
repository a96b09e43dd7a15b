package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	minRequestTimeout     = 40 * time.Millisecond  // before a question to the ledger is sent again
	initialRequestTimeout = 120 * time.Millisecond // the same, before an answer has come
	requestTimeoutFactor  = 3                      // times the usual answer's time
	responseTimeWindow    = 8                      // answers after which one weighs 1/e
	maxRequestAttempts    = 3
	// maxLeadershipAge is the age of the primary's confirmation beyond which its ledger does not act: less than the silence
	// after which witnesses take part in the election of another primary, so that two ledgers never act at once.
	maxLeadershipAge   = 600 * time.Millisecond
	fallbackRetryDelay = 500 * time.Millisecond
	minRetryDelay      = 20 * time.Millisecond
)

// quotaRequest asks the ledger for credit.
type quotaRequest struct {
	Number uint64  `cbor:"1,keyasint"`
	Tenant string  `cbor:"2,keyasint"`
	Min    float64 `cbor:"3,keyasint"`
	Want   float64 `cbor:"4,keyasint"`
	Origin string  `cbor:"5,keyasint,omitempty"` // the router that asks, where another one is to hand the question on
}

// quotaGrant answers quotaRequest.
type quotaGrant struct {
	Number  uint64  `cbor:"1,keyasint"`
	Granted float64 `cbor:"2,keyasint"`
	WaitMs  uint64  `cbor:"3,keyasint"`           // with nothing granted: when to ask again
	Origin  string  `cbor:"4,keyasint,omitempty"` // the router that asked, where another one is to hand the answer on
}

// quotaClient is a router's side of the quotas.
type quotaClient struct {
	router *Router

	mu               sync.Mutex
	local            *quota.LocalQuota
	lastRequest      uint64
	pending          map[uint64]chan quotaGrant
	meanResponseTime time.Duration // that an answer takes; 0: none has come

	viaPeer         bool          // the last answer came by another router: the way to the primary may be cut
	unanswered      bool          // the ledger did not answer the last question
	unansweredSince time.Duration // since when

	renewal     quota.Renewal // the last one that was sent
	lastRenewal uint64        // its number
	nextRenewal time.Duration
	view        uint64 // of the primary that it was sent to
}

func newQuotaClient(r *Router, s quota.Settings) *quotaClient {
	c := &quotaClient{router: r, local: quota.NewLocalQuota(s), pending: map[uint64]chan quotaGrant{}, lastRequest: rand.Uint64()}
	c.local.SetFirstContact(rand.Uint64() >> 1)
	return c
}

// charge takes units out of a tenant's quota: out of credit, else of what the ledger grants, else, where the ledger can't
// be reached, of the leased share, else of the floor.
func (c *quotaClient) charge(ctx context.Context, t *config.Tenant, units float64) (bool, time.Duration) {
	if !quota.HasQuota(t) {
		return true, 0
	}
	now := c.router.clock()
	c.mu.Lock()
	ok, ask := c.local.Consume(now, t, units)
	if !ok && c.unanswered {
		ok, _ = c.local.ConsumeLease(now, t, units)
	}
	c.mu.Unlock()
	if ok {
		return true, 0
	}
	grant, answered := c.request(ctx, t, units, ask)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !answered {
		return c.chargeLocally(now, t, units)
	}
	c.unanswered = false
	if grant.Granted < units {
		return false, max(minRetryDelay, time.Duration(grant.WaitMs)*time.Millisecond)
	}
	c.local.AddGrant(c.router.clock(), now, t, grant.Granted-units)
	return true, 0
}

// chargeLocally takes units out of a quota where the ledger did not answer. The caller holds the lock.
func (c *quotaClient) chargeLocally(asked time.Duration, t *config.Tenant, units float64) (bool, time.Duration) {
	if !c.unanswered {
		c.unanswered, c.unansweredSince = true, asked
	}
	now := c.router.clock()
	if ok, wait := c.local.ConsumeLease(now, t, units); ok || wait > 0 {
		return ok, wait
	}
	if c.local.HasLease() {
		return c.local.ConsumeFallbackAfterLease(now, t, units, c.router.liveCount(), rand.Float64()), fallbackRetryDelay
	}
	return c.local.ConsumeFallback(now, t, units, c.router.liveCount(), asked-c.unansweredSince, rand.Float64()), fallbackRetryDelay
}

func (c *quotaClient) refund(t *config.Tenant, units float64) {
	if !quota.HasQuota(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.Refund(c.router.clock(), t, units)
}

// ask asks the ledger, again where no answer comes. All tries have one number, so that the ledger grants once.
func (c *quotaClient) request(ctx context.Context, t *config.Tenant, least, want float64) (quotaGrant, bool) {
	answers := make(chan quotaGrant, maxRequestAttempts)
	number := c.register(answers)
	defer c.forget(number)
	message := quotaRequest{Number: number, Tenant: t.Name, Min: least, Want: want}
	for try := range maxRequestAttempts {
		if grant, answered := c.router.grantLocally(t.Name, least, want); answered {
			return grant, true
		}
		to := c.router.primary()
		if to == "" || to == c.router.settings.InternalAddress() {
			return quotaGrant{}, false
		}
		message.Origin = ""
		if peer := c.router.relayPeer(); peer != "" && c.isViaPeer(try) {
			to, message.Origin = peer, c.router.settings.InternalAddress()
		}
		c.router.transport.Send(to, kindQuotaRequest, 0, message)
		asked := time.Now()
		grant, answered := c.await(ctx, answers)
		if answered {
			c.observeResponseTime(time.Since(asked))
		}
		if answered || ctx.Err() != nil {
			return grant, answered
		}
	}
	return quotaGrant{}, false
}

// isViaPeer tells whether a try of a question goes by another router: the last one, or where the last answer came so, all but
// the second.
func (c *quotaClient) isViaPeer(try int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viaPeer {
		return try != 1
	}
	return try == maxRequestAttempts-1
}

func (c *quotaClient) await(ctx context.Context, answers <-chan quotaGrant) (quotaGrant, bool) {
	late := time.NewTimer(c.requestTimeout())
	defer late.Stop()
	select {
	case grant := <-answers:
		return grant, true
	case <-late.C:
	case <-ctx.Done():
	}
	return quotaGrant{}, false
}

// observe learns how long answers take: the primary may be in another region.
func (c *quotaClient) observeResponseTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		c.meanResponseTime = took
	}
	c.meanResponseTime += (took - c.meanResponseTime) / responseTimeWindow
}

// patience is how long an answer is waited for.
func (c *quotaClient) requestTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		return initialRequestTimeout
	}
	return max(minRequestTimeout, requestTimeoutFactor*c.meanResponseTime)
}

func (c *quotaClient) register(answers chan quotaGrant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest++
	c.pending[c.lastRequest] = answers
	return c.lastRequest
}

func (c *quotaClient) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *quotaClient) receiveGrant(p *transport.Packet) error {
	var grant quotaGrant
	if err := cbor.Unmarshal(p.Body, &grant); err != nil {
		return err
	}
	if grant.Origin != "" && grant.Origin != c.router.settings.InternalAddress() {
		c.router.transport.Send(grant.Origin, kindQuotaGrant, 0, grant)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viaPeer = grant.Origin != ""
	if answers := c.pending[grant.Number]; answers != nil {
		delete(c.pending, grant.Number)
		answers <- grant
	}
	return nil
}

// receiveQuotaRequest answers a router's question, if this one keeps the ledger.
func (r *Router) receiveQuotaRequest(p *transport.Packet) error {
	var ask quotaRequest
	if err := cbor.Unmarshal(p.Body, &ask); err != nil {
		return err
	}
	key := grantKey{from: origin(p, ask.Origin), number: ask.Number}
	grant, repeated := r.grants.lookup(r.clock(), key)
	if !repeated {
		var acts bool
		if grant, acts = r.grantLocally(ask.Tenant, ask.Min, ask.Want); !acts {
			r.forwardToPrimary(p, ask.Origin, kindQuotaRequest, ask)
			return nil
		}
		grant.Number = ask.Number
		r.grants.store(r.clock(), key, grant)
	}
	r.transport.Send(p.From, kindQuotaGrant, 0, grant.withOrigin(ask.Origin))
	return nil
}

// by is the answer as it goes the way that the question came: a repeated question may come by another way than the first.
func (g quotaGrant) withOrigin(origin string) quotaGrant {
	g.Origin = origin
	return g
}

// origin is the router that asked: the sender, or the one that it hands a question on for.
func origin(p *transport.Packet, named string) string {
	if named != "" {
		return named
	}
	return p.From
}

// forwardToPrimary hands a router's question on to the primary, which that router does not reach. What was handed on before is not.
func (r *Router) forwardToPrimary(p *transport.Packet, origin string, kind transport.Kind, message any) {
	if primary := r.primary(); origin == p.From && primary != "" && primary != r.settings.InternalAddress() {
		r.transport.Send(primary, kind, 0, message)
	}
}

// relayPeer is a router that may reach the primary where this one does not; empty: none is known.
func (r *Router) relayPeer() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, primary := r.node.Primary()
	live := slices.DeleteFunc(r.node.Members.LiveAddresses(), func(a string) bool { return a == primary })
	if len(live) == 0 {
		return ""
	}
	return live[rand.IntN(len(live))]
}

// grantLocally has this router's ledger grant credit; false where it is not the primary, or not sure to be.
func (r *Router) grantLocally(name string, least, want float64) (quotaGrant, bool) {
	table := r.allocatorTable()
	if table == nil {
		return quotaGrant{}, false
	}
	now, t := r.clock(), table.TenantByName(name)
	if t == nil {
		return quotaGrant{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	granted, wait := r.allocator.Grant(now, t, least, want)
	return quotaGrant{Granted: granted, WaitMs: uint64(wait / time.Millisecond)}, true
}

// allocatorTable is the configuration by which this router's ledger acts; nil: it does not act.
func (r *Router) allocatorTable() *config.Table {
	if r.replica == nil || r.draining.Load() { // one that ends has resigned
		return nil
	}
	confirmed, leading := r.replica.LeadershipConfirmedAt()
	if !leading || r.clock()-confirmed > maxLeadershipAge {
		return nil
	}
	table, _ := r.Table()
	return table
}

func (r *Router) primary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, address := r.node.Primary()
	return address
}

func (r *Router) liveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Members.LiveCount()
}
