package quota

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// creditLife is how long credit may be used. What is handed out at the end of one window is used in the next, so that it
// has to be short beside the window.
const creditLife = 300 * time.Millisecond

// aheadFor is for how long credit is asked ahead, where requests come often.
const aheadFor = 150 * time.Millisecond

// aheadLeast is how many calls have to be expected within aheadFor.
const aheadLeast = 3

// usageMemory is the time over which a tenant's use is averaged.
const usageMemory = time.Second

// What all routers together may use without the ledger. At first it has probably ended, and another one is about to act:
// nobody uses the rate meanwhile. Later it probably serves the others: a tenth of the routers that is cut off from it for
// seconds has to stay within the allowed excess. A tenant that has been far from its rate for some time gets more at once.
const (
	floorAtFirst = 0.6 // of the rate
	floorLater   = 0.1 // the same
	floorFirst   = 1200 * time.Millisecond
	floorCutOff  = 0.8  // of the routers, reckoned without chance; with it half may be cut off from a ledger that serves the others
	floorExcess  = 0.1  // of the allowed excess of a window, at once
	quietBelow   = 0.4  // of its rate: a tenant whose use seems to be lower is quiet
	quietBurst   = 0.25 // of a second's rate, at once, for a quiet tenant
	quietMemory  = 8 * time.Second
)

// LocalQuota are one router's credit, by tenant.
type LocalQuota struct {
	settings Settings
	accounts map[string]*account
	lease    lease
}

type account struct {
	credit float64
	until  time.Duration
	usage  float64 // units a second
	calls  float64 // a second
	steady float64 // units a second over quietMemory; at first as if the tenant were at its rate
	at     time.Duration
	floor  bucket

	share float64 // of the rate, by the lease
	spent float64 // units used of it, that no renewal which was answered has told of

	forgone float64 // units of it that were not used in time, since the last renewal that was answered
}

// NewLocalQuota returns accounts without credit.
func NewLocalQuota(settings Settings) *LocalQuota {
	return &LocalQuota{settings: settings, accounts: map[string]*account{}}
}

// HasQuota tells whether a tenant has a quota.
func HasQuota(t *config.Tenant) bool { return t.RatePerS > 0 || t.Burst > 0 }

// Consume uses credit for a request. Where there is too little, ask is what is to be asked of the ledger: at least the
// request's units.
func (a *LocalQuota) Consume(now time.Duration, t *config.Tenant, units float64) (ok bool, ask float64) {
	c := a.account(now, t)
	c.use(now, t, units)
	if now > c.until {
		c.credit = 0
	}
	if c.credit >= units {
		c.credit -= units
		return true, 0
	}
	if c.calls*aheadFor.Seconds() < aheadLeast {
		return false, units // what is asked ahead would mostly expire
	}
	return false, units + c.usage*aheadFor.Seconds()
}

// AddGrant takes over credit that was granted in answer to a question that was asked at a moment.
func (a *LocalQuota) AddGrant(now, asked time.Duration, t *config.Tenant, units float64) {
	c := a.account(now, t)
	if now > c.until {
		c.credit = 0
	}
	c.credit += units
	c.until = asked + creditLife
}

// Refund gives back the credit of a request that never ran.
func (a *LocalQuota) Refund(now time.Duration, t *config.Tenant, units float64) {
	c := a.account(now, t)
	if now <= c.until {
		c.credit += units
	}
}

// ConsumeFallback uses what a router, one of so many, may use when it has been without the ledger for a time. A request that is larger than that is
// let through by chance, so that what all routers use comes out right in the mean; draw is from [0, 1).
func (a *LocalQuota) ConsumeFallback(now time.Duration, t *config.Tenant, units float64, routers int, without time.Duration, draw float64) bool {
	c := a.account(now, t)
	share := 1 / float64(max(1, routers))
	rate := floorLater * t.RatePerS * share
	if without < floorFirst {
		rate = floorAtFirst * t.RatePerS * share
	}
	if !a.HasLease() {
		rate *= a.settings.floorScale(t)
	}
	most := floorExcess * a.settings.excess(t) * share
	if c.steady < quietBelow*t.RatePerS*share {
		most = max(most, quietBurst*t.RatePerS*share)
	}
	c.floor.level = min(c.floor.level+rate*(now-c.floor.at).Seconds(), most)
	c.floor.at = now
	if units <= c.floor.level {
		c.floor.level -= units
		return true
	}
	passes := draw*units < c.floor.level
	c.floor.level = 0 // the chance has been used, whichever way it went
	return passes
}

// floorScale is how much of the floors' rates may be used, so that in a window the routers that are cut off stay within the
// part of the excess that the ledger's buckets leave.
func (s Settings) floorScale(t *config.Tenant) float64 {
	used := t.RatePerS * (floorAtFirst*floorFirst.Seconds() + floorLater*max(0, s.Window-floorFirst).Seconds())
	if used <= 0 {
		return 1
	}
	atOnce := max(floorExcess*s.excess(t), quietBurst*t.RatePerS)
	left := (1-ledgerShare)/floorCutOff*s.excess(t) - atOnce
	return min(1, max(0, left/used))
}

func (a *LocalQuota) account(now time.Duration, t *config.Tenant) *account {
	c := a.accounts[t.Name]
	if c == nil {
		c = &account{at: now, floor: bucket{at: now}, steady: t.RatePerS}
		a.accounts[t.Name] = c
	}
	return c
}

// use averages a tenant's use.
func (c *account) use(now time.Duration, t *config.Tenant, units float64) {
	passed := (now - c.at).Seconds()
	c.at = now
	c.usage = c.usage/(1+passed/usageMemory.Seconds()) + units/usageMemory.Seconds()
	c.calls = c.calls/(1+passed/usageMemory.Seconds()) + 1/usageMemory.Seconds()
	keep := math.Exp(-passed / quietMemory.Seconds())
	c.steady = min(c.steady, t.RatePerS)*keep + units/quietMemory.Seconds()
}
