package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestOneFinalAnswerInTime(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].LateValue = 0.5 // an answer has half of its value until the deadline
	}
	for _, class := range []int{idempotentClass, keyedClass, nonIdempotentClass} {
		for _, n := range []int{0, 1, 3} {
			w := newTestInstance(t, s, 1)
			w.listReady(n)
			start := w.now
			id := w.request(class)
			var at time.Duration
			for w.answerCounts[id] == 0 && w.now < start+2*time.Second {
				w.advance(ms)
				at = w.now - start
			}
			if w.answerCounts[id] != 1 || at > 1000*ms {
				t.Errorf("class %d, %d endpoints: %d answers, first after %v, want 1 by the deadline", class, n, w.answerCounts[id], at)
			}
			sent := len(w.sends)
			w.advance(time.Second)
			if w.answerCounts[id] != 1 || len(w.sends) != sent {
				t.Errorf("class %d, %d endpoints: another attempt or answer after the final answer", class, n)
			}
		}
	}
}

// TestCanSend checks the boundary cases of canSend.
func TestCanSend(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(1)
	w.advance(50 * ms)
	endpoint := w.b.endpoints[0]
	newRequest := func() *requestState {
		return &requestState{class: w.b.classes[idempotentClass], usefulUntil: w.now + time.Second, maxAttempts: 4}
	}
	for name, c := range map[string]struct {
		change func(*requestState)
		want   bool
	}{
		"new":              {func(*requestState) {}, true},
		"answered":         {func(request *requestState) { request.done = true }, false},
		"at its deadline":  {func(request *requestState) { request.usefulUntil = w.now + w.b.responseMargin() }, false},
		"just before":      {func(request *requestState) { request.usefulUntil = w.now + w.b.responseMargin() + 1 }, true},
		"no attempts left": {func(request *requestState) { request.attempts = make([]attemptState, w.b.settings.MaxAttempts) }, false},
		"one attempt left": {func(request *requestState) { request.attempts = make([]attemptState, w.b.settings.MaxAttempts-1) }, true},
	} {
		request := newRequest()
		c.change(request)
		if got := w.b.canSend(request, endpoint); got != c.want {
			t.Errorf("%s: canSend returned %v, want %v", name, got, c.want)
		}
	}
}

// TestEndsAtTargetLatency checks that a request ends just before its target latency, with its open attempt cancelled,
// if a late answer has no value, and that it continues otherwise.
func TestEndsAtTargetLatency(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		s := testSettings()
		s.Classes[nonIdempotentClass].LateValue = late
		w := newTestInstance(t, s, 1)
		w.listReady(2)
		id := w.request(nonIdempotentClass)
		w.advance(400 * ms)
		if ended := w.answerCounts[id] == 1 && w.b.requests[id] == nil; ended != (late == 0) {
			t.Errorf("late value %.1f: ended at the target latency with its attempt cancelled: %v", late, ended)
		}
	}
}

func TestNoRemainingTimeIsRejectedWithoutSend(t *testing.T) {
	for _, remaining := range []time.Duration{0, ms, 12 * ms} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(2)
		w.event(Event{Kind: EventRequest, Request: 7, Remaining: remaining})
		if len(w.sends) != 0 || w.answers[7].Kind != ActReject {
			t.Errorf("with %v remaining: %d sends, answer %v; want a rejection without a send", remaining, len(w.sends), w.answers[7].Kind)
		}
	}
}

func TestNothingAfterClientDisconnects(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(3)
	id := w.request(idempotentClass)
	w.event(Event{Kind: EventClientDisconnected, Request: id})
	sent := len(w.sends)
	w.endAttempt(0, Error, 30*ms)
	w.event(Event{Kind: EventClientDisconnected, Request: id}) // the ID of a completed request is ignored
	w.advance(2 * time.Second)
	if len(w.sends) != sent || w.answerCounts[id] != 0 {
		t.Errorf("%d sends and %d answers after the client disconnected", len(w.sends)-sent, w.answerCounts[id])
	}
}

func TestOutcomeForUnknownIDIsIgnored(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(2)
	w.event(Event{Kind: EventOutcome, Request: 99, Endpoint: 1, Status: OK})
	w.event(Event{Kind: EventFirstByte, Request: 99, Endpoint: 1})
	if id := w.request(idempotentClass); w.attemptCounts[id] != 1 {
		t.Error("a request after events with unknown IDs was not sent")
	}
}

