package model

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// one has a core that runs one job at a time, and a warm-up of a second from half of its capacity.
var one = Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 2, WarmupInitialShare: 0.5, WarmupDuration: time.Second, Cancel: CancelAll}

// with returns one with a change.
func with(change func(*Spec)) Spec {
	spec := one
	change(&spec)
	return spec
}

// describe writes events as "kind job@ms", a response by what it is.
func describe(events []Event) string {
	kinds := []string{EventStarted: "start", EventCalling: "call", EventReset: "reset", EventLost: "lost"}
	responses := []string{ResponseOK: "ok", ResponseError: "error", ResponseRejected: "rejected", ResponseTruncated: "truncated", ResponseCorrupted: "corrupted", ResponseTrickled: "trickled"}
	var texts []string
	for _, e := range events {
		text := ""
		if e.Kind == EventResponded {
			text = responses[e.Response]
		} else {
			text = kinds[e.Kind]
		}
		if e.Deduplicated {
			text = "repeat"
		}
		if e.Kind != EventReset {
			text += fmt.Sprint(" ", e.Job)
		}
		if e.Kind == EventCalling {
			text += fmt.Sprint("#", e.Call)
		}
		texts = append(texts, fmt.Sprintf("%s@%v", text, float64(e.At)/float64(ms)))
	}
	return strings.Join(texts, ", ")
}

func arrive(s *Endpoint, at time.Duration, id uint64, segments ...time.Duration) {
	s.Arrive(at, Job{ID: id, Segments: segments})
}

