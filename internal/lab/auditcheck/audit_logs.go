// Package auditcheck checks whether what an audit found is true. It knows from the trace which endpoint lists were written to each
// sidecar and what each endpoint received, and compares the sidecars' audit logs (CompareAuditLogs) and the auditors' findings
// (CompareFindings, ResolutionTimes) with that. It is pure; package result and tests call it.
package auditcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxDetails     = 20                   // mismatches that are described in words
	clockTolerance = 5 * time.Millisecond // an audit log has milliseconds of the wall clock, the trace those of the run
	beforeRun      = -time.Hour           // stands for every time before the run's start, which the trace doesn't have
)

// Verdict is the comparison of the audit logs of the first tier's sidecars with what endpoints received. It stands in result files.
type Verdict struct {
	EndpointRequests int      `json:"visits"`   // received by endpoints, from sidecars whose audit logs were read
	Attempts         int      `json:"attempts"` // in audit logs
	Unambiguous      int      `json:"sure"`     // endpoint requests that can only belong to one list; the others may belong to two or more
	Unrecordable     int      `json:"unproven"` // made after the last count of a process that was killed: its audit log can't have them
	Contradicted     int      `json:"wrong"`    // attempts in audit logs under a list under which the sidecar can't have made them
	Unreceived       int      `json:"unseen"`   // attempts that no endpoint may have received: by the audit log, or as the endpoint went down
	Missing          int      `json:"missing"`  // endpoint requests in no audit log under a list to which they may belong
	UnreadSidecars   []string `json:"unread"`   // sidecars that sent something and whose audit log nobody has
	Details          []string `json:"stories"`  // the first mismatches in words
}

// bucket is what is counted: attempts of a class at an endpoint under a list.
type bucket struct {
	digest   version.Digest // 0 stands for all lists
	class    string
	endpoint string
}

func compareBuckets(a, b bucket) int {
	return cmp.Or(cmp.Compare(a.digest, b.digest), cmp.Compare(a.class, b.class), cmp.Compare(a.endpoint, b.endpoint))
}

// tally is the counts of a bucket.
type tally struct {
	attempts   int // in the audit log
	unreceived int // of them, those that may not have reached the endpoint
	certain    int // endpoint requests that must belong to the bucket
	possible   int // endpoint requests that may belong to it
}

// tallies are tallies by bucket.
type tallies map[bucket]*tally

// of is the tally of a bucket, which it makes if there is none.
func (t tallies) of(b bucket) *tally {
	if t[b] == nil {
		t[b] = &tally{}
	}
	return t[b]
}

// ofAllLists is the tally of a bucket over all lists.
func (t tallies) ofAllLists(b bucket) *tally {
	b.digest = 0
	return t.of(b)
}

// span is from one time to another.
type span struct{ from, to time.Duration }

// comparison is the state of one CompareAuditLogs.
type comparison struct {
	plan          *plan.Plan
	log           *trace.Log
	downEndpoints map[string]bool // those whose process or host went down
	verdict       Verdict
}

// CompareAuditLogs compares audit logs with a trace. They are by sidecar: all entries that anybody has of it, of all its processes,
// in their order.
func CompareAuditLogs(p *plan.Plan, log *trace.Log, auditLogs map[int][]auditlog.Entry) Verdict {
	c := comparison{
		plan:          p,
		log:           log,
		downEndpoints: map[string]bool{},
		verdict:       Verdict{UnreadSidecars: []string{}, Details: []string{}},
	}
	for _, event := range p.Events {
		if event.Kind == plan.StartFault && event.At <= log.End && (event.Fault.Kind == model.Crash || event.Fault.Kind == model.Vanish) {
			c.downEndpoints[p.Endpoints[event.Endpoint].Name] = true
		}
	}
	for sidecar, requests := range c.requestsBySidecar() {
		entries := auditLogs[sidecar]
		if len(entries) == 0 {
			if len(requests) > 0 {
				c.verdict.UnreadSidecars = append(c.verdict.UnreadSidecars, p.Sidecars[sidecar].Name)
			}
			continue
		}
		c.compareSidecar(sidecar, requests, entries)
	}
	return c.verdict
}

