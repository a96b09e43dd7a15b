package stream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// lives takes down what an observer is told.
type lives struct {
	mu   sync.Mutex
	told []*Life
	each chan struct{}
}

func observe(p *Proxy) *lives {
	l := &lives{each: make(chan struct{}, 100)}
	p.Observer = l
	return l
}

func (l *lives) Ended(life *Life) {
	l.mu.Lock()
	l.told = append(l.told, life)
	l.mu.Unlock()
	l.each <- struct{}{}
}

// next waits for the next life.
func (l *lives) next() *Life {
	<-l.each
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told[len(l.told)-1]
}

// Guards against a life that is told before its last attempt has its outcome, twice, or never.
func TestLifeWaitsForItsAttempts(t *testing.T) {
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
	if res := p.Serve(client, req); res.Outcome != Gone {
		t.Errorf("outcome %d, want gone", res.Outcome)
	}
	if res := p.Serve(context.Background(), req); res.Outcome != Duplicate {
		t.Errorf("outcome %d, want duplicate", res.Outcome)
	}
	if dup := l.next(); dup.Response.Outcome != Duplicate || len(dup.Attempts) != 0 || p.Out() != 1 {
		t.Errorf("%+v was told, and %d are out", dup, p.Out())
	}
	close(release)
	life := l.next()
	if life.Request != req || life.Response.Outcome != Gone || len(life.Attempts) != 1 || p.Out() != 0 || len(l.told) != 2 {
		t.Fatalf("%+v was told, the last of %d; %d are out", life, len(l.told), p.Out())
	}
	if a := life.Attempts[0]; a.Host != 1 || a.Status != balance.Cancelled || a.Ended.Before(life.Answered) || a.Began.After(life.Answered) {
		t.Errorf("attempt %+v of a stream that was answered at %v", a, life.Answered)
	}
}

// Guards against lives that are lost or told twice where something fails: an attempt, the decisions, which start
// anew in the middle of another stream, or the front, which has no room.
func TestLifeOfFaultyStreams(t *testing.T) {
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
	ends := map[string]*Life{}
	for range 3 {
		<-l.each
	}
	for _, life := range l.told {
		ends[life.Request.Txn] = life
	}
	for txn, want := range map[string]Life{"faulty": {Response: Response{Outcome: Refused}}, "refused": {Response: Response{Outcome: Refused}},
		"open": {Response: Response{Outcome: Failed}, Attempts: []Attempt{{Status: balance.Reset}}}} {
		got := ends[txn]
		if got == nil || got.Response.Outcome != want.Response.Outcome || len(got.Attempts) != len(want.Attempts) ||
			len(got.Attempts) > 0 && got.Attempts[0].Status != want.Attempts[0].Status || len(l.told) != 3 || p.Out() != 0 {
			t.Errorf("%s: %+v was told, among %d; %d are out", txn, got, len(l.told), p.Out())
		}
	}
}
