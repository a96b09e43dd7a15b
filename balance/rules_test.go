package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestOneAnswerInTime(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].LateValue = 0.5 // worth waiting for up to the deadline itself
	}
	for _, class := range []int{safeClass, keyedClass, unsafeClass} {
		for _, n := range []int{0, 1, 3} {
			w := newWorld(t, s, 1)
			w.servers(n)
			start := w.now
			id := w.request(class)
			var at time.Duration
			for w.answers[id] == 0 && w.now < start+2*time.Second {
				w.run(ms)
				at = w.now - start
			}
			if w.answers[id] != 1 || at > 1000*ms {
				t.Errorf("class %d, %d servers: %d answers, first after %v, want 1 by the deadline", class, n, w.answers[id], at)
			}
			sent := len(w.sends)
			w.run(time.Second)
			if w.answers[id] != 1 || len(w.sends) != sent {
				t.Errorf("class %d, %d servers: something went out after the answer", class, n)
			}
		}
	}
}

// TestSendGuard checks the edges of the one send path.
func TestSendGuard(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(1)
	w.run(50 * ms)
	endpoint := w.b.endpoints[0]
	ready := func() *requestState {
		return &requestState{class: w.b.classes[safeClass], usefulUntil: w.now + time.Second, maxAttempts: 4}
	}
	for name, c := range map[string]struct {
		spoil func(*requestState)
		want  bool
	}{
		"fresh":            {func(*requestState) {}, true},
		"answered":         {func(request *requestState) { request.done = true }, false},
		"at its deadline":  {func(request *requestState) { request.usefulUntil = w.now + w.b.responseMargin() }, false},
		"just before":      {func(request *requestState) { request.usefulUntil = w.now + w.b.responseMargin() + 1 }, true},
		"out of attempts":  {func(request *requestState) { request.attempts = make([]attemptState, w.b.settings.MaxAttempts) }, false},
		"one attempt left": {func(request *requestState) { request.attempts = make([]attemptState, w.b.settings.MaxAttempts-1) }, true},
	} {
		request := ready()
		c.spoil(request)
		if got := w.b.canSend(request, endpoint); got != c.want {
			t.Errorf("%s: allowed %v, want %v", name, got, c.want)
		}
	}
}

// TestEndsAtTheAim: where a later answer is worth nothing, a request ends just before its aim and what
// it has out is withdrawn; where late answers have worth it goes on.
func TestEndsAtTheAim(t *testing.T) {
	for _, late := range []float64{0, 0.5} {
		s := testSettings()
		s.Classes[unsafeClass].LateValue = late
		w := newWorld(t, s, 1)
		w.servers(2)
		id := w.request(unsafeClass)
		w.run(400 * ms)
		if ended := w.answers[id] == 1 && w.b.requests[id] == nil; ended != (late == 0) {
			t.Errorf("late worth %.1f: ended at the aim with its attempt withdrawn: %v", late, ended)
		}
	}
}

func TestNoTimeLeftIsRefusedUnsent(t *testing.T) {
	for _, left := range []time.Duration{0, ms, 12 * ms} {
		w := newWorld(t, testSettings(), 1)
		w.servers(2)
		w.event(Event{Kind: EventRequest, Request: 7, Remaining: left})
		if len(w.sends) != 0 || w.answer[7].Kind != ActReject {
			t.Errorf("with %v left: %d sends, answer %v; want refused unsent", left, len(w.sends), w.answer[7].Kind)
		}
	}
}

func TestNothingAfterTheClientLeft(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(3)
	id := w.request(safeClass)
	w.event(Event{Kind: EventClientGone, Request: id})
	sent := len(w.sends)
	w.end(0, Error, 30*ms)
	w.event(Event{Kind: EventClientGone, Request: id}) // an id no longer held is passed over
	w.run(2 * time.Second)
	if len(w.sends) != sent || w.answers[id] != 0 {
		t.Errorf("%d sends and %d answers after the client left", len(w.sends)-sent, w.answers[id])
	}
}

func TestOutcomeForUnknownIDIsPassedOver(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(2)
	w.event(Event{Kind: EventOutcome, Request: 99, Endpoint: 1, Status: OK})
	w.event(Event{Kind: EventFirstByte, Request: 99, Endpoint: 1})
	if id := w.request(safeClass); w.tries[id] != 1 {
		t.Error("a request after stray events was not sent")
	}
}

