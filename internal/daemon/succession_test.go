package daemon

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/handover"
	"pinelb.example/pinelb/internal/inflight"
)

// newTestSuccession returns the succession of a process with one endpoint.
func newTestSuccession(t *testing.T) *succession {
	t.Helper()
	set, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	eng, err := driver.New(set.Settings, 1, noConnections{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s := &succession{classNames: func() []string { return set.ClassNames }, table: cluster.NewTable(set.ZoneNames, set.KindNames, noConnections{}, eng),
		engine: eng, effects: inflight.New(20000), log: zerolog.Nop()}
	s.table.Apply(balance.ListFull, cluster.List{Members: []cluster.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: balance.Ready}}})
	return s
}

// Guards against two processes of an upgrade that end with each other's call, where operators call one of them each at
// the same time: the later call holds at both, and where neither is later, the one that takes the host out.
func TestConcurrentCordonCalls(t *testing.T) {
	for _, c := range []struct {
		name         string
		former, next int64 // the clock at each call
		formerOut    bool  // the former process is called to take the host out, the next one to put it back; or the other way
		holds        bool  // it is out in the end
		twice        bool  // each is told once more, by a process between
	}{
		{"cordon, then uncordon", 10, 20, true, false, false},
		{"uncordon, then cordon", 10, 20, false, true, true},
		{"uncordon after cordon", 20, 10, false, false, true},
		{"cordon after uncordon", 20, 10, true, true, false},
		{"at once", 10, 10, true, true, true},
		{"at once, the other way", 10, 10, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			former, next := newTestSuccession(t), newTestSuccession(t)
			former.cordons.clock = func() int64 { return c.former }
			next.cordons.clock = func() int64 { return c.next }
			one, ok := former.applyCall(peerMessage{Endpoint: "s-1", Cordoned: c.formerOut})
			other, ok2 := next.applyCall(peerMessage{Endpoint: "s-1", Cordoned: !c.formerOut})
			if !ok || !ok2 {
				t.Fatal("a call is not taken")
			}
			next.receive(one, inflight.Predecessor)
			former.receive(other, inflight.Successor)
			if c.twice {
				former.receive(other, inflight.Successor)
				next.receive(one, inflight.Predecessor)
			}
			for of, s := range map[string]*succession{"former": former, "next": next} {
				if out := len(s.table.Snapshot().Cordoned) == 1; out != c.holds {
					t.Errorf("at the %s process the host is out: %v, want %v", of, out, c.holds)
				}
			}
			former.receive([]byte(`{"Name":"s-1","Out":false}`), inflight.Successor) // of a process that stamps none
			if len(former.table.Snapshot().Cordoned) > 0 {
				t.Error("a call without a time changes nothing")
			}
		})
	}
}

// Guards against a cordon that is lost in an upgrade because the process remembers so many effects that its successor takes
// nothing at all.
func TestHandoverOfManyEffects(t *testing.T) {
	one, other := newTestSuccession(t), newTestSuccession(t)
	one.table.Cordon("s-1")
	now := time.Now()
	wide := strings.Repeat("x", 3200)
	var last inflight.ID
	for i := range 2700 {
		last = inflight.ID{Txn: fmt.Sprint(i), Class: wide, Key: fmt.Sprint(i), Retention: time.Minute}
		one.effects.Start(now, last)
		one.effects.AttemptStarted(now, last.Txn, 1)
		one.effects.Finish(now, last.Txn)
	}
	state, err := one.handoverState()
	if err != nil || len(state) > handover.MaxStateBytes {
		t.Errorf("%d bytes are handed over, which nobody takes: %v", len(state), err)
	}
	other.predecessor = &handover.Predecessor{State: state}
	if !other.takeOver() || !slices.Equal(other.table.Snapshot().Cordoned, []string{"s-1"}) {
		t.Errorf("the successor knows %+v", other.table.Snapshot())
	}
	last.Txn = "again"
	if first, _ := other.effects.Start(now, last); !first.SentAt.Equal(now) {
		t.Errorf("of the last effect the successor knows %+v", first)
	}
}

// Guards against a second successor that is told what the first one was still to be told: its own copy is younger, and by a note
// from before that, a request would be under way at the former process for as long as that runs.
func TestMirrorSendsNothingAfterStop(t *testing.T) {
	told, goOn, ended := make(chan []byte, 9), make(chan struct{}), make(chan struct{})
	m := newEffectMirror(func(line []byte) {
		told <- line
		<-goOn
	}, zerolog.Nop())
	for _, txn := range []string{"a", "b", "c", "d", "e"} { // some to a line
		m.enqueue(inflight.Update{ID: inflight.ID{Txn: txn, Class: strings.Repeat("x", maxMessageBytes/2-200)}})
	}
	m.start()
	<-told
	go func() {
		m.stop()
		close(ended)
	}()
	for stopped := false; !stopped; runtime.Gosched() {
		m.mu.Lock()
		stopped = m.stopped
		m.mu.Unlock()
	}
	select {
	case <-ended:
		t.Error("it has ended with a line under way")
	default:
	}
	close(goOn)
	<-ended
	goleak.VerifyNone(t) // its goroutine has ended
	if len(told) > 0 {
		t.Errorf("%d lines are told after its end", len(told))
	}
}

// Guards against a second successor that knows of the moments between the first one's copy and its own less than the first did.
func TestEffectsBetweenSuccessors(t *testing.T) {
	s, now := newTestSuccession(t), time.Now()
	begun := inflight.ID{Txn: "begun", Class: "look", Retention: time.Minute}
	over := inflight.ID{Txn: "over", Class: "look", Retention: time.Minute}
	s.effects.Start(now, over)
	if _, err := s.handoverState(); err != nil {
		t.Fatal(err)
	}
	s.effects.Start(now, begun)
	s.effects.AttemptStarted(now, begun.Txn, 1)
	s.effects.AttemptStarted(now, over.Txn, 1)
	s.effects.Finish(now, over.Txn)
	s.dropSuccessor() // the first one is gone before it served
	state, err := s.handoverState()
	if err != nil {
		t.Fatal(err)
	}
	next := newTestSuccession(t)
	next.predecessor = &handover.Predecessor{State: state}
	next.takeOver()
	if _, free := next.effects.Start(now, begun); free {
		t.Error("a request that is under way is taken again")
	}
	if first, free := next.effects.Start(now, over); !free || !first.SentAt.Equal(now) {
		t.Errorf("of a request that may have run the second successor knows %+v, %v", first, free)
	}
}
