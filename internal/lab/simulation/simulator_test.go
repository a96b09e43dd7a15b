package simulation

import (
	"errors"
	"flag"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/scenarios"
)

// CI has to come to the same result every time; -rapid.seed=0 searches further.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "25")); err != nil {
		panic(err)
	}
}

func load(t testing.TB, name, more string) *scenario.Scenario {
	t.Helper()
	text, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(name, append(text, more...))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t testing.TB, s *scenario.Scenario, seed uint64) (*plan.Plan, *trace.Log) {
	t.Helper()
	p, err := plan.Build(s, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	l, err := Play(p)
	if err != nil {
		t.Fatal(err)
	}
	return p, l
}

func TestSameSeedSameTrace(t *testing.T) {
	for _, name := range []string{"bad-morning", "two-tiers", "rolling-restart", "flap"} {
		_, a := play(t, load(t, name, ""), 5)
		_, b := play(t, load(t, name, ""), 5)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: the same seed gives two traces", name)
		}
	}
}

// checkTrace checks the invariants of every trace: each attempt ends once, in order; requests at endpoints belong to
// attempts; work adds up.
func checkTrace(t rapid.TB, p *plan.Plan, l *trace.Log) {
	attemptsByID := map[uint64]*trace.ClientAttempt{}
	attemptCounts := make([]int, len(p.Requests))
	for i := range l.ClientAttempts {
		attempt := &l.ClientAttempts[i]
		if attemptsByID[attempt.TransactionID] != nil {
			t.Fatalf("id %x twice", attempt.TransactionID)
		}
		attemptsByID[attempt.TransactionID] = attempt
		if attempt.Ended == trace.Unset || attempt.Ended < attempt.Sent || attempt.Ended > attempt.Sent+attempt.Timeout+p.Scenario.Rules.ResponseSlack.D() {
			t.Fatalf("an attempt sent at %v with a time-out of %v ended at %v, %v", attempt.Sent, attempt.Timeout, attempt.Ended, attempt.Status)
		}
		if attempt.Tier == 0 {
			if attempt.Number != attemptCounts[attempt.Request] {
				t.Fatalf("attempt %d of request %d comes after %d others", attempt.Number, attempt.Request, attemptCounts[attempt.Request])
			}
			attemptCounts[attempt.Request]++
		}
	}
	for i, n := range attemptCounts {
		if n == 0 || n > p.Requests[i].MaxRetries+1 {
			t.Fatalf("request %d had %d attempts", i, n)
		}
	}
	requestCounts := map[uint64]int{}
	for i := range l.EndpointRequests {
		request := &l.EndpointRequests[i]
		attempt := attemptsByID[request.TransactionID]
		if attempt == nil || request.LastByte < attempt.Sent {
			t.Fatalf("a request without an attempt, or before it was sent: %+v", request)
		}
		if request.Started != trace.Unset && request.Started < request.LastByte || request.Ended != trace.Unset && request.Ended < request.LastByte {
			t.Fatalf("out of order: %+v", request)
		}
		if requestCounts[request.TransactionID]++; requestCounts[request.TransactionID] > p.Scenario.Rules.MaxAttempts {
			t.Fatalf("%d attempts of one id", requestCounts[request.TransactionID])
		}
	}
	served := map[uint64]bool{}
	for i := range l.EndpointRequests {
		request := &l.EndpointRequests[i]
		served[request.TransactionID] = served[request.TransactionID] || request.Outcome == trace.OutcomeOK
	}
	for i := range l.ClientAttempts {
		if attempt := &l.ClientAttempts[i]; attempt.Status == trace.StatusServed && !served[attempt.TransactionID] {
			t.Fatalf("served without a request that was: %+v", attempt)
		}
	}
	last := map[int]trace.Sample{}
	for _, s := range l.Samples {
		was := last[s.Endpoint]
		decreased := s.SentWork < was.SentWork || s.DoneWork < was.DoneWork || s.PossibleWork < was.PossibleWork
		if decreased || s.DoneWork > s.PossibleWork+time.Millisecond {
			t.Fatalf("endpoint %d does more than possible, or less than before: %+v after %+v", s.Endpoint, s, was)
		}
		last[s.Endpoint] = s
	}
}

