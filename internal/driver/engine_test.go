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

// Guards against a probe whose result never reaches the decisions, or connections kept that they let go.
func TestConnectionActions(t *testing.T) {
	e := newTestDriver(t, 1)
	asked := make(chan balance.EndpointID)
	e.conns = recordedCalls(asked)
	for i, kind := range []balance.ActionKind{balance.ActHealthCheck, balance.ActCloseIdle} {
		e.mu.Lock()
		e.carryOut(&balance.Action{Kind: kind, Endpoint: balance.EndpointID(i + 5)})
		e.mu.Unlock()
		if got := <-asked; got != balance.EndpointID(i+5) {
			t.Errorf("action %d was for host %d", kind, got)
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
	e, err := New(balance.Settings{Instances: 1, Classes: []balance.Class{
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
	e.Membership(balance.ListFull, entries, 0)
	return e
}

func (e *Driver) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// Guards against a stream with two answers, or an attempt with two outcomes.
func TestOneFinalAnswer(t *testing.T) {
	e := newTestDriver(t, 1, 2)
	s := e.Open(context.Background(), Request{Remaining: time.Minute})
	send := <-s.Sends()
	if !s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("the first answer was not the stream's")
	}
	if s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("a second outcome of one attempt was taken")
	}
	if out := s.outNow(); out != 0 {
		t.Errorf("%d attempts are out", out)
	}
	if ended, _ := s.Abandon(); ended {
		t.Error("an answered stream was ended again")
	}
	s.Close()
	if len(s.LocalReply()) != 0 || e.open() != 0 {
		t.Errorf("%d local replies to an answered stream, %d streams open", len(s.LocalReply()), e.open())
	}
}

// Guards against a late answer reaching a client that was given up, and against the stream being kept.
func TestLateAnswer(t *testing.T) {
	e := newTestDriver(t, 1)
	s := e.Open(context.Background(), Request{Remaining: time.Minute})
	send := <-s.Sends()
	if ended, sent := s.Abandon(); !ended || !sent {
		t.Errorf("ended %v, sent %v, want both", ended, sent)
	}
	<-send.Ctx.Done() // the decisions have withdrawn the attempt
	if e.open() != 1 {
		t.Error("the stream was forgotten before its attempt had its outcome")
	}
	if s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("an answer after the end was taken")
	}
	if e.open() != 0 {
		t.Error("the stream was kept after its last outcome")
	}
}

// Guards against a send that nobody takes: without an outcome the decisions would count it as out for ever.
func TestUntakenSendsHaveOutcome(t *testing.T) {
	e := newTestDriver(t, 1)
	s := e.Open(context.Background(), Request{Remaining: time.Minute})
	if len(s.Sends()) != 1 {
		t.Fatalf("%d sends, want 1", len(s.Sends()))
	}
	s.Close()
	if e.open() != 0 {
		t.Error("a send that was never begun has no outcome")
	}
	e.mu.Lock()
	s.carryOut(&balance.Action{Kind: balance.ActSend, Request: s.id, Endpoint: 1}) // by faulty decisions
	e.mu.Unlock()
	for s.outNow() != 0 { // another goroutine settles it
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
	e := newTestDriver(t, 1, 2)
	before := e.Open(context.Background(), Request{Class: 1, Remaining: time.Minute})
	send := <-before.Sends()
	e.mu.Lock()
	e.balancer = nil // the next event panics
	e.mu.Unlock()
	during := e.Open(context.Background(), Request{Remaining: time.Minute})
	if v := <-during.LocalReply(); !v.Rejected {
		t.Error("a stream that was never sent was not refused")
	}
	if v := <-before.LocalReply(); v.Rejected {
		t.Error("a stream that may have run was refused")
	}
	<-send.Ctx.Done()
	if before.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true}) {
		t.Error("a stream that had its answer took another")
	}
	after := e.Open(context.Background(), Request{Remaining: time.Minute})
	if !after.ReportOutcome((<-after.Sends()).Attempt, Outcome{Status: balance.OK, Final: true}) { // the cluster is still known
		t.Error("no stream is served after a panic")
	}
}

// Guards against a panic that loses what was learned, and against one that comes of what was learned and is taken along
// again and again.
func TestPanicKeepsLearnedState(t *testing.T) {
	e := newTestDriver(t, 1, 2)
	serve := func() {
		s := e.Open(context.Background(), Request{Remaining: time.Minute})
		send := <-s.Sends()
		for from := e.now(); e.now() < from+10*time.Microsecond; { // no real answer is quicker, and such are not believed
		}
		s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true})
	}
	known := func() (n float64) {
		for _, h := range e.State().Learned.Endpoints {
			n += h.Latency.N
		}
		return n
	}
	panics := func() { e.Open(context.Background(), Request{Class: -1, Remaining: time.Minute}) }
	serve()
	panics()
	if known() == 0 || e.generation != 1 {
		t.Errorf("after a panic %v answers are known, in life %d", known(), e.generation)
	}
	panics()
	if known() != 0 || e.generation != 2 {
		t.Errorf("after another one at once %v answers are known, in life %d", known(), e.generation)
	}
	serve()
	e.lastPanic -= minStableTime
	if panics(); known() == 0 {
		t.Error("nothing is known after one that comes late")
	}
}

