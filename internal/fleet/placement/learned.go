package placement

import (
	"time"
)

// What one router has learned can be of use to another that has just started, or to the process after it: which shared
// parts endpoints keep, and how fast they read. It is bounded in size, and a hint only: what is wrong of it costs time.

// keptMost is how many shared parts are told at most: some 45 KB.
const keptMost = 3000

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
		if s.reading.known {
			line := s.reading.line()
			l.Models = append(l.Models, LatencyModel{Service: name, Base: line.first, PerUnit: line.unitTime, PerPair: line.pairTime})
		}
		for _, e := range s.endpoints {
			l.Prefixes = e.kept.tell(now, e.Name(), l.Prefixes)
		}
	}
	return l
}

// tell adds an endpoint's shared parts to a list that is not full.
func (k keptPrefixes) tell(now time.Duration, endpoint uint32, list []CachedPrefix) []CachedPrefix {
	for hash, used := range k {
		if len(list) >= keptMost {
			return list
		}
		if age := max(0, now-used); age < prefixLife {
			list = append(list, CachedPrefix{Endpoint: endpoint, Prefix: hash, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// ImportLearned takes over what another router had learned at a moment. What this one has seen itself holds; what is told of
// endpoints that it does not know yet is left out, so that it may be called again when it does.
func (p *Placer) ImportLearned(at time.Duration, l *LearnedState) {
	for _, told := range l.Prefixes[:min(len(l.Prefixes), keptMost)] {
		e := p.byName[told.Endpoint]
		if e == nil {
			continue
		}
		used := at - time.Duration(told.AgeMs)*time.Millisecond
		if known, is := e.kept[told.Prefix]; !is || known < used {
			e.kept.remember(used, told.Prefix)
		}
	}
	for _, told := range l.Models {
		if s := p.services[told.Service]; s != nil && !s.reading.known {
			s.reading.start(line{first: told.Base, unitTime: told.PerUnit, pairTime: told.PerPair})
		}
	}
}
