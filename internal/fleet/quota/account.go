package quota

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// creditTTL is how long credit may be used. What is handed out at the end of one window is used in the next, so that it
// has to be short beside the window.
const creditTTL = 300 * time.Millisecond

// prefetchSpan is for how long credit is asked ahead, where requests come often.
const prefetchSpan = 150 * time.Millisecond

// minPrefetchCalls is how many calls have to be expected within prefetchSpan.
const minPrefetchCalls = 3

// usageTimeConstant is the time over which a tenant's use is averaged.
const usageTimeConstant = time.Second

// What all routers together may use without the ledger. At first it has probably ended, and another one is about to act:
// nobody uses the rate meanwhile. Later it probably serves the others: a tenth of the routers that is cut off from it for
// seconds has to stay within the allowed excess. A tenant that has been far from its rate for some time gets more at once.
const (
	earlyFallbackRate   = 0.6 // of the rate
	lateFallbackRate    = 0.1 // the same
	earlyFallbackSpan   = 1200 * time.Millisecond
	fallbackRouterShare = 0.8  // of the routers, reckoned without chance; with it half may be cut off from a ledger that serves the others
	fallbackBurstShare  = 0.1  // of the allowed excess of a window, at once
	quietThreshold      = 0.4  // of its rate: a tenant whose use seems to be lower is quiet
	quietBurst          = 0.25 // of a second's rate, at once, for a quiet tenant
	quietTimeConstant   = 8 * time.Second
)

// LocalQuota are one router's credit, by tenant.
type LocalQuota struct {
	settings Settings
	tenants  map[string]*localTenant
	lease    lease
}

type localTenant struct {
	credit       float64
	creditExpiry time.Duration
	usageRate    float64 // units a second
	callRate     float64 // a second
	steadyRate   float64 // units a second over quietTimeConstant; at first as if the tenant were at its rate
	updatedAt    time.Duration
	fallback     bucket

	leasedShare float64 // of the rate, by the lease
	unreported  float64 // units used of it, that no renewal which was answered has told of

	forfeited float64 // units of it that were not used in time, since the last renewal that was answered
}

// NewLocalQuota returns accounts without credit.
func NewLocalQuota(settings Settings) *LocalQuota {
	return &LocalQuota{settings: settings, tenants: map[string]*localTenant{}}
}

// HasQuota tells whether a tenant has a quota.
func HasQuota(t *config.Tenant) bool { return t.RatePerS > 0 || t.Burst > 0 }

// Consume uses credit for a request. Where there is too little, ask is what is to be asked of the ledger: at least the
// request's units.
func (a *LocalQuota) Consume(now time.Duration, t *config.Tenant, units float64) (ok bool, ask float64) {
	c := a.tenant(now, t)
	c.recordUse(now, t, units)
	if now > c.creditExpiry {
		c.credit = 0
	}
	if c.credit >= units {
		c.credit -= units
		return true, 0
	}
	if c.callRate*prefetchSpan.Seconds() < minPrefetchCalls {
		return false, units // what is asked ahead would mostly expire
	}
	return false, units + c.usageRate*prefetchSpan.Seconds()
}

// AddGrant takes over credit that was granted in answer to a question that was asked at a moment.
func (a *LocalQuota) AddGrant(now, asked time.Duration, t *config.Tenant, units float64) {
	c := a.tenant(now, t)
	if now > c.creditExpiry {
		c.credit = 0
	}
	c.credit += units
	c.creditExpiry = asked + creditTTL
}

// Refund gives back the credit of a request that never ran.
func (a *LocalQuota) Refund(now time.Duration, t *config.Tenant, units float64) {
	c := a.tenant(now, t)
	if now <= c.creditExpiry {
		c.credit += units
	}
}

// ConsumeFallback uses what a router, one of so many, may use when it has been without the ledger for a time. A request that is larger than that is
// let through by chance, so that what all routers use comes out right in the mean; draw is from [0, 1).
func (a *LocalQuota) ConsumeFallback(now time.Duration, t *config.Tenant, units float64, routers int, without time.Duration, draw float64) bool {
	c := a.tenant(now, t)
	share := 1 / float64(max(1, routers))
	rate := lateFallbackRate * t.RatePerS * share
	if without < earlyFallbackSpan {
		rate = earlyFallbackRate * t.RatePerS * share
	}
	if !a.HasLease() {
		rate *= a.settings.fallbackScale(t)
	}
	most := fallbackBurstShare * a.settings.overshoot(t) * share
	if c.steadyRate < quietThreshold*t.RatePerS*share {
		most = max(most, quietBurst*t.RatePerS*share)
	}
	c.fallback.level = min(c.fallback.level+rate*(now-c.fallback.updatedAt).Seconds(), most)
	c.fallback.updatedAt = now
	if units <= c.fallback.level {
		c.fallback.level -= units
		return true
	}
	passes := draw*units < c.fallback.level
	c.fallback.level = 0 // the chance has been used, whichever way it went
	return passes
}

// fallbackScale is how much of the floors' rates may be used, so that in a window the routers that are cut off stay within the
// part of the excess that the ledger's buckets leave.
func (s Settings) fallbackScale(t *config.Tenant) float64 {
	used := t.RatePerS * (earlyFallbackRate*earlyFallbackSpan.Seconds() + lateFallbackRate*max(0, s.Window-earlyFallbackSpan).Seconds())
	if used <= 0 {
		return 1
	}
	atOnce := max(fallbackBurstShare*s.overshoot(t), quietBurst*t.RatePerS)
	left := (1-bucketOvershootShare)/fallbackRouterShare*s.overshoot(t) - atOnce
	return min(1, max(0, left/used))
}

func (a *LocalQuota) tenant(now time.Duration, t *config.Tenant) *localTenant {
	c := a.tenants[t.Name]
	if c == nil {
		c = &localTenant{updatedAt: now, fallback: bucket{updatedAt: now}, steadyRate: t.RatePerS}
		a.tenants[t.Name] = c
	}
	return c
}

// use averages a tenant's use.
func (c *localTenant) recordUse(now time.Duration, t *config.Tenant, units float64) {
	passed := (now - c.updatedAt).Seconds()
	c.updatedAt = now
	c.usageRate = c.usageRate/(1+passed/usageTimeConstant.Seconds()) + units/usageTimeConstant.Seconds()
	c.callRate = c.callRate/(1+passed/usageTimeConstant.Seconds()) + 1/usageTimeConstant.Seconds()
	keep := math.Exp(-passed / quietTimeConstant.Seconds())
	c.steadyRate = min(c.steadyRate, t.RatePerS)*keep + units/quietTimeConstant.Seconds()
}