// Guards against a clock that can't be compared with discovery's start times, or that runs backwards.
func TestClock(t *testing.T) {
	e := newTestDriver(t)
	from := time.Duration(time.Now().Add(-time.Minute).UnixNano())
	a, b := e.now(), e.now()
	if a < from || a > from+2*time.Minute || b < a {
		t.Errorf("the clock shows %v then %v; Unix time is %v later than 1970", a, b, from)
	}
}

// Guards against a send under the number of a version that did not choose its host: each list here has one host, of the same
// number, and settings change meanwhile, under the number of the list.
func TestSendsMatchVersion(t *testing.T) {
	e := newTestDriver(t)
	var changes, streams sync.WaitGroup
	var over atomic.Bool
	var sends, wrong atomic.Int64
	changes.Go(func() {
		for under := uint32(1); under <= 5000; under++ {
			e.Membership(balance.ListFull, []balance.Entry{{Endpoint: balance.EndpointID(under), State: balance.Ready, Weight: 1}}, under)
			if err := e.UpdateSettings(e.settings, under); err != nil {
				t.Error(err)
			}
			e.Membership(balance.ListDelta, nil, 0) // changes nothing
		}
	})
	for range 4 {
		streams.Go(func() {
			for !over.Load() {
				s := e.Open(context.Background(), Request{Remaining: time.Minute})
				select {
				case send := <-s.Sends():
					sends.Add(1)
					if send.Endpoint != balance.EndpointID(send.Version) {
						wrong.Add(1)
					}
					s.ReportOutcome(send.Attempt, Outcome{Status: balance.OK, Final: true})
				default: // it waits for a host
				}
				s.Close()
			}
		})
	}
	changes.Wait()
	over.Store(true)
	streams.Wait()
	if sends.Load() == 0 || wrong.Load() > 0 {
		t.Errorf("%d of %d sends are under the number of another list", wrong.Load(), sends.Load())
	}
	t.Logf("%d sends", sends.Load())
}

// Guards against a tenant that is turned away for what another has used up, and against requests of none that the settings know
// being counted as the first one's.
func TestTenants(t *testing.T) {
	e := newTestDriver(t) // nobody to send to, so that what comes waits, and what is over its share is turned away
	s := e.settings
	s.Tenants = []balance.Tenant{{Share: 0.5, Quota: 1}, {Share: 0.5, Quota: 1}}
	if err := e.UpdateSettings(s, 0); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		tenant int
		over   bool
	}{{1, false}, {1, true}, {2, false}, {2, true}, {0, false}, {0, false}, {1, true}} {
		st := e.Open(context.Background(), Request{Tenant: c.tenant, Remaining: time.Minute})
		select {
		case v := <-st.LocalReply():
			if !c.over || !v.Rejected {
				t.Errorf("request %d, of tenant %d: %+v", i, c.tenant, v)
			}
		default:
			if c.over {
				t.Errorf("request %d, of tenant %d, is taken beyond its share", i, c.tenant)
			}
		}
		if i > 0 { // the first waits on
			st.Close()
		}
	}
}
