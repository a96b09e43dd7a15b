package audit

import (
	"cmp"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/trail"
	"pinelb.example/pinelb/internal/version"
)

// Late are attempts that a sidecar made at a host under a version that had ended: one that did not meet the floor in force,
// after its grace.
type Late struct {
	Host    string `json:"host"`
	N       int    `json:"n"`       // surely after
	Perhaps int    `json:"perhaps"` // of a count that began before, or of which the clocks are not sure
}

// Late adds up, by host, what was done under an old version after it should have ended, as far as entries are kept. What
// proved never to have reached its host is not counted.
func (h *History) Late(name string) []Late {
	p := h.Sidecars[name]
	if p == nil || len(h.Raised) == 0 {
		return nil
	}
	type adoption struct {
		life  string
		under uint32
	}
	versions, began := map[adoption]*version.Version{}, map[adoption]version.Millis{}
	flushed := map[string][]version.Millis{} // of each life
	sums := map[string]Late{}
	for _, e := range p.Entries {
		key := adoption{e.Life, e.Under}
		switch {
		case e.Kind == trail.Adopted && e.Version != nil:
			versions[key], began[key] = e.Version, e.Time
		case e.Kind == trail.Counted && versions[key] != nil:
			from := began[key]
			for _, t := range flushed[e.Life] {
				if t < e.Time-slack { // those of one flush stand closer together
					from = max(from, t)
				}
			}
			flushed[e.Life] = append(flushed[e.Life], e.Time)
			ended, over := h.ended(versions[key], e.Time+e.Within)
			if !over {
				continue
			}
			for _, a := range e.Attempts {
				s := sums[a.Host]
				if s.Host = a.Host; from-e.Within >= ended {
					s.N += max(0, a.N-a.Never)
				} else {
					s.Perhaps += max(0, a.N-a.Never)
				}
				sums[a.Host] = s
			}
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b Late) int {
		return cmp.Or(cmp.Compare(b.N+b.Perhaps, a.N+a.Perhaps), cmp.Compare(a.Host, b.Host))
	})
}

// ended tells since when a version should have ended, at a moment: the floor of the highest epoch that stands then decides.
func (h *History) ended(v *version.Version, at version.Millis) (since version.Millis, over bool) {
	for i := len(h.Raised) - 1; i >= 0; i-- {
		r := &h.Raised[i]
		if at < r.At || at >= r.At+r.Floor.For {
			continue
		}
		since = r.At + r.Floor.Grace
		return since, !meets(r.Floor, *v) && at > since
	}
	return 0, false
}
