package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// lease is a router's side of the shares that the ledger leases.
type lease struct {
	contact  uint64        // the number of renewals that were answered
	from     time.Duration // from when on shares may be used
	until    time.Duration // to when
	sent     time.Duration // the last renewal
	answered bool          // it was
}

// Renewal is what a router sends to renew its lease.
type Renewal struct {
	Contact uint64
	Usage   map[string]Usage // by tenant
	sent    time.Duration
}

// SetFirstContact has the contacts of this process be told from a former one's at the same address: start is drawn at random.
func (a *LocalQuota) SetFirstContact(start uint64) { a.lease.contact = start }

// RenewLease returns what is to be sent to renew the lease. Where the last renewal was answered, what might have been used since then
// and was not is forgone: the ledger counts from this renewal on.
func (a *LocalQuota) BeginRenewal(now time.Duration) Renewal {
	r := Renewal{Contact: a.lease.contact, Usage: map[string]Usage{}, sent: now}
	for name, c := range a.accounts {
		if passed := now - c.at; c.share > 0 || c.spent > 0 || passed < leaseMemory {
			perS := c.usage / (1 + passed.Seconds()/usageMemory.Seconds())
			use := Usage{RatePerSecond: perS, Spent: c.spent}
			if now <= a.lease.until {
				use.Share = c.share
			}
			r.Usage[name] = use
		}
	}
	if a.lease.answered {
		a.lease.from = now
	}
	a.lease.sent, a.lease.answered = now, false
	return r
}

// leaseMemory is how long after a tenant's last request it is told of in renewals.
const leaseMemory = 5 * time.Second

// CompleteRenewal takes over the shares that came in answer to a renewal. An answer to another one than the last is of no use.
func (a *LocalQuota) CompleteRenewal(r Renewal, shares map[string]float64) {
	if r.sent != a.lease.sent || r.Contact != a.lease.contact {
		return
	}
	a.lease.contact++
	a.lease.answered = true
	a.lease.from, a.lease.until = max(a.lease.from, r.sent), r.sent+LeaseDuration
	for name, c := range a.accounts {
		c.spent = max(0, c.spent-r.Usage[name].Spent)
		c.forgone = 0
		c.share = shares[name]
	}
}

// RenewalAnswered tells whether the last renewal was answered.
func (a *LocalQuota) RenewalAnswered() bool { return a.lease.answered }

// HasLease tells whether a renewal was ever answered.
func (a *LocalQuota) HasLease() bool { return a.lease.until > 0 }

// floorAfterLease is how much of the floor is left where shares are leased, which add up to the rate already.
const floorAfterLease = 0.5

// ConsumeFallbackAfterLease uses what a router, one of so many, may use that had a lease and has no share of the tenant's rate.
func (a *LocalQuota) ConsumeFallbackAfterLease(now time.Duration, t *config.Tenant, units float64, routers int, draw float64) bool {
	return a.ConsumeFallback(now, t, units, int(float64(routers)/floorAfterLease), floorFirst, draw)
}

// ConsumeLease uses the share of a tenant's rate for a request. Where it does not suffice yet, wait is when it does; ok and wait
// are zero where there is no share or the lease has ended.
func (a *LocalQuota) ConsumeLease(now time.Duration, t *config.Tenant, units float64) (ok bool, wait time.Duration) {
	c := a.account(now, t)
	rate := c.share * t.RatePerS
	if rate <= 0 || now > a.lease.until {
		return false, 0
	}
	lacking := units - c.shareCredit(rate*(now-a.lease.from).Seconds(), c.share*a.settings.bucket(t))
	if lacking <= 0 {
		c.spent += units
		return true, 0
	}
	wait = time.Duration(lacking / rate * float64(time.Second))
	if now+wait > a.lease.until {
		return false, 0
	}
	return false, wait
}

// shareCredit is what is left of what a share has come to since the lease's last renewal. It is bounded by a bucket, as the
// ledger's is: what a quiet tenant has not used would else be used at once, beside what the next ledger grants.
func (c *account) shareCredit(accrued, most float64) float64 {
	credit := accrued - c.spent - c.forgone
	if credit > most {
		c.forgone += credit - most
		credit = most
	}
	return credit
}