// TestAnyScenario plays random scenarios and checks the invariants.
func TestAnyScenario(t *testing.T) {
	base := load(t, "two-tiers", "")
	one := load(t, "calm", "")
	kinds := []string{"vanish", "hang", "fail", "slow", "refuse", "cut", "spoil", "drip", "mute", "crash", "drain", "leave", "flap",
		"discovery_silent", "discovery_late", "sidecar_kill", "sidecar_stop"}
	rapid.Check(t, func(t *rapid.T) {
		s := *one
		if rapid.Bool().Draw(t, "two tiers") {
			s = *base
		}
		s.Length, s.Faults, s.Expectations = scenario.Span(4*time.Second), nil, nil
		s.Clients.Load = rapid.SampledFrom([]float64{0.1, 0.5, 1.5}).Draw(t, "load")
		s.Clients.HonorRetryAfter = 0.5
		s.Fleet.Sidecars = rapid.IntRange(1, 4).Draw(t, "sidecars")
		s.Fleet.Start = rapid.SampledFrom([]string{"before", "with"}).Draw(t, "start")
		s.Fleet.InitialList = rapid.SampledFrom([]string{"fresh", "none", "stale"}).Draw(t, "known")
		s.Fleet.Policy = rapid.SampledFrom([]string{"pinelb", "pinelb", "plain"}).Draw(t, "policy")
		s.Rules.PropagatesDeadline = rapid.Bool().Draw(t, "passes deadline")
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			ms := func(label string, most int) scenario.Span {
				return scenario.Span(time.Duration(rapid.IntRange(1, most).Draw(t, label)) * time.Millisecond)
			}
			f := scenario.Fault{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: ms("at", 3500), Duration: ms("for", 3000),
				Tier: rapid.SampledFrom(s.Tiers).Draw(t, "tier").Name, Endpoints: 2, Size: 0.6, RecoveryDelay: ms("back", 1000)}
			switch f.Kind {
			case "slow":
				f.Size = 3
			case "flap":
				f.Target, f.Up, f.Down, f.Size = rapid.SampledFrom(kinds[:10]).Draw(t, "of"), ms("up", 300)+10, ms("down", 300)+10, 1
			}
			s.Faults = append(s.Faults, f)
		}
		p, err := plan.Build(&s, rapid.Uint64().Draw(t, "seed"), nil)
		if err != nil {
			t.Fatal(err)
		}
		l, err := Play(p)
		if err != nil {
			t.Fatal(err)
		}
		checkTrace(t, p, l)
	})
}

// shares counts the clients' attempts by their status.
func shares(l *trace.Log) map[trace.Status]float64 {
	out := map[trace.Status]float64{}
	for i := range l.ClientAttempts {
		if l.ClientAttempts[i].Tier == 0 {
			out[l.ClientAttempts[i].Status]++
		}
	}
	return out
}

func TestCalmIsServed(t *testing.T) {
	p, l := play(t, load(t, "calm", ""), 1)
	checkTrace(t, p, l)
	got := shares(l)
	if all := float64(len(l.ClientAttempts)); (got[trace.StatusServed]+got[trace.StatusCanceled])/all < 0.995 {
		t.Errorf("%v of %v", got, all)
	}
}

