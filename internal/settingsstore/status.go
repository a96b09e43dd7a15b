package settingsstore

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// How a sidecar stands to the newest settings of its service.
const (
	InForce      = "in force"
	Behind       = "behind"  // it has older ones in force, and has not said anything of the newest
	Ahead        = "ahead"   // it has newer ones in force, of a distributor that was not asked
	Rejected     = "refused" // it has said why it does not take the newest
	Unresponsive = "silent"  // it has not asked since its last question ended
)

// Sidecar is what one has acknowledged.
type Sidecar struct {
	Name           string          `json:"name"`
	State          string          `json:"state"`
	InForce        version.Edition `json:"in_force"`
	Rejected       version.Edition `json:"refused,omitzero"`
	Reason         string          `json:"why,omitempty"`
	LastRequestAgo Millis          `json:"heard_ms"` // ago it asked last
	Unresponsive   bool            `json:"-"`
}

// stand is how it stands to the newest settings.
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

// Contents are settings as a status has them.
type Contents struct {
	version.Edition
	Digest   version.Digest  `json:"digest"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Status is what one distributor says of one service.
type Status struct {
	Distributor string    `json:"distributor"`
	Region      string    `json:"region"`
	Starting    bool      `json:"starting"`
	Service     string    `json:"service"`
	Contents              // the newest; of the edition none where the service has never been published
	Previous    *Contents `json:"former,omitempty"`
	Overruled   *Contents `json:"overruled,omitempty"`
	Sidecars    []Sidecar `json:"sidecars"`
}

// contents are a state's; nil of nil.
func contents(s *State) *Contents {
	if s == nil {
		return nil
	}
	return &Contents{s.Edition, s.Digest, s.Settings}
}

// StatusOf is what the store says of a service.
func (s *Store) StatusOf(region, service string, now time.Duration) Status {
	out := Status{Distributor: s.name, Region: region, Starting: s.starting, Service: service, Sidecars: s.Sidecars(now, service)}
	if r := s.Record(service); r != nil {
		out.Contents, out.Previous, out.Overruled = *contents(&r.State), contents(r.Previous), contents(r.Overruled)
	}
	return out
}

// MergeStatuses is what several distributors say together: of each sidecar the word of the one that heard it last, judged by the
// newest settings that any of them holds. There is at least one status, all of one service.
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
	for _, s := range statuses { // who holds the newest may not have heard yet of what it won against
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

// CountIn is how many sidecars stand so.
func (s *Status) CountIn(state string) (n int) {
	for _, c := range s.Sidecars {
		if c.State == state {
			n++
		}
	}
	return n
}

// NotInForce are the sidecars that have not the newest settings in force, those of one state together.
func (s *Status) NotInForce() []Sidecar {
	out := slices.DeleteFunc(slices.Clone(s.Sidecars), func(c Sidecar) bool { return c.State == InForce })
	slices.SortStableFunc(out, func(a, b Sidecar) int { return cmp.Compare(a.State, b.State) })
	return out
}
