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

const small = `
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

func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// story is a play of two sidecars: n1 is told list A before the run and B at 5 s, which it has taken over by 6 s; n2 is told A
// alone. Both ask a box each second, n1 also once at 5.5 s, when nobody can say by which of the two.
func story(t *testing.T) (*plan.Plan, *trace.Log, map[int][]auditlog.Entry) {
	s, err := scenario.Parse("small.toml", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	log := &trace.Log{Start: time.UnixMilli(1_000_000), End: at(10)}
	for i := range 2 {
		log.Changes = append(log.Changes, trace.Change{Sidecar: i, What: trace.Begun, Digest: listC})
		log.Asked = append(log.Asked, trace.Asked{Sidecar: i, Revision: 1, Digest: listA})
	}
	log.Asked = append(log.Asked, trace.Asked{At: at(0.5), Sidecar: 1, Watch: true, Since: 1, How: trace.Left},
		trace.Asked{At: at(0.5), Sidecar: 0, Watch: true, Since: 1, Told: at(5), Revision: 2, Digest: listB},
		trace.Asked{At: at(6), Sidecar: 0, Watch: true, Since: 2, How: trace.Left})
	visit := func(sidecar int, when float64) {
		txn := uint64(len(log.Tries) + 1)
		log.Tries = append(log.Tries, trace.Try{Txn: txn, Request: int(txn), Sidecar: sidecar, Due: at(when), Answered: at(when + 0.2)})
		log.Visits = append(log.Visits, trace.Visit{Txn: txn, Begun: at(when + 0.1)})
	}
	for _, when := range []float64{1, 2, 3, 5.5, 7, 8} {
		visit(0, when)
	}
	for _, when := range []float64{1, 2, 7, 8} {
		visit(1, when)
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

// A trail that is true is found so, and each fault that is planted in it is found with that kind alone.
func TestTrailsAreCompared(t *testing.T) {
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
		{name: "a list that it was never told", wrong: 4, missing: 4, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][0].Version.List.Digest = listB
		}},
		{name: "the list it was configured with, after it was told another", wrong: 4, missing: 4, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][0].Version.List.Digest = listC
		}},
		{name: "another box", wrong: 2, missing: 2, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1][1].Attempts[0].Host = "t-2"
		}},
		{name: "an entry cut out", missing: 2, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			trails[1] = slices.Delete(trails[1], 1, 2)
		}},
		{name: "no trail", unread: []string{"n2"}, plant: func(_ *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			delete(trails, 1)
		}},
		{name: "killed before its first count", unproven: 4, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.Changes = append(log.Changes, trace.Change{At: at(9), Sidecar: 1, What: trace.Killed})
			trails[1] = trails[1][:1]
		}},
		{name: "killed after its last count", unproven: 2, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.Changes = append(log.Changes, trace.Change{At: at(9), Sidecar: 1, What: trace.Killed})
			trails[1] = trails[1][:2]
		}},
		{name: "killed, and its trail has lost what was counted before", missing: 1, unproven: 2, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.Changes = append(log.Changes, trace.Change{At: at(9), Sidecar: 1, What: trace.Killed})
			trails[1] = trails[1][:2]
			trails[1][1].Attempts[0].N--
		}},
		{name: "killed, and nothing is left of that process", missing: 4, plant: func(_ *plan.Plan, log *trace.Log, trails map[int][]auditlog.Entry) {
			log.Changes = append(log.Changes, trace.Change{At: at(9), Sidecar: 1, What: trace.Killed})
			trails[1] = []auditlog.Entry{{Seq: 1, Incarnation: "m", Kind: auditlog.Started, At: 1_010_000}}
		}},
		{name: "a box that went down: what was on its way has no end", plant: func(p *plan.Plan, _ *trace.Log, trails map[int][]auditlog.Entry) {
			p.Events = append(p.Events, plan.Event{Kind: plan.BeginFault, Box: 0, Fault: model.Fault{Kind: model.Dead}})
			trails[0][1].Attempts[0].N += 2
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, log, trails := story(t)
			c.plant(p, log, trails)
			v := Judge(p, log, trails)
			if v.Wrong != c.wrong || v.Missing != c.missing || v.Unproven != c.unproven || !slices.Equal(v.Unread, append([]string{}, c.unread...)) {
				t.Errorf("%+v", v)
			}
			if c.name == "nothing" && (v.Visits != 10 || v.Attempts != 11 || v.Sure != 9 || v.Unseen != 1) {
				t.Errorf("%+v", v)
			}
		})
	}
}

// With a second process beside the first, a call says nothing of what the other one holds until the first has ended.
func TestTwoProcesses(t *testing.T) {
	log := &trace.Log{
		Changes: []trace.Change{{What: trace.Begun, Digest: listA}, {At: at(2), What: trace.Doubled}, {At: at(4), What: trace.Succeeded}},
		Asked: []trace.Asked{{At: at(0.5), Watch: true, Since: 1, Told: at(3), Revision: 2, Digest: listB},
			{At: at(3.1), Watch: true, Since: 2}, {At: at(4.1), Watch: true, Since: 2}},
	}
	stretches := held(log, 0)
	for _, c := range []struct {
		from, to float64
		want     []version.Digest
	}{
		{1, 2, []version.Digest{listA}}, {3.2, 3.9, []version.Digest{listA, listB}}, {4.2, 9, []version.Digest{listB}},
	} {
		if got := between(stretches, at(c.from), at(c.to)); !slices.Equal(got, c.want) {
			t.Errorf("from %v to %v s: %x, expected %x", c.from, c.to, got, c.want)
		}
	}
}

// What an auditor printed is measured by what is true: a straggler that is hidden, and one that is none, are found.
func TestStragglersAreCompared(t *testing.T) {
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
		p, log, _ := story(t)
		log.End = at(10)
		for _, r := range []trace.Asked{{Told: at(0.1), Digest: listA}, {Told: at(2), Digest: listA}, {Told: at(4.5), Digest: listB}} {
			r.Sidecar = -1
			log.Asked = append(log.Asked, r)
		}
		got, err := Find(p, log, []byte(print(c.status)+`{"line":"si`), at(3))
		if err != nil || got.Rounds != 9 || got.True != c.isTrue || got.Found != c.found || got.Unasked != c.unasked || got.Hidden != c.hidden || got.False != c.falsly {
			t.Errorf("%s: %+v %v", c.name, got, err)
		}
		log.Trails = map[int][]auditlog.Entry{}
		if ends, never := Ends(p, log, at(1)); !slices.Equal(ends, []time.Duration{}) || never != 1 {
			t.Errorf("%s: it ended after %v, never %d", c.name, ends, never)
		}
		log.Trails[1] = []auditlog.Entry{{Kind: auditlog.VerdictChanged, At: 1_007_500, State: version.ShutOut}}
		if ends, never := Ends(p, log, at(1)); !slices.Equal(ends, []time.Duration{at(3)}) || never != 0 {
			t.Errorf("%s: shut out after %v, never %d", c.name, ends, never)
		}
	}
}
