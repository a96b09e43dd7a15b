package settingsstore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// A sidecar's state relative to the newest settings of its service. The values stand in the status JSON.
const (
	InForce      = "in force"
	Behind       = "behind"  // older settings are in force, and it has reported nothing about the newest
	Ahead        = "ahead"   // newer settings are in force, from a distributor that was not asked
	Rejected     = "refused" // it has reported why it doesn't apply the newest settings
	Unresponsive = "silent"  // it has sent no request since its last one ended
)

// Sidecar is what a sidecar has acknowledged.
type Sidecar struct {
	Name           string          `json:"name"`
	State          string          `json:"state"`
	InForce        version.Edition `json:"in_force"`
	Rejected       version.Edition `json:"refused,omitzero"`
	Reason         string          `json:"why,omitempty"`
	LastRequestAgo Millis          `json:"heard_ms"` // since its last request
	Unresponsive   bool            `json:"-"`
}

// standing returns the sidecar's state relative to the newest settings.
func (s *Sidecar) standing(newest version.Edition) string {
	switch c := s.InForce.Compare(newest); {
	case s.Unresponsive:
		return Unresponsive
	case s.Rejected.Compare(newest) >= 0 && !s.Rejected.None():
		return Rejected
	case c < 0:
		return Behind
	case c > 0:
		return Ahead
	}
	return InForce
}

// Contents are settings in a Status.
type Contents struct {
	version.Edition
	Digest   version.Digest  `json:"digest"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Status is what one distributor reports of one service.
type Status struct {
	Distributor string    `json:"distributor"`
	Region      string    `json:"region"`
	Starting    bool      `json:"starting"`
	Service     string    `json:"service"`
	Contents              // the newest; the zero edition where the service has never been published
	Previous    *Contents `json:"former,omitempty"`
	Overruled   *Contents `json:"overruled,omitempty"`
	Sidecars    []Sidecar `json:"sidecars"`
}

// contents returns a state's; nil of nil.
func contents(s *State) *Contents {
	if s == nil {
		return nil
	}
	return &Contents{s.Edition, s.Digest, s.Settings}
}

// StatusOf returns what the store knows of a service.
func (s *Store) StatusOf(region, service string, now time.Duration) Status {
	out := Status{Distributor: s.name, Region: region, Starting: s.starting, Service: service, Sidecars: s.Sidecars(now, service)}
	if r := s.Record(service); r != nil {
		out.Contents, out.Previous, out.Overruled = *contents(&r.State), contents(r.Previous), contents(r.Overruled)
	}
	return out
}

// MergeStatuses combines what several distributors report of one service: of each sidecar the latest report, relative to the
// newest settings that any of them has. There is at least one status.
func MergeStatuses(statuses []Status) Status {
	out := statuses[0]
	latest := map[string]Sidecar{}
	for _, s := range statuses {
		if s.Compare(out.Edition) > 0 {
			out = s
		}
		for _, c := range s.Sidecars {
			c.Unresponsive = c.State == Unresponsive
			if known, ok := latest[c.Name]; !ok || c.LastRequestAgo < known.LastRequestAgo {
				latest[c.Name] = c
			}
		}
	}
	for _, s := range statuses { // a distributor that has the newest state may not know yet what it overruled
		if o := s.Overruled; o != nil && s.Edition == out.Edition && (out.Overruled == nil || o.Compare(out.Overruled.Edition) > 0) {
			out.Overruled = o
		}
	}
	out.Sidecars = nil
	for _, name := range sortedNames(latest) {
		c := latest[name]
		c.State = c.standing(out.Edition)
		out.Sidecars = append(out.Sidecars, c)
	}
	return out
}

// CountIn returns how many sidecars are in that state.
func (s *Status) CountIn(state string) (n int) {
	for _, c := range s.Sidecars {
		if c.State == state {
			n++
		}
	}
	return n
}

// NotInForce returns the sidecars that don't have the newest settings in force, ordered by state.
func (s *Status) NotInForce() []Sidecar {
	out := slices.DeleteFunc(slices.Clone(s.Sidecars), func(c Sidecar) bool { return c.State == InForce })
	slices.SortStableFunc(out, func(a, b Sidecar) int { return cmp.Compare(a.State, b.State) })
	return out
}