// firstTierRequest is an endpoint request with the span in which its sidecar chose the endpoint: not before the client sent it, nor
// after its first byte arrived.
type firstTierRequest struct {
	class            string
	endpoint         string
	earliest, latest time.Duration
}

// requestsBySidecar are the endpoint requests of each sidecar of the first tier.
func (c *comparison) requestsBySidecar() [][]firstTierRequest {
	type attemptKey struct{ request, number int }
	attempts := make(map[uint64]*trace.ClientAttempt, len(c.log.ClientAttempts))
	endedAt := map[attemptKey]time.Duration{}
	for i := range c.log.ClientAttempts {
		attempt := &c.log.ClientAttempts[i]
		attempts[attempt.TransactionID] = attempt
		if attempt.Tier == 0 {
			endedAt[attemptKey{attempt.Request, attempt.Number}] = attempt.Ended
		}
	}
	bySidecar := make([][]firstTierRequest, 0, len(c.plan.Sidecars))
	for i := range c.plan.Sidecars {
		if c.plan.Sidecars[i].Endpoint < 0 {
			bySidecar = append(bySidecar, nil)
		}
	}
	for i := range c.log.EndpointRequests {
		request := &c.log.EndpointRequests[i]
		attempt := attempts[request.TransactionID]
		if attempt == nil || attempt.Tier != 0 || attempt.Sidecar >= len(bySidecar) {
			continue
		}
		earliest := attempt.Due
		if attempt.Number > 0 { // a retry is sent once the previous attempt has ended
			earliest = max(earliest, endedAt[attemptKey{attempt.Request, attempt.Number - 1}])
		}
		bySidecar[attempt.Sidecar] = append(bySidecar[attempt.Sidecar], firstTierRequest{
			class:    c.plan.Scenario.Classes[attempt.Class].Name,
			endpoint: c.plan.Endpoints[request.Endpoint].Name,
			earliest: earliest,
			latest:   request.FirstByte,
		})
	}
	return bySidecar
}

// compareSidecar compares one sidecar's audit log. An endpoint request must be in it under its list if that can only be one, and
// else under one of its possible lists; an attempt in it must be an endpoint request that may belong to its list, unless it is
// proved not to have reached its endpoint, or was canceled.
func (c *comparison) compareSidecar(sidecar int, requests []firstTierRequest, entries []auditlog.Entry) {
	perList, overall := tallies{}, tallies{}
	c.tallyAuditLog(entries, perList, overall)
	c.tallyRequests(sidecar, requests, c.unrecordedSpans(sidecar, entries), perList, overall)
	missing, contradicted := c.mismatches(sidecar, perList)
	missingOverall, contradictedOverall := c.mismatches(sidecar, overall)
	// What is missing under one list is missing overall, unless it stands under another list.
	c.verdict.Missing += max(missing, missingOverall)
	c.verdict.Contradicted += max(contradicted, contradictedOverall)
}

// tallyAuditLog counts the attempts in an audit log.
func (c *comparison) tallyAuditLog(entries []auditlog.Entry, perList, overall tallies) {
	for b, counted := range tallyEntries(entries) {
		if c.downEndpoints[b.endpoint] { // what was in flight then, no endpoint has received and no audit log can tell
			counted.unreceived = counted.attempts
		}
		c.verdict.Attempts += counted.attempts
		c.verdict.Unreceived += counted.unreceived
		*perList.of(b) = counted
		total := overall.ofAllLists(b)
		total.attempts += counted.attempts
		total.unreceived += counted.unreceived
	}
}

