package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// usageReportSpan is how long after a tenant's last request renewals still report the tenant's usage.
const usageReportSpan = 5 * time.Second

// lease is a router's state of its lease, which covers its shares of all tenants' rates.
type lease struct {
	number     uint64        // number of the next renewal
	usableFrom time.Duration // time from which the shares accrue
	expiry     time.Duration // time until which the shares may be used; 0: no renewal has been answered so far
	sentAt     time.Duration // time at which the last renewal was sent
	answered   bool          // the last renewal was answered
}

// Renewal is a router's request to renew its lease.
type Renewal struct {
	Number uint64           // incremented after each answered renewal; unanswered ones are repeated with the same number
	Usage  map[string]Usage // by tenant
	sentAt time.Duration
}

// StartSession sets the number of this process's first renewal. The caller draws it at random, so that the allocator can
// distinguish this process's renewals from those of an earlier process at the same address.
func (q *LocalQuota) StartSession(first uint64) { q.lease.number = first }

// BeginRenewal returns the renewal to be sent. If the last renewal was answered, units of the leased shares that have accrued
// since then and were not used are forfeited, since the allocator lets the shares accrue from this renewal on.
func (q *LocalQuota) BeginRenewal(now time.Duration) Renewal {
	r := Renewal{Number: q.lease.number, Usage: map[string]Usage{}, sentAt: now}
	for name, local := range q.tenants {
		elapsed := now - local.updatedAt
		if local.leasedShare <= 0 && local.unreported <= 0 && elapsed >= usageReportSpan {
			continue
		}
		rate := local.usageRate / (1 + elapsed.Seconds()/usageTimeConstant.Seconds())
		usage := Usage{RatePerSecond: rate, Spent: local.unreported}
		if now <= q.lease.expiry {
			usage.Share = local.leasedShare
		}
		r.Usage[name] = usage
	}
	if q.lease.answered {
		q.lease.usableFrom = now
	}
	q.lease.sentAt, q.lease.answered = now, false
	return r
}

// CompleteRenewal applies the shares that the reply to a renewal grants. Replies to renewals other than the last are ignored.
func (q *LocalQuota) CompleteRenewal(r Renewal, shares map[string]float64) {
	if r.sentAt != q.lease.sentAt || r.Number != q.lease.number {
		return
	}
	q.lease.number++
	q.lease.answered = true
	q.lease.usableFrom = max(q.lease.usableFrom, r.sentAt)
	q.lease.expiry = r.sentAt + LeaseDuration
	for name, local := range q.tenants {
		local.unreported = max(0, local.unreported-r.Usage[name].Spent)
		local.forfeited = 0
		local.leasedShare = shares[name]
	}
}

// RenewalAnswered reports whether the last renewal was answered.
func (q *LocalQuota) RenewalAnswered() bool { return q.lease.answered }

// HasHadLease reports whether any renewal has been answered. The lease may have expired.
func (q *LocalQuota) HasHadLease() bool { return q.lease.expiry > 0 }

// ConsumeLease takes a request's units from the leased share of a tenant's rate. If too few units have accrued, ok is false and
// wait is the time until enough have. wait is 0 if there is no share, or if the lease expires first.
func (q *LocalQuota) ConsumeLease(now time.Duration, t *config.Tenant, units float64) (ok bool, wait time.Duration) {
	local := q.tenant(now, t)
	rate := local.leasedShare * t.RatePerS
	if rate <= 0 || now > q.lease.expiry {
		return false, 0
	}
	accrued := rate * (now - q.lease.usableFrom).Seconds()
	lacking := units - local.leaseCredit(accrued, local.leasedShare*q.settings.bucketSize(t))
	if lacking <= 0 {
		local.unreported += units
		return true, 0
	}
	wait = time.Duration(lacking / rate * float64(time.Second))
	if now+wait > q.lease.expiry {
		return false, 0
	}
	return false, wait
}

// leaseCredit returns the unused units that a share has accrued since the lease's last renewal. Like the allocator's, they are
// limited to the size of a bucket: otherwise a tenant that sent no requests for some time could use all accrued units at once,
// in addition to the units that the next allocator grants.
func (l *localTenant) leaseCredit(accrued, bucketSize float64) float64 {
	credit := accrued - l.unreported - l.forfeited
	if credit > bucketSize {
		l.forfeited += credit - bucketSize
		credit = bucketSize
	}
	return credit
}
