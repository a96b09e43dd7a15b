package balance

import (
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheMissingSetting(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Classes":           func(s *Settings) { s.Classes = nil },
		"Instances":         func(s *Settings) { s.Instances = 0 },
		"MaxAttempts":       func(s *Settings) { s.MaxAttempts = 0 },
		"ColdShare":         func(s *Settings) { s.WarmupInitialShare = 0 },
		"FallMultiple":      func(s *Settings) { s.CollapseMultiple = 0 },
		"FallWindow":        func(s *Settings) { s.CollapseWindow = 0 },
		"MustAskIn":         func(s *Settings) { s.PollsDiscovery, s.MaxListAge = true, 0 },
		"Classes[1].Aim":    func(s *Settings) { s.Classes[1].TargetLatency = 0 },
		"Classes[0].Effect": func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[1].Memory": func(s *Settings) { s.Classes[1].DedupWindow = 0 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not name %s", err, want)
		}
	}
}

// Guards against rejecting requests of a tenant within its quota while another tenant is far over its own.
func TestTenantsWithinQuotaComeFirst(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 0.5, Quota: 20}, {Share: 0.5, Quota: 25}}
	w := newTestInstance(t, s, 1)
	w.listReady(2)
	rejected := map[int]int{}
	for i := range 400 {
		tenant := 0
		if i%10 == 0 {
			tenant = 1
		}
		w.nextID++
		w.event(Event{Kind: EventRequest, Request: w.nextID, Class: nonIdempotentClass, Tenant: tenant, Remaining: time.Second})
		if w.answers[w.nextID].Kind == ActReject {
			rejected[tenant]++
		}
		w.advance(5 * ms)
		for j := range w.sends { // each endpoint answers 20 requests per second
			if w.b.requests[w.sends[j].Request] != nil && w.now-w.sentAt[j] > 100*ms {
				w.endAttempt(j, OK, 100*ms)
			}
		}
	}
	if rejected[1]*50 > rejected[0] {
		t.Errorf("rejected %d requests of the tenant far over its quota and %d of the tenant within it", rejected[0], rejected[1])
	}
}

// Guards against an inner tier that rejects requests on arrival and so wastes the work of the outer tiers.
func TestInnerTiersDoNotShedLoad(t *testing.T) {
	s := testSettings()
	s.Tier, s.Tiers = 1, 2
	s.Tenants = []Tenant{{Share: 1, Quota: 1}}
	w := newTestInstance(t, s, 1)
	w.listReady(1)
	for range 40 {
		w.request(nonIdempotentClass)
	}
	if len(w.answerCounts) != 0 {
		t.Errorf("an inner tier rejected %d of 40 calls on arrival", len(w.answerCounts))
	}
}

// Guards against requests that can't be sent in time and fail late instead of being rejected early.
func TestRejectedBeforeTheTargetIsMissed(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(1)
	for range 60 {
		w.request(nonIdempotentClass)
	}
	w.advance(200 * ms)
	rejected := 0
	for _, a := range w.answers {
		if a.Kind == ActReject {
			rejected++
			if a.After <= 0 {
				t.Error("rejected without a retry hint")
			}
		}
	}
	if want := 60 - len(w.sends); rejected != want || rejected == 0 {
		t.Errorf("%d requests rejected half a target latency after arrival, want the %d that were not sent", rejected, want)
	}
}

// Guards against a limit that leaves endpoints idle because the work alone takes much of the target latency.
func TestLimitKeptWithSlowWork(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	w.serveCalls(300, idempotentClass, func(EndpointID) time.Duration { return 180 * ms }) // 0.45 of the target latency, uncongested
	if w.b.limit < initialLimit*4 {
		t.Errorf("limit %.1f after uncongested traffic, started at %.1f", w.b.limit, initialLimit*4)
	}
}

func TestLimitFallsWithCongestion(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 40 * ms })
	uncongested := w.b.limit
	w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 390 * ms })
	if w.b.limit >= uncongested {
		t.Errorf("limit %.1f under congestion, %.1f without", w.b.limit, uncongested)
	}
}

// Guards against a limit below the concurrency that the present rate needs when other instances cause the high latency:
// the queue at this instance would grow and add to the latency.
func TestLimitKeepsPresentRate(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(2)
	lowestLimit := w.b.limit
	for step := range 2000 { // 100 requests per second; the latency does not depend on the number in flight
		delay := 40 * ms
		if step > 1000 {
			delay = 100 * ms
			lowestLimit = min(lowestLimit, w.b.limit)
		}
		w.request(nonIdempotentClass)
		w.advance(10 * ms)
		for j := range w.sends {
			if w.b.requests[w.sends[j].Request] != nil && w.now-w.sentAt[j] >= delay {
				w.endAttempt(j, OK, delay)
			}
		}
	}
	if lowestLimit < 1.5*w.b.instanceShare(minLimit) {
		t.Errorf("the limit fell to %.1f, close to its minimum of %.1f", lowestLimit, w.b.instanceShare(minLimit))
	}
}

