package plan

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// LinkFaultKind is what is wrong with a link.
type LinkFaultKind string

// Name can be wrong: nothing passes either way, or one way, all passes late, or what is open is reset once.
const (
	LinkBoth    LinkFaultKind = "both"
	LinkForward LinkFaultKind = "there" // from the one that connects
	LinkReverse LinkFaultKind = "back"  // to it
	LinkSlow    LinkFaultKind = "slow"
	LinkReset   LinkFaultKind = "reset"
)

// LinkFault is a fault of the network between a sidecar and another process.
type LinkFault struct {
	Target string // "list", "boxes", "clients" or "control"
	Kind   LinkFaultKind
	Delay  time.Duration // slow: of each piece, each way
}

// Blocks tells whether nothing passes, from the one that connects or to it.
func (l LinkFault) Blocks(there bool) bool {
	return l.Kind == LinkBoth || l.Kind == LinkForward && there || l.Kind == LinkReverse && !there
}

// ListFault is a fault of the list service as one sidecar's agent has it.
type ListFault struct {
	Kind    string // "list_down", "list_slow", "list_old", "list_wrong", "list_cut" or "list_forget"
	Variant string // list_wrong: "empty", "half" or "other"
	Size    float64
	Delay   time.Duration
}

// scheduleProcessFault is a fault of the list service or of links, at each sidecar that it hits, on and off where it comes and goes.
func (s *script) scheduleProcessFault(f *scenario.Fault, from, to time.Duration) {
	hit := s.chooseSidecars(f)
	if linkFaultKinds[f.Kind] == "" && len(f.Names) == 0 && f.Endpoints == 0 && f.Share == 0 && len(s.Scenario.Auditors) > 0 {
		hit = append(hit, -1) // the service itself, as auditors ask it
	}
	if to == 0 {
		to = s.runEnd()
	}
	down, up := f.Down.D(), f.Up.D()
	if down == 0 {
		down = max(to-from, 1) // what happens at once is over at once
	}
	for at := from; at < max(to, from+1); at += down + up {
		back := min(at+down, max(to, from+1))
		for _, i := range hit {
			s.lastFaultID++
			begin := Event{At: at, Kind: StartListFault, Endpoint: -1, Sidecar: i, ID: s.lastFaultID, ListFault: ListFault{Kind: f.Kind, Variant: f.Target, Size: f.Size, Delay: f.RecoveryDelay.D()}}
			end := Event{At: back, Kind: EndListFault, Endpoint: -1, Sidecar: i, ID: s.lastFaultID}
			if how, isLink := linkFaultKinds[f.Kind]; isLink {
				if f.Kind == "link_cut" && f.Scope != "" {
					how = LinkFaultKind(f.Scope)
				}
				begin.Kind, end.Kind = StartLinkFault, EndLinkFault
				begin.ListFault, begin.LinkFault = ListFault{}, LinkFault{Target: f.Target, Kind: how, Delay: f.RecoveryDelay.D()}
				end.LinkFault.Target = f.Target
				s.intercept(f.Target, i)
			}
			s.add(begin)
			s.add(end)
		}
	}
	s.annotate(f.Kind, from, to)
}

var linkFaultKinds = map[string]LinkFaultKind{"link_cut": LinkBoth, "link_slow": LinkSlow, "link_reset": LinkReset}

// linked notes that a sidecar's connections of a kind go over links that the run can break.
func (s *script) intercept(of string, sidecar int) {
	if s.InterceptedLinks == nil {
		s.InterceptedLinks = map[string][]int{}
	}
	if !slices.Contains(s.InterceptedLinks[of], sidecar) {
		s.InterceptedLinks[of] = append(s.InterceptedLinks[of], sidecar)
	}
}

// IsIntercepted tells whether a sidecar's connections to the list service, to boxes, from clients or from operators go over links.
func (p *Plan) IsIntercepted(of string, sidecar int) bool {
	return slices.Contains(p.InterceptedLinks[of], sidecar)
}

// hit are the sidecars that a fault strikes: those named, a number or a share of the first tier's, or all there are.
func (s *script) chooseSidecars(f *scenario.Fault) []int {
	var hit []int
	some := len(f.Names) > 0 || f.Endpoints > 0 || f.Share > 0
	for i := range s.Sidecars {
		if !some || s.Sidecars[i].Endpoint < 0 && (len(f.Names) == 0 || slices.Contains(f.Names, s.Sidecars[i].Name)) {
			hit = append(hit, i)
		}
	}
	if some && len(f.Names) == 0 {
		s.random.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
		hit = hit[:min(len(hit), max(1, f.Endpoints, int(math.Round(f.Share*float64(len(hit))))))]
	}
	return hit
}