// TestEffects checks what may follow an attempt's end, for each class of effect.
func TestEffects(t *testing.T) {
	const (
		retried = "retried"
		refused = "refused"
		failed  = "failed"
	)
	for _, c := range []struct {
		class  int
		status Status
		cells  []int
		after  time.Duration
		want   string
	}{
		{safeClass, Error, nil, 30 * ms, retried},
		{safeClass, Reset, nil, 30 * ms, retried},
		{safeClass, Rejected, nil, 30 * ms, retried},
		{unsafeClass, Rejected, nil, 30 * ms, retried},
		{unsafeClass, ConnectFailed, nil, 30 * ms, retried},
		{unsafeClass, NotSent, nil, 30 * ms, retried},
		{unsafeClass, Error, nil, 30 * ms, failed},
		{unsafeClass, Timeout, nil, 30 * ms, failed},
		{unsafeClass, Reset, nil, 30 * ms, failed},
		{unsafeClass, Cancelled, nil, 30 * ms, failed},
		{keyedClass, Rejected, []int{1, 2, 3}, 30 * ms, retried},
		{keyedClass, Error, []int{1, 1, 1}, 30 * ms, retried},
		{keyedClass, Error, []int{1, 2, 3}, 30 * ms, failed},
		{keyedClass, Timeout, []int{1, 2, 3}, 30 * ms, failed},
	} {
		t.Run(fmt.Sprint(c.class, c.status, c.cells), func(t *testing.T) {
			w := newWorld(t, testSettings(), 1)
			w.servers(3, c.cells...)
			id := w.request(c.class)
			w.run(c.after)
			w.end(0, c.status, c.after)
			got := refused
			switch {
			case len(w.sends) > 1:
				got = retried
			case w.answer[id].Kind == ActFail:
				got = failed
			case w.answers[id] == 0:
				got = "held"
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestEffectAllows checks the guard itself at the edges of group and memory.
func TestEffectAllows(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	here := &endpointState{Entry: Entry{Endpoint: 1, Cell: 1}}
	for _, c := range []struct {
		name string
		r    requestState
		to   Entry
		age  time.Duration
		want bool
	}{
		{"unsafe, may have run", requestState{class: &classState{Class: Class{Idempotency: NonIdempotent}}}, here.Entry, 0, false},
		{"cell, same", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 0, true},
		{"cell, other", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 2}, 0, false},
		{"cell, just remembered", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 580 * ms, true},
		{"cell, just forgotten", requestState{class: w.b.classes[keyedClass]}, Entry{Cell: 1}, 600 * ms, false},
		{"zone, same", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeZone, DedupWindow: time.Second}}}, Entry{Cell: 9}, 0, true},
		{"zone, other", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeZone, DedupWindow: time.Second}}}, Entry{Zone: 1}, 0, false},
		{"all", requestState{class: &classState{Class: Class{Idempotency: IdempotentByKey, Scope: ScopeAll, DedupWindow: time.Second}}}, Entry{Zone: 1, Cell: 5}, 0, true},
	} {
		w.b.now, w.b.tickInterval = time.Hour, 10*ms
		c.r.attempts = []attemptState{{endpoint: here, sentAt: w.b.now - c.age, mayHaveRun: true}}
		if got := w.b.idempotencyAllows(&c.r, &endpointState{Entry: c.to}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		c.r.attempts[0].mayHaveRun = false
		if !w.b.idempotencyAllows(&c.r, &endpointState{Entry: c.to}) {
			t.Errorf("%s: forbidden though nothing can have run", c.name)
		}
	}
}

// TestMemoryRunsFromTheFirstSend: a later attempt does not renew what the group remembers.
func TestMemoryRunsFromTheFirstSend(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.b.now, w.b.tickInterval = time.Hour, 10*ms
	endpoint := &endpointState{Entry: Entry{Cell: 1}}
	r := requestState{class: w.b.classes[keyedClass], attempts: []attemptState{
		{endpoint: endpoint, sentAt: w.b.now - 650*ms, mayHaveRun: true}, {endpoint: endpoint, sentAt: w.b.now - 100*ms, mayHaveRun: true}}}
	if w.b.idempotencyAllows(&r, endpoint) {
		t.Error("sent again after the group has forgotten the first attempt")
	}
}