// Each fault shows in the trace.
func TestFaultsLeaveTheirTrace(t *testing.T) {
	calm := shares(func() *trace.Log { _, l := play(t, load(t, "calm", ""), 1); return l }())
	for fault, seen := range map[string]func(l *trace.Log) bool{
		"hang":                                        func(l *trace.Log) bool { return ends(l, trace.OutcomeCanceled, 8) > 3 },
		"mute\"\nsize = 0.5 #\"":                      func(l *trace.Log) bool { return ends(l, trace.OutcomeCanceled, 8) > 3 },
		"fail\"\nsize = 0.9 #\"":                      func(l *trace.Log) bool { return ends(l, trace.OutcomeError, 8) > 3 },
		"cut\"\nsize = 0.9 #\"":                       func(l *trace.Log) bool { return ends(l, trace.OutcomeCorrupted, 8) > 3 },
		"spoil\"\nsize = 0.9 #\"":                     func(l *trace.Log) bool { return ends(l, trace.OutcomeCorrupted, 8) > 3 },
		"drip\"\nsize = 0.9 #\"":                      func(l *trace.Log) bool { return ends(l, trace.OutcomeCorrupted, 8) > 3 },
		"mute\"\nsize = 0.5\nby = \"connection\" #\"": func(l *trace.Log) bool { return ends(l, trace.OutcomeCanceled, 8) > 3 },
		"fail\"\nsize = 0.9\nabove = 1 #\"":           func(l *trace.Log) bool { return ends(l, trace.OutcomeError, 8) > 3 },
		"mute\"\nsize = 0.9\nclass = \"order-status\" #\"": func(l *trace.Log) bool {
			return ends(l, trace.OutcomeCanceled, 8) > 3 && ends(l, trace.OutcomeOK, 8) > 3
		},
		"crash":  func(l *trace.Log) bool { return idle(l, 8, 6*time.Second, 9*time.Second) },
		"vanish": func(l *trace.Log) bool { return idle(l, 8, 6*time.Second, 9*time.Second) },
		"leave":  func(l *trace.Log) bool { return idle(l, 8, 6*time.Second, 19*time.Second) },
		"slow\"\nsize = 3.0 #\"": func(l *trace.Log) bool {
			return did(l, 8, 5*time.Second, 10*time.Second) < 0.5*did(l, 8, 0, 5*time.Second)
		},
		"drain\"\ngrace=\"6s\" #\"": func(l *trace.Log) bool { return idle(l, 8, 12*time.Second, 19*time.Second) },
	} {
		_, l := play(t, load(t, "calm", "\n[[fault]]\nnames = [\"order-9\"]\nat = \"5s\"\nfor = \"5s\"\nkind = \""+fault+"\""), 1)
		if !seen(l) {
			t.Errorf("%s: no trace of it; attempts ended %v, without it %v", fault, shares(l), calm)
		}
	}
}

func ends(l *trace.Log, outcome trace.Outcome, endpoint int) (n int) {
	for i := range l.EndpointRequests {
		if v := &l.EndpointRequests[i]; v.Endpoint == endpoint && v.Outcome == outcome && v.LastByte > 5*time.Second && v.LastByte < 10*time.Second {
			n++
		}
	}
	return n
}

// did returns the work that an endpoint did in a window, in seconds.
func did(l *trace.Log, endpoint int, from, to time.Duration) float64 {
	var first, last time.Duration
	for _, s := range l.Samples {
		if s.Endpoint == endpoint && s.At <= from {
			first = s.DoneWork
		}
		if s.Endpoint == endpoint && s.At <= to {
			last = s.DoneWork
		}
	}
	return (last - first).Seconds()
}

func idle(l *trace.Log, endpoint int, from, to time.Duration) bool {
	return did(l, endpoint, from, to) == 0
}

