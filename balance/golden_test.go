package balance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// goldenScripts are the settings of TestGoldenDecisions with their digests, recorded at commit 945ccb8. Together with
// TestRecordedDecisions they cover every random draw of the decisions.
var goldenScripts = []struct {
	name   string
	change func(s *Settings)
	rate   int // requests per hundred steps
	digest string
}{
	{"anonymous instance", func(s *Settings) {
		s.Instances, s.Rank, s.Zones = 3, 1, 2
	}, 30, "4e85197c1693e74f56264d1c017ae89544efba3db7e070b0eb553afd6aab0e66"},
	{"named instance that polls discovery", func(s *Settings) {
		s.Name, s.Instances, s.Zones, s.PollsDiscovery, s.PropagatesDeadline = "n7", 40, 2, true, true
		s.Tenants = []Tenant{{Share: 0.5, Quota: 400}, {Share: 0.5}}
	}, 30, "2fdd3f6b41020117836908bd95a0433b702f153ed3ff78c68c246a66aac1fbf2"},
	{"overload", func(s *Settings) {
		s.Name, s.Instances, s.Processes, s.MarksRetries = "n2", 2, 2, true
		s.Tenants = []Tenant{{Share: 0.5, Quota: 20}}
		s.Classes[0].Value, s.Classes[2].LateValue = 5, 0.3
	}, 70, "11ff04c5a1512e683b49f7651d562d31b8cb1964c1e19d5d567ebce29fff9ffb"},
	{"second tier with load reports", func(s *Settings) {
		s.Name, s.Tier, s.Tiers, s.ValueByWork, s.MarksRetries = "n3", 1, 2, true, true
		s.LoadFields, s.LoadInline = []LoadField{LoadInFlight, LoadUtilisation}, true
		s.Classes[1].Scope, s.Classes[0].LateValue = ScopeZone, 0.5
	}, 30, "2edf13fd4e3ce254c5afd79d70f3c7697e46847ee565e74a41e5d855e7483df0"},
	{"one of a thousand instances", func(s *Settings) {
		s.Name, s.Instances, s.Cancel, s.RetryAfter = "n900", 1000, false, false
		s.Classes[1].Scope = ScopeAll
	}, 20, "5df34b4672a9e55bef75c5bfc97d5bff152780ad6f6b73af85ec4a4e7f4e124d"},
}

// goldenRun drives one instance with every kind of event: warming and faulty endpoints, cached lists, uploads, changed
// settings and handovers to a successor process.
type goldenRun struct {
	recordedRun
	settings Settings
	requests int // requests per hundred steps
	next     RequestID
}

func (g *goldenRun) endpoints(kind ListKind) {
	var entries []Entry
	for id := EndpointID(1); id <= 14; id++ {
		e := Entry{Endpoint: id, State: Ready, Weight: 1 + float64(id%2), Zone: int(id) % 2, Cell: int(id) % 3, Kind: int(id) % 2}
		switch g.random.IntN(8) {
		case 0:
			e.State = Draining
		case 1:
			e.State = Removed
		case 2:
			e.StartedAt = g.now - time.Duration(g.random.IntN(12000)-1000)*ms
		}
		e.Cached = kind == ListCached
		if kind == ListFull || g.random.IntN(3) > 0 {
			entries = append(entries, e)
		}
	}
	g.event(Event{Kind: EventMembership, List: kind, Entries: entries})
}

func (g *goldenRun) request() {
	class := g.random.IntN(len(g.settings.Classes))
	ev := Event{Kind: EventRequest, Request: g.next, Class: class, Tenant: g.random.IntN(3), Remaining: g.settings.Classes[class].Deadline,
		ClientRetry: g.random.IntN(5) == 0, Uploading: g.random.IntN(12) == 0}
	if g.random.IntN(3) == 0 {
		ev.Remaining -= time.Duration(g.random.IntN(500)) * ms
	}
	switch g.random.IntN(12) {
	case 0:
		ev.MaxAttempts, ev.ValueShare = g.random.IntN(4)-1, g.random.Float64()
	case 1:
		ev.EarlierAttemptAt, ev.Endpoint = g.now-time.Duration(g.random.IntN(700))*ms, EndpointID(1+g.random.IntN(16))
	}
	g.next++
	g.event(ev)
}