// tallyRequests counts the requests that endpoints received.
func (c *comparison) tallyRequests(sidecar int, requests []firstTierRequest, unrecorded []span, perList, overall tallies) {
	lists := possibleLists(c.log, sidecar)
	for _, request := range requests {
		c.verdict.EndpointRequests++
		possible := listsBetween(lists, request.earliest, request.latest)
		for _, digest := range possible {
			perList.of(bucket{digest, request.class, request.endpoint}).possible++
		}
		total := overall.ofAllLists(bucket{class: request.class, endpoint: request.endpoint})
		total.possible++
		switch {
		case slices.ContainsFunc(unrecorded, func(s span) bool { return request.latest >= s.from && request.earliest <= s.to }):
			c.verdict.Unrecordable++
			continue
		case len(possible) == 1:
			c.verdict.Unambiguous++
			perList.of(bucket{possible[0], request.class, request.endpoint}).certain++
		}
		total.certain++
	}
}

// mismatches counts the endpoint requests that must be in buckets and are not, and the attempts that are and can't be.
func (c *comparison) mismatches(sidecar int, all tallies) (missing, contradicted int) {
	for _, b := range slices.SortedFunc(maps.Keys(all), compareBuckets) {
		t := all[b]
		tooFew, tooMany := max(0, t.certain-t.attempts), max(0, t.attempts-t.unreceived-t.possible)
		missing, contradicted = missing+tooFew, contradicted+tooMany
		if tooFew+tooMany == 0 || len(c.verdict.Details) >= maxDetails {
			continue
		}
		under := "all lists"
		if b.digest != 0 {
			under = fmt.Sprintf("list %016x", uint64(b.digest))
		}
		c.verdict.Details = append(c.verdict.Details, fmt.Sprintf(
			"%s: %s at %s under %s: its trail has %d, of which %d may not have come; %d came for sure, %d perhaps",
			c.plan.Sidecars[sidecar].Name, b.class, b.endpoint, under, t.attempts, t.unreceived, t.certain, t.possible))
	}
	return missing, contradicted
}

// tallyEntries counts the attempts in an audit log. What was made under a number that it does not explain is under no list.
func tallyEntries(entries []auditlog.Entry) map[bucket]tally {
	type listNumber struct {
		process string
		under   uint32
	}
	lists := map[listNumber]version.Digest{}
	for i := range entries {
		if entry := &entries[i]; entry.Kind == auditlog.Adopted && entry.Version != nil {
			lists[listNumber{entry.Incarnation, entry.VersionID}] = entry.Version.List.Digest
		}
	}
	counts := map[bucket]tally{}
	for i := range entries {
		entry := &entries[i]
		if entry.Kind != auditlog.Counted {
			continue
		}
		for _, attempts := range entry.Attempts {
			b := bucket{lists[listNumber{entry.Incarnation, entry.VersionID}], attempts.Class, attempts.Host}
			t := counts[b]
			t.attempts += attempts.N
			t.unreceived += attempts.Unsent + attempts.Withdrawn
			counts[b] = t
		}
	}
	return counts
}

// unrecordedSpans are those in which what a process did can't be in its audit log: from its last count on until it was killed.
func (c *comparison) unrecordedSpans(sidecar int, entries []auditlog.Entry) (spans []span) {
	started := time.Duration(0)
	for _, event := range c.log.SidecarEvents {
		if event.Sidecar != sidecar {
			continue
		}
		switch event.Kind {
		case trace.SidecarStarted:
			if started = event.At; started == 0 {
				started = beforeRun
			}
		case trace.SidecarKilled, trace.SidecarCrashed:
			if last, found := lastCount(c.log, entries, started, event.At); found {
				spans = append(spans, span{last - clockTolerance, event.At})
			}
		}
	}
	return spans
}

// lastCount is the time of the last count in an audit log between a process's start and its end, or its start; false if the audit log
// has nothing at all of that time, which excuses nothing.
func lastCount(log *trace.Log, entries []auditlog.Entry, started, ended time.Duration) (last time.Duration, found bool) {
	last = started
	for i := range entries {
		at := runTime(log, entries[i].At)
		if at < started-clockTolerance || at > ended+clockTolerance {
			continue
		}
		found = true
		if entries[i].Kind == auditlog.Counted {
			last = max(last, at)
		}
	}
	return last, found
}

// runTime converts milliseconds of the wall clock to the run's time.
func runTime(log *trace.Log, at version.Millis) time.Duration {
	return at.D() - time.Duration(log.Start.UnixMilli())*time.Millisecond
}
