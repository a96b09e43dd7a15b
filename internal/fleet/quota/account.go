package quota

import (
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

// Accounts are one router's credit, by tenant.
type Accounts struct {
	settings Settings
	accounts map[string]*account
}

type account struct {
	credit float64
	until  time.Duration
	usage  float64 // units a second
	calls  float64 // a second
	at     time.Duration
	floor  bucket
}

// NewAccounts returns accounts without credit.
func NewAccounts(settings Settings) *Accounts {
	return &Accounts{settings: settings, accounts: map[string]*account{}}
}

// Limited tells whether a tenant has a quota.
func Limited(t *config.Tenant) bool { return t.RatePerS > 0 || t.Burst > 0 }

// Take uses credit for a request. Where there is too little, ask is what is to be asked of the ledger: at least the
// request's units.
func (a *Accounts) Take(now time.Duration, t *config.Tenant, units float64) (ok bool, ask float64) {
	c := a.account(now, t)
	c.use(now, units)
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

// Add takes over credit that was granted in answer to a question that was asked at a moment.
func (a *Accounts) Add(now, asked time.Duration, t *config.Tenant, units float64) {
	c := a.account(now, t)
	if now > c.until {
		c.credit = 0
	}
	c.credit += units
	c.until = asked + creditLife
}

// Restore gives back the credit of a request that never ran.
func (a *Accounts) Restore(now time.Duration, t *config.Tenant, units float64) {
	c := a.account(now, t)
	if now <= c.until {
		c.credit += units
	}
}

// TakeFloor uses what a router may use without the ledger, one of so many routers.
func (a *Accounts) TakeFloor(now time.Duration, t *config.Tenant, units float64, routers int) bool {
	c := a.account(now, t)
	rate := floorShare * t.RatePerS / float64(max(1, routers))
	most := rate * a.settings.Window.Seconds() / 2
	c.floor.level = min(c.floor.level+rate*(now-c.floor.at).Seconds(), most)
	c.floor.at = now
	if c.floor.level <= 0 {
		return false
	}
	c.floor.level -= units // into debt: one request may be larger than the floor of a window
	return true
}

func (a *Accounts) account(now time.Duration, t *config.Tenant) *account {
	c := a.accounts[t.Name]
	if c == nil {
		c = &account{at: now, floor: bucket{at: now}}
		a.accounts[t.Name] = c
	}
	return c
}

// use averages a tenant's use.
func (c *account) use(now time.Duration, units float64) {
	passed := (now - c.at).Seconds() / usageMemory.Seconds()
	c.at = now
	c.usage = c.usage/(1+passed) + units/usageMemory.Seconds()
	c.calls = c.calls/(1+passed) + 1/usageMemory.Seconds()
}
