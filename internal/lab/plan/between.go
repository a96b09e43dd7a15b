package plan

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// LinkHow is what is wrong with a link.
type LinkHow string

// What can be wrong: nothing passes either way, or one way, all passes late, or what is open is reset once.
const (
	LinkBoth  LinkHow = "both"
	LinkThere LinkHow = "there" // from the one that connects
	LinkBack  LinkHow = "back"  // to it
	LinkSlow  LinkHow = "slow"
	LinkReset LinkHow = "reset"
)

// Link is a fault of the network between a sidecar and another process.
type Link struct {
	Of    string // "list", "boxes", "clients" or "control"
	How   LinkHow
	Delay time.Duration // slow: of each piece, each way
}

// Cuts tells whether nothing passes, from the one that connects or to it.
func (l Link) Cuts(there bool) bool {
	return l.How == LinkBoth || l.How == LinkThere && there || l.How == LinkBack && !there
}

// ListFault is a fault of the list service as one sidecar's agent has it.
type ListFault struct {
	Kind  string // "list_down", "list_slow", "list_old", "list_wrong", "list_cut" or "list_forget"
	Of    string // list_wrong: "empty", "half" or "other"
	Size  float64
	Delay time.Duration
}

// betweenProcesses is a fault of the list service or of links, at each sidecar that it hits, on and off where it comes and goes.
func (s *script) betweenProcesses(f *scenario.Fault, from, to time.Duration) {
	hit := s.hit(f)
	if linkKinds[f.Kind] == "" && len(f.Names) == 0 && f.Endpoints == 0 && f.Share == 0 && len(s.Scenario.Auditors) > 0 {
		hit = append(hit, -1) // the service itself, as auditors ask it
	}
	if to == 0 {
		to = s.end()
	}
	down, up := f.Down.D(), f.Up.D()
	if down == 0 {
		down = max(to-from, 1) // what happens at once is over at once
	}
	for at := from; at < max(to, from+1); at += down + up {
		back := min(at+down, max(to, from+1))
		for _, i := range hit {
			s.faults++
			begin := Event{At: at, Kind: BeginList, Box: -1, Sidecar: i, ID: s.faults, List: ListFault{Kind: f.Kind, Of: f.Target, Size: f.Size, Delay: f.RecoveryDelay.D()}}
			end := Event{At: back, Kind: EndList, Box: -1, Sidecar: i, ID: s.faults}
			if how, isLink := linkKinds[f.Kind]; isLink {
				if f.Kind == "link_cut" && f.Scope != "" {
					how = LinkHow(f.Scope)
				}
				begin.Kind, end.Kind = BeginLink, EndLink
				begin.List, begin.Link = ListFault{}, Link{Of: f.Target, How: how, Delay: f.RecoveryDelay.D()}
				end.Link.Of = f.Target
				s.linked(f.Target, i)
			}
			s.add(begin)
			s.add(end)
		}
	}
	s.mark(f.Kind, from, to)
}

var linkKinds = map[string]LinkHow{"link_cut": LinkBoth, "link_slow": LinkSlow, "link_reset": LinkReset}

// linked notes that a sidecar's connections of a kind go over links that the run can break.
func (s *script) linked(of string, sidecar int) {
	if s.Links == nil {
		s.Links = map[string][]int{}
	}
	if !slices.Contains(s.Links[of], sidecar) {
		s.Links[of] = append(s.Links[of], sidecar)
	}
}

// Linked tells whether a sidecar's connections to the list service, to boxes, from clients or from operators go over links.
func (p *Plan) Linked(of string, sidecar int) bool { return slices.Contains(p.Links[of], sidecar) }

// hit are the sidecars that a fault strikes: those named, a number or a share of the first tier's, or all there are.
func (s *script) hit(f *scenario.Fault) []int {
	var hit []int
	some := len(f.Names) > 0 || f.Endpoints > 0 || f.Share > 0
	for i := range s.Sidecars {
		if !some || s.Sidecars[i].Box < 0 && (len(f.Names) == 0 || slices.Contains(f.Names, s.Sidecars[i].Name)) {
			hit = append(hit, i)
		}
	}
	if some && len(f.Names) == 0 {
		s.rng.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
		hit = hit[:min(len(hit), max(1, f.Endpoints, int(math.Round(f.Share*float64(len(hit))))))]
	}
	return hit
}
