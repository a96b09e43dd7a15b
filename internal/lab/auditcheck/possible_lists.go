package auditcheck

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

// listSpan is a time from which on a sidecar may have acted on these lists and no others, until the next listSpan.
type listSpan struct {
	from    time.Duration
	digests []version.Digest // sorted
}

// Order of events at one moment: what adds lists comes before what excludes some.
const (
	orderAdds     = 0
	orderExcludes = 1
	orderEnds     = 2 // of one of two processes
)

// listEvent is an event that changes which lists a sidecar may act on.
type listEvent struct {
	at    time.Duration
	order int
	apply func(*listTracker)
}

// listTracker follows which lists a sidecar may act on.
type listTracker struct {
	possible     []version.Digest // sorted
	byRevision   map[int64]version.Digest
	configured   version.Digest // by the configuration of the last process
	twoProcesses bool           // while an upgrade is under way
}

// add adds a list to the possible ones. It doesn't change the old slice.
func (t *listTracker) add(digest version.Digest) {
	if i, has := slices.BinarySearch(t.possible, digest); !has {
		t.possible = slices.Insert(slices.Clone(t.possible), i, digest)
	}
}

// start is the start of a process. The lists before it may come from its disk, and so may one of which nothing is known.
func (t *listTracker) start(configured version.Digest) {
	t.configured = configured
	t.add(configured)
	t.add(0)
}

// poll is a poll for what is newer than a revision, by which the sidecar says which list it holds. While there are two processes, one
// of them polls, and the other may hold another list.
func (t *listTracker) poll(since int64) {
	digest, known := t.byRevision[since]
	if !known {
		digest = t.configured
	}
	if !t.twoProcesses {
		t.possible = []version.Digest{digest}
	}
	t.add(digest)
}

// respond is a list that was written to the sidecar.
func (t *listTracker) respond(revision int64, digest version.Digest) {
	t.byRevision[revision] = digest
	t.add(digest)
}

// possibleLists follows which lists one sidecar may have acted on. A list is possible from the moment in which it was written to the
// sidecar; earlier ones are excluded once the sidecar polls for what is newer than a revision, as it says then which list it holds.
// Nothing depends on how long anything took.
func possibleLists(log *trace.Log, sidecar int) []listSpan {
	events := listEvents(log, sidecar)
	slices.SortStableFunc(events, func(a, b listEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	tracker := &listTracker{byRevision: map[int64]version.Digest{}}
	var spans []listSpan
	for _, event := range events {
		event.apply(tracker)
		digests := slices.Clone(tracker.possible)
		if last := len(spans) - 1; last >= 0 && spans[last].from == event.at {
			spans[last].digests = digests
			continue
		}
		spans = append(spans, listSpan{event.at, digests})
	}
	return spans
}

// listEvents are the events of one sidecar, in no order.
func listEvents(log *trace.Log, sidecar int) (events []listEvent) {
	add := func(at time.Duration, order int, apply func(*listTracker)) {
		events = append(events, listEvent{at, order, apply})
	}
	for _, event := range log.SidecarEvents {
		if event.Sidecar != sidecar {
			continue
		}
		switch event.Kind {
		case trace.SidecarStarted:
			add(event.At, orderAdds, func(t *listTracker) { t.start(event.Digest) })
		case trace.SidecarUpgradeStarted:
			add(event.At, orderAdds, func(t *listTracker) { t.twoProcesses = true })
		case trace.SidecarUpgradeFinished:
			add(event.At, orderEnds, func(t *listTracker) { t.twoProcesses = false })
		}
	}
	for _, poll := range log.Polls {
		if poll.Sidecar != sidecar {
			continue
		}
		if poll.Watch {
			add(poll.At, orderExcludes, func(t *listTracker) { t.poll(poll.SinceRevision) })
		}
		if poll.Digest != 0 { // it was answered
			add(poll.RespondedAt, orderAdds, func(t *listTracker) { t.respond(poll.Revision, poll.Digest) })
		}
	}
	return events
}

// listsBetween are the lists on which the sidecar may have acted at some moment from one to another, sorted.
func listsBetween(spans []listSpan, from, to time.Duration) []version.Digest {
	i, _ := slices.BinarySearchFunc(spans, from, func(s listSpan, at time.Duration) int { return cmp.Compare(s.from, at+1) })
	i = max(0, i-1) // the span in which it begins
	var digests []version.Digest
	for ; i < len(spans) && spans[i].from <= to; i++ {
		digests = append(digests, spans[i].digests...)
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}