// Each script is played on an endpoint, which is then advanced by NextEvent for 10 s.
func TestScripts(t *testing.T) {
	for _, c := range []struct {
		name   string
		spec   Spec
		script func(s *Endpoint)
		want   string
	}{
		{"in order, then turned away", one, func(s *Endpoint) {
			for id := range uint64(4) {
				arrive(s, 0, id, 10*ms)
			}
		}, "start 0@0, rejected 3@0, ok 0@10, start 1@10, ok 1@20, start 2@20, ok 2@30"},
		{"two share a core, the third has it alone at last", with(func(p *Spec) { p.Slots = 2 }), func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			arrive(s, 0, 2, 20*ms)
		}, "start 1@0, start 2@0, ok 1@20, ok 2@30"},
		{"crowded: half its capacity with twice CrowdAt", with(func(p *Spec) { p.OverloadAt, p.OverloadLoss = 1, 1 }), func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			arrive(s, 0, 2, 10*ms)
		}, "start 1@0, ok 1@20, start 2@20, ok 2@30"},
		{"a call keeps the slot and no core", one, func(s *Endpoint) {
			arrive(s, 0, 1, 5*ms, 5*ms)
			arrive(s, 0, 2, 10*ms)
			s.CallReturned(100*ms, 1, true)
		}, "start 1@0, call 1#0@5, ok 1@105, start 2@105, ok 2@115"},
		{"a call that fails ends the job", one, func(s *Endpoint) {
			arrive(s, 0, 1, 5*ms, 5*ms)
			arrive(s, 0, 2, 10*ms)
			s.CallReturned(100*ms, 1, false)
			s.CallReturned(101*ms, 1, true)
		}, "start 1@0, call 1#0@5, error 1@100, start 2@100, ok 2@110"},
		{"cold: half speed for a step of 20 ms, then 0.51", one, func(s *Endpoint) {
			s.Start(0, true)
			arrive(s, 0, 1, 10*ms)
			arrive(s, 20*ms, 2, 51*ms/10)
		}, "reset@0, start 1@0, ok 1@20, start 2@20, ok 2@30"},
		{"a connection's handshake is done, and the table is full", with(func(p *Spec) { p.MaxConnections, p.ConnectionTableLoss, p.HandshakeWork = 1, 0.5, 5*ms }), func(s *Endpoint) {
			if s.Connect(0) != ConnectionAccepted || s.Connect(0) != ConnectionRefused {
				t.Error("one connection of two should come up")
			}
			s.Arrive(0, Job{ID: 1, Segments: []time.Duration{5 * ms}, NewConnection: true})
			s.Disconnect(10 * ms)
		}, "start 1@0, ok 1@15"},
		{"withdrawn in line and at work", one, func(s *Endpoint) {
			for id := range uint64(3) {
				arrive(s, 0, id, 10*ms)
			}
			s.Cancel(1*ms, 1)
			s.Cancel(2*ms, 0)
		}, "start 0@0, lost 1@1, lost 0@2, start 2@2, ok 2@12"},
		{"withdrawn where only those in line stop", with(func(p *Spec) { p.Cancel = CancelQueued }), func(s *Endpoint) {
			arrive(s, 0, 0, 10*ms)
			arrive(s, 0, 1, 10*ms)
			s.Cancel(1*ms, 0)
			s.Cancel(1*ms, 1)
		}, "start 0@0, lost 1@1, ok 0@10"},
		{"withdrawn where nothing stops", with(func(p *Spec) { p.Cancel = CancelNothing }), func(s *Endpoint) {
			arrive(s, 0, 0, 10*ms)
			arrive(s, 0, 1, 10*ms)
			s.Cancel(1*ms, 0)
			s.Cancel(1*ms, 1)
		}, "start 0@0, ok 0@10, start 1@10, ok 1@20"},
		{"keys repeat within the window of the first", with(func(p *Spec) { p.DedupWindow = 20 * ms }), func(s *Endpoint) {
			for id := range uint64(3) {
				s.Arrive(0, Job{ID: id, IdempotencyKey: 7, Segments: []time.Duration{10 * ms}})
			}
		}, "start 0@0, ok 0@10, repeat 1@10, ok 1@20, start 2@20, ok 2@30"},

		{"vanish: silent, lost at its end, back cold", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Vanish, Size: 0})
			if s.Phase(6*ms) != Unresponsive || s.Connect(6*ms) != ConnectionDropped {
				t.Error("not silent")
			}
			arrive(s, 7*ms, 2, 10*ms)
			s.EndFault(50*ms, 1)
			arrive(s, 50*ms, 3, 10*ms)
		}, "start 1@0, reset@50, lost 1@50, start 3@50, ok 3@70"},
		{"withdrawn from a silent machine: lost under every rule", with(func(p *Spec) { p.Cancel = CancelNothing }), func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			arrive(s, 0, 2, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Vanish, Size: 0})
			s.Cancel(6*ms, 1)
		}, "start 1@0, lost 1@6"},
		{"dead: lost at once, back cold", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Crash, Size: 0})
			if s.Phase(6*ms) != Down || s.Connect(6*ms) != ConnectionRefused {
				t.Error("not down")
			}
			s.EndFault(50*ms, 1)
			arrive(s, 50*ms, 3, 10*ms)
		}, "start 1@0, reset@5, lost 1@5, start 3@50, ok 3@70"},
		{"hang: never answered, also later", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Hang, Size: 0})
			arrive(s, 6*ms, 2, 10*ms)
			if s.Connect(6*ms) != ConnectionAccepted || s.Capacity(6*ms) != 0 {
				t.Error("a server that hangs takes connections and can do nothing")
			}
			s.EndFault(50*ms, 1)
			arrive(s, 50*ms, 3, 10*ms)
			s.Cancel(70*ms, 2)
			s.Cancel(70*ms, 1)
		}, "start 1@0, start 3@50, ok 3@60, lost 2@70, lost 1@70"},
		{"fail at once, beside the one at work", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Fail, Size: 1})
			arrive(s, 6*ms, 2, 10*ms)
			s.EndFault(7*ms, 1)
			arrive(s, 8*ms, 3, 10*ms)
		}, "start 1@0, error 2@6, ok 1@10, start 3@10, ok 3@20"},
		{"slow factors multiply while they last", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(5*ms, Fault{ID: 1, Kind: Slow, Size: 2}) // 5 ms of work left
			s.StartFault(7*ms, Fault{ID: 2, Kind: Slow, Size: 2}) // 4 ms
			s.EndFault(11*ms, 1)                                  // 3 ms
		}, "start 1@0, ok 1@17"},
		{"refuses connections, serves on", one, func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: RefuseConnections, Size: 0})
			if s.Connect(0) != ConnectionRefused {
				t.Error("taken")
			}
			arrive(s, 0, 1, 10*ms)
		}, "start 1@0, ok 1@10"},
		{"cut before spoilt before dripped", with(func(p *Spec) { p.Queue = 9 }), func(s *Endpoint) {
			for id, kind := range []FaultKind{Trickle, Corrupt, Truncate} {
				s.StartFault(0, Fault{ID: id, Kind: kind, Size: 1})
			}
			for id := range uint64(4) {
				arrive(s, 0, id, 10*ms)
				s.EndFault(time.Duration(id)*10*ms+15*ms, 2-int(id))
			}
		}, "start 0@0, truncated 0@10, start 1@15, corrupted 1@25, start 2@25, trickled 2@35, start 3@35, ok 3@45"},
		{"errors come after the work", with(func(p *Spec) { p.ErrorRate = 1 }), func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: Truncate, Size: 1})
			arrive(s, 0, 1, 10*ms)
		}, "start 1@0, error 1@10"},
		{"mute: taken, holds no slot; before a failure", one, func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: Fail, Size: 1})
			s.StartFault(0, Fault{ID: 2, Kind: Drop, Size: 1})
			arrive(s, 0, 1, 10*ms)
			s.EndFault(1*ms, 1)
			s.EndFault(1*ms, 2)
			arrive(s, 2*ms, 2, 10*ms)
			s.Cancel(20*ms, 1)
		}, "start 2@2, ok 2@12, lost 1@20"},
		{"bound to a class, to a crowd, to connections", with(func(p *Spec) { p.Slots, p.Cores = 3, 3 }), func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: Fail, Size: 1, Class: 2})
			s.Arrive(0, Job{ID: 1, Class: 1, Segments: []time.Duration{10 * ms}})
			s.Arrive(0, Job{ID: 2, Class: 2, Segments: []time.Duration{10 * ms}})
			s.EndFault(1*ms, 1)
			s.StartFault(1*ms, Fault{ID: 2, Kind: Fail, Size: 1, MinInFlight: 2})
			arrive(s, 2*ms, 3, 10*ms)
			arrive(s, 3*ms, 4, 10*ms)
			s.EndFault(4*ms, 2)
			s.StartFault(20*ms, Fault{ID: 3, Kind: Drop, Size: 0.5, PerConnection: true})
			for id := uint64(5); id < 11; id++ { // each connection keeps its fate
				at := time.Duration(id) * 10 * ms
				s.Arrive(at, Job{ID: id, ConnectionID: id%2 + 4, Segments: []time.Duration{ms}})
				s.Cancel(at+5*ms, id)
			}
		}, "start 1@0, error 2@0, start 3@2, error 4@3, ok 1@10, ok 3@12, lost 5@55, start 6@60, ok 6@61, lost 7@75, " +
			"start 8@80, ok 8@81, lost 9@95, start 10@100, ok 10@101"},
		{"dead within a vanish: down when it is back, up when both are over", one, func(s *Endpoint) {
			arrive(s, 0, 1, 10*ms)
			s.StartFault(1*ms, Fault{ID: 1, Kind: Vanish, Size: 0})
			s.StartFault(2*ms, Fault{ID: 2, Kind: Crash, Size: 0})
			s.EndFault(10*ms, 1)
			if s.Phase(11*ms) != Down {
				t.Error("not down")
			}
			s.EndFault(20*ms, 2)
			arrive(s, 20*ms, 2, 10*ms)
		}, "start 1@0, reset@10, lost 1@10, start 2@20, ok 2@40"},
		{"two hangs: until the last ends", one, func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: Hang, Size: 0})
			s.StartFault(5*ms, Fault{ID: 2, Kind: Hang, Size: 0})
			s.EndFault(10*ms, 1)
			arrive(s, 11*ms, 1, 10*ms)
			s.EndFault(20*ms, 2)
			arrive(s, 20*ms, 2, 10*ms)
		}, "start 2@20, ok 2@30"},
		{"collapses and stays down", with(func(p *Spec) { p.CollapseMultiple, p.CollapseWindow, p.Slots = 2, 100*ms, 2 }), func(s *Endpoint) {
			s.Start(0, true)
			arrive(s, 0, 1, 60*ms)
			arrive(s, 1*ms, 2, 60*ms) // 120 ms of work in a window for 100 and a little
			s.StartFault(2*ms, Fault{ID: 1, Kind: Crash, Size: 0})
			s.EndFault(3*ms, 1)
			s.Start(4*ms, false)
			if s.Phase(time.Second) != Down || !s.Load(time.Second).Collapsed {
				t.Error("it is up again")
			}
		}, "reset@0, start 1@0, reset@1, lost 1@1, lost 2@1"},
		{"collapses of what it failed at once, when it gets slower", with(func(p *Spec) { p.CollapseMultiple, p.CollapseWindow = 2, 100*ms }), func(s *Endpoint) {
			s.StartFault(0, Fault{ID: 1, Kind: Fail, Size: 1})
			s.Start(0, true)
			arrive(s, 10*ms, 1, 90*ms)
			s.StartFault(30*ms, Fault{ID: 2, Kind: Slow, Size: 2}) // 0.5 ms of what it stands goes each ms, 10 ms by 50; the step at 60 tells
		}, "reset@0, error 1@10, reset@60"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(c.spec, 1)
			c.script(s)
			var events []Event
			for s.NextEvent() <= 10*time.Second {
				events = s.Advance(s.NextEvent(), events)
			}
			if got := describe(events); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// An endpoint that is sent just below the limit while it warms up does not collapse, and one with its full capacity never does.
func TestSustainableLoadDoesNotCollapse(t *testing.T) {
	spec := with(func(p *Spec) { p.CollapseMultiple, p.CollapseWindow = 2.5, 100*ms })
	for name, load := range map[string]struct {
		cold      bool
		multiple  float64
		collapsed bool
	}{"cold, 2.4 times": {true, 2.4, false}, "cold, 2.6 times": {true, 2.6, true}, "warm": {false, 0, false}} {
		s := New(spec, 1)
		s.Start(0, load.cold)
		for at := time.Duration(0); at < 2*time.Second; at += ms {
			multiple := load.multiple
			if !s.Load(at).WarmingUp {
				multiple = 10
			}
			arrive(s, at, uint64(at), time.Duration(multiple*s.Capacity(at)*float64(ms)))
		}
		if l := s.Load(2 * time.Second); l.Collapsed != load.collapsed {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// The busy time of the cores counts: while idle the endpoint makes no progress.
func TestWarmupByWork(t *testing.T) {
	s := New(with(func(p *Spec) { p.WarmupByWork, p.Cores, p.Slots = true, 2, 2 }), 1)
	s.Start(0, true)
	if c := s.Capacity(time.Hour); c != 1 {
		t.Errorf("capacity %v after an idle hour", c)
	}
	arrive(s, time.Hour, 1, time.Hour)
	for at, cold := range map[time.Duration]bool{999 * ms: true, 1000 * ms: false} {
		s := New(s.spec, 1)
		s.Start(0, true)
		arrive(s, 0, 1, time.Hour)
		if s.Load(at).WarmingUp != cold {
			t.Errorf("cold is %v after %v of work", !cold, at)
		}
	}
}

// Jobs that are alike and share a core end in the same ns, in order, whatever the rounding.
func TestEqualJobsEndTogether(t *testing.T) {
	for i := range 1000 {
		s := New(Spec{Cores: 1, Speed: 0.3 + float64(i)/700, Slots: 3}, 1)
		for id := range uint64(3) {
			arrive(s, time.Second, id, 7*ms)
		}
		events := s.Advance(time.Minute, nil)[3:]
		for id, e := range events {
			if e.At != events[0].At || e.Job != uint64(id) {
				t.Fatalf("speed %v: %v", s.spec.Speed, describe(events))
			}
		}
	}
}

// Shares and pauses are as configured, independent of each other, and leave other jobs as they were.
func TestSharesAndPausesAreDrawnIndependently(t *testing.T) {
	const n = 100_000
	answers := func(share float64) (a [n]Response) {
		s := New(one, 3)
		s.StartFault(0, Fault{ID: 1, Kind: Fail, Size: share})
		s.StartFault(0, Fault{ID: 2, Kind: Truncate, Size: 0.5})
		for i := range uint64(n) {
			arrive(s, time.Duration(i)*ms, i, 0)
		}
		for _, e := range s.Advance(n*ms, nil) {
			if e.Kind == EventResponded {
				a[e.Job] = e.Response
			}
		}
		return a
	}
	few, many := answers(0.1), answers(0.4)
	failed, cut := 0, 0
	for i := range few {
		if few[i] == ResponseError && many[i] != ResponseError {
			t.Fatalf("job %d fails of a tenth and not of two fifths", i)
		}
		if many[i] == ResponseError {
			failed++
		}
		if many[i] == ResponseTruncated {
			cut++
		}
	}
	if sd := math.Sqrt(n * 0.4 * 0.6); math.Abs(float64(failed)-0.4*n) > 3*sd {
		t.Errorf("%d of %d failed, not 0.4", failed, n)
	}
	if sd := math.Sqrt(n * 0.3 * 0.7); math.Abs(float64(cut)-0.3*n) > 3*sd {
		t.Errorf("%d of %d were cut, not half of those that didn't fail", cut, n)
	}

	// Work of an hour takes 1 + 20/80 of that, but for the chance of about 36,000 pauses.
	s := New(with(func(p *Spec) { p.PauseInterval, p.Pause = 80*ms, 20*ms }), 3)
	arrive(s, 0, 1, time.Hour)
	took := s.Advance(2*time.Hour, nil)[1].At.Hours()
	if sd := 0.25 * math.Sqrt(2/45000.0); math.Abs(took-1.25) > 3*sd {
		t.Errorf("an hour's work took %v hours", took)
	}
}

// Endpoints that share a store know each other's keys for the window, and not after.
func TestSharedDedupStore(t *testing.T) {
	keys := NewDedupStore(20 * ms)
	a, b := New(one, 1), New(one, 2)
	a.ShareDedup(keys)
	b.ShareDedup(keys)
	var repeats []bool
	for i, s := range []*Endpoint{a, b, a, b} {
		at := time.Duration(i) * 9 * ms
		s.Arrive(at, Job{ID: uint64(i), IdempotencyKey: 1, Segments: []time.Duration{0}})
		for _, e := range s.Advance(at, nil) {
			if e.Kind == EventStarted {
				repeats = append(repeats, e.Deduplicated)
			}
		}
	}
	if !slices.Equal(repeats, []bool{false, true, true, false}) {
		t.Error(repeats)
	}
	for key := range uint64(10_000) {
		keys.SeenBefore(time.Duration(key)*ms+time.Second, key)
	}
	if len(keys.firstRuns) != 20 || keys.order.len() != 20 || cap(keys.order.items) > 200 {
		t.Errorf("%d keys, %d in order, capacity for %d", len(keys.firstRuns), keys.order.len(), cap(keys.order.items))
	}
}
