package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// usageReportSpan is how long after a tenant's last request renewals report it.
const usageReportSpan = 5 * time.Second

// lease is a router's side of the shares that the allocator leases.
type lease struct {
	number     uint64        // of the next renewal
	usableFrom time.Duration // from then on shares accrue
	expiry     time.Duration // until then they may be used; 0: there was no lease yet
	sentAt     time.Duration // the last renewal
	answered   bool          // it was
}

// Renewal is what a router sends to renew its lease.
type Renewal struct {
	Number uint64           // the same until a renewal with it is answered, then the next one
	Usage  map[string]Usage // by tenant
	sentAt time.Duration
}

// StartSession numbers the renewals of this process from first on, which is drawn at random, so that the allocator can tell
// them from those of an earlier process at the same address.
func (q *LocalQuota) StartSession(first uint64) { q.lease.number = first }

// BeginRenewal returns what is to be sent to renew the lease. Where the last renewal was answered, units of the leased shares
// that have accrued since then and were not used are forfeited: the allocator counts from this renewal on.
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

// CompleteRenewal applies the shares that a renewal was answered with. The answer to any but the last one is ignored.
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

// HasHadLease reports whether any renewal was ever answered. The lease may have expired.
func (q *LocalQuota) HasHadLease() bool { return q.lease.expiry > 0 }

// ConsumeLease takes a request's units out of the leased share of a tenant's rate. Where too little has accrued, wait is the
// time until it suffices; ok and wait are zero where there is no share or the lease expires before.
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

// leaseCredit returns what is left of the units that a share has accrued since the lease's last renewal. They are bounded by
// the size of a bucket, as the allocator's are: else a quiet tenant would use all that it has saved up at once, in addition to what the
// next allocator grants.
func (l *localTenant) leaseCredit(accrued, bucketSize float64) float64 {
	credit := accrued - l.unreported - l.forfeited
	if credit > bucketSize {
		l.forfeited += credit - bucketSize
		credit = bucketSize
	}
	return credit
}
