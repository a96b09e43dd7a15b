package driver

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// Guards against a health check whose result never reaches the decisions, or connections kept open that they close.
func TestConnectionActions(t *testing.T) {
	d := newTestDriver(t, 1)
	asked := make(chan balance.EndpointID)
	d.conns = recordedCalls(asked)
	for i, kind := range []balance.ActionKind{balance.ActHealthCheck, balance.ActCloseIdle} {
		d.mu.Lock()
		d.carryOut(&balance.Action{Kind: kind, Endpoint: balance.EndpointID(i + 5)})
		d.mu.Unlock()
		if got := <-asked; got != balance.EndpointID(i+5) {
			t.Errorf("action %d was for endpoint %d", kind, got)
		}
	}
}

type recordedCalls chan balance.EndpointID

func (a recordedCalls) Probe(id balance.EndpointID) balance.Status { a <- id; return balance.OK }
func (a recordedCalls) CloseUnused(id balance.EndpointID)          { a <- id }

type noConnections struct{}

func (noConnections) Probe(balance.EndpointID) balance.Status { return balance.OK }
func (noConnections) CloseUnused(balance.EndpointID)          {}

func newTestDriver(t *testing.T, hosts ...balance.EndpointID) *Driver {
	t.Helper()
	d, err := New(balance.Settings{Instances: 1, Classes: []balance.Class{
		{TargetLatency: time.Minute, Deadline: time.Minute, Idempotency: balance.Idempotent, Value: 1},
		{TargetLatency: time.Minute, Deadline: time.Minute, Idempotency: balance.NonIdempotent, Value: 1},
	}, MaxAttempts: 4, Cancel: true, Hedging: true, WarmupInitialShare: 0.3, WarmupDuration: time.Second, CollapseMultiple: 2,
		CollapseWindow: time.Second}, 1, noConnections{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var entries []balance.Entry
	for _, h := range hosts {
		entries = append(entries, balance.Entry{Endpoint: h, State: balance.Ready, Weight: 1})
	}
	d.Membership(balance.ListFull, entries, 0)
	return d
}

func (d *Driver) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.streams)
}

// Guards against a stream with two answers, or an attempt with two outcomes.
func TestOneFinalAnswer(t *testing.T) {
	d := newTestDriver(t, 1, 2)
	s := d.Open(context.Background(), Request{Remaining: time.Minute})
	send := <-s.Sends()
	if !s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("the first answer was not the stream's")
	}
	if s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("a second outcome of one attempt was taken")
	}
	if out := s.outNow(); out != 0 {
		t.Errorf("%d attempts are open", out)
	}
	if ended, _ := s.Abandon(); ended {
		t.Error("an answered stream was ended again")
	}
	s.Close()
	if len(s.LocalReply()) != 0 || d.open() != 0 {
		t.Errorf("%d local replies to an answered stream, %d streams open", len(s.LocalReply()), d.open())
	}
}

// Guards against a late answer reaching a client that has gone, and against the stream being kept.
func TestLateAnswer(t *testing.T) {
	d := newTestDriver(t, 1)
	s := d.Open(context.Background(), Request{Remaining: time.Minute})
	send := <-s.Sends()
	if ended, sent := s.Abandon(); !ended || !sent {
		t.Errorf("ended %v, sent %v, want both", ended, sent)
	}
	<-send.Ctx.Done() // the decisions have cancelled the attempt
	if d.open() != 1 {
		t.Error("the stream was forgotten before its attempt had its outcome")
	}
	if s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("an answer after the end was taken")
	}
	if d.open() != 0 {
		t.Error("the stream was kept after its last outcome")
	}
}

// Guards against a send that nobody takes: without an outcome the decisions would count it as open for ever.
func TestUntakenSendsHaveOutcome(t *testing.T) {
	d := newTestDriver(t, 1)
	s := d.Open(context.Background(), Request{Remaining: time.Minute})
	if len(s.Sends()) != 1 {
		t.Fatalf("%d sends, want 1", len(s.Sends()))
	}
	s.Close()
	if d.open() != 0 {
		t.Error("a send that was never started has no outcome")
	}
	d.mu.Lock()
	s.carryOut(&balance.Action{Kind: balance.ActSend, Request: s.id, Endpoint: 1}) // by faulty decisions
	d.mu.Unlock()
	for s.outNow() != 0 { // another goroutine reports its outcome
		runtime.Gosched()
	}
	if len(s.Sends()) != 0 {
		t.Error("a send for an ended stream was handed out")
	}
}

func (s *Stream) outNow() int {
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	return s.openAttempts
}

