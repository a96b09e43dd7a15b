package plan

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// LinkFaultKind is what is wrong with a link.
type LinkFaultKind string

// The kinds: nothing passes both ways or one way, everything passes late, or open connections are reset once. Their
// values are those of the scenario's key "by".
const (
	LinkBoth    LinkFaultKind = "both"
	LinkForward LinkFaultKind = "there" // from the side that connects
	LinkReverse LinkFaultKind = "back"  // to the side that connects
	LinkSlow    LinkFaultKind = "slow"
	LinkReset   LinkFaultKind = "reset"
)

var linkFaultKinds = map[string]LinkFaultKind{"link_cut": LinkBoth, "link_slow": LinkSlow, "link_reset": LinkReset}

// LinkFault is a fault of the network between a sidecar and another process.
type LinkFault struct {
	Target string // "list", "boxes", "clients" or "control"
	Kind   LinkFaultKind
	Delay  time.Duration // slow: of each chunk, each way
}

// Blocks reports whether nothing passes in a direction: forward is from the side that connects.
func (l LinkFault) Blocks(forward bool) bool {
	return l.Kind == LinkBoth || l.Kind == LinkForward && forward || l.Kind == LinkReverse && !forward
}

// ListFault is a fault of the list service as one sidecar's agent sees it.
type ListFault struct {
	Kind    string // "list_down", "list_slow", "list_old", "list_wrong", "list_cut" or "list_forget"
	Variant string // list_wrong: "empty", "half" or "other"
	Size    float64
	Delay   time.Duration
}

// scheduleProcessFault makes the events of a fault of the list service or of links at each sidecar that it affects,
// repeatedly if it comes and goes; to of 0 is the end of the run.
func (s *scheduler) scheduleProcessFault(f *scenario.Fault, from, to time.Duration) {
	affected := s.chooseSidecars(f)
	_, isLink := linkFaultKinds[f.Kind]
	everywhere := len(f.Names) == 0 && f.Endpoints == 0 && f.Share == 0
	if !isLink && everywhere && len(s.Scenario.Auditors) > 0 {
		affected = append(affected, -1) // the service itself, as auditors poll it
	}
	if to == 0 {
		to = s.runEnd()
	}
	end := max(to, from+1)
	down, up := f.Down.D(), f.Up.D()
	if down == 0 {
		down = max(to-from, 1) // what happens at once ends at once
	}
	for at := from; at < end; at += down + up {
		for _, i := range affected {
			s.lastFaultID++
			if isLink {
				s.addLinkFault(f, i, at, min(at+down, end))
			} else {
				s.addListFault(f, i, at, min(at+down, end))
			}
		}
	}
	s.annotate(f.Kind, from, to)
}

func (s *scheduler) addListFault(f *scenario.Fault, sidecar int, from, to time.Duration) {
	s.add(Event{At: from, Kind: StartListFault, Endpoint: -1, Sidecar: sidecar, ID: s.lastFaultID,
		ListFault: ListFault{Kind: f.Kind, Variant: f.Target, Size: f.Size, Delay: f.RecoveryDelay.D()}})
	s.add(Event{At: to, Kind: EndListFault, Endpoint: -1, Sidecar: sidecar, ID: s.lastFaultID})
}

func (s *scheduler) addLinkFault(f *scenario.Fault, sidecar int, from, to time.Duration) {
	kind := linkFaultKinds[f.Kind]
	if f.Kind == "link_cut" && f.Scope != "" {
		kind = LinkFaultKind(f.Scope)
	}
	s.intercept(f.Target, sidecar)
	s.add(Event{At: from, Kind: StartLinkFault, Endpoint: -1, Sidecar: sidecar, ID: s.lastFaultID,
		LinkFault: LinkFault{Target: f.Target, Kind: kind, Delay: f.RecoveryDelay.D()}})
	s.add(Event{At: to, Kind: EndLinkFault, Endpoint: -1, Sidecar: sidecar, ID: s.lastFaultID,
		LinkFault: LinkFault{Target: f.Target}})
}

// intercept has a sidecar's connections of a kind go over links that the run can break.
func (s *scheduler) intercept(target string, sidecar int) {
	if s.InterceptedLinks == nil {
		s.InterceptedLinks = map[string][]int{}
	}
	if !slices.Contains(s.InterceptedLinks[target], sidecar) {
		s.InterceptedLinks[target] = append(s.InterceptedLinks[target], sidecar)
	}
}

// IsIntercepted reports whether a sidecar's connections of a kind, as in LinkFault.Target, go over links that the run can
// break.
func (p *Plan) IsIntercepted(target string, sidecar int) bool {
	return slices.Contains(p.InterceptedLinks[target], sidecar)
}
