package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/handover"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/version"
)

// agentFixture is an audit agent without sockets, by a clock that the test sets.
type agentFixture struct {
	*auditAgent
	time          time.Time
	listRefreshes int // for whole lists
	settings      *config.Settings
	engine        *driver.Driver
	table         *cluster.Table
}

func newAgentFixture(t testing.TB, section config.Audit) *agentFixture {
	t.Helper()
	set, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	set.Instances, set.RetryAfter = 10, true
	eng, err := driver.New(set.Settings, 1, noConnections{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	w := &agentFixture{time: time.Now(), settings: &set, engine: eng, table: cluster.NewTable(set.ZoneNames, set.KindNames, noConnections{}, eng)}
	cfg := &config.Config{Name: "n0", Settings: set, RawSettings: testSettings}
	w.auditAgent = newAuditAgent(&section, cfg, nil, &succession{}, zerolog.Nop())
	w.start, w.wallClock, w.refreshList = w.time, func() time.Time { return w.time }, func() { w.listRefreshes++ }
	w.now = func() time.Duration { return w.time.Sub(w.start) }
	w.recordStart(cfg, eng.SetVersion)
	w.table.Versions = w
	w.auditLog.Names(func(class int, host balance.EndpointID) (string, string) {
		return set.ClassNames[class], w.table.Name(host)
	})
	return w
}

type noConnections struct{}

func (noConnections) Probe(balance.EndpointID) balance.Status { return balance.OK }
func (noConnections) CloseUnused(balance.EndpointID)          {}
func (noConnections) Set(balance.EndpointID, string)          {}
func (noConnections) SetDraining(balance.EndpointID, bool)    {}
func (noConnections) Remove(balance.EndpointID)               {}

// singleEndpointList is a list of one endpoint, whose name has the revision.
func singleEndpointList(revision int64) cluster.List {
	return cluster.List{From: "a:1", Revision: revision, Complete: true, Members: []cluster.Member{{ID: fmt.Sprint("h", revision), Addr: "127.0.0.1:1",
		Zone: "moonah", Kind: "front-std", State: balance.Ready, Weight: 1}}}
}

// Guards against a gate that lets through what must not go, or holds up what may: by script, one step after the other.
func TestGate(t *testing.T) {
	const ms = time.Millisecond
	order := func(epoch uint64, list version.Digest, ticket time.Duration) func(w *agentFixture) {
		return func(w *agentFixture) {
			o := version.Order{Minimum: version.MinimumVersion{Epoch: epoch, By: "a", Site: w.site, List: list, Revision: 1 << 40, Grace: 1000, Validity: 60000}}
			if list == 0 {
				o.Minimum.Revision = 0
			}
			if ticket > 0 {
				o.Permit = &version.Permit{Issued: version.Millis(w.time.UnixMilli()), Validity: millis(ticket)}
			}
			if err := w.Take(o); err != nil {
				t.Error(err)
			}
		}
	}
	hear := func(ago time.Duration) func(w *agentFixture) {
		return func(w *agentFixture) { w.confirmList(w.time.Add(-ago)) }
	}
	beat := func(w *agentFixture) { w.tick() }
	stop := func(*agentFixture) {} // nothing runs until the next step
	type step struct {
		after       time.Duration
		do          func(w *agentFixture)
		takes, acts bool
		state       string
	}
	for name, c := range map[string]struct {
		section config.Audit
		steps   []step
		asked   int // for the whole list
	}{
		"a stop, and a fresh list": {config.Audit{}, []step{{100 * ms, beat, true, true, version.Active}, {6 * time.Second, stop, false, false, version.Resuming},
			{10 * ms, hear(20 * ms), false, false, version.Resuming}, {30 * ms, hear(20 * ms), true, true, version.Active}}, 1},
		"a stop, and a dead list service": {config.Audit{}, []step{{6 * time.Second, stop, false, false, version.Resuming}, {1400 * ms, beat, false, false, version.Resuming},
			{200 * ms, stop, true, true, version.Active}}, 1},
		"a stop that an answer wakes from": {config.Audit{}, []step{{6 * time.Second, hear(6100 * ms), false, false, version.Resuming}}, 1},
		"a busy machine":                   {config.Audit{}, []step{{1900 * ms, stop, true, true, version.Active}}, 0},
		"a floor, no ticket": {config.Audit{Share: 0.1}, []step{{0, order(1, 99, 0), true, true, version.Active}, {500 * ms, beat, true, true, version.Active},
			{500 * ms, stop, true, true, version.Behind}, {100 * ms, beat, true, true, version.Behind}}, 1},
		"a ticket, which lapses": {config.Audit{Share: 0.1}, []step{{0, order(1, 99, 3*time.Second), true, true, version.Active}, {900 * ms, beat, true, true, version.Active},
			{100 * ms, stop, false, true, version.ShutOut}, {1900 * ms, beat, false, true, version.ShutOut}, {100 * ms, stop, true, true, version.Behind}}, 2},
		"a ticket, and the list": {config.Audit{Share: 0.1}, []step{{0, order(1, singleEndpointList(3).Digest(), 3*time.Second), true, true, version.Active}, {1000 * ms, beat, false, true, version.ShutOut},
			{0, func(w *agentFixture) { w.table.Apply(balance.ListFull, singleEndpointList(3)) }, true, true, version.Active}}, 1},
		"a share of none": {config.Audit{Share: 0.05}, []step{{0, order(1, 99, 3*time.Second), true, true, version.Active}, {1000 * ms, beat, true, true, version.Behind}}, 1},
		"alone, open":     {config.Audit{Share: 0.1, Lease: 2e9, WhenIsolated: "open"}, []step{{1000 * ms, beat, true, true, version.Active}, {1000 * ms, beat, true, true, version.Active}}, 0},
		"alone, closed": {config.Audit{Share: 0.1, Lease: 2e9, WhenIsolated: "closed"}, []step{{1900 * ms, beat, true, true, version.Active}, {100 * ms, stop, false, true, version.ShutOut},
			{100 * ms, hear(10 * ms), true, true, version.Active}, {1900 * ms, order(1, 0, 0), true, true, version.Active}, {1900 * ms, beat, true, true, version.Active}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAgentFixture(t, c.section)
			for i, s := range c.steps {
				w.time = w.time.Add(s.after)
				s.do(w)
				takes, again := w.AcceptsStreams()
				if acts := w.AllowsAttempts(); takes != s.takes || acts != s.acts || !takes && (again <= 0 || again > 2*time.Second) {
					t.Errorf("step %d: takes %v, acts %v, again %v", i, takes, acts, again)
				}
				if got := w.verdict.State; got != s.state {
					t.Errorf("step %d: %s, want %s", i, got, s.state)
				}
			}
			if w.listRefreshes != c.asked {
				t.Errorf("the whole list is asked for %d times, want %d", w.listRefreshes, c.asked)
			}
			// What was judged is noted, once each.
			last, stops := "", 0
			for _, s := range c.steps {
				if s.after > version.StopThreshold {
					stops++
				}
			}
			for _, e := range w.auditLog.Entries() {
				if e.Kind == auditlog.Stopped {
					stops--
				}
				if e.Kind == auditlog.VerdictChanged {
					if now := e.State + e.Reason; now == last {
						t.Errorf("%s is noted twice", now)
					} else {
						last = now
					}
				}
			}
			if want := w.verdict.State + w.verdict.Reason; last != want || stops != 0 {
				t.Errorf("noted last is %q, want %q; of its stops %d are not", last, want, stops)
			}
		})
	}
}

// attemptCounter counts attempts by the version that the audit log is given for each, and by endpoint.
type attemptCounter struct {
	*auditlog.Log
	mu           sync.Mutex
	counts       map[attempt]int
	endpointName func(balance.EndpointID) string
}

type attempt struct {
	under uint32
	host  string
}

func (s *attemptCounter) Sent(under uint32, class int, host balance.EndpointID, crossed bool) {
	s.Log.Sent(under, class, host, crossed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[attempt{under, s.endpointName(host)}]++
}

// Guards against an attempt that stands under a version which did not choose its host: lists, each of another host, and
// settings change while streams come. The last changes of all and the trail's totals are looked at, too.
func TestAttemptsHaveOneVersion(t *testing.T) {
	const lists = 300
	w := newAgentFixture(t, config.Audit{})
	s := &attemptCounter{Log: w.auditLog, counts: map[attempt]int{}, endpointName: w.table.Name}
	var visits atomic.Int64
	p := &stream.Proxy{Driver: w.engine, AuditLog: s, Log: zerolog.Nop(), Upstream: upstreamFunc(func() balance.Status {
		if visits.Add(1)%3 == 0 {
			return balance.ConnectFailed
		}
		return balance.OK
	})}
	w.table.Apply(balance.ListFull, singleEndpointList(1))
	var changes, streams sync.WaitGroup
	var over atomic.Bool
	changes.Go(func() {
		for n := range int64(lists) {
			w.table.Apply(balance.ListFull, singleEndpointList(n+2))
		}
	})
	changes.Go(func() {
		for n := range lists / 2 {
			cfg := &config.Config{Settings: *w.settings, RawSettings: fmt.Sprintf(`{"n":%d}`, n)}
			w.changeSettings(cfg, "file", func(under uint32) { _ = w.engine.UpdateSettings(cfg.Settings.Settings, under) })
		}
	})
	for i := range 4 {
		streams.Go(func() {
			for n := 0; !over.Load(); n++ {
				p.Serve(context.Background(), &stream.Request{Txn: fmt.Sprint(i, n), Class: 0, Deadline: time.Now().Add(time.Minute)})
			}
		})
	}
	changes.Wait()
	over.Store(true)
	streams.Wait()
	w.auditLog.Flush()
	held, total, counted := map[uint32]version.List{}, 0, 0
	for _, e := range w.auditLog.Entries() {
		if e.Kind == auditlog.Adopted {
			held[e.VersionID] = e.Version.List
		}
		for _, a := range e.Attempts {
			counted += a.N
			if l, kept := held[e.VersionID]; kept && a.Host != fmt.Sprint("h", l.Revision) {
				t.Errorf("the trail has %s under revision %d", a.Host, l.Revision)
			}
		}
	}
	wrong := 0
	for at, n := range s.counts {
		total += n
		if l, kept := held[at.under]; kept && at.host != fmt.Sprint("h", l.Revision) {
			wrong++
		}
	}
	if wrong > 0 || total == 0 || total != int(visits.Load()) {
		t.Errorf("%d of %d numbers with attempts are of another list; %d attempts, %d visits", wrong, len(s.counts), total, visits.Load())
	}
	if v, _ := w.auditLog.Version(); v.List.Revision != lists+1 || v.Settings != (&config.Config{RawSettings: fmt.Sprintf(`{"n":%d}`, lists/2-1)}).Digest() {
		t.Errorf("in the end it acts on %+v", v)
	} else if err := w.Take(version.Order{Minimum: version.MinimumVersion{Epoch: 1, By: "a", Site: w.site, List: v.List.Digest, Settings: v.Settings, Validity: 1000}}); err != nil || w.verdict.State != version.Active {
		t.Errorf("%v; of the actor, which has to know, it is %+v", err, w.verdict) // the events came to it in their order
	}
	t.Logf("%d attempts under %d numbers, %d of them still in the ring", total, len(s.counts), counted)
}

type upstreamFunc func() balance.Status

func (f upstreamFunc) Do(context.Context, balance.EndpointID, time.Time, *stream.Request) (balance.Status, stream.Response) {
	return f(), stream.Response{}
}

// awaitEnd waits until a process's last entry is on the disk and its files are closed: a Writer's Close leaves a slow disk to the background.
func awaitEnd(t *testing.T, disk persistence.Disk, incarnation string) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
		entries, _, err := auditlog.Load(disk)
		if err != nil {
			t.Fatal(err)
		}
		ended := slices.ContainsFunc(entries, func(e auditlog.Entry) bool { return e.Kind == auditlog.Ended && e.Incarnation == incarnation })
		if ended && !hasLockedFiles(t, disk) {
			return
		}
	}
	t.Fatal("the last entry doesn't reach the disk")
}

// hasLockedFiles reports whether a writer has files of the disk open.
func hasLockedFiles(t *testing.T, disk persistence.Disk) bool {
	t.Helper()
	names, err := disk.Names()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		unlock, err := disk.Lock(name)
		if err != nil {
			t.Fatal(err)
		}
		if unlock == nil {
			return true
		}
		unlock()
	}
	return false
}

