package audit

import (
	"cmp"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// LateAttempts are attempts that a sidecar made at a host under a version that had expired: one that did not meet the minimum
// version in force, after its grace.
type LateAttempts struct {
	Host     string `json:"host"`
	Certain  int    `json:"n"`       // certainly after the expiry
	Possible int    `json:"perhaps"` // of a count that began before it, or within the clocks' uncertainty
}

// Late sums up, by host, what a sidecar did under versions that had expired, as far as entries are kept. Attempts that
// certainly didn't reach their host are left out.
func (h *History) Late(name string) []LateAttempts {
	p := h.Sidecars[name]
	if p == nil || len(h.Minimums) == 0 {
		return nil
	}
	type adoption struct {
		incarnation string
		versionID   uint32
	}
	versions, adoptedAt := map[adoption]*version.Version{}, map[adoption]version.Millis{}
	flushed := map[string][]version.Millis{} // by incarnation
	byHost := map[string]LateAttempts{}
	for _, e := range p.Entries {
		key := adoption{e.Incarnation, e.VersionID}
		switch {
		case isAdoption(e):
			versions[key] = e.Version
			if e.From != sourceRepeated {
				adoptedAt[key] = e.Time
			}
		case e.Kind == auditlog.Counted && versions[key] != nil:
			from := adoptedAt[key]
			for _, t := range slices.Backward(flushed[e.Incarnation]) {
				if t < e.Time-clockTolerance { // the entries of one flush are closer together
					from = max(from, t)
					break
				}
			}
			flushed[e.Incarnation] = append(flushed[e.Incarnation], e.Time)
			expiry, expired := h.expiredSince(versions[key], e.Time+e.Uncertainty)
			if !expired {
				continue
			}
			for _, a := range e.Attempts {
				s := byHost[a.Host]
				if s.Host = a.Host; from-e.Uncertainty >= expiry {
					s.Certain += max(0, a.N-a.Unsent)
				} else {
					s.Possible += max(0, a.N-a.Unsent)
				}
				byHost[a.Host] = s
			}
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(a, b LateAttempts) int {
		return cmp.Or(cmp.Compare(b.Certain+b.Possible, a.Certain+a.Possible), cmp.Compare(a.Host, b.Host))
	})
}

// expiredSince returns since when a version had expired, at a moment. The minimum version of the highest epoch in force then
// decides; where it was sent while one was in force that the version didn't meet either, that one's grace counts.
func (h *History) expiredSince(v *version.Version, at version.Millis) (since version.Millis, expired bool) {
	i := len(h.Minimums) - 1
	for ; i >= 0 && (at < h.Minimums[i].At || at >= h.Minimums[i].At+h.Minimums[i].Minimum.Validity); i-- {
	}
	if i < 0 || isMet(&h.Minimums[i].Minimum, v) {
		return 0, false
	}
	since = h.Minimums[i].At + h.Minimums[i].Minimum.Grace
	for ; i > 0; i-- {
		previous := &h.Minimums[i-1]
		if previous.At+previous.Minimum.Validity < h.Minimums[i].At || isMet(&previous.Minimum, v) {
			break
		}
		since = min(since, previous.At+previous.Minimum.Grace)
	}
	return since, at > since
}

// isMet reports whether a version meets all of a minimum version.
func isMet(f *version.MinimumVersion, v *version.Version) bool {
	list, settings, file, build := f.MetBy(v)
	return list && settings && file && build
}
