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
	minRequestTimeout     = 40 * time.Millisecond  // minimum time-out of one attempt to reach the allocator
	initialRequestTimeout = 120 * time.Millisecond // time-out of an attempt before the first reply was received
	requestTimeoutFactor  = 3                      // time-out of an attempt, as a multiple of the mean response time
	responseTimeWindow    = 8                      // number of replies after which the weight of an earlier reply in the mean has decayed to about 1/e
	maxRequestAttempts    = 3
	fallbackRetryDelay    = 500 * time.Millisecond // recommended retry delay (Retry-After) of a request that the fallback rate rejects
	minRetryDelay         = 20 * time.Millisecond
)

// quotaClient charges this router's requests to the tenants' quotas. It uses credit that the allocator has granted, requests more credit,
// and renews the lease of shares. If the allocator does not reply, it uses the leased share, or the fallback rate. Its methods may be
// called by any goroutine.
type quotaClient struct {
	*environment
	gossip       *gossip
	allocator    *allocatorServer
	leaseholders *leaseholderList

	mu               sync.Mutex // guards the fields below; the gossip's lock may be taken while mu is held
	local            *quota.LocalQuota
	lastRequest      uint64                     // number of the last request
	pending          map[uint64]chan quotaGrant // channels for the replies, by the number of the request
	meanResponseTime time.Duration              // 0: no reply has been received

	viaPeer         bool          // the last reply was forwarded by a peer: this router may not reach the primary
	unanswered      bool          // a request got no reply, and no later request or renewal has got one
	unansweredSince time.Duration // time on the clock; valid if unanswered

	renewal     quota.Renewal // last renewal that was sent
	lastRenewal uint64        // number of the last renewal
	nextRenewal time.Duration // time of the next renewal
	view        uint64        // view of the primary to which the last renewal was sent
}

func newQuotaClient(e *environment, g *gossip, a *allocatorServer, l *leaseholderList) *quotaClient {
	c := &quotaClient{
		environment: e, gossip: g, allocator: a, leaseholders: l,
		local: quota.NewLocalQuota(quotaSettings(e.settings)), pending: map[uint64]chan quotaGrant{}, lastRequest: rand.Uint64(),
	}
	c.local.StartSession(rand.Uint64() >> 1)
	return c
}

