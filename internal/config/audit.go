package config

import (
	"time"

	"pinelb.example/pinelb/internal/tomlfile"
	"pinelb.example/pinelb/internal/version"
)

// Audit is the section [audit]: the sidecar logs what it acts on, and auditors may read that log and order the minimum version
// to act on.
type Audit struct {
	Share        float64           `toml:"share"`   // of all instances that may be shut out at once, from 0 to 1; auditors apply it to zones, too
	Lease        tomlfile.Duration `toml:"lease"`   // a sidecar that hears from neither the list service nor an auditor for that long is isolated; 0: never
	WhenIsolated string            `toml:"silence"` // "open": an isolated sidecar acts; "closed": it shuts itself out, within the share

	File version.Digest `toml:"-"` // of the operator's file
}

// Defaults and limits of [audit].
const (
	defaultShare       = 0.1
	minLease, maxLease = 2 * time.Second, 10 * time.Minute
	isolatedOpen       = "open"
	isolatedClosed     = "closed"
)

// check sets defaults and returns an error for the first invalid key.
func (a *Audit) check(file *tomlfile.File) error {
	if !file.Has("audit.share") {
		a.Share = defaultShare
	}
	if !file.Has("audit.silence") {
		a.WhenIsolated = isolatedOpen
	}
	switch {
	case !(a.Share >= 0 && a.Share <= 1): // excludes NaN, too
		return file.Errorf("audit.share", "must be from 0 to 1")
	case a.Lease != 0 && (a.Lease.D() < minLease || a.Lease.D() > maxLease):
		return file.Errorf("audit.lease", "must be 0s, or from %s to %s", minLease, maxLease)
	case a.WhenIsolated != isolatedOpen && a.WhenIsolated != isolatedClosed:
		return file.Errorf("audit.silence", "must be %q or %q", isolatedOpen, isolatedClosed)
	case a.ShutsOutWhenIsolated() && a.Lease == 0:
		return file.Errorf("audit.silence", "%q needs a lease: without one nobody is ever alone", isolatedClosed)
	}
	return nil
}

// ShutsOutWhenIsolated reports whether an isolated sidecar shuts itself out.
func (a *Audit) ShutsOutWhenIsolated() bool { return a.WhenIsolated == isolatedClosed }
