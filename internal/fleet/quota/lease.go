package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// lease is a router's side of the shares that the ledger leases.
type lease struct {
	number     uint64        // the number of renewals that were answered
	usableFrom time.Duration // from when on shares may be used
	expiry     time.Duration // to when
	sentAt     time.Duration // the last renewal
	answered   bool          // it was
}

// Renewal is what a router sends to renew its lease.
type Renewal struct {
	Number uint64
	Usage  map[string]Usage // by tenant
	sentAt time.Duration
}

// StartSession has the contacts of this process be told from a former one's at the same address: start is drawn at random.
func (a *LocalQuota) StartSession(start uint64) { a.lease.number = start }

// RenewLease returns what is to be sent to renew the lease. Where the last renewal was answered, what might have been used since then
// and was not is forgone: the ledger counts from this renewal on.
func (a *LocalQuota) BeginRenewal(now time.Duration) Renewal {
	r := Renewal{Number: a.lease.number, Usage: map[string]Usage{}, sentAt: now}
	for name, c := range a.tenants {
		if passed := now - c.updatedAt; c.leasedShare > 0 || c.unreported > 0 || passed < usageReportSpan {
			perS := c.usageRate / (1 + passed.Seconds()/usageTimeConstant.Seconds())
			use := Usage{RatePerSecond: perS, Spent: c.unreported}
			if now <= a.lease.expiry {
				use.Share = c.leasedShare
			}
			r.Usage[name] = use
		}
	}
	if a.lease.answered {
		a.lease.usableFrom = now
	}
	a.lease.sentAt, a.lease.answered = now, false
	return r
}

// usageReportSpan is how long after a tenant's last request it is told of in renewals.
const usageReportSpan = 5 * time.Second

// CompleteRenewal takes over the shares that came in answer to a renewal. An answer to another one than the last is of no use.
func (a *LocalQuota) CompleteRenewal(r Renewal, shares map[string]float64) {
	if r.sentAt != a.lease.sentAt || r.Number != a.lease.number {
		return
	}
	a.lease.number++
	a.lease.answered = true
	a.lease.usableFrom, a.lease.expiry = max(a.lease.usableFrom, r.sentAt), r.sentAt+LeaseDuration
	for name, c := range a.tenants {
		c.unreported = max(0, c.unreported-r.Usage[name].Spent)
		c.forfeited = 0
		c.leasedShare = shares[name]
	}
}

// RenewalAnswered tells whether the last renewal was answered.
func (a *LocalQuota) RenewalAnswered() bool { return a.lease.answered }

// HasLease tells whether a renewal was ever answered.
func (a *LocalQuota) HasLease() bool { return a.lease.expiry > 0 }

// fallbackAfterLease is how much of the floor is left where shares are leased, which add up to the rate already.
const fallbackAfterLease = 0.5

// ConsumeFallbackAfterLease uses what a router, one of so many, may use that had a lease and has no share of the tenant's rate.
func (a *LocalQuota) ConsumeFallbackAfterLease(now time.Duration, t *config.Tenant, units float64, routers int, draw float64) bool {
	return a.ConsumeFallback(now, t, units, int(float64(routers)/fallbackAfterLease), earlyFallbackSpan, draw)
}

// ConsumeLease uses the share of a tenant's rate for a request. Where it does not suffice yet, wait is when it does; ok and wait
// are zero where there is no share or the lease has ended.
func (a *LocalQuota) ConsumeLease(now time.Duration, t *config.Tenant, units float64) (ok bool, wait time.Duration) {
	c := a.tenant(now, t)
	rate := c.leasedShare * t.RatePerS
	if rate <= 0 || now > a.lease.expiry {
		return false, 0
	}
	lacking := units - c.leaseCredit(rate*(now-a.lease.usableFrom).Seconds(), c.leasedShare*a.settings.bucketSize(t))
	if lacking <= 0 {
		c.unreported += units
		return true, 0
	}
	wait = time.Duration(lacking / rate * float64(time.Second))
	if now+wait > a.lease.expiry {
		return false, 0
	}
	return false, wait
}

// leaseCredit is what is left of what a share has come to since the lease's last renewal. It is bounded by a bucket, as the
// ledger's is: what a quiet tenant has not used would else be used at once, beside what the next ledger grants.
func (c *localTenant) leaseCredit(accrued, most float64) float64 {
	credit := accrued - c.unreported - c.forfeited
	if credit > most {
		c.forfeited += credit - most
		credit = most
	}
	return credit
}
