package stream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// recordedStreams records what an observer receives.
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

func (l *recordedStreams) Ended(record *Record) {
	l.mu.Lock()
	l.records = append(l.records, record)
	l.mu.Unlock()
	l.signal <- struct{}{}
}

// next waits for the next record.
func (l *recordedStreams) next() *Record {
	<-l.signal
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[len(l.records)-1]
}

// Guards against a record that is delivered before its last attempt has its outcome, twice, or never.
func TestRecordWaitsForAttempts(t *testing.T) {
	out, release := make(chan struct{}), make(chan struct{})
	client, disconnect := context.WithCancel(context.Background())
	p := newProxy(t, 1, func(context.Context, balance.EndpointID) (balance.Status, Response) {
		close(out)
		<-release // it comes back late, though cancelled
		return balance.Cancelled, Response{}
	})
	l := observe(p)
	req := request(0, time.Minute)
	go func() {
		<-out
		disconnect()
	}()
	if res := p.Serve(client, req); res.Outcome != ClientGone {
		t.Errorf("outcome %d, want gone", res.Outcome)
	}
	if res := p.Serve(context.Background(), req); res.Outcome != Duplicate {
		t.Errorf("outcome %d, want duplicate", res.Outcome)
	}
	if dup := l.next(); dup.Response.Outcome != Duplicate || len(dup.Attempts) != 0 || p.Active() != 1 {
		t.Errorf("%+v was recorded, and %d are active", dup, p.Active())
	}
	close(release)
	record := l.next()
	if record.Request != req || record.Response.Outcome != ClientGone || len(record.Attempts) != 1 || p.Active() != 0 || len(l.records) != 2 {
		t.Fatalf("%+v was recorded, the last of %d; %d are active", record, len(l.records), p.Active())
	}
	if a := record.Attempts[0]; a.Endpoint != 1 || a.Status != balance.Cancelled || a.EndedAt.Before(record.AnsweredAt) || a.StartedAt.After(record.AnsweredAt) {
		t.Errorf("attempt %+v of a stream that was answered at %v", a, record.AnsweredAt)
	}
}

// Guards against records that are lost or delivered twice where something fails: an attempt, the decisions, which start
// anew in the middle of another stream, or the front, which has no capacity.
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
	for _, record := range l.records {
		ends[record.Request.Txn] = record
	}
	for txn, want := range map[string]Record{"faulty": {Response: Response{Outcome: RejectedLocally}}, "refused": {Response: Response{Outcome: RejectedLocally}},
		"open": {Response: Response{Outcome: Failed}, Attempts: []Attempt{{Status: balance.Reset}}}} {
		got := ends[txn]
		if got == nil || got.Response.Outcome != want.Response.Outcome || len(got.Attempts) != len(want.Attempts) ||
			len(got.Attempts) > 0 && got.Attempts[0].Status != want.Attempts[0].Status || len(l.records) != 3 || p.Active() != 0 {
			t.Errorf("%s: %+v was recorded, among %d; %d are active", txn, got, len(l.records), p.Active())
		}
	}
}
