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

// Stragglers says what an auditor found of sidecars that act on an old list, beside what is true.
type Stragglers struct {
	Rounds  int      `json:"rounds"`
	True    int      `json:"true"`    // sidecars and lists of the reference that they can't have held a while after it was told
	Found   int      `json:"found"`   // of them those that a round found behind or shut out
	Unasked int      `json:"unasked"` // and those that no round reached in that time
	Hidden  int      `json:"hidden"`  // and the rest: stragglers that nobody was told of
	False   int      `json:"false"`   // answers found behind or shut out of sidecars that can only have held the reference
	Stories []string `json:"stories"`
}

// finding is what one round of an auditor found of one sidecar.
type finding struct {
	sidecar   int
	from, to  time.Duration // the sidecar answered in between
	reference version.Digest
	status    string
}

// reign is a time in which the list service told one list to auditors.
type reign struct {
	digest   version.Digest
	from, to time.Duration
}

// reigns are by the time of their first telling.
func reigns(log *trace.Log) (out []reign) {
	for _, a := range log.Asked {
		if a.Sidecar >= 0 || a.Digest == 0 {
			continue
		}
		if n := len(out); n > 0 {
			out[n-1].to = a.Told
			if out[n-1].digest == a.Digest {
				continue
			}
		}
		out = append(out, reign{a.Digest, a.Told, log.End})
	}
	if n := len(out); n > 0 {
		out[n-1].to = log.End
	}
	return out
}

// Find compares what an auditor printed, JSON lines, with what is true. A straggler is one that, from when the list service told
// an auditor a list until late after that, can have held neither it nor a later one.
func Find(p *plan.Plan, log *trace.Log, printed []byte, late time.Duration) (Stragglers, error) {
	out := Stragglers{Stories: []string{}}
	found, rounds, err := findings(p, log, printed)
	if err != nil {
		return out, err
	}
	out.Rounds = rounds
	tell := func(format string, args ...any) {
		if len(out.Stories) < storiesMost {
			out.Stories = append(out.Stories, fmt.Sprintf(format, args...))
		}
	}
	all := reigns(log)
	for sidecar := range p.Sidecars {
		if p.Sidecars[sidecar].Box >= 0 {
			continue
		}
		stretches, name := held(log, sidecar), p.Sidecars[sidecar].Name
		for i, r := range all {
			if r.to < r.from+late || anyOf(between(stretches, r.from, r.from+late), all[i:]) || !alive(log, sidecar, r.from, r.from+late) {
				continue
			}
			out.True++
			mine := slices.DeleteFunc(slices.Clone(found), func(f finding) bool {
				return f.sidecar != sidecar || f.reference != r.digest || f.to < r.from || f.from > r.to
			})
			switch {
			case slices.ContainsFunc(mine, func(f finding) bool { return f.status == "behind" || f.status == "shut out" }):
				out.Found++
			case !slices.ContainsFunc(mine, func(f finding) bool { return f.status != "not reached" }):
				out.Unasked++
			default:
				out.Hidden++
				tell("%s held none of the lists from %016x on from %v to %v, and was found up to date", name, uint64(r.digest), r.from, r.from+late)
			}
		}
		for _, f := range found {
			if f.sidecar != sidecar || f.status != "behind" && f.status != "shut out" {
				continue
			}
			if may := between(stretches, f.from, f.to); len(may) == 1 && may[0] == f.reference {
				out.False++
				tell("%s held %016x at %v, and was found %s", name, uint64(f.reference), f.to, f.status)
			}
		}
	}
	return out, nil
}

// anyOf tells whether a list is among those told in some reigns.
func anyOf(lists []version.Digest, in []reign) bool {
	return slices.ContainsFunc(in, func(r reign) bool { return slices.Contains(lists, r.digest) })
}