// charge deducts units from a tenant's quota: from credit, or else from a new grant of the allocator. If the allocator does not reply, it
// uses the leased share, or the fallback rate if there is no share or its lease expires before enough units have accrued. If ok is false,
// wait is the recommended delay before a retry.
func (c *quotaClient) charge(ctx context.Context, t *config.Tenant, units float64) (ok bool, wait time.Duration) {
	if !quota.HasQuota(t) {
		return true, 0
	}
	now := c.clock()
	ok, want := c.consume(now, t, units)
	if ok {
		return true, 0
	}
	grant, answered := c.request(ctx, t, units, want)
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

// consume deducts units from credit, or from the leased share if the allocator did not reply to the last request. If neither suffices, ok
// is false, and want is the number of units to request from the allocator.
func (c *quotaClient) consume(now time.Duration, t *config.Tenant, units float64) (ok bool, want float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, want = c.local.Consume(now, t, units)
	if !ok && c.unanswered {
		ok, _ = c.local.ConsumeLease(now, t, units)
	}
	return ok, want
}

// chargeLocally deducts units from the leased share or the fallback rate, after the allocator did not reply to a request that was made at
// requestedAt. The caller holds the lock.
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

// refund returns the units of a request that never ran to the tenant's quota.
func (c *quotaClient) refund(t *config.Tenant, units float64) {
	if !quota.HasQuota(t) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.Refund(c.clock(), t, units)
}

// request requests at least minimum and up to wanted units of credit from the allocator, and retries if an attempt times out. answered is
// false if no attempt got a reply. All attempts have the same number, so that the allocator grants the request only once.
func (c *quotaClient) request(ctx context.Context, t *config.Tenant, minimum, wanted float64) (grant quotaGrant, answered bool) {
	replies := make(chan quotaGrant, maxRequestAttempts)
	number := c.register(replies)
	defer c.unregister(number)
	message := quotaRequest{Number: number, Tenant: t.Name, Min: minimum, Want: wanted}
	for attempt := range maxRequestAttempts {
		if grant, answered := c.allocator.grant(t.Name, minimum, wanted); answered {
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

// send sends one attempt of a request to the primary, or to a peer that forwards it. It returns false if no primary is known or this
// router is the primary itself.
func (c *quotaClient) send(attempt int, message quotaRequest) bool {
	to := c.gossip.primary()
	if to == "" || to == c.address() {
		return false
	}
	if peer := c.gossip.relayPeer(); peer != "" && c.usesPeer(attempt) {
		to, message.Origin = peer, c.address()
	}
	c.transport.Send(to, kindQuotaRequest, 0, message)
	return true
}

// usesPeer reports whether an attempt (counted from 0) is sent through a peer: only the last one, or, if the last reply was forwarded by a
// peer, all but the second.
func (c *quotaClient) usesPeer(attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viaPeer {
		return attempt != 1
	}
	return attempt == maxRequestAttempts-1
}

// await waits for a reply until the attempt times out or ctx is done. It returns false if no reply was received.
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

// observeResponseTime updates the mean response time, an exponential moving average. The time-out follows the mean because the primary may
// be in another region.
func (c *quotaClient) observeResponseTime(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		c.meanResponseTime = elapsed
	}
	c.meanResponseTime += (elapsed - c.meanResponseTime) / responseTimeWindow
}

// requestTimeout returns the time-out of one attempt.
func (c *quotaClient) requestTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanResponseTime == 0 {
		return initialRequestTimeout
	}
	return max(minRequestTimeout, requestTimeoutFactor*c.meanResponseTime)
}

// register returns a new request number, whose replies are sent to a channel.
func (c *quotaClient) register(replies chan quotaGrant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest++
	c.pending[c.lastRequest] = replies
	return c.lastRequest
}

// unregister makes later replies to a request be ignored.
func (c *quotaClient) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// receiveGrant handles the allocator's reply to a request, or forwards it to its origin if this router had forwarded the request.
func (c *quotaClient) receiveGrant(p *transport.Packet) error {
	var grant quotaGrant
	if err := cbor.Unmarshal(p.Body, &grant); err != nil {
		return err
	}
	if c.mustForward(grant.Origin) {
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

// mustForward reports whether a reply has to be forwarded to another router, its origin.
func (c *quotaClient) mustForward(origin string) bool { return origin != "" && origin != c.address() }

// tick renews the lease when the renewal interval has passed, and immediately after a change of the primary, since a new primary does not
// know the lease.
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
		message.Origin = c.address() // this router may not reach the primary: the peer forwards a second copy
		c.transport.Send(peer, kindLeaseRenewal, 0, message)
	}
}

// beginRenewal returns the renewal to send, and whether the previous one was answered. due is false if no renewal is to be sent now.
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

// receiveRenewalReply handles the allocator's reply to a renewal, or forwards it to its origin if this router had forwarded the renewal.
func (c *quotaClient) receiveRenewalReply(p *transport.Packet) error {
	var reply leaseRenewalReply
	if err := cbor.Unmarshal(p.Body, &reply); err != nil {
		return err
	}
	if c.mustForward(reply.Origin) {
		c.transport.Send(reply.Origin, kindLeaseRenewalReply, 0, reply)
		return nil
	}
	c.applyRenewalReply(reply)
	return nil
}

// applyRenewalReply applies a reply to the last renewal; of a reply to an earlier one, it uses only the list of lease holders.
func (c *quotaClient) applyRenewalReply(reply leaseRenewalReply) {
	c.leaseholders.addCompleteList(reply.Leaseholders)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Number != c.lastRenewal {
		return // reply to an earlier renewal, or to one of a previous process
	}
	c.local.CompleteRenewal(c.renewal, reply.Shares)
	c.unanswered = false
}