// Guards against a successor that does not go on where its predecessor was: with its audit log, its epoch, and an incarnation of its own;
// handed over or read from a disk.
func TestAuditLogContinues(t *testing.T) {
	for _, from := range []string{"disk", "former"} {
		t.Run(from, func(t *testing.T) {
			disk, w, next := persistence.Dir(t.TempDir()), newAgentFixture(t, config.Audit{}), &succession{}
			if from == "disk" {
				w.auditFile = &auditlog.Writer{Disk: disk, Log: w.auditLog, OnFault: func(err error) { t.Error(err) }}
				w.auditFile.Start()
			}
			if err := w.Take(version.Order{Minimum: version.MinimumVersion{Epoch: 7, By: "a", Site: w.site, Grace: 1, Validity: 1000}}); err != nil {
				t.Fatal(err)
			}
			w.auditLog.Sent(1, 0, 1, false)
			if from == "former" {
				s := &succession{classNames: func() []string { return nil }, table: w.table, engine: w.engine, effects: inflight.New(1), audit: w.auditAgent}
				state, err := s.handoverState()
				if err != nil {
					t.Fatal(err)
				}
				next.predecessor = &handover.Predecessor{State: state}
			}
			ctx, end := context.WithCancel(context.Background())
			end()
			w.run(ctx)
			if from == "disk" {
				awaitEnd(t, disk, w.incarnation)
			}
			heir := newAuditAgent(&config.Audit{}, &config.Config{Name: "n0", Settings: *w.settings, RawSettings: testSettings}, &statePersister{disk: disk}, next, zerolog.Nop())
			past := heir.auditLog.Entries()
			heir.auditFile.Close()
			counted := 0
			for _, e := range past {
				for _, a := range e.Attempts {
					counted += a.N
				}
				if e.Kind == auditlog.Started && e.Incarnation == heir.incarnation && e.From != from {
					t.Errorf("it begins from %q", e.From)
				}
			}
			if faults := auditlog.Check(past); len(faults) > 0 || past[0].Incarnation != w.incarnation || past[len(past)-1].Incarnation != heir.incarnation || counted != 1 {
				t.Errorf("%v, %d attempts in %+v", faults, counted, past)
			}
			if err := heir.Take(version.Order{Minimum: version.MinimumVersion{Epoch: 6, By: "a", Site: w.site, Grace: 1, Validity: 1000}}); err == nil {
				t.Error("an older order is taken after that")
			}
		})
	}
}