// outcome ends a random open attempt with an outcome that depends on its endpoint: endpoint 5 fails in the second
// quarter of the run, endpoint 6 hardly answers in the third, and all are slow for 3 s in the last.
func (g *goldenRun) outcome() {
	if len(g.open) == 0 {
		return
	}
	i := g.random.IntN(len(g.open))
	a, elapsed := g.open[i], g.now-time.Hour
	if a.Endpoint == 6 && elapsed > 20*time.Second && elapsed < 30*time.Second && g.random.IntN(40) > 0 {
		return
	}
	g.open = append(g.open[:i], g.open[i+1:]...)
	ev := Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Endpoint: a.Endpoint,
		Latency: time.Duration(10+g.random.IntN(60)) * ms * time.Duration(1+a.Endpoint%3)}
	if g.random.IntN(10) == 0 || a.Endpoint == 5 && elapsed > 10*time.Second && elapsed < 20*time.Second {
		ev.Status = []Status{Error, Rejected, ConnectFailed, Reset, Timeout, Cancelled, NotSent}[g.random.IntN(7)]
		ev.RetriedBelow = g.random.IntN(6) == 0
	}
	if elapsed > 32*time.Second && elapsed < 35*time.Second {
		ev.Latency *= 5
	}
	ev.Closed = ev.Status == OK && g.random.IntN(3) > 0
	if g.settings.LoadInline {
		ev.Load = LoadReport{N: 2, V: [4]float32{float32(g.random.IntN(9)), g.random.Float32()}}
	}
	g.event(ev)
}

// handOver replaces the instance by a successor and restores the learned state there from JSON.
func (g *goldenRun) handOver(t *testing.T) {
	t.Helper()
	text, err := json.Marshal(g.instance.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	g.digest.Write(text)
	var learned LearnedState
	if err := json.Unmarshal(text, &learned); err != nil {
		t.Fatal(err)
	}
	if g.instance, err = New(g.settings, 5); err != nil {
		t.Fatal(err)
	}
	g.timers, g.open = nil, nil
	g.event(Event{Kind: EventListExpected, ExpectedIn: 3 * time.Second})
	g.request()
	g.now += time.Second
	g.endpoints(ListCached)
	learned.Age = time.Second
	g.instance.Restore(g.now, &learned)
}

// recordHealth adds the endpoints' health to the digest, with the field names at the time when the digests were recorded.
func (g *goldenRun) recordHealth(t *testing.T) {
	t.Helper()
	type condition struct {
		Endpoint      EndpointID
		Grey, Ejected bool
		Fails         float64
	}
	var conditions []condition
	for _, h := range g.instance.EndpointHealth(nil) {
		conditions = append(conditions, condition{h.Endpoint, h.Grey, h.Ejected, h.FailureRate})
	}
	text, err := json.Marshal(conditions)
	if err != nil {
		t.Fatal(err)
	}
	g.digest.Write(text)
}

func (g *goldenRun) step(t *testing.T) {
	t.Helper()
	g.fireTimers()
	switch p := g.random.IntN(100); {
	case p < g.requests:
		g.request()
	case p < 94:
		g.outcome()
	case p == 94:
		g.event(Event{Kind: EventClientDisconnected, Request: RequestID(g.random.IntN(int(g.next)))})
	case p == 95:
		g.event(Event{Kind: EventUploadDone, Request: g.next - RequestID(g.random.IntN(20))})
	case p == 96 && len(g.open) > 0:
		a := g.open[g.random.IntN(len(g.open))]
		g.event(Event{Kind: EventFirstByte, Request: a.Request, Attempt: a.Attempt})
	case p == 97 && g.random.IntN(8) == 0:
		g.endpoints([]ListKind{ListDelta, ListFull, ListFailed}[g.random.IntN(3)])
	case p == 98 && g.random.IntN(8) == 0:
		g.event(Event{Kind: EventCordon, Endpoint: EndpointID(1 + g.random.IntN(14)), Cordoned: g.random.IntN(2) == 0})
	case p == 99 && g.random.IntN(20) == 0:
		g.settings.MaxAttempts = 2 + g.random.IntN(3)
		g.settings.Processes = 1 + g.random.IntN(2)
		settings := g.settings
		g.event(Event{Kind: EventSettings, Settings: &settings})
	}
}

// Guards against unintended changes of decisions when code is renamed or moved. A commit that changes decisions on
// purpose updates the digests and describes the change.
func TestGoldenDecisions(t *testing.T) {
	for i, script := range goldenScripts {
		t.Run(script.name, func(t *testing.T) {
			settings := testSettings()
			script.change(&settings)
			b, err := New(settings, uint64(20+i))
			if err != nil {
				t.Fatal(err)
			}
			g := &goldenRun{settings: settings, requests: script.rate, next: 1}
			g.instance, g.random, g.now, g.digest = b, rand.New(rand.NewPCG(uint64(i), 77)), time.Hour, sha256.New()
			g.event(Event{Kind: EventListExpected, ExpectedIn: 2 * time.Second})
			g.request()
			g.endpoints(ListCached)
			for handedOver := false; g.now < time.Hour+40*time.Second; g.now += 2 * ms {
				if !handedOver && g.now > time.Hour+15*time.Second {
					handedOver = true
					g.handOver(t)
				}
				if g.now == time.Hour+25*time.Second {
					g.now += 200 * ms // a pause in which the process is not scheduled
				}
				g.step(t)
			}
			g.handOver(t)
			g.recordHealth(t)
			if got := hex.EncodeToString(g.digest.Sum(nil)); got != script.digest {
				t.Errorf("%d actions, digest %s, want %s", g.count, got, script.digest)
			}
		})
	}
}
