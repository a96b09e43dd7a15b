package auditcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

// Statuses of a sidecar in an auditor's output.
const (
	statusBehind     = "behind"
	statusShutOut    = "shut out"
	statusNotReached = "not reached"
)

// Stragglers compares what an auditor found of sidecars that act on an old list with what is true. It stands in result files.
type Stragglers struct {
	Rounds         int      `json:"rounds"`
	Actual         int      `json:"true"`    // pairs of a sidecar and a reference list that it can't have held a while after that list was sent
	Detected       int      `json:"found"`   // of them, those that a round found behind or shut out
	Unreached      int      `json:"unasked"` // of them, those that no round reached in that time
	Missed         int      `json:"hidden"`  // the rest: stragglers of which nobody was notified
	FalsePositives int      `json:"false"`   // findings behind or shut out of sidecars that can only have held the reference
	Details        []string `json:"stories"` // the first misses and false positives in words
}

// finding is what one round of an auditor found of one sidecar.
type finding struct {
	sidecar   int
	from, to  time.Duration // the sidecar answered in between
	reference version.Digest
	status    string
}

// isStraggler reports whether the auditor found the sidecar to act on an old list, or to act on none.
func (f *finding) isStraggler() bool { return f.status == statusBehind || f.status == statusShutOut }

// referenceSpan is a span in which the list service sent one list to auditors.
type referenceSpan struct {
	digest version.Digest
	span
}

// referenceSpans are by time.
func referenceSpans(log *trace.Log) (spans []referenceSpan) {
	for _, poll := range log.Polls {
		if poll.Sidecar >= 0 || poll.Digest == 0 {
			continue
		}
		if last := len(spans) - 1; last >= 0 {
			spans[last].to = poll.RespondedAt
			if spans[last].digest == poll.Digest {
				continue
			}
		}
		spans = append(spans, referenceSpan{poll.Digest, span{poll.RespondedAt, log.End}})
	}
	if last := len(spans) - 1; last >= 0 {
		spans[last].to = log.End
	}
	return spans
}

// CompareFindings compares an auditor's output, JSON lines, with what is true. A straggler is a sidecar that, from when the list
// service sent an auditor a list until late after that, can have held neither it nor a later one. An error is malformed output.
func CompareFindings(p *plan.Plan, log *trace.Log, output []byte, late time.Duration) (Stragglers, error) {
	result := Stragglers{Details: []string{}}
	found, rounds, err := parseFindings(p, log, output)
	if err != nil {
		return result, err
	}
	result.Rounds = rounds
	references := referenceSpans(log)
	for sidecar := range p.Sidecars {
		if p.Sidecars[sidecar].Endpoint >= 0 {
			continue
		}
		own := slices.DeleteFunc(slices.Clone(found), func(f finding) bool { return f.sidecar != sidecar })
		lists, name := possibleLists(log, sidecar), p.Sidecars[sidecar].Name
		for i, reference := range references {
			deadline := reference.from + late
			if reference.to < deadline || containsAny(listsBetween(lists, reference.from, deadline), references[i:]) ||
				!isRunning(log, sidecar, reference.from, deadline) {
				continue
			}
			result.addStraggler(name, reference, deadline, own)
		}
		result.addFalsePositives(name, own, lists)
	}
	return result, nil
}

// addStraggler counts a straggler by what its findings under that reference say.
func (s *Stragglers) addStraggler(name string, reference referenceSpan, deadline time.Duration, own []finding) {
	s.Actual++
	detected, reached := false, false
	for i := range own {
		f := &own[i]
		if f.reference != reference.digest || f.to < reference.from || f.from > reference.to {
			continue
		}
		detected = detected || f.isStraggler()
		reached = reached || f.status != statusNotReached
	}
	switch {
	case detected:
		s.Detected++
	case !reached:
		s.Unreached++
	default:
		s.Missed++
		s.addDetail("%s held none of the lists from %016x on from %v to %v, and was found up to date",
			name, uint64(reference.digest), reference.from, deadline)
	}
}

// addFalsePositives counts the findings of a straggler at times when the sidecar can only have held the reference.
func (s *Stragglers) addFalsePositives(name string, own []finding, lists []listSpan) {
	for i := range own {
		f := &own[i]
		if !f.isStraggler() {
			continue
		}
		if possible := listsBetween(lists, f.from, f.to); len(possible) == 1 && possible[0] == f.reference {
			s.FalsePositives++
			s.addDetail("%s held %016x at %v, and was found %s", name, uint64(f.reference), f.to, f.status)
		}
	}
}

func (s *Stragglers) addDetail(format string, args ...any) {
	if len(s.Details) < maxDetails {
		s.Details = append(s.Details, fmt.Sprintf(format, args...))
	}
}