// TestRetryByIdempotency checks for each idempotency and outcome whether a request is retried, rejected or failed.
func TestRetryByIdempotency(t *testing.T) {
	const (
		retried  = "retried"
		rejected = "rejected"
		failed   = "failed"
	)
	for _, c := range []struct {
		class  int
		status Status
		cells  []int
		after  time.Duration
		want   string
	}{
		{idempotentClass, Error, nil, 30 * ms, retried},
		{idempotentClass, Reset, nil, 30 * ms, retried},
		{idempotentClass, Rejected, nil, 30 * ms, retried},
		{nonIdempotentClass, Rejected, nil, 30 * ms, retried},
		{nonIdempotentClass, ConnectFailed, nil, 30 * ms, retried},
		{nonIdempotentClass, NotSent, nil, 30 * ms, retried},
		{nonIdempotentClass, Error, nil, 30 * ms, failed},
		{nonIdempotentClass, Timeout, nil, 30 * ms, failed},
		{nonIdempotentClass, Reset, nil, 30 * ms, failed},
		{nonIdempotentClass, Cancelled, nil, 30 * ms, failed},
		{keyedClass, Rejected, []int{1, 2, 3}, 30 * ms, retried},
		{keyedClass, Error, []int{1, 1, 1}, 30 * ms, retried},
		{keyedClass, Error, []int{1, 2, 3}, 30 * ms, failed},
		{keyedClass, Timeout, []int{1, 2, 3}, 30 * ms, failed},
	} {
		t.Run(fmt.Sprint(c.class, c.status, c.cells), func(t *testing.T) {
			w := newTestInstance(t, testSettings(), 1)
			w.listReady(3, c.cells...)
			id := w.request(c.class)
			w.advance(c.after)
			w.endAttempt(0, c.status, c.after)
			got := rejected
			switch {
			case len(w.sends) > 1:
				got = retried
			case w.answers[id].Kind == ActFail:
				got = failed
			case w.answerCounts[id] == 0:
				got = "pending"
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestIdempotencyAllows checks the boundary cases of idempotencyAllows by scope and deduplication window.
func TestIdempotencyAllows(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	here := &endpointState{Entry: Entry{Endpoint: 1, Cell: 1}}
	for _, c := range []struct {
		name string
		r    requestState
		to   Entry
		age  time.Duration
		want bool
	}{
		{"non-idempotent, may have run", requestState{class: &classState{Class: Class{Idempotency: NonIdempotent}}}, here.Entry, 0, false},
		{"cell, same", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 0, true},
		{"cell, other", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 2}, 0, false},
		{"cell, just within the window", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 580 * ms, true},
		{"cell, just after the window", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 600 * ms, false},
		{"zone, same", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeZone, DedupWindow: time.Second}}}, Entry{Cell: 9}, 0, true},
		{"zone, other", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeZone, DedupWindow: time.Second}}}, Entry{Zone: 1}, 0, false},
		{"all", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeAll, DedupWindow: time.Second}}}, Entry{Zone: 1, Cell: 5}, 0, true},
	} {
		w.b.now, w.b.tickInterval = time.Hour, 10*ms
		c.r.attempts = []attemptState{{endpoint: here, sentAt: w.b.now - c.age, mayHaveRun: true}}
		if got := w.b.idempotencyAllows(&c.r, &endpointState{Entry: c.to}); got != c.want {
			t.Errorf("%s: idempotencyAllows returned %v, want %v", c.name, got, c.want)
		}
		c.r.attempts[0].mayHaveRun = false
		if !w.b.idempotencyAllows(&c.r, &endpointState{Entry: c.to}) {
			t.Errorf("%s: forbidden although no attempt can have run", c.name)
		}
	}
}

// Guards against a deduplication window that is measured from the latest instead of the first attempt.
func TestDedupWindowStartsAtFirstSend(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.b.now, w.b.tickInterval = time.Hour, 10*ms
	endpoint := &endpointState{Entry: Entry{Cell: 1}}
	r := requestState{class: w.b.classes[keyedClass], attempts: []attemptState{
		{endpoint: endpoint, sentAt: w.b.now - 650*ms, mayHaveRun: true}, {endpoint: endpoint, sentAt: w.b.now - 100*ms, mayHaveRun: true}}}
	if w.b.idempotencyAllows(&r, endpoint) {
		t.Error("allowed after the deduplication window of the first attempt")
	}
}

// Guards against a retry that arrives after the deduplication window, because establishing its connection takes up to the
// connect time-out.
func TestDedupWindowCoversConnectTimeout(t *testing.T) {
	s := testSettings()
	s.ConnectTimeout = 200 * ms
	w := newTestInstance(t, s, 1)
	w.b.now, w.b.tickInterval = time.Hour, 10*ms
	for age, want := range map[time.Duration]bool{300 * ms: true, 450 * ms: false} { // the window is 600 ms
		r := requestState{class: w.b.classes[keyedClass], attempts: []attemptState{{endpoint: &endpointState{}, sentAt: w.b.now - age, mayHaveRun: true}}}
		if got := w.b.idempotencyAllows(&r, &endpointState{}); got != want {
			t.Errorf("retry %v after the first attempt: allowed %v, want %v", age, got, want)
		}
	}
}

func TestNoHedgeWhereForbidden(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	w := newTestInstance(t, s, 1)
	w.listReady(3)
	w.request(idempotentClass)
	w.advance(800 * ms)
	if len(w.sends) != 1 {
		t.Errorf("%d attempts, want 1 without hedging", len(w.sends))
	}
}

