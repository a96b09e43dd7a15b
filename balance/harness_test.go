package balance

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is one tier of a small service with one class of each effect.
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
	safeClass = iota
	keyedClass
	unsafeClass
)

// world drives one instance as a caller would and keeps what it did.
type world struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	timers  []timer
	sends   []Action
	sentAt  []time.Duration
	attempt []int // number of each send among its request's
	answers map[RequestID]int
	answer  map[RequestID]Action
	other   []Action
	cancels []Action
	nextID  RequestID
	tries   map[RequestID]int
	served  map[RequestID]bool
}

type timer struct {
	at    time.Duration
	token Token
}

func newWorld(t *testing.T, s Settings, seed uint64) *world {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, b: b, now: time.Hour, answers: map[RequestID]int{}, answer: map[RequestID]Action{},
		tries: map[RequestID]int{}, served: map[RequestID]bool{}}
}

func (w *world) event(ev Event) {
	for _, a := range w.b.Handle(w.now, &ev, nil) {
		switch a.Kind {
		case ActTimer:
			w.timers = append(w.timers, timer{w.now + a.After, a.Token})
		case ActSend:
			w.sends, w.sentAt = append(w.sends, a), append(w.sentAt, w.now)
			w.attempt = append(w.attempt, w.tries[a.Request])
			w.tries[a.Request]++
		case ActReject, ActFail:
			w.answers[a.Request]++
			w.answer[a.Request] = a
		case ActCancel:
			w.cancels = append(w.cancels, a)
		default:
			w.other = append(w.other, a)
		}
	}
	for len(w.cancels) > 0 { // a withdrawn attempt ends at once
		a := w.cancels[0]
		w.cancels = w.cancels[1:]
		w.event(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Status: Cancelled,
			Closed: w.answers[a.Request] > 0 || w.served[a.Request]})
	}
}

// run lets time pass, firing timers in order.
func (w *world) run(d time.Duration) {
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

func (w *world) list(kind ListKind, entries ...Entry) {
	w.event(Event{Kind: EventMembership, List: kind, Entries: entries})
}

// servers lists n ready endpoints, 1 to n, all in cell 0 unless cells says otherwise.
func (w *world) servers(n int, cells ...int) {
	var es []Entry
	for i := 1; i <= n; i++ {
		e := Entry{Endpoint: EndpointID(i), State: Ready, Weight: 1}
		if i <= len(cells) {
			e.Cell = cells[i-1]
		}
		es = append(es, e)
	}
	w.list(ListFull, es...)
}

func (w *world) request(class int) RequestID {
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: class, Remaining: w.b.settings.Classes[class].Deadline})
	return w.nextID
}

// end reports how the send with this index ended.
func (w *world) end(i int, status Status, latency time.Duration) {
	a, n := w.sends[i], w.attempt[i]
	w.served[a.Request] = w.served[a.Request] || status == OK
	w.event(Event{Kind: EventOutcome, Request: a.Request, Endpoint: a.Endpoint, Attempt: n, Status: status,
		Closed: status == OK, Latency: latency})
}

// serve plays calls one after another on all servers, with a delay for each, and lets outcomes teach.
func (w *world) serve(calls, class int, delay func(EndpointID) time.Duration) {
	for range calls {
		n := len(w.sends)
		w.request(class)
		if len(w.sends) == n {
			w.run(20 * ms)
			continue
		}
		d := delay(w.sends[n].Endpoint)
		w.run(d)
		w.end(n, OK, d)
		w.run(5 * ms)
	}
}
