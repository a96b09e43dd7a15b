package quota

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

const (
	// creditTTL is how long credit may be used. Credit that is granted at the end of one window is used in the next, so that
	// it has to be short compared with the window.
	creditTTL = 300 * time.Millisecond

	prefetchSpan     = 150 * time.Millisecond // for which credit is asked ahead, where requests come often
	minPrefetchCalls = 3                      // requests expected within prefetchSpan, below which none is asked ahead

	usageTimeConstant = time.Second     // over which a tenant's use is averaged
	quietTimeConstant = 8 * time.Second // the same, to see whether a tenant is quiet
)

// LocalQuota is one router's credit, leased shares and fallback, by tenant.
type LocalQuota struct {
	settings Settings
	tenants  map[string]*localTenant
	lease    lease
}

// localTenant is a router's state of one tenant.
type localTenant struct {
	credit       float64 // units
	creditExpiry time.Duration

	updatedAt  time.Duration // of the averages that follow
	usageRate  float64       // units a second over usageTimeConstant
	callRate   float64       // requests a second, the same
	steadyRate float64       // units a second over quietTimeConstant; at first as if the tenant were at its rate

	fallback fallbackBucket

	leasedShare float64 // of the tenant's rate
	unreported  float64 // units used of the leased share, that no answered renewal has reported
	forfeited   float64 // units of the leased share that were not used in time, since the last answered renewal
}

// NewLocalQuota returns a LocalQuota without credit and lease.
func NewLocalQuota(settings Settings) *LocalQuota {
	return &LocalQuota{settings: settings, tenants: map[string]*localTenant{}}
}

// Consume takes a request's units out of credit. Where there is too little, ok is false and want is what to ask the
// allocator for: at least the request's units.
func (q *LocalQuota) Consume(now time.Duration, t *config.Tenant, units float64) (ok bool, want float64) {
	local := q.tenant(now, t)
	local.recordUse(now, t, units)
	local.expireCredit(now)
	if local.credit >= units {
		local.credit -= units
		return true, 0
	}
	if local.callRate*prefetchSpan.Seconds() < minPrefetchCalls {
		return false, units // credit that is asked ahead would mostly expire
	}
	return false, units + local.usageRate*prefetchSpan.Seconds()
}

// AddGrant adds credit that the allocator has granted; askedAt is when the router asked for it.
func (q *LocalQuota) AddGrant(now, askedAt time.Duration, t *config.Tenant, units float64) {
	local := q.tenant(now, t)
	local.expireCredit(now)
	local.credit += units
	local.creditExpiry = askedAt + creditTTL
}

// Refund gives back the units of a request that was not executed, unless the credit has expired.
func (q *LocalQuota) Refund(now time.Duration, t *config.Tenant, units float64) {
	local := q.tenant(now, t)
	if now <= local.creditExpiry {
		local.credit += units
	}
}

func (q *LocalQuota) tenant(now time.Duration, t *config.Tenant) *localTenant {
	local := q.tenants[t.Name]
	if local == nil {
		local = &localTenant{updatedAt: now, fallback: fallbackBucket{updatedAt: now}, steadyRate: t.RatePerS}
		q.tenants[t.Name] = local
	}
	return local
}

func (l *localTenant) expireCredit(now time.Duration) {
	if now > l.creditExpiry {
		l.credit = 0
	}
}

// recordUse updates the averages of a tenant's use.
func (l *localTenant) recordUse(now time.Duration, t *config.Tenant, units float64) {
	elapsed := (now - l.updatedAt).Seconds()
	l.updatedAt = now
	l.usageRate = l.usageRate/(1+elapsed/usageTimeConstant.Seconds()) + units/usageTimeConstant.Seconds()
	l.callRate = l.callRate/(1+elapsed/usageTimeConstant.Seconds()) + 1/usageTimeConstant.Seconds()
	decay := math.Exp(-elapsed / quietTimeConstant.Seconds())
	l.steadyRate = min(l.steadyRate, t.RatePerS)*decay + units/quietTimeConstant.Seconds()
}
