package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	minRequestTimeout     = 40 * time.Millisecond  // of one attempt to reach the allocator
	initialRequestTimeout = 120 * time.Millisecond // the same, before any reply has come
	requestTimeoutFactor  = 3                      // the time-out, as a multiple of the mean response time
	responseTimeWindow    = 8                      // replies after which one weighs 1/e in the mean
	maxRequestAttempts    = 3
	fallbackRetryDelay    = 500 * time.Millisecond // Retry-After of a request that the fallback rate rejects
	minRetryDelay         = 20 * time.Millisecond
)

// quotaClient is a router's side of the quotas: it uses credit that the allocator granted, requests more, renews the lease of shares,
// and uses the leased share, or the fallback rate, where the allocator can't be reached. Its methods may be called by any goroutine.
type quotaClient struct {
	*environment
	gossip       *gossip
	allocator    *allocatorServer
	leaseholders *leaseholderList

	mu               sync.Mutex // guards what follows; the gossip's lock may be taken while it is held
	local            *quota.LocalQuota
	lastRequest      uint64                     // number of the last request
	pending          map[uint64]chan quotaGrant // by the request's number
	meanResponseTime time.Duration              // 0: no reply has come

	viaPeer         bool          // the last reply came through a peer: this router may not reach the primary
	unanswered      bool          // the allocator did not reply to the last request
	unansweredSince time.Duration // set with unanswered

	renewal     quota.Renewal // the last one that was sent
	lastRenewal uint64        // its number
	nextRenewal time.Duration
	view        uint64 // of the primary that it was sent to
}

func newQuotaClient(e *environment, g *gossip, a *allocatorServer, l *leaseholderList) *quotaClient {
	c := &quotaClient{
		environment: e, gossip: g, allocator: a, leaseholders: l,
		local: quota.NewLocalQuota(quotaSettings(e.settings)), pending: map[uint64]chan quotaGrant{}, lastRequest: rand.Uint64(),
	}
	c.local.StartSession(rand.Uint64() >> 1)
	return c
}

// charge takes units out of a tenant's quota: out of credit, else of what the allocator grants, else, where the allocator can't be
// reached, of the leased share, else of the fallback rate. Where ok is false, wait is the time until a retry makes sense.
func (c *quotaClient) charge(ctx context.Context, t *config.Tenant, units float64) (ok bool, wait time.Duration) {
	if !quota.HasQuota(t) {
		return true, 0
	}
	now := c.clock()
	ok, missing := c.consume(now, t, units)
	if ok {
		return true, 0
	}
	grant, answered := c.request(ctx, t, units, missing)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !answered {
		return c.chargeLocally(now, t, units)
	}
	c.unanswered = false
	if grant.Granted < units {
		return false, max(minRetryDelay, time.Duration(grant.WaitMs)*time.Millisecond)
	}
	c.local.AddGrant(c.clock(), now, t, grant.Granted-units)
	return true, 0
}

// consume uses credit, or the leased share where the allocator did not reply to the last request. Where neither suffices, want is the
// number of units to request.
func (c *quotaClient) consume(now time.Duration, t *config.Tenant, units float64) (ok bool, want float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, want = c.local.Consume(now, t, units)
	if !ok && c.unanswered {
		ok, _ = c.local.ConsumeLease(now, t, units)
	}
	return ok, want
}

// chargeLocally takes units out of a quota where the allocator did not reply. The caller holds the lock.
func (c *quotaClient) chargeLocally(requestedAt time.Duration, t *config.Tenant, units float64) (bool, time.Duration) {
	if !c.unanswered {
		c.unanswered, c.unansweredSince = true, requestedAt
	}
	now := c.clock()
	if ok, wait := c.local.ConsumeLease(now, t, units); ok || wait > 0 {
		return ok, wait
	}
	routers := c.gossip.liveCount()
	if c.local.HasHadLease() {
		return c.local.ConsumeFallbackAfterLease(now, t, units, routers, rand.Float64()), fallbackRetryDelay
	}
	return c.local.ConsumeFallback(now, t, units, routers, requestedAt-c.unansweredSince, rand.Float64()), fallbackRetryDelay
}

