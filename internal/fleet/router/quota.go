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
	askLeast     = 40 * time.Millisecond  // before a question to the ledger is sent again
	askFirst     = 120 * time.Millisecond // the same, before an answer has come
	askFactor    = 3                      // times the usual answer's time
	answerMemory = 8                      // answers after which one weighs 1/e
	askTries     = 3
	// ledgerConfirm is the age of the primary's confirmation beyond which its ledger does not act: less than the silence
	// after which witnesses take part in the election of another primary, so that two ledgers never act at once.
	ledgerConfirm = 600 * time.Millisecond
	floorComeBack = 500 * time.Millisecond
	leastComeBack = 20 * time.Millisecond
)

// quotaAsk asks the ledger for credit.
type quotaAsk struct {
	Number uint64  `cbor:"1,keyasint"`
	Tenant string  `cbor:"2,keyasint"`
	Least  float64 `cbor:"3,keyasint"`
	Want   float64 `cbor:"4,keyasint"`
	Origin string  `cbor:"5,keyasint,omitempty"` // the router that asks, where another one is to hand the question on
}

// quotaGrant answers quotaAsk.
type quotaGrant struct {
	Number  uint64  `cbor:"1,keyasint"`
	Granted float64 `cbor:"2,keyasint"`
	WaitMs  uint64  `cbor:"3,keyasint"`           // with nothing granted: when to ask again
	Origin  string  `cbor:"4,keyasint,omitempty"` // the router that asked, where another one is to hand the answer on
}

// quotaClient is a router's side of the quotas.
type quotaClient struct {
	router *Router

	mu       sync.Mutex
	accounts *quota.LocalQuota
	number   uint64
	open     map[uint64]chan quotaGrant
	usual    time.Duration // that an answer takes; 0: none has come

	viaPeer   bool          // the last answer came by another router: the way to the primary may be cut
	isWithout bool          // the ledger did not answer the last question
	without   time.Duration // since when

	renewal   quota.Renewal // the last one that was sent
	renewed   uint64        // its number
	nextRenew time.Duration
	view      uint64 // of the primary that it was sent to
}

func newQuotaClient(r *Router, s quota.Settings) *quotaClient {
	c := &quotaClient{router: r, accounts: quota.NewLocalQuota(s), open: map[uint64]chan quotaGrant{}, number: rand.Uint64()}
	c.accounts.StartSession(rand.Uint64() >> 1)
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
	ok, ask := c.accounts.Consume(now, t, units)
	if !ok && c.isWithout {
		ok, _ = c.accounts.ConsumeLease(now, t, units)
	}
	c.mu.Unlock()
	if ok {
		return true, 0
	}
	grant, answered := c.ask(ctx, t, units, ask)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !answered {
		return c.chargeWithout(now, t, units)
	}
	c.isWithout = false
	if grant.Granted < units {
		return false, max(leastComeBack, time.Duration(grant.WaitMs)*time.Millisecond)
	}
	c.accounts.AddGrant(c.router.clock(), now, t, grant.Granted-units)
	return true, 0
}

// chargeWithout takes units out of a quota where the ledger did not answer. The caller holds the lock.
func (c *quotaClient) chargeWithout(asked time.Duration, t *config.Tenant, units float64) (bool, time.Duration) {
	if !c.isWithout {
		c.isWithout, c.without = true, asked
	}
	now := c.router.clock()
	if ok, wait := c.accounts.ConsumeLease(now, t, units); ok || wait > 0 {
		return ok, wait
	}
	if c.accounts.HasLease() {
		return c.accounts.ConsumeFallbackAfterLease(now, t, units, c.router.count(), rand.Float64()), floorComeBack
	}
	return c.accounts.ConsumeFallback(now, t, units, c.router.count(), asked-c.without, rand.Float64()), floorComeBack
}