// alive tells whether one process of the sidecar was there all the time.
func alive(log *trace.Log, sidecar int, from, to time.Duration) bool {
	up, since := false, time.Duration(0)
	for _, c := range log.Changes {
		if c.Sidecar != sidecar || c.At > to {
			continue
		}
		switch c.What {
		case trace.Begun:
			up, since = true, c.At
		case trace.Killed, trace.Crashed, trace.Ended, trace.Stopping:
			up = false
		}
	}
	return up && since <= from
}

// findings reads what an auditor printed: a line a sidecar, and one that sums up each round.
func findings(p *plan.Plan, log *trace.Log, printed []byte) (out []finding, rounds int, err error) {
	sidecars := map[string]int{}
	for i := range p.Sidecars {
		sidecars[p.Sidecars[i].Name] = i
	}
	start := time.Duration(log.Start.UnixMilli()) * time.Millisecond
	var round []finding
	for line := range bytes.Lines(printed) {
		var l struct {
			Line, Name, Status string
			Seen               version.Millis `json:"seen_ms"`
			At                 version.Millis `json:"at_ms"`
			Took               version.Millis `json:"took_ms"`
			Reference          version.List
		}
		if !bytes.HasSuffix(line, []byte("\n")) {
			break // it was killed while it wrote
		}
		if err := json.Unmarshal(line, &l); err != nil {
			return nil, 0, fmt.Errorf("audited: what an auditor printed: %w: %.200s", err, line)
		}
		switch l.Line {
		case "sidecar":
			if i, known := sidecars[l.Name]; known {
				at := l.Seen.D() - start
				round = append(round, finding{sidecar: i, from: at, to: at, status: l.Status})
			}
		case "summary":
			rounds++
			for _, f := range round {
				if f.status == "not reached" { // it has not been seen in this round
					f.from, f.to = l.At.D()-start, l.At.D()-start
				}
				f.from, f.to, f.reference = f.from-l.Took.D()-clocksApart, f.to+l.Took.D()+clocksApart, l.Reference.Digest
				out = append(out, f)
			}
			round = nil
		}
	}
	return out, rounds, nil
}

// Ends are the times from when the list service told a list until each straggler was brought up to it or had shut itself out, in the
// order of the lists, and how many were neither by the end. Who held it within settle is no straggler.
func Ends(p *plan.Plan, log *trace.Log, settle time.Duration) (ends []time.Duration, never int) {
	all, over := reigns(log), p.Scenario.Length.D() // when what was cut is healed
	for i, r := range all {
		for sidecar := range p.Sidecars {
			if p.Sidecars[sidecar].Box >= 0 || !alive(log, sidecar, r.from, r.from+settle) {
				continue
			}
			stretches := held(log, sidecar)
			if anyOf(between(stretches, r.from, r.from+settle), all[i:]) {
				continue
			}
			end := model.Never
			for _, s := range stretches {
				if s.from > r.from && s.from < over && anyOf(s.digests, all[i:]) {
					end = min(end, s.from)
				}
			}
			for _, s := range shut(log, sidecar) {
				if s[0] < over && s[1] > r.from {
					end = min(end, max(s[0], r.from))
				}
			}
			if end == model.Never {
				never++
			} else {
				ends = append(ends, end-r.from)
			}
		}
	}
	return ends, never
}

// shut are the times in which a sidecar took nothing new, by its own trail.
func shut(log *trace.Log, sidecar int) (out [][2]time.Duration) {
	is, life := false, ""
	for _, e := range log.Trails[sidecar] {
		at := e.At.D() - time.Duration(log.Start.UnixMilli())*time.Millisecond
		now := is && e.Incarnation == life
		if e.Kind == auditlog.VerdictChanged {
			now = e.State == version.ShutOut
		}
		if is && !now {
			out[len(out)-1][1] = at
		}
		if now && !is {
			out = append(out, [2]time.Duration{at, model.Never})
		}
		is, life = now, e.Incarnation
	}
	return out
}