// TestMemoryOutlastsALateConnection: what is sent now may arrive a connect time-out later, and has to be remembered then.
func TestMemoryOutlastsALateConnection(t *testing.T) {
	s := testSettings()
	s.ConnectTimeout = 200 * ms
	w := newWorld(t, s, 1)
	w.b.now, w.b.tickInterval = time.Hour, 10*ms
	for ago, want := range map[time.Duration]bool{300 * ms: true, 450 * ms: false} { // of 600 that it is remembered
		r := requestState{class: w.b.classes[keyedClass], attempts: []attemptState{{endpoint: &endpointState{}, sentAt: w.b.now - ago, mayHaveRun: true}}}
		if got := w.b.idempotencyAllows(&r, &endpointState{}); got != want {
			t.Errorf("%v after the first: may be sent again is %v, want %v", ago, got, want)
		}
	}
}

func TestNoSecondCopyWhereForbidden(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	w := newWorld(t, s, 1)
	w.servers(3)
	w.request(safeClass)
	w.run(800 * ms)
	if len(w.sends) != 1 {
		t.Errorf("%d attempts while the first was out, want 1", len(w.sends))
	}
}

// TestDrains: nothing goes to an endpoint that is draining, gone, or missing from a whole list.
func TestDrains(t *testing.T) {
	for name, tell := range map[string]func(*world){
		"draining": func(w *world) { w.list(ListDelta, Entry{Endpoint: 1, State: Draining, Weight: 1}) },
		"gone":     func(w *world) { w.list(ListDelta, Entry{Endpoint: 1, State: Gone}) },
		"missing":  func(w *world) { w.list(ListFull, Entry{Endpoint: 2, State: Ready, Weight: 1}) },
	} {
		w := newWorld(t, testSettings(), 1)
		w.servers(2)
		for range 6 {
			w.request(safeClass)
		}
		tell(w)
		sent := len(w.sends)
		for range 30 {
			w.request(safeClass)
			w.run(40 * ms)
		}
		if len(w.sends) == sent {
			t.Errorf("%s: nothing was sent at all", name)
		}
		for _, a := range w.sends[sent:] {
			if a.Endpoint == 1 {
				t.Fatalf("%s: sent to the endpoint after being told", name)
			}
		}
	}
}

// TestDiscoveryIsAsked: where discovery must be asked, an instance without a subscription counts as
// told of what was listed MaxListAge ago, so it has to ask before, also after every failure.
func TestDiscoveryIsAsked(t *testing.T) {
	s := testSettings()
	s.PollsDiscovery = true
	w := newWorld(t, s, 3)
	w.list(ListCached, Entry{Endpoint: 1, State: Ready, Weight: 1})
	last, asked := w.now, 0
	for range 6000 {
		w.run(10 * ms)
		for _, a := range w.other {
			if a.Kind == ActSubscribe {
				if w.now-last >= s.MaxListAge {
					t.Fatalf("%v between two calls", w.now-last)
				}
				last, asked = w.now, asked+1
				w.other = nil
				w.list(ListFailed)
				break
			}
		}
		w.other = nil
	}
	if asked < 6 {
		t.Errorf("asked %d times in a minute of failures", asked)
	}
	w.run(s.MaxListAge)
	w.list(ListDelta)
	w.other = nil
	w.run(30 * time.Second)
	if len(w.other) != 0 {
		t.Errorf("asked again while subscribed: %v", w.other)
	}
	w.list(ListFailed) // the subscription dropped
	w.run(s.MaxListAge - ms)
	if len(w.other) == 0 {
		t.Error("did not subscribe again after the subscription dropped")
	}
}

// TestColdBudget floods instances that act alike and have a cold endpoint among warm ones, and holds
// what all of them send it in any window against the budget.
func TestColdBudget(t *testing.T) {
	for _, instances := range []int{1, 3} {
		s := testSettings()
		s.Instances = instances
		var ws []*world
		for i := range instances {
			w := newWorld(t, s, uint64(i+1))
			w.servers(4)
			// Each warm endpoint answers every 50 ms, to all instances together.
			gap := time.Duration(instances) * 50 * ms / 4
			for range int(6 * time.Second / gap) {
				w.request(safeClass)
				w.run(gap)
				for j := len(w.sends) - 1; j >= max(0, len(w.sends)-1); j-- {
					w.end(j, OK, 40*ms)
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
				w.request(safeClass)
				w.run(5 * ms)
				for ; done < len(w.sends); done++ { // the cold one too keeps up: only its budget holds it back
					w.end(done, OK, 40*ms)
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
			t.Errorf("%d instances: the cold endpoint got nothing at all", instances)
		}
		capacity := warm / 4 / 5 // what a warm endpoint did a second
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
