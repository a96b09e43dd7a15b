package stubfleet

import (
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// Applied records that a sidecar has applied a list.
type Applied struct {
	At       time.Duration  `json:"a"` // by monotonicNow
	Revision int64          `json:"r"`
	Digest   version.Digest `json:"d"` // of the applied members; 0: unknown
}

// sink stands for the decision module and the connection pools of a sidecar: it records which hosts may get requests, and each
// applied list.
type sink struct {
	mu         sync.Mutex
	hosts      map[balance.EndpointID]bool // whether it may get new requests
	applied    []Applied
	generation uint32
}

// Set records a host that may get new requests.
func (s *sink) Set(id balance.EndpointID, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = true
}

// Shut records whether a host may get new requests.
func (s *sink) SetDraining(id balance.EndpointID, shut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = !shut
}

// Remove removes a host.
func (s *sink) Remove(id balance.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
}

// Membership, Cordon and Expect are of no interest to a stub.
func (s *sink) Membership(balance.ListKind, []balance.Entry, uint32) {}
func (s *sink) Cordon(balance.EndpointID, bool)                      {}
func (s *sink) Expect(time.Duration)                                 {}

// Listed applies a list, and records it.
func (s *sink) Listed(l version.List, apply func(generation uint32)) {
	s.generation++
	apply(s.generation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = append(s.applied, Applied{monotonicNow(), l.Revision, l.Digest})
}

// last returns the last applied list; its revision is 0 if there is none.
func (s *sink) last() Applied {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.applied) == 0 {
		return Applied{}
	}
	return s.applied[len(s.applied)-1]
}
