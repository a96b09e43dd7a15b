package placement

import "time"

// LearnedState is what a router has learned that is of use to one that has just started, or to its own next process: which
// prefixes endpoints have cached, and how fast they prefill. It is a hint: where it is wrong it costs time only. Its size is
// bounded. Routers store it and fetch it from each other in CBOR.
type LearnedState struct {
	Prefixes []CachedPrefix `cbor:"1,keyasint,omitempty"`
	Models   []LatencyModel `cbor:"2,keyasint,omitempty"`
}

// CachedPrefix is a shared prefix that an endpoint is assumed to have cached.
type CachedPrefix struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // its ShortID
	Prefix   uint32   // Prefix.Hash
	AgeMs    uint32   // since its last use
}

// LatencyModel is the time to first token of a service's endpoints by the length of the prompt.
type LatencyModel struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Base    float64 // seconds
	PerUnit float64 // seconds a unit
	PerPair float64 // seconds a million pairs of units
}

// ExportLearned returns what this router has learned, with maxExportedPrefixes prefixes at most.
func (p *Placer) ExportLearned(now time.Duration) LearnedState {
	var state LearnedState
	for name, s := range p.services {
		if s.prefill.observed {
			line := s.prefill.line()
			state.Models = append(state.Models, LatencyModel{Service: name, Base: line.base, PerUnit: line.perUnit, PerPair: line.perPair})
		}
		for _, e := range s.endpoints {
			state.Prefixes = e.prefixes.export(now, e.ShortID(), state.Prefixes)
		}
	}
	return state
}

// export appends an endpoint's prefixes to a list, until that has maxExportedPrefixes.
func (c prefixCache) export(now time.Duration, endpoint uint32, list []CachedPrefix) []CachedPrefix {
	for hash, used := range c {
		if len(list) >= maxExportedPrefixes {
			return list
		}
		if age := max(0, now-used); age < prefixTTL {
			list = append(list, CachedPrefix{Endpoint: endpoint, Prefix: hash, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// ImportLearned takes over what another router had learned by a time. What this router has observed itself stays. What concerns
// endpoints and services that it does not know yet is ignored, so that it may be called again when it does.
func (p *Placer) ImportLearned(at time.Duration, state *LearnedState) {
	for _, cached := range state.Prefixes[:min(len(state.Prefixes), maxExportedPrefixes)] {
		e := p.byName[cached.Endpoint]
		if e == nil {
			continue
		}
		used := at - time.Duration(cached.AgeMs)*time.Millisecond
		if known, found := e.prefixes[cached.Prefix]; !found || known < used {
			e.prefixes.insert(used, cached.Prefix)
		}
	}
	for _, model := range state.Models {
		if s := p.services[model.Service]; s != nil && !s.prefill.observed {
			s.prefill.setPrior(latencyLine{base: model.Base, perUnit: model.PerUnit, perPair: model.PerPair})
		}
	}
}