// containsAny reports whether a list is among those of some references.
func containsAny(lists []version.Digest, references []referenceSpan) bool {
	return slices.ContainsFunc(references, func(r referenceSpan) bool { return slices.Contains(lists, r.digest) })
}

// isRunning reports whether one process of the sidecar ran all the time.
func isRunning(log *trace.Log, sidecar int, from, to time.Duration) bool {
	running, since := false, time.Duration(0)
	for _, event := range log.SidecarEvents {
		if event.Sidecar != sidecar || event.At > to {
			continue
		}
		switch event.Kind {
		case trace.SidecarStarted:
			running, since = true, event.At
		case trace.SidecarKilled, trace.SidecarCrashed, trace.SidecarExited, trace.SidecarStopping:
			running = false
		}
	}
	return running && since <= from
}

// outputLine is a line of an auditor's output: one for each sidecar, and one that sums up each round.
type outputLine struct {
	Line      string         `json:"line"`
	Name      string         `json:"name"`
	Status    string         `json:"status"`
	Seen      version.Millis `json:"seen_ms"`
	At        version.Millis `json:"at_ms"`
	Took      version.Millis `json:"took_ms"`
	Reference version.List   `json:"reference"`
}

// parseFindings parses an auditor's output. A last line without an end was cut off as the auditor was killed, and is left out.
func parseFindings(p *plan.Plan, log *trace.Log, output []byte) (found []finding, rounds int, err error) {
	sidecars := map[string]int{}
	for i := range p.Sidecars {
		sidecars[p.Sidecars[i].Name] = i
	}
	var round []finding
	for text := range bytes.Lines(output) {
		if !bytes.HasSuffix(text, []byte("\n")) {
			break
		}
		var line outputLine
		if err := json.Unmarshal(text, &line); err != nil {
			return nil, 0, fmt.Errorf("auditcheck: an auditor's output: %w: %.200s", err, text)
		}
		switch line.Line {
		case "sidecar":
			if i, known := sidecars[line.Name]; known {
				at := runTime(log, line.Seen)
				round = append(round, finding{sidecar: i, from: at, to: at, status: line.Status})
			}
		case "summary":
			rounds++
			for _, f := range round {
				if f.status == statusNotReached { // it has not been seen in this round
					f.from, f.to = runTime(log, line.At), runTime(log, line.At)
				}
				f.from -= line.Took.D() + clockTolerance
				f.to += line.Took.D() + clockTolerance
				f.reference = line.Reference.Digest
				found = append(found, f)
			}
			round = nil
		}
	}
	return found, rounds, nil
}

// ResolutionTimes are the times from when the list service sent a list until each straggler held it, or had shut itself out, in the
// order of the lists; and how many were neither by the scenario's end. A sidecar that held the list within settle is no straggler.
func ResolutionTimes(p *plan.Plan, log *trace.Log, settle time.Duration) (times []time.Duration, unresolved int) {
	references := referenceSpans(log)
	end := p.Scenario.Length.D() // when partitions heal
	for i, reference := range references {
		for sidecar := range p.Sidecars {
			if p.Sidecars[sidecar].Endpoint >= 0 || !isRunning(log, sidecar, reference.from, reference.from+settle) {
				continue
			}
			lists := possibleLists(log, sidecar)
			if containsAny(listsBetween(lists, reference.from, reference.from+settle), references[i:]) {
				continue
			}
			resolved := resolvedAt(lists, shutOutSpans(log, sidecar), references[i:], end)
			if resolved == model.Never {
				unresolved++
			} else {
				times = append(times, resolved-reference.from)
			}
		}
	}
	return times, unresolved
}

// resolvedAt is when a straggler first may have held one of the references, or had shut itself out, after the first reference was sent
// and before end; model.Never if it did neither.
func resolvedAt(lists []listSpan, shutOut []span, references []referenceSpan, end time.Duration) time.Duration {
	sent, resolved := references[0].from, model.Never
	for _, list := range lists {
		if list.from > sent && list.from < end && containsAny(list.digests, references) {
			resolved = min(resolved, list.from)
		}
	}
	for _, s := range shutOut {
		if s.from < end && s.to > sent {
			resolved = min(resolved, max(s.from, sent))
		}
	}
	return resolved
}

// shutOutSpans are those in which a sidecar accepted no new requests, by its own audit log.
func shutOutSpans(log *trace.Log, sidecar int) (spans []span) {
	shutOut, process := false, ""
	for _, entry := range log.AuditLogs[sidecar] {
		now := shutOut && entry.Incarnation == process
		if entry.Kind == auditlog.VerdictChanged {
			now = entry.State == version.ShutOut
		}
		at := runTime(log, entry.At)
		if shutOut && !now {
			spans[len(spans)-1].to = at
		}
		if now && !shutOut {
			spans = append(spans, span{at, model.Never})
		}
		shutOut, process = now, entry.Incarnation
	}
	return spans
}