func (c *quotaClient) refund(t *config.Tenant, units float64) {
	if !quota.HasQuota(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.Refund(c.clock(), t, units)
}

// request asks the allocator for credit, and retries where no reply comes; answered is false where none came at all. All attempts
// have one number, so that the allocator grants once.
func (c *quotaClient) request(ctx context.Context, t *config.Tenant, least, want float64) (grant quotaGrant, answered bool) {
	replies := make(chan quotaGrant, maxRequestAttempts)
	number := c.register(replies)
	defer c.unregister(number)
	message := quotaRequest{Number: number, Tenant: t.Name, Min: least, Want: want}
	for attempt := range maxRequestAttempts {
		if grant, answered := c.allocator.grant(t.Name, least, want); answered {
			return grant, true
		}
		if !c.send(attempt, message) {
			return quotaGrant{}, false
		}
		sentAt := time.Now()
		grant, answered := c.await(ctx, replies)
		if answered {
			c.observeResponseTime(time.Since(sentAt))
		}
		if answered || ctx.Err() != nil {
			return grant, answered
		}
	}
	return quotaGrant{}, false
}

// send sends one attempt of a request to the primary, or to a peer that forwards it; false: no other router is the primary.
func (c *quotaClient) send(attempt int, message quotaRequest) bool {
	to := c.gossip.primary()
	if to == "" || to == c.address() {
		return false
	}
	if peer := c.gossip.relayPeer(); peer != "" && c.goesViaPeer(attempt) {
		to, message.Origin = peer, c.address()
	}
	c.transport.Send(to, kindQuotaRequest, 0, message)
	return true
}

// goesViaPeer reports whether an attempt goes through a peer: the last one, or where the last reply came so, all but the second.
func (c *quotaClient) goesViaPeer(attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viaPeer {
		return attempt != 1
	}
	return attempt == maxRequestAttempts-1
}

func (c *quotaClient) await(ctx context.Context, replies <-chan quotaGrant) (quotaGrant, bool) {
	timeout := time.NewTimer(c.requestTimeout())
	defer timeout.Stop()
	select {
	case grant := <-replies:
		return grant, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return quotaGrant{}, false
}

// observeResponseTime updates the mean response time: the primary may be in another region.
func (c *quotaClient) observeResponseTime(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		c.meanResponseTime = elapsed
	}
	c.meanResponseTime += (elapsed - c.meanResponseTime) / responseTimeWindow
}

// requestTimeout is how long the reply to one attempt is awaited.
func (c *quotaClient) requestTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		return initialRequestTimeout
	}
	return max(minRequestTimeout, requestTimeoutFactor*c.meanResponseTime)
}

func (c *quotaClient) register(replies chan quotaGrant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest++
	c.pending[c.lastRequest] = replies
	return c.lastRequest
}

func (c *quotaClient) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// receiveGrant handles the allocator's reply to a request, or forwards it to the router that this one forwarded the request for.
func (c *quotaClient) receiveGrant(p *transport.Packet) error {
	var grant quotaGrant
	if err := cbor.Unmarshal(p.Body, &grant); err != nil {
		return err
	}
	if c.isForOther(grant.Origin) {
		c.transport.Send(grant.Origin, kindQuotaGrant, 0, grant)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viaPeer = grant.Origin != ""
	if replies := c.pending[grant.Number]; replies != nil {
		delete(c.pending, grant.Number)
		replies <- grant
	}
	return nil
}

// isForOther reports whether a reply has to be forwarded to its origin.
func (c *quotaClient) isForOther(origin string) bool { return origin != "" && origin != c.address() }

// tick renews the lease where that is due, and at once with a new primary, which does not know the lease.
func (c *quotaClient) tick(now time.Duration, fleet fleetSnapshot, wantsLeaseholders bool) {
	message, wasAnswered, due := c.beginRenewal(now, fleet)
	if !due {
		return
	}
	message.WantsLeaseholders = wantsLeaseholders
	if fleet.primary == c.address() {
		if reply, active := c.allocator.renew(fleet.primary, &message); active {
			c.applyRenewalReply(reply)
		}
		return
	}
	c.transport.Send(fleet.primary, kindLeaseRenewal, 0, message)
	if peer := c.gossip.relayPeer(); peer != "" && !wasAnswered {
		message.Origin = c.address() // this router may not reach the primary
		c.transport.Send(peer, kindLeaseRenewal, 0, message)
	}
}

// beginRenewal returns the renewal to be sent, and whether the one before was answered; due is false where none is to be sent.
func (c *quotaClient) beginRenewal(now time.Duration, fleet fleetSnapshot) (message leaseRenewal, wasAnswered, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNewView := fleet.view != c.view
	if fleet.primary == "" || fleet.routers > quota.MaxLeaseFleetSize || now < c.nextRenewal && !isNewView {
		return leaseRenewal{}, false, false
	}
	c.nextRenewal, c.view = now+quota.RenewInterval(fleet.routers), fleet.view
	wasAnswered = c.local.RenewalAnswered()
	c.renewal = c.local.BeginRenewal(now)
	c.lastRenewal++
	message = leaseRenewal{Number: c.lastRenewal, Contact: c.renewal.Number, Usage: usageMessages(c.renewal.Usage)}
	return message, wasAnswered, true
}

// receiveRenewalReply handles the allocator's reply to a renewal, or forwards it as receiveGrant does.
func (c *quotaClient) receiveRenewalReply(p *transport.Packet) error {
	var reply leaseRenewalReply
	if err := cbor.Unmarshal(p.Body, &reply); err != nil {
		return err
	}
	if c.isForOther(reply.Origin) {
		c.transport.Send(reply.Origin, kindLeaseRenewalReply, 0, reply)
		return nil
	}
	c.applyRenewalReply(reply)
	return nil
}

func (c *quotaClient) applyRenewalReply(reply leaseRenewalReply) {
	c.leaseholders.addComplete(reply.Leaseholders)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Number != c.lastRenewal {
		return // of an earlier renewal, or of a process before this one
	}
	c.local.CompleteRenewal(c.renewal, reply.Shares)
	c.unanswered = false
}
