package loopback

import (
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// TestListFaults checks that each fault of the list service shows to a sidecar, and is over when it ends.
func TestListFaults(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newPoller(t, r.addresses.agent(0, 0))
	a.client.Timeout = time.Second
	usual := a.poll("").text()
	two := func(m memberList) bool {
		return strings.Count(m.text(), "order-") == 2 && strings.Count(m.text(), "other-") == 0
	}
	for id, c := range []struct {
		f    plan.ListFault
		want func(m memberList, err error) bool
	}{
		{plan.ListFault{Kind: "list_down"}, func(_ memberList, err error) bool { return err != nil }},
		{plan.ListFault{Kind: "list_slow", Delay: 2 * time.Second}, func(_ memberList, err error) bool { return err != nil }},
		{plan.ListFault{Kind: "list_cut", Size: 1}, func(_ memberList, err error) bool { return err != nil }},
		{plan.ListFault{Kind: "list_wrong", Variant: "empty"}, func(m memberList, err error) bool { return err == nil && m.Complete && len(m.Members) == 0 }},
		{plan.ListFault{Kind: "list_wrong", Variant: "half"}, func(m memberList, err error) bool { return err == nil && m.Complete && len(m.Members) == 1 }},
		{plan.ListFault{Kind: "list_wrong", Variant: "other"}, func(m memberList, err error) bool { return err == nil && len(m.Members) == 2 && !two(m) }},
	} {
		turn := func(kind plan.EventKind) {
			t.Helper()
			if err := r.agents[0].applyFault(plan.Event{Kind: kind, ID: id, ListFault: c.f}); err != nil {
				t.Fatal(err)
			}
		}
		turn(plan.StartListFault)
		if m, err := a.tryPoll(""); !c.want(m, err) {
			t.Errorf("%+v: %s, %v", c.f, m.text(), err)
		}
		turn(plan.EndListFault)
		if got := a.poll("").text(); got != usual {
			t.Errorf("%+v is over: %s, expected %s", c.f, got, usual)
		}
	}
}

// TestListStaleAndForgotten checks that a stale list goes on being served while the true one changes, and that a restart counts its
// revisions from 1 and loses no entry.
func TestListStaleAndForgotten(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newPoller(t, r.addresses.agent(0, 0))
	turn := func(kind plan.EventKind, id int, what string) {
		t.Helper()
		if err := r.agents[0].applyFault(plan.Event{Kind: kind, ID: id, ListFault: plan.ListFault{Kind: what}}); err != nil {
			t.Fatal(err)
		}
	}
	before := a.poll("")
	turn(plan.StartListFault, 1, "list_old")
	r.agents[0].update(plan.ListEntry{Endpoint: 0, Phase: trace.PhaseTerminating})
	if m := a.poll(""); m.text() != before.text() {
		t.Errorf("an old list: %s", m.text())
	}
	turn(plan.EndListFault, 1, "list_old")
	after := a.poll("")
	if after.Revision <= before.Revision || after.text() == before.text() {
		t.Errorf("the true list: %d %s", after.Revision, after.text())
	}
	turn(plan.StartListFault, 2, "list_forget")
	turn(plan.EndListFault, 2, "list_forget")
	if m := a.poll(""); m.Revision != 1 || m.text() != after.text() {
		t.Errorf("after a restart: %d %s, expected 1 %s", m.Revision, m.text(), after.text())
	}
}

// TestListCapacity checks that the capacity is shared by all sidecars: of ten polls at once, one runs, two wait and seven are rejected.
func TestListCapacity(t *testing.T) {
	r := newAgents(t, 10, "")
	r.capacity.model = &model.ListService{Concurrency: 1, ServiceTime: time.Hour, MaxQueue: 2, OnOverflow: model.OverflowReject}
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() { _, _ = newPoller(t, r.addresses.agent(i, 0)).tryPoll("") })
	}
	countRejected := func() (n int) {
		r.recorder.mu.Lock()
		defer r.recorder.mu.Unlock()
		for _, k := range r.recorder.log.Polls {
			if k.Outcome == trace.PollRejected {
				n++
			}
		}
		return n
	}
	await(t, "all but three are rejected", func() bool { return countRejected() == 7 })
	for i := range 10 {
		r.agents[i].mu.Lock()
		r.agents[i].stopServer()
		r.agents[i].mu.Unlock()
	}
	all.Wait()
	if n := countRejected(); n != 7 {
		t.Errorf("%d polls were rejected, 7 expected", n)
	}
}