func (c *quotaClient) restore(t *config.Tenant, units float64) {
	if !quota.HasQuota(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accounts.Refund(c.router.clock(), t, units)
}

// ask asks the ledger, again where no answer comes. All tries have one number, so that the ledger grants once.
func (c *quotaClient) ask(ctx context.Context, t *config.Tenant, least, want float64) (quotaGrant, bool) {
	answers := make(chan quotaGrant, askTries)
	number := c.register(answers)
	defer c.forget(number)
	message := quotaAsk{Number: number, Tenant: t.Name, Least: least, Want: want}
	for try := range askTries {
		if grant, answered := c.router.grantHere(t.Name, least, want); answered {
			return grant, true
		}
		to := c.router.primary()
		if to == "" || to == c.router.settings.InternalAddress() {
			return quotaGrant{}, false
		}
		message.Origin = ""
		if peer := c.router.relayPeer(); peer != "" && c.asksPeer(try) {
			to, message.Origin = peer, c.router.settings.InternalAddress()
		}
		c.router.transport.Send(to, kindQuotaAsk, 0, message)
		asked := time.Now()
		grant, answered := c.await(ctx, answers)
		if answered {
			c.observe(time.Since(asked))
		}
		if answered || ctx.Err() != nil {
			return grant, answered
		}
	}
	return quotaGrant{}, false
}

// asksPeer tells whether a try of a question goes by another router: the last one, or where the last answer came so, all but
// the second.
func (c *quotaClient) asksPeer(try int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viaPeer {
		return try != 1
	}
	return try == askTries-1
}

func (c *quotaClient) await(ctx context.Context, answers <-chan quotaGrant) (quotaGrant, bool) {
	late := time.NewTimer(c.patience())
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
func (c *quotaClient) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usual == 0 {
		c.usual = took
	}
	c.usual += (took - c.usual) / answerMemory
}

// patience is how long an answer is waited for.
func (c *quotaClient) patience() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usual == 0 {
		return askFirst
	}
	return max(askLeast, askFactor*c.usual)
}

func (c *quotaClient) register(answers chan quotaGrant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.open[c.number] = answers
	return c.number
}

func (c *quotaClient) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, number)
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
	if answers := c.open[grant.Number]; answers != nil {
		delete(c.open, grant.Number)
		answers <- grant
	}
	return nil
}

// receiveQuotaAsk answers a router's question, if this one keeps the ledger.
func (r *Router) receiveQuotaAsk(p *transport.Packet) error {
	var ask quotaAsk
	if err := cbor.Unmarshal(p.Body, &ask); err != nil {
		return err
	}
	key := askKey{from: origin(p, ask.Origin), number: ask.Number}
	grant, repeated := r.granted.find(r.clock(), key)
	if !repeated {
		var acts bool
		if grant, acts = r.grantHere(ask.Tenant, ask.Least, ask.Want); !acts {
			r.handOn(p, ask.Origin, kindQuotaAsk, ask)
			return nil
		}
		grant.Number = ask.Number
		r.granted.keep(r.clock(), key, grant)
	}
	r.transport.Send(p.From, kindQuotaGrant, 0, grant.by(ask.Origin))
	return nil
}

// by is the answer as it goes the way that the question came: a repeated question may come by another way than the first.
func (g quotaGrant) by(origin string) quotaGrant {
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

// handOn hands a router's question on to the primary, which that router does not reach. What was handed on before is not.
func (r *Router) handOn(p *transport.Packet, origin string, kind transport.Kind, message any) {
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

// grantHere has this router's ledger grant credit; false where it is not the primary, or not sure to be.
func (r *Router) grantHere(name string, least, want float64) (quotaGrant, bool) {
	table := r.ledgerTable()
	if table == nil {
		return quotaGrant{}, false
	}
	now, t := r.clock(), table.TenantByName(name)
	if t == nil {
		return quotaGrant{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	granted, wait := r.ledger.Grant(now, t, least, want)
	return quotaGrant{Granted: granted, WaitMs: uint64(wait / time.Millisecond)}, true
}

// ledgerTable is the configuration by which this router's ledger acts; nil: it does not act.
func (r *Router) ledgerTable() *config.Table {
	if r.replica == nil || r.ending.Load() { // one that ends has resigned
		return nil
	}
	confirmed, leading := r.replica.LeadershipConfirmedAt()
	if !leading || r.clock()-confirmed > ledgerConfirm {
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

func (r *Router) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Members.LiveCount()
}
