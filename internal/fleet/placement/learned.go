package placement

import "time"

// LearnedState is what a router has learned about endpoints: which prefixes they have cached, and how fast they prefill.
// Routers store it on disk and fetch it from each other, as CBOR, so that a process that has just started need not learn it
// again. It is only a hint: an error in it can delay calls, but has no other effect. Its size is bounded.
type LearnedState struct {
	Prefixes []CachedPrefix `cbor:"1,keyasint,omitempty"`
	Models   []LatencyModel `cbor:"2,keyasint,omitempty"`
}

// CachedPrefix is a shared prefix that an endpoint is assumed to have cached.
type CachedPrefix struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // Endpoint.ShortID
	Prefix   uint32   // Prefix.Hash
	AgeMs    uint32   // milliseconds since the last use
}

// LatencyModel is the time to first token of a service's endpoints as a function of the prompt's length.
type LatencyModel struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Base    float64 // seconds
	PerUnit float64 // seconds per unit
	PerPair float64 // seconds per million pairs of units
}

// ExportLearned returns what this router has learned, with at most maxExportedPrefixes prefixes.
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

// export appends an endpoint's cached prefixes to a list, up to a length of maxExportedPrefixes.
func (c prefixCache) export(now time.Duration, endpoint uint32, list []CachedPrefix) []CachedPrefix {
	for hash, lastUse := range c {
		if len(list) >= maxExportedPrefixes {
			return list
		}
		if age := max(0, now-lastUse); age < prefixTTL {
			list = append(list, CachedPrefix{Endpoint: endpoint, Prefix: hash, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// ImportLearned merges the learned state of another process into that of this router. asOf is the time, on this router's
// clock, at which the ages in the state apply. What this router has observed is kept: of two last uses of a prefix the later
// one is kept, and a latency model is ignored if its service already has observations. Entries for unknown endpoints and
// services are ignored; ImportLearned may be called again with the same state once these are known.
func (p *Placer) ImportLearned(asOf time.Duration, state *LearnedState) {
	for _, cached := range state.Prefixes[:min(len(state.Prefixes), maxExportedPrefixes)] {
		e := p.byShortID[cached.Endpoint]
		if e == nil {
			continue
		}
		lastUse := asOf - time.Duration(cached.AgeMs)*time.Millisecond
		if knownUse, found := e.prefixes[cached.Prefix]; !found || knownUse < lastUse {
			e.prefixes.insert(lastUse, cached.Prefix)
		}
	}
	for _, model := range state.Models {
		if s := p.services[model.Service]; s != nil && !s.prefill.observed {
			s.prefill.setPrior(latencyLine{base: model.Base, perUnit: model.PerUnit, perPair: model.PerPair})
		}
	}
}