// Guards against requests to an endpoint that is draining, removed, or missing from a full list.
func TestNothingToUnavailableEndpoints(t *testing.T) {
	for name, update := range map[string]func(*testInstance){
		"draining": func(w *testInstance) { w.list(ListDelta, Entry{Endpoint: 1, State: Draining, Weight: 1}) },
		"removed":  func(w *testInstance) { w.list(ListDelta, Entry{Endpoint: 1, State: Removed}) },
		"missing":  func(w *testInstance) { w.list(ListFull, Entry{Endpoint: 2, State: Ready, Weight: 1}) },
	} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(2)
		for range 6 {
			w.request(idempotentClass)
		}
		update(w)
		sent := len(w.sends)
		for range 30 {
			w.request(idempotentClass)
			w.advance(40 * ms)
		}
		if len(w.sends) == sent {
			t.Errorf("%s: nothing was sent to the other endpoint", name)
		}
		for _, a := range w.sends[sent:] {
			if a.Endpoint == 1 {
				t.Fatalf("%s: sent to the endpoint after the update", name)
			}
		}
	}
}

// Guards against a membership list that becomes stale: with PollsDiscovery, an instance without a subscription has to
// subscribe within MaxListAge of the last list or attempt, also after each failure.
func TestSubscribesAgain(t *testing.T) {
	s := testSettings()
	s.PollsDiscovery = true
	w := newTestInstance(t, s, 3)
	w.list(ListCached, Entry{Endpoint: 1, State: Ready, Weight: 1})
	last, subscriptions := w.now, 0
	for range 6000 {
		w.advance(10 * ms)
		for _, a := range w.otherActions {
			if a.Kind == ActSubscribe {
				if w.now-last >= s.MaxListAge {
					t.Fatalf("%v between two subscriptions", w.now-last)
				}
				last, subscriptions = w.now, subscriptions+1
				w.otherActions = nil
				w.list(ListFailed)
				break
			}
		}
		w.otherActions = nil
	}
	if subscriptions < 6 {
		t.Errorf("subscribed only %d times in a minute of failures", subscriptions)
	}
	w.advance(s.MaxListAge)
	w.list(ListDelta)
	w.otherActions = nil
	w.advance(30 * time.Second)
	if len(w.otherActions) != 0 {
		t.Errorf("subscribed again during a subscription: %v", w.otherActions)
	}
	w.list(ListFailed) // the subscription ended
	w.advance(s.MaxListAge - ms)
	if len(w.otherActions) == 0 {
		t.Error("did not subscribe again after the end of the subscription")
	}
}

// TestWarmupBudget floods several instances that have one warming endpoint among warm ones, and checks that the
// requests of all instances to it stay within its capacity times CollapseMultiple in every CollapseWindow.
func TestWarmupBudget(t *testing.T) {
	for _, instances := range []int{1, 3} {
		s := testSettings()
		s.Instances = instances
		var ws []*testInstance
		for i := range instances {
			w := newTestInstance(t, s, uint64(i+1))
			w.listReady(4)
			// Each warm endpoint gives one answer per 50 ms, over all instances.
			gap := time.Duration(instances) * 50 * ms / 4
			for range int(6 * time.Second / gap) {
				w.request(idempotentClass)
				w.advance(gap)
				for j := len(w.sends) - 1; j >= max(0, len(w.sends)-1); j-- {
					w.endAttempt(j, OK, 40*ms)
				}
			}
			ws = append(ws, w)
		}
		var at []time.Duration
		warm := 0.0
		started := ws[0].now
		for _, w := range ws {
			w.list(ListDelta, Entry{Endpoint: 5, State: Ready, Weight: 1, StartedAt: started})
			first, done := len(w.sends), len(w.sends)
			for range int(5 * time.Second / (5 * ms)) {
				w.request(idempotentClass)
				w.advance(5 * ms)
				for ; done < len(w.sends); done++ { // the warming endpoint answers as fast: only its budget limits it
					w.endAttempt(done, OK, 40*ms)
				}
			}
			for j := first; j < len(w.sends); j++ {
				if w.sends[j].Endpoint == 5 {
					at = append(at, w.sentAt[j]-started)
				} else {
					warm++
				}
			}
		}
		if len(at) == 0 {
			t.Errorf("%d instances: the warming endpoint got no requests", instances)
		}
		capacity := warm / 4 / 5 // requests per second to each warm endpoint
		for from := time.Duration(0); from < 4*time.Second; from += 50 * ms {
			n := 0
			for _, x := range at {
				if x >= from && x < from+s.CollapseWindow {
					n++
				}
			}
			share := s.WarmupInitialShare + (1-s.WarmupInitialShare)*float64(from)/float64(s.WarmupDuration)
			if budget := s.CollapseMultiple * share * capacity * s.CollapseWindow.Seconds(); float64(n) > budget {
				t.Errorf("%d instances: %d sent in the window from %v, budget %.1f", instances, n, from, budget)
			}
		}
	}
}
