package stream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// lives takes down what an observer is told.
type recordedStreams struct {
	mu      sync.Mutex
	records []*Record
	signal  chan struct{}
}

func observe(p *Proxy) *recordedStreams {
	l := &recordedStreams{signal: make(chan struct{}, 100)}
	p.Observer = l
	return l
}

func (l *recordedStreams) Ended(life *Record) {
	l.mu.Lock()
	l.records = append(l.records, life)
	l.mu.Unlock()
	l.signal <- struct{}{}
}

// next waits for the next life.
func (l *recordedStreams) next() *Record {
	<-l.signal
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[len(l.records)-1]
}

// Guards against a life that is told before its last attempt has its outcome, twice, or never.
func TestRecordWaitsForAttempts(t *testing.T) {
	out, release := make(chan struct{}), make(chan struct{})
	client, leave := context.WithCancel(context.Background())
	p := newProxy(t, 1, func(context.Context, balance.EndpointID) (balance.Status, Response) {
		close(out)
		<-release // it comes back late, though withdrawn
		return balance.Cancelled, Response{}
	})
	l := observe(p)
	req := request(0, time.Minute)
	go func() {
		<-out
		leave()
	}()
	if res := p.Serve(client, req); res.Outcome != ClientGone {
		t.Errorf("outcome %d, want gone", res.Outcome)
	}
	if res := p.Serve(context.Background(), req); res.Outcome != Duplicate {
		t.Errorf("outcome %d, want duplicate", res.Outcome)
	}
	if dup := l.next(); dup.Response.Outcome != Duplicate || len(dup.Attempts) != 0 || p.Active() != 1 {
		t.Errorf("%+v was told, and %d are out", dup, p.Active())
	}
	close(release)
	life := l.next()
	if life.Request != req || life.Response.Outcome != ClientGone || len(life.Attempts) != 1 || p.Active() != 0 || len(l.records) != 2 {
		t.Fatalf("%+v was told, the last of %d; %d are out", life, len(l.records), p.Active())
	}
	if a := life.Attempts[0]; a.Endpoint != 1 || a.Status != balance.Cancelled || a.EndedAt.Before(life.AnsweredAt) || a.StartedAt.After(life.AnsweredAt) {
		t.Errorf("attempt %+v of a stream that was answered at %v", a, life.AnsweredAt)
	}
}

// Guards against lives that are lost or told twice where something fails: an attempt, the decisions, which start
// anew in the middle of another stream, or the front, which has no room.
func TestRecordOfFaultyStreams(t *testing.T) {
	out := make(chan struct{})
	p := newProxy(t, 2, func(ctx context.Context, _ balance.EndpointID) (balance.Status, Response) {
		out <- struct{}{}
		<-ctx.Done()
		panic("bug")
	})
	l := observe(p)
	go p.Serve(context.Background(), &Request{Txn: "open", Class: 1, Deadline: time.Now().Add(time.Minute)})
	<-out
	p.Serve(context.Background(), &Request{Txn: "faulty", Class: -1, Deadline: time.Now().Add(time.Minute)}) // a panic: no such class
	p.Refuse(&Request{Txn: "refused"})
	ends := map[string]*Record{}
	for range 3 {
		<-l.signal
	}
	for _, life := range l.records {
		ends[life.Request.Txn] = life
	}
	for txn, want := range map[string]Record{"faulty": {Response: Response{Outcome: RejectedLocally}}, "refused": {Response: Response{Outcome: RejectedLocally}},
		"open": {Response: Response{Outcome: Failed}, Attempts: []Attempt{{Status: balance.Reset}}}} {
		got := ends[txn]
		if got == nil || got.Response.Outcome != want.Response.Outcome || len(got.Attempts) != len(want.Attempts) ||
			len(got.Attempts) > 0 && got.Attempts[0].Status != want.Attempts[0].Status || len(l.records) != 3 || p.Active() != 0 {
			t.Errorf("%s: %+v was told, among %d; %d are out", txn, got, len(l.records), p.Active())
		}
	}
}