// Guards against a hanging request that is not hedged because more than half of the limit is in use.
func TestHedgesUnderLoad(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(8)
	w.serveCalls(100, idempotentClass, func(EndpointID) time.Duration { return 40 * ms })
	w.b.limit = 14
	first := len(w.sends)
	for range 8 {
		w.request(idempotentClass)
	}
	w.advance(3 * 40 * ms)
	for j := first + 1; j < first+8; j++ {
		w.endAttempt(j, OK, 120*ms) // all attempts but one
	}
	for range 10 { // a hanging attempt doesn't count against the limit
		w.request(nonIdempotentClass)
	}
	w.b.retryTokens = maxRetryTokens // hedges of attempts that were only slow have used some
	sent := len(w.sends)
	if w.b.limitUtilisation() <= maxOverQuotaUse {
		t.Fatalf("only %.2f of the limit in use, want more than half for this test", w.b.limitUtilisation())
	}
	w.advance(30 * ms)
	if len(w.sends) == sent {
		t.Error("a hanging request was not hedged")
	}
}

// Guards against a limit that changes after too few answers: a single fast answer must not make all later ones look
// congested.
func TestLimitNeedsEvidence(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	before := w.b.limit
	w.serveCalls(int(minLimitResponses)-2, idempotentClass, func(EndpointID) time.Duration { return 300 * ms })
	if w.b.limit != before {
		t.Errorf("limit changed to %.1f after fewer than minLimitResponses answers", w.b.limit)
	}
}

func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	w.serveCalls(80, nonIdempotentClass, func(EndpointID) time.Duration { return 40 * ms })
	first := len(w.sends)
	for range 120 { // endpoint 1 no longer answers, but its connections stay open
		n := len(w.sends)
		w.request(nonIdempotentClass)
		w.advance(30 * ms)
		for j := n; j < len(w.sends); j++ {
			if w.sends[j].Endpoint != 1 {
				w.endAttempt(j, OK, 30*ms)
			}
		}
	}
	lost := 0
	for _, a := range w.sends[first:] {
		if a.Endpoint == 1 {
			lost++
		}
	}
	if lost > 12 {
		t.Errorf("%d of %d requests were sent to an unresponsive endpoint", lost, len(w.sends)-first)
	}
	if w.b.healthy(w.b.endpoints[0]) {
		t.Error("an endpoint that was unresponsive for seconds with open attempts counts as healthy")
	}
	if !w.b.healthy(w.b.endpoints[1]) {
		t.Error("an endpoint that answers counts as unhealthy")
	}
}

func TestFailingEndpointIsEjectedAndRecovers(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	failing, sent := true, 0
	for i := range 1200 {
		n := len(w.sends)
		w.request(nonIdempotentClass)
		w.advance(20 * ms)
		for j := n; j < len(w.sends); j++ {
			status := OK
			if w.sends[j].Endpoint == 1 {
				sent++
				if failing {
					status = Error
				}
			}
			w.endAttempt(j, status, 20*ms)
		}
		if i == 200 {
			if sent > 40 {
				t.Errorf("%d of 200 requests sent to an endpoint that fails all its requests", sent)
			}
			failing, sent = false, 0
		}
	}
	if sent < 50 {
		t.Errorf("only %d of 1000 requests sent to the endpoint after its recovery", sent)
	}
}

// Guards against ejecting endpoints when all of them fail because of a shared cause.
func TestSharedFailureEjectsNone(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	for range 100 {
		n := len(w.sends)
		w.request(nonIdempotentClass)
		w.advance(20 * ms)
		for j := n; j < len(w.sends); j++ {
			w.endAttempt(j, Error, 20*ms)
		}
	}
	if len(w.sends) < 60 {
		t.Errorf("only %d of 100 requests were sent while all endpoints failed", len(w.sends))
	}
}

func TestRetryBudget(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(5)
	for range 300 {
		w.request(idempotentClass)
		for range 5 {
			if n := len(w.sends); w.b.requests[w.sends[n-1].Request] != nil && w.b.requests[w.sends[n-1].Request].openAttempts > 0 {
				w.advance(5 * ms)
				w.endAttempt(n-1, Error, 5*ms)
			}
		}
		w.advance(5 * ms)
	}
	if maxAttempts := 300*(1+retryTokensPerRequest) + maxRetryTokens; float64(len(w.sends)) > maxAttempts {
		t.Errorf("%d attempts for 300 requests that all fail, budget %.0f", len(w.sends), maxAttempts)
	}
}

