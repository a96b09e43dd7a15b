// Package audited says whether what an audit found is true. It is pure: it knows from the trace what each sidecar was told and
// what each box received, and compares the sidecars' trails and the auditor's findings with that.
package auditcheck

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

// stretch is a time from which on a sidecar may have acted on these lists and no others, until the next one.
type listSpan struct {
	from    time.Duration
	digests []version.Digest // sorted
}

// held follows what one sidecar may have acted on. A list may be acted on from the moment in which it was written to the
// sidecar; the lists before it can't be any more once the sidecar asks for what is newer than a revision, for so it says which
// list it holds. Nothing depends on how long anything took.
func possibleLists(log *trace.Log, sidecar int) []listSpan {
	type event struct {
		at    time.Duration
		order int // of events at one moment: what widens comes first
		apply func()
	}
	var events []event
	var now []version.Digest
	latest := map[int64]version.Digest{} // by revision
	configured, beside := version.Digest(0), false
	add := func(d version.Digest) {
		if at, has := slices.BinarySearch(now, d); !has {
			now = slices.Insert(slices.Clone(now), at, d)
		}
	}
	for _, c := range log.SidecarEvents {
		if c.Sidecar != sidecar {
			continue
		}
		switch c.Kind {
		case trace.SidecarStarted:
			events = append(events, event{c.At, 0, func() { configured = c.Digest; add(c.Digest); add(0) }}) // what it had before may come from its disk
		case trace.SidecarUpgradeStarted:
			events = append(events, event{c.At, 0, func() { beside = true }})
		case trace.SidecarUpgradeFinished:
			events = append(events, event{c.At, 2, func() { beside = false }})
		}
	}
	for _, a := range log.Polls {
		if a.Sidecar != sidecar {
			continue
		}
		if a.Watch {
			events = append(events, event{a.At, 1, func() {
				d, told := latest[a.SinceRevision]
				if !told {
					d = configured
				}
				if !beside { // of two processes one asks, and the other may hold another list
					now = []version.Digest{d}
				}
				add(d)
			}})
		}
		if a.Digest != 0 { // it was written
			events = append(events, event{a.RespondedAt, 0, func() { latest[a.Revision] = a.Digest; add(a.Digest) }})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	var out []listSpan
	for _, e := range events {
		e.apply()
		if n := len(out); n > 0 && out[n-1].from == e.at {
			out[n-1].digests = slices.Clone(now)
			continue
		}
		out = append(out, listSpan{e.at, slices.Clone(now)})
	}
	return out
}

// between are the lists that may have been acted on at some moment from one to another.
func listsBetween(all []listSpan, from, to time.Duration) []version.Digest {
	i, _ := slices.BinarySearchFunc(all, from, func(s listSpan, at time.Duration) int { return cmp.Compare(s.from, at+1) })
	i = max(0, i-1) // the stretch in which it begins
	var out []version.Digest
	for ; i < len(all) && all[i].from <= to; i++ {
		out = append(out, all[i].digests...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
