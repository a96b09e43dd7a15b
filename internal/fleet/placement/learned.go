package placement

import (
	"time"
)

// What one router has learned can be of use to another that has just started, or to the process after it: which shared
// parts endpoints keep, and how fast they read. It is bounded in size, and a hint only: what is wrong of it costs time.

// maxExportedPrefixes is how many shared parts are told at most: some 45 KB.
const maxExportedPrefixes = 3000

// Prefixes is a shared part that an endpoint is taken to keep.
type CachedPrefix struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // its Name
	Prefix   uint32   // Prefix.Hash
	AgeMs    uint32   // since its last use
}

// LatencyModel is what is learned of the speed of a service's endpoints.
type LatencyModel struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Base    float64 // seconds
	PerUnit float64 // seconds a unit
	PerPair float64 // seconds a million pairs of units
}

// ExportLearned is what a router has learned.
type LearnedState struct {
	Prefixes []CachedPrefix `cbor:"1,keyasint,omitempty"`
	Models   []LatencyModel `cbor:"2,keyasint,omitempty"`
}

// ExportLearned returns what this router has learned. Where it knows of more shared parts than can be told, some are left out.
func (p *Placer) ExportLearned(now time.Duration) LearnedState {
	var l LearnedState
	for name, s := range p.services {
		if s.prefill.known {
			line := s.prefill.line()
			l.Models = append(l.Models, LatencyModel{Service: name, Base: line.base, PerUnit: line.perUnit, PerPair: line.perPair})
		}
		for _, e := range s.endpoints {
			l.Prefixes = e.prefixes.export(now, e.Name(), l.Prefixes)
		}
	}
	return l
}

// tell adds an endpoint's shared parts to a list that is not full.
func (k prefixCache) export(now time.Duration, endpoint uint32, list []CachedPrefix) []CachedPrefix {
	for hash, used := range k {
		if len(list) >= maxExportedPrefixes {
			return list
		}
		if age := max(0, now-used); age < prefixTTL {
			list = append(list, CachedPrefix{Endpoint: endpoint, Prefix: hash, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// ImportLearned takes over what another router had learned at a moment. What this one has seen itself holds; what is told of
// endpoints that it does not know yet is left out, so that it may be called again when it does.
func (p *Placer) ImportLearned(at time.Duration, l *LearnedState) {
	for _, told := range l.Prefixes[:min(len(l.Prefixes), maxExportedPrefixes)] {
		e := p.byName[told.Endpoint]
		if e == nil {
			continue
		}
		used := at - time.Duration(told.AgeMs)*time.Millisecond
		if known, is := e.prefixes[told.Prefix]; !is || known < used {
			e.prefixes.remember(used, told.Prefix)
		}
	}
	for _, told := range l.Models {
		if s := p.services[told.Service]; s != nil && !s.prefill.known {
			s.prefill.setPrior(latencyLine{base: told.Base, perUnit: told.PerUnit, perPair: told.PerPair})
		}
	}
}
