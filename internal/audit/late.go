package audit

import (
	"cmp"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// LateAttempts are attempts that a sidecar made at a host under a version that had ended: one that did not meet the floor in force,
// after its grace.
type LateAttempts struct {
	Host     string `json:"host"`
	Certain  int    `json:"n"`       // surely after
	Possible int    `json:"perhaps"` // of a count that began before, or of which the clocks are not sure
}

// LateAttempts adds up, by host, what was done under an old version after it should have ended, as far as entries are kept. What
// proved never to have reached its host is not counted.
func (h *History) Late(name string) []LateAttempts {
	p := h.Sidecars[name]
	if p == nil || len(h.Minimums) == 0 {
		return nil
	}
	type adoption struct {
		life  string
		under uint32
	}
	versions, began := map[adoption]*version.Version{}, map[adoption]version.Millis{}
	flushed := map[string][]version.Millis{} // of each life
	sums := map[string]LateAttempts{}
	for _, e := range p.Entries {
		key := adoption{e.Incarnation, e.VersionID}
		switch {
		case isAdoption(e):
			versions[key] = e.Version
			if e.From != sourceRepeated {
				began[key] = e.Time
			}
		case e.Kind == auditlog.Counted && versions[key] != nil:
			from := began[key]
			for _, t := range slices.Backward(flushed[e.Incarnation]) {
				if t < e.Time-clockTolerance { // those of one flush stand closer together
					from = max(from, t)
					break
				}
			}
			flushed[e.Incarnation] = append(flushed[e.Incarnation], e.Time)
			ended, over := h.expiredSince(versions[key], e.Time+e.Uncertainty)
			if !over {
				continue
			}
			for _, a := range e.Attempts {
				s := sums[a.Host]
				if s.Host = a.Host; from-e.Uncertainty >= ended {
					s.Certain += max(0, a.N-a.Unsent)
				} else {
					s.Possible += max(0, a.N-a.Unsent)
				}
				sums[a.Host] = s
			}
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b LateAttempts) int {
		return cmp.Or(cmp.Compare(b.Certain+b.Possible, a.Certain+a.Possible), cmp.Compare(a.Host, b.Host))
	})
}

// ended tells since when a version should have ended, at a moment: the floor of the highest epoch that stands then decides, and
// where it was raised while one stood that the version did not meet either, that one's grace counts.
func (h *History) expiredSince(v *version.Version, at version.Millis) (since version.Millis, over bool) {
	i := len(h.Minimums) - 1
	for ; i >= 0 && (at < h.Minimums[i].At || at >= h.Minimums[i].At+h.Minimums[i].Minimum.Validity); i-- {
	}
	if i < 0 || isMet(&h.Minimums[i].Minimum, v) {
		return 0, false
	}
	since = h.Minimums[i].At + h.Minimums[i].Minimum.Grace
	for ; i > 0; i-- {
		former := &h.Minimums[i-1]
		if former.At+former.Minimum.Validity < h.Minimums[i].At || isMet(&former.Minimum, v) {
			break
		}
		since = min(since, former.At+former.Minimum.Grace)
	}
	return since, at > since
}

// meets tells whether a version meets all of a floor.
func isMet(f *version.MinimumVersion, v *version.Version) bool {
	list, settings, file, build := f.MetBy(v)
	return list && settings && file && build
}
