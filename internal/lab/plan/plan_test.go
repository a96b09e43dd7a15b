package plan

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/scenarios"
)

func load(t *testing.T, name string, more ...string) *scenario.Scenario {
	t.Helper()
	text, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(name, append(text, strings.Join(append([]string{""}, more...), "\n")...))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func build(t *testing.T, s *scenario.Scenario, seed uint64) *Plan {
	t.Helper()
	p, err := Build(s, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSameSeedSamePlan(t *testing.T) {
	for _, name := range []string{"bad-morning", "two-tiers", "flap", "power-dip"} {
		a, b := build(t, load(t, name), 7).Bytes(), build(t, load(t, name), 7).Bytes()
		if !bytes.Equal(a, b) {
			t.Errorf("%s: the same seed gives two plans", name)
		}
		if bytes.Equal(a, build(t, load(t, name), 8).Bytes()) {
			t.Errorf("%s: two seeds give the same plan", name)
		}
	}
}

// A change of one part of a scenario leaves the draws of the others, so that runs can be compared.
func TestPartsDrawIndependently(t *testing.T) {
	a := build(t, load(t, "calm"), 7)
	b := build(t, load(t, "calm", "[[fault]]", `kind = "hang"`, "boxes = 2", `at = "3s"`, `for = "2s"`), 7)
	for i := range a.Requests {
		if a.Requests[i] != b.Requests[i] {
			t.Fatalf("a fault changes request %d", i)
		}
	}
	if a.Endpoints[0].Spec != b.Endpoints[0].Spec || a.Sidecars[0].Seed != b.Sidecars[0].Seed || a.TransactionID(3, 1) != b.TransactionID(3, 1) {
		t.Error("a fault changes endpoints, seeds or ids")
	}
}

func TestDrawsFollowTheScenario(t *testing.T) {
	s := load(t, "calm")
	s.Length = scenario.Span(10 * time.Minute)
	p := build(t, s, 1)
	expected := p.Capacity * s.Clients.Load * s.Length.D().Seconds()
	if n := float64(len(p.Requests)); math.Abs(n-expected) > 4*math.Sqrt(expected) {
		t.Errorf("%.0f requests, want about %.0f", n, expected)
	}
	count, work, canceled := make([]float64, 4), make([]float64, 4), 0.0
	for _, r := range p.Requests {
		count[r.Class]++
		work[r.Class] += r.Work.Seconds()
		if r.CancelAfter > 0 {
			canceled++
		}
	}
	for i, c := range s.Classes {
		if share := count[i] / float64(len(p.Requests)); math.Abs(share-c.Share/100) > 0.01 {
			t.Errorf("%s: share %.3f, want %.2f", c.Name, share, c.Share/100)
		}
		if mean := work[i] / count[i]; math.Abs(mean/c.Work.D().Seconds()-1) > 0.05 {
			t.Errorf("%s: mean work %.4f s, want %v", c.Name, mean, c.Work.D())
		}
	}
	if share := canceled / float64(len(p.Requests)); math.Abs(share-s.Clients.CancelShare) > 0.005 {
		t.Errorf("%.3f cancel, want %v", share, s.Clients.CancelShare)
	}
	picks := make([]float64, len(p.Sidecars))
	for i := range 10000 {
		picks[p.ChooseSidecar(i, 0, func(int) bool { return true })]++
		if one := p.ChooseSidecar(i, 0, func(i int) bool { return i == 1 }); one != 1 {
			t.Fatalf("the front chose %d, which it has not admitted", one)
		}
	}
	if math.Abs(picks[0]/10000-0.5) > 0.03 {
		t.Errorf("the front gives the first of two %v of 10000", picks[0])
	}
}

// notificationsOf are a sidecar's notifications of an endpoint, in order.
func notificationsOf(p *Plan, sidecar int, endpoint string) (out []Event) {
	for _, e := range p.Events {
		if e.Kind == NotifySidecar && e.Sidecar == sidecar && p.Endpoints[e.Entry.Endpoint].Name == endpoint {
			out = append(out, e)
		}
	}
	return out
}

func TestDiscoveryNotifications(t *testing.T) {
	const quiet = "[discovery]\nadd = \"500ms\"\nnotice = \"1s\"\nsilent = \"6s\"\nspread = \"0s\""
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	type notification struct {
		at    time.Duration
		phase trace.Phase
		up    time.Duration
	}
	for name, c := range map[string]struct {
		fault string
		want  []notification
	}{
		"crash, longer than it takes to notice": {`kind = "crash"
at = "4s"
for = "3s"`, []notification{{at(5), trace.PhaseGone, 0}, {at(7.5), trace.PhaseReady, at(7)}}},
		"crash, shorter": {`kind = "crash"
at = "4s"
for = "500ms"`, []notification{{at(5), trace.PhaseReady, at(4.5)}}},
		"vanish, unnoticed": {`kind = "vanish"
at = "4s"
for = "5s"`, []notification{{at(9.5), trace.PhaseReady, at(9)}}},
		"drain and back": {`kind = "drain"
at = "4s"
grace = "4s"
back = "2s"`, []notification{{at(5), trace.PhaseTerminating, 0}, {at(9), trace.PhaseGone, 0}, {at(10.5), trace.PhaseReady, at(10)}}},
		"left, its entry stays": {`kind = "leave"
at = "4s"
for = "9s"`, []notification{{at(13), trace.PhaseGone, 0}}},
		"hang, never noticed": {`kind = "hang"
at = "4s"`, nil},
		"flap, faster than it is noticed": {`kind = "flap"
of = "crash"
at = "4s"
for = "2s"
down = "500ms"
up = "500ms"`, []notification{{at(5), trace.PhaseReady, at(4.5)}, {at(6), trace.PhaseReady, at(5.5)}}},
		"held back while discovery is suspended": {`kind = "crash"
at = "4s"
for = "500ms"
[[fault]]
kind = "discovery_silent"
at = "3s"
for = "6s"`, []notification{{at(9), trace.PhaseReady, at(4.5)}}},
	} {
		s := load(t, "calm", quiet, "[[fault]]", `names = ["order-3"]`, c.fault)
		got := notificationsOf(build(t, s, 1), 1, "order-3")
		if len(got) != len(c.want) {
			t.Errorf("%s: %d notifications, want %d: %+v", name, len(got), len(c.want), got)
			continue
		}
		for i, w := range c.want {
			if e := got[i]; e.At != w.at || e.Entry.Phase != w.phase || e.Entry.StartedAt != w.up {
				t.Errorf("%s: %v at %v, up since %v; want %+v", name, e.Entry.Phase, e.At, e.Entry.StartedAt, w)
			}
		}
	}
}

// An endpoint's own sidecar exits and starts with it.
func TestSidecarsFollowTheirEndpoints(t *testing.T) {
	p := build(t, load(t, "two-tiers"), 1)
	var kinds []EventKind
	for _, e := range p.Events {
		if e.Sidecar >= 0 && p.Sidecars[e.Sidecar].Endpoint >= 0 && e.Kind != NotifySidecar {
			kinds = append(kinds, e.Kind)
		}
	}
	if len(kinds) != 2 || kinds[0] != KillSidecar || kinds[1] != StartSidecar {
		t.Errorf("a front endpoint's crash gives its sidecar the events %v", kinds)
	}
	calls := 0
	for i := range p.Requests {
		n := len(p.Segments(nil, i, p.TransactionID(i, 0), 0, 0)) - 1
		if n != p.CallCount(i, 0, 0) || n < 1 || n > 2 {
			t.Fatalf("request %d makes %d calls", i, n)
		}
		calls += n
	}
	if mean := float64(calls) / float64(len(p.Requests)); math.Abs(mean-1.5) > 0.05 {
		t.Errorf("%.3f calls a request, want 1.5", mean)
	}
}

func TestRetriesFollowIdempotency(t *testing.T) {
	p := build(t, load(t, "calm"), 1)
	first := map[string]int{}
	for i := len(p.Requests) - 1; i >= 0; i-- {
		first[p.Scenario.Classes[p.Requests[i].Class].Name] = i
	}
	for _, c := range []struct {
		class  string
		status trace.Status
		no     int
		after  time.Duration // from its due time to the try's end
		again  bool
	}{
		{"order-status", trace.StatusServed, 0, time.Millisecond, false},
		{"order-status", trace.StatusCanceled, 0, time.Millisecond, false},
		{"order-status", trace.StatusFailed, 0, time.Millisecond, true},
		{"order-status", trace.StatusFailed, 3, time.Millisecond, false},
		{"order-status", trace.StatusFailed, 0, 1450 * time.Millisecond, false}, // no time is left after the wait
		{"place-order", trace.StatusTimedOut, 0, 1400 * time.Millisecond, true},
		{"remake-charge", trace.StatusTimedOut, 0, time.Millisecond, false},
		{"remake-charge", trace.StatusFailed, 0, time.Millisecond, false},
		{"remake-charge", trace.StatusDisconnected, 0, time.Millisecond, false},
		{"remake-charge", trace.StatusRejected, 0, time.Millisecond, true},
		{"remake-charge", trace.StatusConnectFailed, 0, time.Millisecond, true},
	} {
		i := first[c.class]
		due := p.Requests[i].Due
		_, again := p.NextRetry(&trace.ClientAttempt{Request: i, Number: c.no, Status: c.status, Ended: due + c.after}, due)
		if again != c.again {
			t.Errorf("%s, try %d, %v: again %v", c.class, c.no, c.status, again)
		}
	}
	i := first["remake-charge"]
	p.Requests[i].HonorsRetryAfter = true
	due := p.Requests[i].Due
	at, _ := p.NextRetry(&trace.ClientAttempt{Request: i, Status: trace.StatusRejected, Ended: due, RetryAfter: 600 * time.Millisecond}, due)
	if at != due+600*time.Millisecond {
		t.Errorf("a client that honors Retry-After retries after %v", at-due)
	}
}

func TestRecordedArrivals(t *testing.T) {
	s := load(t, "calm")
	p, err := Build(s, 1, []Arrival{{At: 2 * time.Second, Class: 3, Timeout: 700 * time.Millisecond, IsRetry: true}, {At: time.Second, Class: 0, Timeout: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	r := p.Requests[1]
	if len(p.Requests) != 2 || r.Due != 2*time.Second || r.Class != 3 || !r.IsRetry || r.MaxRetries != 0 || p.AttemptTimeout(1, r.Due) != 700*time.Millisecond {
		t.Errorf("played as %+v", r)
	}
	if _, err := Build(s, 1, []Arrival{{Class: 4}}); err == nil {
		t.Error("an unknown class was accepted")
	}
}

func TestAddedEndpointsAreAbsentBefore(t *testing.T) {
	s := load(t, "calm", "[[fault]]", `kind = "add"`, "boxes = 2", `at = "5s"`)
	s.Tiers[0].Kinds[1].Start = "absent"
	p := build(t, s, 1)
	starts := 0
	for _, e := range p.Events {
		if e.Kind == StartEndpoint {
			starts++
			if p.Endpoints[e.Endpoint].Start != "absent" || e.At != 5*time.Second || p.Endpoints[e.Endpoint].StartAt != e.At {
				t.Errorf("%+v starts %+v", e, p.Endpoints[e.Endpoint])
			}
		}
	}
	if starts != 2 || len(p.InitialMembers(0)) != 4 || len(p.Sidecars[0].InitialList) != 4 {
		t.Errorf("%d endpoints start, %d are listed first", starts, len(p.InitialMembers(0)))
	}
	for i := range p.Endpoints {
		if b := &p.Endpoints[i]; b.Start == "warm" && b.StartAt != model.Never {
			t.Errorf("%s starts at %v", b.Name, b.StartAt)
		}
	}
}
