package auditcheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

const scenarioText = `
name = "small"
[[class]]
name = "c"
share = 1
work = "1ms"
aim = "1s"
deadline = "1s"
[[tier]]
name = "t"
[[tier.kind]]
boxes = 2
[clients]
rate = 1
[fleet]
sidecars = 2
`

const listA, listB, listC = version.Digest(0xa), version.Digest(0xb), version.Digest(0xc)

func seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// newRun is a play of two sidecars: n1 is sent list A before the run and B at 5 s, which it has adopted by 6 s; n2 is sent A alone. Both
// send a request each second, n1 also once at 5.5 s, when nobody can say under which of the two.
func newRun(t *testing.T) (*plan.Plan, *trace.Log, map[int][]auditlog.Entry) {
	s, err := scenario.Parse("small.toml", []byte(scenarioText))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	log := &trace.Log{Start: time.UnixMilli(1_000_000), End: seconds(10)}
	for i := range 2 {
		log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{Sidecar: i, Kind: trace.SidecarStarted, Digest: listC})
		log.Polls = append(log.Polls, trace.DiscoveryPoll{Sidecar: i, Revision: 1, Digest: listA})
	}
	log.Polls = append(log.Polls, trace.DiscoveryPoll{At: seconds(0.5), Sidecar: 1, Watch: true, SinceRevision: 1, Outcome: trace.PollAbandoned},
		trace.DiscoveryPoll{At: seconds(0.5), Sidecar: 0, Watch: true, SinceRevision: 1, RespondedAt: seconds(5), Revision: 2, Digest: listB},
		trace.DiscoveryPoll{At: seconds(6), Sidecar: 0, Watch: true, SinceRevision: 2, Outcome: trace.PollAbandoned})
	request := func(sidecar int, when float64) {
		txn := uint64(len(log.ClientAttempts) + 1)
		log.ClientAttempts = append(log.ClientAttempts, trace.ClientAttempt{TransactionID: txn, Request: int(txn), Sidecar: sidecar, Due: seconds(when), Ended: seconds(when + 0.2)})
		log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: txn, FirstByte: seconds(when + 0.1)})
	}
	for _, when := range []float64{1, 2, 3, 5.5, 7, 8} {
		request(0, when)
	}
	for _, when := range []float64{1, 2, 7, 8} {
		request(1, when)
	}
	adopted := func(seq uint64, under uint32, d version.Digest) auditlog.Entry {
		return auditlog.Entry{At: 999_900, Seq: seq, Incarnation: "l", Kind: auditlog.Adopted, VersionID: under, Version: &version.Version{List: version.List{Digest: d}}}
	}
	made := func(seq uint64, under uint32, n, never int, when float64) auditlog.Entry {
		return auditlog.Entry{Seq: seq, Incarnation: "l", Kind: auditlog.Counted, VersionID: under, At: version.Millis(1_000_000 + 1000*when),
			Attempts: []auditlog.Attempts{{Class: "c", Host: "t-1", N: n, Unsent: never}}}
	}
	return p, log, map[int][]auditlog.Entry{
		0: {adopted(1, 1, listA), made(2, 1, 3, 0, 4), adopted(3, 2, listB), made(4, 2, 4, 1, 9)},
		1: {adopted(1, 1, listA), made(2, 1, 2, 0, 4), made(3, 1, 2, 0, 9)},
	}
}

// TestCompareAuditLogs checks that a correct audit log passes, and that each mistake planted in it is found, with its kind alone.
func TestCompareAuditLogs(t *testing.T) {
	for _, c := range []struct {
		name                     string
		wrong, missing, unproven int
		unread                   []string
		plant                    func(p *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry)
	}{
		{name: "nothing", plant: func(*plan.Plan, *trace.Log, map[int][]auditlog.Entry) {}},
		{name: "a count raised", wrong: 2, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[0][1].Attempts[0].N += 2
		}},
		{name: "a count lowered", missing: 1, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[0][1].Attempts[0].N--
		}},
		{name: "a count moved to the other list", wrong: 1, missing: 1, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[0][1].Attempts[0].N--
			trails[0][3].Attempts[0].N++
		}},
		{name: "a list that it was never sent", wrong: 4, missing: 4, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][0].Version.List.Digest = listB
		}},
		{name: "the list it was configured with, after it was sent another", wrong: 4, missing: 4, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][0].Version.List.Digest = listC
		}},
		{name: "another endpoint", wrong: 2, missing: 2, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][1].Attempts[0].Host = "t-2"
		}},
		{name: "an entry cut out", missing: 2, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1] = slices.Delete(trails[1], 1, 2)
		}},
		{name: "no trail", unread: []string{"n2"}, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			delete(trails, 1)
		}},
		{name: "killed before its first count", unproven: 4, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{At: seconds(9), Sidecar: 1, Kind: trace.SidecarKilled})
			trails[1] = trails[1][:1]
		}},
		{name: "killed after its last count", unproven: 2, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{At: seconds(9), Sidecar: 1, Kind: trace.SidecarKilled})
			trails[1] = trails[1][:2]
		}},
		{name: "killed, and its trail has lost what was counted before", missing: 1, unproven: 2, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{At: seconds(9), Sidecar: 1, Kind: trace.SidecarKilled})
			trails[1] = trails[1][:2]
			trails[1][1].Attempts[0].N--
		}},
		{name: "killed, and nothing is left of that process", missing: 4, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{At: seconds(9), Sidecar: 1, Kind: trace.SidecarKilled})
			trails[1] = []auditlog.Entry{{Seq: 1, Incarnation: "m", Kind: auditlog.Started, At: 1_010_000}}
		}},
		{name: "an endpoint that went down: what was in flight has no end", plant: func(p *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			p.Events = append(p.Events, plan.Event{Kind: plan.StartFault, Endpoint: 0, Fault: model.Fault{Kind: model.Crash}})
			trails[0][1].Attempts[0].N += 2
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, log, trails := newRun(t)
			c.plant(p, log, trails)
			v := CompareAuditLogs(p, log, trails)
			if v.Contradicted != c.wrong || v.Missing != c.missing || v.Unrecordable != c.unproven || !slices.Equal(v.UnreadSidecars, append([]string{}, c.unread...)) {
				t.Errorf("%+v", v)
			}
			if c.name == "nothing" && (v.EndpointRequests != 10 || v.Attempts != 11 || v.Unambiguous != 9 || v.Unreceived != 1) {
				t.Errorf("%+v", v)
			}
		})
	}
}

