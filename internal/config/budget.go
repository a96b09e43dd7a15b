package config

import (
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Budget is the section [budget]: what a request may cause in all tiers is counted from the first one on.
type Budget struct {
	Service  string `toml:"service"`  // that this sidecar sends to, the same at all of its sidecars
	Attempts int    `toml:"attempts"` // beyond the first that one try of a client may cause, in all tiers together
	Reentry  int    `toml:"reentry"`  // how often a request may have been at the service before
	Edge     *bool  `toml:"edge"`     // callers are outside; without it, those of the first tier are
	Leaf     *bool  `toml:"leaf"`     // the service calls no other; without it, that of the last tier doesn't
}

// Defaults and limits of [budget].
const (
	defaultAttempts = 6
	maxReentry      = 4
)

func (b *Budget) check(file *tomlfile.File) error {
	if !file.Has("budget.attempts") {
		b.Attempts = defaultAttempts
	}
	switch {
	case !budget.IsService(b.Service):
		return file.Errorf("budget.service", "must be given: 1 to 24 letters, digits, - and _")
	case b.Attempts < 0 || b.Attempts > budget.Most:
		return file.Errorf("budget.attempts", "must be 0 to %d", budget.Most)
	case b.Reentry < 0 || b.Reentry > maxReentry:
		return file.Errorf("budget.reentry", "must be 0 to %d", maxReentry)
	}
	return nil
}

// AccountSettings are what the accounts of the sidecar are kept by, beside the platform's settings.
func (b *Budget) AccountSettings(s *Settings) budget.Settings {
	out := budget.Settings{Service: b.Service, Edge: s.Tier == 0, Leaf: s.Tier == s.Tiers-1, Instances: s.Instances,
		Attempts: b.Attempts, Reentry: b.Reentry}
	if b.Edge != nil {
		out.Edge = *b.Edge
	}
	if b.Leaf != nil {
		out.Leaf = *b.Leaf
	}
	return out
}