// BenchmarkAudit is what a stream of one attempt costs between the front and the upstream side, with and without an audit, and
// what of that the gate and the trail are. On a machine that does other things, too, the processor's time tells more.
func BenchmarkAudit(b *testing.B) {
	w := newAgentFixture(b, config.Audit{})
	w.now = func() time.Duration { return time.Since(w.start) }
	w.lastHeartbeat.Store(1 << 62) // nobody beats here
	w.table.Apply(balance.ListFull, singleEndpointList(1))
	host := w.table.Snapshot().List.Members[0].Endpoint
	measure := func(name string, do func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var from, to syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
			for b.Loop() {
				do()
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
			b.ReportMetric(float64(to.Utime.Nano()+to.Stime.Nano()-from.Utime.Nano()-from.Stime.Nano())/float64(b.N), "cpu-ns/op")
		})
	}
	for _, on := range []bool{false, true} {
		p := &stream.Proxy{Driver: w.engine, Log: zerolog.Nop(), Upstream: upstreamFunc(func() balance.Status { return balance.OK })}
		if on {
			p.Gate, p.AuditLog = w, w.auditLog
		}
		measure(fmt.Sprint("stream/on=", on), func() {
			p.Serve(context.Background(), &stream.Request{Txn: "a", Deadline: time.Now().Add(time.Minute)})
		})
	}
	measure("gate", func() { w.AllowsAttempts() })
	measure("trail", func() {
		w.auditLog.Sent(1, 0, host, false)
		w.auditLog.Ended(1, 0, host, false, false)
	})
}
