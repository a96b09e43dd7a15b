package config

import (
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Budget is the section [budget]: the attempts that a request causes in all tiers are bounded, from its first tier on.
type Budget struct {
	Service  string `toml:"service"`  // the service that this sidecar sends to; the same at all of its sidecars
	Attempts int    `toml:"attempts"` // beyond the first, in all tiers together, for one request of a client
	Reentry  int    `toml:"reentry"`  // how many times a request may have been at the service before
	Edge     *bool  `toml:"edge"`     // callers are outside the site; nil: in the first tier they are
	Leaf     *bool  `toml:"leaf"`     // the service calls no other; nil: in the last tier it doesn't
}

// Defaults and limits of [budget].
const (
	defaultAttempts = 6
	maxReentry      = 4
)

// check sets defaults and returns an error for the first invalid key.
func (b *Budget) check(file *tomlfile.File) error {
	if !file.Has("budget.attempts") {
		b.Attempts = defaultAttempts
	}
	switch {
	case !budget.ValidService(b.Service):
		return file.Errorf("budget.service", "must be given: 1 to 24 letters, digits, - and _")
	case b.Attempts < 0 || b.Attempts > budget.MaxExtraAttempts:
		return file.Errorf("budget.attempts", "must be 0 to %d", budget.MaxExtraAttempts)
	case b.Reentry < 0 || b.Reentry > maxReentry:
		return file.Errorf("budget.reentry", "must be 0 to %d", maxReentry)
	}
	return nil
}

// AccountSettings returns the budget's settings, completed by the platform's.
func (b *Budget) AccountSettings(s *Settings) budget.Settings {
	out := budget.Settings{Service: b.Service, Edge: s.Tier == 0, Leaf: s.Tier == s.Tiers-1, Instances: s.Instances,
		MaxExtraAttempts: b.Attempts, MaxReentries: b.Reentry}
	if b.Edge != nil {
		out.Edge = *b.Edge
	}
	if b.Leaf != nil {
		out.Leaf = *b.Leaf
	}
	return out
}
