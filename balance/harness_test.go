package balance

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings for one tier of a small service with one class of each idempotency.
func testSettings() Settings {
	return Settings{
		Instances: 1, Tiers: 1, Zones: 1, Kinds: 1, OverQuotaValue: 0.1,
		Classes: []Class{
			{TargetLatency: 400 * ms, Deadline: 1000 * ms, Idempotency: Idempotent, Value: 1},
			{TargetLatency: 400 * ms, Deadline: 1000 * ms, Idempotency: IdempotentByKey, Scope: ScopeCell, DedupWindow: 600 * ms, Value: 1},
			{TargetLatency: 400 * ms, Deadline: 1000 * ms, Idempotency: NonIdempotent, Value: 1},
		},
		TimeResolution: 2 * ms, Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 500 * ms,
		MaxAttempts: 4, MaxPending: 1000, ResponseSlack: 8 * ms, DrainGrace: 250 * ms, MaxListAge: 10 * time.Second,
		WarmupInitialShare: 0.2, WarmupDuration: 10 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
	}
}

const (
	idempotentClass = iota
	keyedClass
	nonIdempotentClass
)

// testInstance drives one instance as its caller does, and records its actions.
type testInstance struct {
	t              *testing.T
	b              *Balancer
	now            time.Duration
	timers         []timer
	sends          []Action
	sentAt         []time.Duration
	attemptNumbers []int // attempt number of each send
	answerCounts   map[RequestID]int
	answers        map[RequestID]Action
	otherActions   []Action
	cancels        []Action
	nextID         RequestID
	attemptCounts  map[RequestID]int
	served         map[RequestID]bool
}

type timer struct {
	at    time.Duration
	token Token
}

func newTestInstance(t *testing.T, s Settings, seed uint64) *testInstance {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &testInstance{t: t, b: b, now: time.Hour, answerCounts: map[RequestID]int{}, answers: map[RequestID]Action{},
		attemptCounts: map[RequestID]int{}, served: map[RequestID]bool{}}
}

func (w *testInstance) event(ev Event) {
	for _, a := range w.b.Handle(w.now, &ev, nil) {
		switch a.Kind {
		case ActTimer:
			w.timers = append(w.timers, timer{w.now + a.After, a.Token})
		case ActSend:
			w.sends, w.sentAt = append(w.sends, a), append(w.sentAt, w.now)
			w.attemptNumbers = append(w.attemptNumbers, w.attemptCounts[a.Request])
			w.attemptCounts[a.Request]++
		case ActReject, ActFail:
			w.answerCounts[a.Request]++
			w.answers[a.Request] = a
		case ActCancel:
			w.cancels = append(w.cancels, a)
		default:
			w.otherActions = append(w.otherActions, a)
		}
	}
	for len(w.cancels) > 0 { // a cancelled attempt ends at once
		a := w.cancels[0]
		w.cancels = w.cancels[1:]
		w.event(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Status: Cancelled,
			Closed: w.answerCounts[a.Request] > 0 || w.served[a.Request]})
	}
}

// advance moves the clock forward by d and fires timers in order.
func (w *testInstance) advance(d time.Duration) {
	end := w.now + d
	for {
		next := -1
		for i, tm := range w.timers {
			if tm.at <= end && (next < 0 || tm.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		tm := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = max(w.now, tm.at)
		w.event(Event{Kind: EventTimer, Token: tm.token})
	}
	w.now = end
}

func (w *testInstance) list(kind ListKind, entries ...Entry) {
	w.event(Event{Kind: EventMembership, List: kind, Entries: entries})
}

// listReady sends a full list of n ready endpoints with IDs 1 to n. Endpoint i is in cell cells[i-1], or in cell 0.
func (w *testInstance) listReady(n int, cells ...int) {
	var entries []Entry
	for i := 1; i <= n; i++ {
		e := Entry{Endpoint: EndpointID(i), State: Ready, Weight: 1}
		if i <= len(cells) {
			e.Cell = cells[i-1]
		}
		entries = append(entries, e)
	}
	w.list(ListFull, entries...)
}

func (w *testInstance) request(class int) RequestID {
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: class, Remaining: w.b.settings.Classes[class].Deadline})
	return w.nextID
}

// endAttempt reports the outcome of the attempt w.sends[i].
func (w *testInstance) endAttempt(i int, status Status, latency time.Duration) {
	a, n := w.sends[i], w.attemptNumbers[i]
	w.served[a.Request] = w.served[a.Request] || status == OK
	w.event(Event{Kind: EventOutcome, Request: a.Request, Endpoint: a.Endpoint, Attempt: n, Status: status,
		Closed: status == OK, Latency: latency})
}

// serveCalls makes calls one after another, each answered after the delay of its endpoint.
func (w *testInstance) serveCalls(calls, class int, delay func(EndpointID) time.Duration) {
	for range calls {
		n := len(w.sends)
		w.request(class)
		if len(w.sends) == n {
			w.advance(20 * ms)
			continue
		}
		d := delay(w.sends[n].Endpoint)
		w.advance(d)
		w.endAttempt(n, OK, d)
		w.advance(5 * ms)
	}
}
