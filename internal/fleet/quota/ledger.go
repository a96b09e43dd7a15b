// Package quota holds tenants to what they may use over all routers. One router, the primary of the present view, keeps
// a token bucket a tenant and hands out credit that expires soon; the others ask for it, somewhat ahead of need. It is
// pure: no I/O, no clock.
package quota

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// Settings are the bounds of the rules.
type Settings struct {
	Window time.Duration
	Over   float64 // share of the allowance that may be exceeded
	Slack  float64 // and units beside
}

// What of the allowed excess is used where.
const (
	ledgerShare = 0.7  // by the ledger's buckets, beyond a tenant's burst
	takeOver    = 0.15 // that a ledger begins with: the one before may have handed out its burst just now
)

// excess is what a tenant may use in a window beyond its rate and burst.
func (s Settings) excess(t *config.Tenant) float64 {
	return s.Over*(t.RatePerS*s.Window.Seconds()+t.Burst) + s.Slack
}

// Ledger hands out credit of all tenants' quotas.
type Ledger struct {
	settings Settings
	view     uint64
	since    time.Duration // when it began to act without a break
	buckets  map[string]*bucket
}

type bucket struct {
	level float64
	at    time.Duration
}

// NewLedger returns a ledger that serves no view.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, buckets: map[string]*bucket{}}
}

// View is the view that the ledger acts for.
func (l *Ledger) View() uint64 { return l.view }

// Serve has the ledger act for a view. Buckets are kept where this router was the primary of the view before, too.
func (l *Ledger) Serve(now time.Duration, view uint64, keep bool) {
	if view != l.view && !keep {
		l.buckets = map[string]*bucket{}
		l.since = now
	}
	l.view = view
}

// Grant hands out up to want units, and nothing where least can't be had. wait is when least may be asked for again.
func (l *Ledger) Grant(now time.Duration, t *config.Tenant, least, want float64) (granted float64, wait time.Duration) {
	b := l.bucket(now, t)
	if b.level < least {
		if t.RatePerS <= 0 {
			return 0, time.Second
		}
		return 0, time.Duration((least - b.level) / t.RatePerS * float64(time.Second))
	}
	granted = min(b.level, max(least, want))
	b.level -= granted
	return granted, 0
}

// Return takes back what was not used.
func (l *Ledger) Return(now time.Duration, t *config.Tenant, units float64) {
	b := l.bucket(now, t)
	b.level = min(b.level+units, l.most(t))
}

func (l *Ledger) most(t *config.Tenant) float64 { return t.Burst + ledgerShare*l.settings.excess(t) }

func (l *Ledger) bucket(now time.Duration, t *config.Tenant) *bucket {
	b := l.buckets[t.Name]
	if b == nil {
		b = &bucket{level: takeOver * l.settings.excess(t), at: min(l.since, now)}
		l.buckets[t.Name] = b
	}
	if now > b.at {
		b.level = min(b.level+t.RatePerS*(now-b.at).Seconds(), l.most(t))
		b.at = now
	}
	b.level = min(b.level, l.most(t))
	return b
}