// Guards against a few clients with a long time-out that make the requests of all others look as if their time was spent:
// those would be rejected on arrival.
func TestLongTimeoutsDoNotSkewUsualRemaining(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(4)
	sendRequest := func(remaining time.Duration) RequestID {
		w.nextID++
		w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: remaining})
		w.advance(20 * ms)
		if n := len(w.sends); n > 0 && w.sends[n-1].Request == w.nextID {
			w.endAttempt(n-1, OK, 20*ms)
		}
		return w.nextID
	}
	for i := range 100 {
		remaining := 500 * ms
		if i%20 == 10 {
			remaining = 1000 * ms // longer by more than a target latency
		}
		if id := sendRequest(remaining); w.answerCounts[id] != 0 || w.attemptCounts[id] != 1 {
			t.Fatalf("request %d, with %v remaining: rejected or not sent", i, remaining)
		}
	}
	w.nextID++
	w.event(Event{Kind: EventRequest, Request: w.nextID, Class: idempotentClass, Remaining: 300 * ms})
	request := w.b.requests[w.nextID]
	if spent := w.now + request.class.TargetLatency - request.targetAt; spent != 200*ms {
		t.Errorf("a request with 200 ms less than usual remaining counts as having spent %v", spent)
	}
}

// Guards against hanging attempts that count against the limit or cause a cut. An attempt hangs if it is overdue and its
// endpoint has answered attempts that were sent later; other attempts do count.
func TestHungAttemptsDoNotCountAgainstLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  bool          // the endpoints answer the requests after the first four
		age     time.Duration // of the first four attempts at that time
		counted int           // number of the first four attempts that count against the limit
		cut     bool          // whether the limit is cut when the first four requests are abandoned
	}{
		{"overtaken and overdue", true, 300 * ms, 0, false},
		{"overtaken", true, 100 * ms, 4, false},
		{"overdue", false, 300 * ms, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Hedging = false
			w := newTestInstance(t, s, 3)
			w.listReady(2)
			w.serveCalls(40, nonIdempotentClass, func(EndpointID) time.Duration { return 50 * ms })
			w.b.limit = 20
			for range 4 {
				w.request(nonIdempotentClass)
			}
			from := len(w.sends)
			w.advance(5 * ms)
			for range 12 {
				w.request(nonIdempotentClass)
			}
			w.advance(c.age - 5*ms)
			for i := from; i < len(w.sends); i++ {
				status := Cancelled
				if c.answer {
					status = OK
				}
				w.endAttempt(i, status, 50*ms)
			}
			w.b.assessPending() // counts the attempts that likely don't hang
			counted := 0
			for _, endpoint := range w.b.endpoints {
				counted += endpoint.inFlight
			}
			if counted != c.counted {
				t.Errorf("%d of four attempts count against the limit, want %d", counted, c.counted)
			}
			before := w.b.limit
			w.advance(800 * ms) // past their deadline
			if cut := w.b.limit < before; cut != c.cut {
				t.Errorf("the limit changed from %v to %v", before, w.b.limit)
			}
		})
	}
}

// Guards against rejecting the requests of callers with a short time-out as if they had spent their time elsewhere. That
// holds for first attempts at the first tier and for those that could otherwise no longer meet their target latency; a
// retry has spent the difference.
func TestShortTimeoutIsNotTimeSpent(t *testing.T) {
	for _, c := range []struct {
		name                string
		tier                int
		marksRetries, retry bool
		remaining, spent    time.Duration
	}{
		{"first attempt at the first tier", 0, true, false, 800 * ms, 0},
		{"retries not marked", 0, false, false, 800 * ms, 200 * ms},
		{"retry", 0, true, true, 800 * ms, 200 * ms},
		{"inner tier, target latency still possible", 1, true, false, 800 * ms, 200 * ms},
		{"inner tier, target latency missed", 1, true, false, 250 * ms, 0},
		{"retry, target latency missed", 1, true, true, 250 * ms, 750 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Tiers, s.Tier, s.MarksRetries = 2, c.tier, c.marksRetries
			w := newTestInstance(t, s, 3)
			w.listReady(2)
			w.serveCalls(40, idempotentClass, func(EndpointID) time.Duration { return 50 * ms }) // all with 1 s remaining
			got := w.b.timeSpent(w.b.classes[idempotentClass], &Event{Remaining: c.remaining, ClientRetry: c.retry})
			if got != c.spent {
				t.Errorf("%v remaining counts as %v spent, want %v", c.remaining, got, c.spent)
			}
		})
	}
}