// TestPossibleListsOfTwoProcesses checks that, with a second process beside the first, a poll says nothing of what the other one holds
// until the first has exited.
func TestPossibleListsOfTwoProcesses(t *testing.T) {
	log := &trace.Log{
		SidecarEvents: []trace.SidecarEvent{{Kind: trace.SidecarStarted, Digest: listA}, {At: seconds(2), Kind: trace.SidecarUpgradeStarted}, {At: seconds(4), Kind: trace.SidecarUpgradeFinished}},
		Polls: []trace.DiscoveryPoll{{At: seconds(0.5), Watch: true, SinceRevision: 1, RespondedAt: seconds(3), Revision: 2, Digest: listB},
			{At: seconds(3.1), Watch: true, SinceRevision: 2}, {At: seconds(4.1), Watch: true, SinceRevision: 2}},
	}
	stretches := possibleLists(log, 0)
	for _, c := range []struct {
		from, to float64
		want     []version.Digest
	}{
		{1, 2, []version.Digest{listA}}, {3.2, 3.9, []version.Digest{listA, listB}}, {4.2, 9, []version.Digest{listB}},
	} {
		if got := listsBetween(stretches, seconds(c.from), seconds(c.to)); !slices.Equal(got, c.want) {
			t.Errorf("from %v to %v s: %x, expected %x", c.from, c.to, got, c.want)
		}
	}
}

// TestCompareFindings measures an auditor's output by what is true: a straggler that is missed, and a false positive, are found.
func TestCompareFindings(t *testing.T) {
	const reached = `{"line":"sidecar","name":"n%d","status":"%s","seen_ms":%d}` + "\n"
	const summary = `{"line":"summary","at_ms":%d,"took_ms":10,"reference":{"digest":"%016x"}}` + "\n"
	print := func(status func(sidecar, second int) string) (out string) {
		for second := 1; second < 10; second++ {
			for sidecar := range 2 {
				out += fmt.Sprintf(reached, sidecar+1, status(sidecar, second), 1_000_000+1000*second)
			}
			reference := listA
			if second >= 5 {
				reference = listB
			}
			out += fmt.Sprintf(summary, 1_000_000+1000*second, uint64(reference))
		}
		return out
	}
	well := func(sidecar, second int) string {
		if sidecar == 1 && second >= 5 || sidecar == 0 && second == 5 {
			return "behind"
		}
		return "up to date"
	}
	for _, c := range []struct {
		name                                   string
		isTrue, found, unasked, hidden, falsly int
		status                                 func(sidecar, second int) string
	}{
		{"nothing", 1, 1, 0, 0, 0, well},
		{"a straggler hidden", 1, 0, 0, 1, 0, func(int, int) string { return "up to date" }},
		{"one that was never reached", 1, 0, 1, 0, 0, func(sidecar, second int) string {
			if sidecar == 1 {
				return "not reached"
			}
			return well(sidecar, second)
		}},
		{"one found that is none", 1, 1, 0, 0, 2, func(sidecar, second int) string {
			if sidecar == 0 && second >= 8 {
				return "shut out"
			}
			return well(sidecar, second)
		}},
	} {
		p, log, _ := newRun(t)
		log.End = seconds(10)
		for _, r := range []trace.DiscoveryPoll{{RespondedAt: seconds(0.1), Digest: listA}, {RespondedAt: seconds(2), Digest: listA}, {RespondedAt: seconds(4.5), Digest: listB}} {
			r.Sidecar = -1
			log.Polls = append(log.Polls, r)
		}
		got, err := CompareFindings(p, log, []byte(print(c.status)+`{"line":"si`), seconds(3))
		if err != nil || got.Rounds != 9 || got.Actual != c.isTrue || got.Detected != c.found || got.Unreached != c.unasked || got.Missed != c.hidden || got.FalsePositives != c.falsly {
			t.Errorf("%s: %+v %v", c.name, got, err)
		}
		log.AuditLogs = map[int][]auditlog.Entry{}
		if ends, never := ResolutionTimes(p, log, seconds(1)); !slices.Equal(ends, []time.Duration{}) || never != 1 {
			t.Errorf("%s: it ended after %v, never %d", c.name, ends, never)
		}
		log.AuditLogs[1] = []auditlog.Entry{{Kind: auditlog.VerdictChanged, At: 1_007_500, State: version.ShutOut}}
		if ends, never := ResolutionTimes(p, log, seconds(1)); !slices.Equal(ends, []time.Duration{seconds(3)}) || never != 0 {
			t.Errorf("%s: shut out after %v, never %d", c.name, ends, never)
		}
	}
}