// A paused sidecar responds to nothing, and to all that it missed when it continues; clients in a hurry have shorter time-outs.
func TestPauseAndHurry(t *testing.T) {
	p, l := play(t, load(t, "calm", "\n[[fault]]\nkind = \"sidecar_pause\"\nat = \"5s\"\nfor = \"400ms\"\nshare = 1.0"+
		"\n[[fault]]\nkind = \"hurry\"\nat = \"10s\"\nfor = \"5s\"\nsize = 0.5\nleft = 0.3"), 1)
	paused, after, hurried, due := 0, 0, 0, 0
	for i := range l.ClientAttempts {
		t := &l.ClientAttempts[i]
		if t.Status == trace.StatusServed && t.Ended > 5*time.Second+time.Millisecond && t.Ended < 5400*time.Millisecond {
			paused++
		}
		if t.Ended >= 5400*time.Millisecond && t.Ended < 5410*time.Millisecond {
			after++
		}
		if t.Due > 10*time.Second && t.Due < 15*time.Second && t.Number == 0 {
			due++
			if k := p.Scenario.Classes[t.Class]; t.Timeout < time.Duration(0.31*p.Scenario.Clients.AttemptTimeoutShare*float64(k.Deadline)) {
				hurried++
			}
		}
	}
	if paused > 0 || after < 10 {
		t.Errorf("%d responses in the pause, %d right after it", paused, after)
	}
	if share := float64(hurried) / float64(due); share < 0.45 || share > 0.55 {
		t.Errorf("%.2f of the clients are in a hurry", share)
	}
}

// A graceful shutdown loses no attempt, and a kill does.
func TestSidecarShutdownAndKill(t *testing.T) {
	_, l := play(t, load(t, "rolling-restart", ""), 1)
	if got := shares(l); got[trace.StatusDisconnected] > 0 {
		t.Errorf("a graceful shutdown breaks %v attempts", got[trace.StatusDisconnected])
	}
	ended := 0
	for _, c := range l.SidecarEvents {
		if c.Kind == trace.SidecarExited {
			ended++
		}
	}
	if ended != 3 {
		t.Errorf("%d of 3 exited by themselves: %v", ended, l.SidecarEvents)
	}
	_, l = play(t, load(t, "calm", "\n[[fault]]\nkind = \"sidecar_kill\"\nat = \"5s\"\nback = \"1s\""), 1)
	if got := shares(l); got[trace.StatusDisconnected] == 0 || got[trace.StatusConnectFailed] == 0 {
		t.Errorf("after a kill, attempts ended %v", got)
	}
}

// Sidecars are notified at the times of the plan, and of everything in it.
func TestNotificationsFollowThePlan(t *testing.T) {
	p, l := play(t, load(t, "hang-while-cold", ""), 1)
	want := map[time.Duration]int{}
	for _, e := range p.Events {
		if e.Kind == plan.NotifySidecar {
			want[e.At]++
		}
	}
	for _, notification := range l.Notifications {
		if notification.At > 0 {
			want[notification.At]--
		}
	}
	for at, n := range want {
		if n != 0 {
			t.Errorf("at %v: %d entries were not notified", at, n)
		}
	}
}

func benchmark(b *testing.B, policy string, sidecars int) {
	s := load(b, "calm", "")
	s.Fleet.Policy, s.Fleet.Sidecars = policy, sidecars
	s.Length = scenario.Span(60 * time.Second)
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Play(p); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(p.Requests)*b.N)/b.Elapsed().Seconds(), "requests/s")
}

// The first is how fast the player is; the others mostly how fast the decision module is.
func BenchmarkPlain(b *testing.B)         { benchmark(b, "plain", 1) }
func BenchmarkTwoSidecars(b *testing.B)   { benchmark(b, "pinelb", 2) }
func BenchmarkFiftySidecars(b *testing.B) { benchmark(b, "pinelb", 50) }

// A fault between processes is rejected with an error that callers can recognize.
func TestFaultsBetweenProcessesAreRejected(t *testing.T) {
	s := load(t, "calm", "\n[[fault]]\nkind = \"link_cut\"\nof = \"list\"\nat = \"1s\"")
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Play(p); !errors.Is(err, ErrNeedsProcesses) {
		t.Errorf("%v, want %v", err, ErrNeedsProcesses)
	}
}