// Guards against a panic in the decisions taking the sidecar, or any stream's answer, with it.
func TestPanicInDecisions(t *testing.T) {
	d := newTestDriver(t, 1, 2)
	before := d.Open(context.Background(), Request{Class: 1, Remaining: time.Minute})
	send := <-before.Sends()
	d.mu.Lock()
	d.balancer = nil // the next event panics
	d.mu.Unlock()
	during := d.Open(context.Background(), Request{Remaining: time.Minute})
	if v := <-during.LocalReply(); !v.Rejected {
		t.Error("a stream that was never sent was not rejected")
	}
	if v := <-before.LocalReply(); v.Rejected {
		t.Error("a stream that may have run was rejected")
	}
	<-send.Ctx.Done()
	if before.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("a stream that had its answer took another")
	}
	after := d.Open(context.Background(), Request{Remaining: time.Minute})
	if !after.ReportOutcome((<-after.Sends()).Attempt, Outcome{Status: balance.OK, Final: true}) { // the cluster is still known
		t.Error("no stream is served after a panic")
	}
}

// Guards against a panic that loses what was learned, and against one that what was learned causes again and again.
func TestPanicKeepsLearnedState(t *testing.T) {
	d := newTestDriver(t, 1, 2)
	serve := func() {
		s := d.Open(context.Background(), Request{Remaining: time.Minute})
		send := <-s.Sends()
		for from := d.now(); d.now() < from+10*time.Microsecond; { // no real answer is quicker, and such are not accepted
		}
		s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true})
	}
	known := func() (n float64) {
		for _, h := range d.State().Learned.Endpoints {
			n += h.Latency.N
		}
		return n
	}
	panics := func() { d.Open(context.Background(), Request{Class: -1, Remaining: time.Minute}) }
	serve()
	panics()
	if known() == 0 || d.generation != 1 {
		t.Errorf("after a panic %v answers are known, in generation %d", known(), d.generation)
	}
	panics()
	if known() != 0 || d.generation != 2 {
		t.Errorf("after another one at once %v answers are known, in generation %d", known(), d.generation)
	}
	serve()
	d.lastPanic -= minStableTime
	if panics(); known() == 0 {
		t.Error("nothing is known after one that comes late")
	}
}

// Guards against a clock that can't be compared with discovery's start times, or that runs backwards.
func TestClock(t *testing.T) {
	d := newTestDriver(t)
	from := time.Duration(time.Now().Add(-time.Minute).UnixNano())
	a, b := d.now(), d.now()
	if a < from || a > from+2*time.Minute || b < a {
		t.Errorf("the clock shows %v then %v; Unix time is %v later than 1970", a, b, from)
	}
}

// Guards against a send under a version that did not choose its endpoint: each list here has one endpoint, of the same
// number, and settings change meanwhile, under the version of the list.
func TestSendsMatchVersion(t *testing.T) {
	d := newTestDriver(t)
	var changes, streams sync.WaitGroup
	var over atomic.Bool
	var sends, wrong atomic.Int64
	changes.Go(func() {
		for under := uint32(1); under <= 5000; under++ {
			d.Membership(balance.ListFull, []balance.Entry{{Endpoint: balance.EndpointID(under), State: balance.Ready, Weight: 1}}, under)
			if err := d.UpdateSettings(d.settings, under); err != nil {
				t.Error(err)
			}
			d.Membership(balance.ListDelta, nil, 0) // changes nothing
		}
	})
	for range 4 {
		streams.Go(func() {
			for !over.Load() {
				s := d.Open(context.Background(), Request{Remaining: time.Minute})
				select {
				case send := <-s.Sends():
					sends.Add(1)
					if send.Endpoint != balance.EndpointID(send.Version) {
						wrong.Add(1)
					}
					s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true})
				default: // it waits for an endpoint
				}
				s.Close()
			}
		})
	}
	changes.Wait()
	over.Store(true)
	streams.Wait()
	if sends.Load() == 0 || wrong.Load() > 0 {
		t.Errorf("%d of %d sends have the version of another list", wrong.Load(), sends.Load())
	}
	t.Logf("%d sends", sends.Load())
}

// Guards against a tenant that is rejected for what another has used up, and against requests of none that the settings know
// being counted as the first one's.
func TestTenants(t *testing.T) {
	d := newTestDriver(t) // nobody to send to, so that what comes waits, and what is over its quota is rejected
	s := d.settings
	s.Tenants = []balance.Tenant{{Share: 0.5, Quota: 1}, {Share: 0.5, Quota: 1}}
	if err := d.UpdateSettings(s, 0); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		tenant int
		over   bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {0, false}, {0, false}, {1, true}} {
		st := d.Open(context.Background(), Request{Tenant: c.tenant, Remaining: time.Minute})
		select {
		case v := <-st.LocalReply():
			if !c.over || !v.Rejected {
				t.Errorf("request %d, of tenant %d: %+v", i, c.tenant, v)
			}
		default:
			if c.over {
				t.Errorf("request %d, of tenant %d, is accepted beyond its quota", i, c.tenant)
			}
		}
		if i > 0 { // the first waits on
			st.Close()
		}
	}
}
