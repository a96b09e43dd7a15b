package quota

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

const (
	// creditTTL is how long credit may be used after the router requested it. It has to be short compared with the window,
	// since credit granted at the end of one window may be used in the next.
	creditTTL = 300 * time.Millisecond

	prefetchSpan        = 150 * time.Millisecond // of expected use, requested in advance if requests are frequent
	minPrefetchRequests = 3                      // expected requests in prefetchSpan that justify a prefetch

	usageTimeConstant    = time.Second     // of the averages usageRate and requestRate
	longTermTimeConstant = 8 * time.Second // of the average longTermRate, which shows whether a tenant's use is low
)

// LocalQuota holds one router's credit, leased shares and fallback buckets of all tenants.
type LocalQuota struct {
	settings Settings
	tenants  map[string]*localTenant
	lease    lease
}

// localTenant is a router's state for one tenant.
type localTenant struct {
	credit       float64 // units
	creditExpiry time.Duration

	updatedAt    time.Duration // last update of the averages below
	usageRate    float64       // units per second, averaged over usageTimeConstant
	requestRate  float64       // requests per second, averaged over usageTimeConstant
	longTermRate float64       // units per second, averaged over longTermTimeConstant; initially the tenant's rate

	fallback fallbackBucket

	leasedShare float64 // fraction of the tenant's rate
	unreported  float64 // units of the leased share that were used and not reported in an answered renewal
	forfeited   float64 // unused units of the leased share in excess of a bucket's size, since the last answered renewal
}

// NewLocalQuota returns a LocalQuota without credit or lease.
func NewLocalQuota(settings Settings) *LocalQuota {
	return &LocalQuota{settings: settings, tenants: map[string]*localTenant{}}
}

// Consume takes a request's units from the credit. If there is too little credit, ok is false and want is the number of units
// to request from the allocator: at least the request's units.
func (q *LocalQuota) Consume(now time.Duration, t *config.Tenant, units float64) (ok bool, want float64) {
	local := q.tenant(now, t)
	local.recordUse(now, t, units)
	local.expireCredit(now)
	if local.credit >= units {
		local.credit -= units
		return true, 0
	}
	if local.requestRate*prefetchSpan.Seconds() < minPrefetchRequests {
		return false, units // credit requested in advance would mostly expire unused
	}
	return false, units + local.usageRate*prefetchSpan.Seconds()
}

// AddGrant adds credit that the allocator has granted. requestedAt is when the router requested it, and determines its expiry.
func (q *LocalQuota) AddGrant(now, requestedAt time.Duration, t *config.Tenant, units float64) {
	local := q.tenant(now, t)
	local.expireCredit(now)
	local.credit += units
	local.creditExpiry = requestedAt + creditTTL
}

// Refund adds the units of a request that was not executed to the credit again, unless the credit has expired.
func (q *LocalQuota) Refund(now time.Duration, t *config.Tenant, units float64) {
	local := q.tenant(now, t)
	if now <= local.creditExpiry {
		local.credit += units
	}
}

// tenant returns the state for a tenant, and creates it if there is none.
func (q *LocalQuota) tenant(now time.Duration, t *config.Tenant) *localTenant {
	local := q.tenants[t.Name]
	if local == nil {
		local = &localTenant{updatedAt: now, fallback: fallbackBucket{updatedAt: now}, longTermRate: t.RatePerS}
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
	l.requestRate = l.requestRate/(1+elapsed/usageTimeConstant.Seconds()) + 1/usageTimeConstant.Seconds()
	decay := math.Exp(-elapsed / longTermTimeConstant.Seconds())
	l.longTermRate = min(l.longTermRate, t.RatePerS)*decay + units/longTermTimeConstant.Seconds()
}
