package config

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/tomlfile"
	"pinelb.example/pinelb/internal/version"
)

// Audit is the section [audit]: what the sidecar acts on is noted, auditors may ask for it, and they may order what it has to
// act on at least.
type Audit struct {
	Share        float64           `toml:"share"`   // of all instances that may be shut out at once; for zones auditors see to it
	Lease        tomlfile.Duration `toml:"lease"`   // without a word of the list service or of an auditor it is alone; 0 is never
	WhenIsolated string            `toml:"silence"` // what it does alone: "open", it acts; "closed", it shuts itself out where the share has room

	File version.Digest `toml:"-"` // of the operator's file itself
}

// Defaults and limits of [audit].
const (
	defaultShare       = 0.1
	minLease, maxLease = 2 * time.Second, 10 * time.Minute
	isolatedOpen       = "open"
	isolatedClosed     = "closed"
)

// check fills in the defaults and names the first key that can't be used.
func (a *Audit) check(file *tomlfile.File) error {
	if !file.Has("audit.share") {
		a.Share = defaultShare
	}
	if !file.Has("audit.silence") {
		a.WhenIsolated = isolatedOpen
	}
	switch {
	case !(a.Share >= 0 && a.Share <= 1): // nor a number that is none
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

// ShutsOutWhenIsolated tells whether a sidecar that is alone shuts itself out.
func (a *Audit) ShutsOutWhenIsolated() bool { return a.WhenIsolated == isolatedClosed }

// DigestOf is a text's digest.
func DigestOf(text []byte) version.Digest {
	return version.Digest(max(1, xxhash.Sum64(text))) // 0 would be none
}

// Digest tells settings apart as they stand in the file, but for how they are laid out and for what differs from one instance
// of a tier to the next: its rank and its zone.
func (c *Config) Digest() version.Digest {
	read := json.NewDecoder(strings.NewReader(c.RawSettings))
	read.UseNumber()
	var keys map[string]any
	if err := read.Decode(&keys); err != nil {
		return DigestOf([]byte(c.RawSettings)) // it has been read as an object before
	}
	for _, key := range instanceKeys {
		delete(keys, key)
	}
	text, err := json.Marshal(keys) // in the order of their names
	if err != nil {
		return DigestOf([]byte(c.RawSettings)) // what was read can be written
	}
	return DigestOf(text)
}
