package balance

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// Guards against a handshake limit that assumes another number of instances per endpoint than chooseSubset results in.
func TestHandshakeLimitUsesSameSubsetSize(t *testing.T) {
	if pacing.MinHostsPerInstance != minSubsetSize || pacing.TargetInstancesPerHost != targetInstancesPerEndpoint {
		t.Errorf("package pacing has %d and %d, package balance has %d and %d", pacing.MinHostsPerInstance, pacing.TargetInstancesPerHost, minSubsetSize, targetInstancesPerEndpoint)
	}
}

// Guards against uneven load from the choice of subsets: each endpoint of a large fleet must be used by about the same
// number of instances, also within each kind. In a small fleet every instance uses all endpoints.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	for _, c := range []struct{ instances, endpointCount, minUsers, maxUsers int }{
		{1, 10, 1, 1},
		{2, 17, 2, 2},
		{10, 15, targetInstancesPerEndpoint - 1, targetInstancesPerEndpoint + 1},
		{13, 16, 6, 7}, // the large fleet: subsets by name gave 2 to 10, so that some endpoints were congested and others idle
		{75, 84, targetInstancesPerEndpoint - 1, targetInstancesPerEndpoint + 2},
		{84, 168, targetInstancesPerEndpoint - 1, targetInstancesPerEndpoint + 1},
		{168, 147, targetInstancesPerEndpoint, targetInstancesPerEndpoint + 4},
		{40, 300, targetInstancesPerEndpoint - 1, targetInstancesPerEndpoint + 1},
	} {
		users := map[EndpointID]int{}
		for rank := range c.instances {
			s := testSettings()
			s.Instances, s.Rank, s.Kinds = c.instances, rank, 2
			w := newTestInstance(t, s, uint64(rank))
			var entries []Entry
			for i := range c.endpointCount {
				entries = append(entries, Entry{Endpoint: EndpointID(i * 7), State: Ready, Weight: 1, Kind: min(i%3, 1)})
			}
			w.list(ListFull, entries...)
			n, other := 0, 0
			for _, x := range w.b.endpoints {
				users[x.Endpoint]++
				n++
				other += x.Kind
			}
			if part := float64(other) / float64(n); c.endpointCount > 30 && (part < 0.55 || part > 0.78) {
				t.Errorf("%d instances, %d endpoints: %d of %d endpoints in use are of kind 1, want two thirds", c.instances, c.endpointCount, other, n)
			}
		}
		for i := range c.endpointCount {
			if u := users[EndpointID(i*7)]; u < c.minUsers || u > c.maxUsers {
				t.Errorf("%d instances, %d endpoints: an endpoint is used by %d instances, want %d to %d", c.instances, c.endpointCount, u, c.minUsers, c.maxUsers)
			}
		}
	}
}

// Guards against a smaller subset during an ejection: an ejected endpoint is replaced, but stays in the subset so that
// it can recover with a trial request.
func TestEjectedEndpointIsReplaced(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newTestInstance(t, s, 1)
	w.listReady(60)
	if n := len(w.b.endpoints); n != minSubsetSize {
		t.Fatalf("%d endpoints used, want %d", n, minSubsetSize)
	}
	bad := w.b.endpoints[3]
	w.b.eject(bad)
	w.advance(time.Second)
	if n := len(w.b.endpoints); n != minSubsetSize+1 || !bad.inSubset {
		t.Fatalf("%d endpoints used (the ejected one: %v), want the ejected one and its replacement", n, bad.inSubset)
	}
	bad.halfOpen, bad.ejectedUntil, w.b.solveNeeded = false, 0, true // as after a served trial request
	w.advance(time.Second)
	if n := len(w.b.endpoints); n != minSubsetSize {
		t.Fatalf("%d endpoints used after its recovery, want %d", n, minSubsetSize)
	}
	closed := 0
	for _, a := range w.otherActions {
		if a.Kind == ActCloseIdle {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("idle connections to %d endpoints closed, want those to the replacement only", closed)
	}
}

// Guards against a smaller subset when an endpoint in it drains: the next endpoint of the ring must replace it
// immediately.
func TestSubsetFollowsList(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newTestInstance(t, s, 1)
	w.listReady(60)
	e := w.b.endpoints[0].Entry
	e.State = Draining
	w.list(ListDelta, e)
	if n := len(w.b.endpoints); n != minSubsetSize || w.b.endpoints[0].Endpoint == e.Endpoint {
		t.Errorf("%d endpoints used, the draining one among them: %v", n, w.b.endpoints[0].Endpoint == e.Endpoint)
	}
}

// Guards against an initial or minimum limit per instance that is not divided by the number of instances: a hundred
// instances with a minimum of two requests per endpoint each would accept any overload.
func TestLimitIsDividedByInstances(t *testing.T) {
	for _, c := range []struct{ instances, endpointCount int }{{1, 10}, {10, 15}, {100, 60}, {130, 70}} {
		s := testSettings()
		s.Instances = c.instances
		w := newTestInstance(t, s, 1)
		w.listReady(c.endpointCount)
		if total := w.b.limit * float64(c.instances); total > max(float64(c.instances), initialLimit*float64(c.endpointCount))+0.01 {
			t.Errorf("%d instances, %d endpoints: the initial limits of all instances add up to %.0f", c.instances, c.endpointCount, total)
		}
		for range int(minBaselineResponses) { // a few fast answers, then only late ones
			w.b.latencyWindow.add(min(1, 0.05/0.4))
		}
		w.advance(maintenanceInterval)
		for range 50 {
			for range int(minBaselineResponses) {
				w.b.latencyWindow.add(min(1, 1/0.4))
			}
			w.advance(maintenanceInterval)
		}
		if total := w.b.limit * float64(c.instances); total > max(float64(c.instances), minLimit*float64(c.endpointCount))+0.01 {
			t.Errorf("%d instances, %d endpoints: the limits of all instances still add up to %.0f after late answers", c.instances, c.endpointCount, total)
		}
	}
}

// Guards against a fractional limit that every instance rounds down: the instances together would never reach their
// limit, and no limit could grow.
func TestFractionOfLimitIsUsed(t *testing.T) {
	allowed := 0.0
	for seed := range uint64(200) {
		s := testSettings()
		s.Instances = 200
		w := newTestInstance(t, s, seed)
		w.listReady(40)
		w.b.limit = smallLimit + 0.6
		allowed += w.b.allowedInFlight(nil)
		before := w.b.limit
		for range 5 {
			for range int(minBaselineResponses) {
				w.b.latencyWindow.add(min(1, 0.05/0.4))
			}
			w.b.limitUse = decayedMean{1000, 1000 * w.b.limit}
			w.advance(maintenanceInterval)
		}
		if w.b.limit <= before {
			t.Fatalf("seed %d: limit still %.2f although it was reached and answers were fast", seed, w.b.limit)
		}
	}
	if mean := allowed / 200; math.Abs(mean-smallLimit-0.6) > 0.15 {
		t.Errorf("200 instances with a limit of %.1f have a mean of %.2f in flight", smallLimit+0.6, mean)
	}
}

// measureInFlight sends one request per interval to an instance with a fixed limit for 30 s, with answers after 100 ms,
// and returns the mean and the maximum number of requests in flight.
func measureInFlight(t *testing.T, limit float64, interval time.Duration) (mean float64, maxInFlight int) {
	s := testSettings()
	s.Instances = 1000 // for a small share of minLimit
	w := newTestInstance(t, s, 1)
	w.listReady(20)
	const steps = 3000
	done := 0
	for step := range steps {
		w.b.limit = limit
		if step%int(interval/(10*ms)) == 0 {
			w.request(nonIdempotentClass)
		}
		w.advance(10 * ms)
		for ; done < len(w.sends) && w.now-w.sentAt[done] >= 100*ms; done++ {
			w.endAttempt(done, OK, 100*ms)
		}
		inFlight := len(w.sends) - done
		mean += float64(inFlight) / steps
		maxInFlight = max(maxInFlight, inFlight)
	}
	return mean, maxInFlight
}

// Guards against an instance with a small limit that rejects most requests because they arrive in short bursts, and
// against one that exceeds its limit on average under overload.
func TestSmallLimitIsKeptOnAverage(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 2.5} {
		mean, maxInFlight := measureInFlight(t, limit, 10*ms)
		if mean > 1.15*limit || mean < 0.8*limit { // adaptLimit may raise the limit until the next step resets it
			t.Errorf("with a limit of %.1f, %.2f requests are in flight on average under overload", limit, mean)
		}
		if float64(maxInFlight) < limit+1 || float64(maxInFlight) > math.Ceil(2.5*limit+3*math.Sqrt(2.5*limit)) {
			t.Errorf("with a limit of %.1f, at most %d requests are in flight", limit, maxInFlight)
		}
	}
	if mean, _ := measureInFlight(t, 1, 200*ms); mean < 0.45 {
		t.Errorf("%.2f requests in flight on average, want close to the offered 0.5", mean)
	}
}

// Guards against less valuable requests that use up a small limit: as requests arrive one at a time there is no queue
// to order by priority, so part of the limit has to be reserved for the more valuable ones.
func TestSmallLimitIsReservedByPriority(t *testing.T) {
	s := testSettings()
	s.Classes[keyedClass].Value = 4
	s.Instances = 1000
	w := newTestInstance(t, s, 1)
	w.listReady(20)
	sent, done := [3]int{}, 0
	class := map[RequestID]int{}
	for step := range 4000 { // the offered load of each class is 1.5 in flight, and the limit is 1
		w.b.limit = 1
		if step%4 < 2 {
			class[w.request(step%4)] = step % 4
		}
		w.advance(10 * ms)
		for ; done < len(w.sends) && w.now-w.sentAt[done] >= 60*ms; done++ {
			sent[class[w.sends[done].Request]]++
			w.endAttempt(done, OK, 60*ms)
		}
	}
	if valuable, others := sent[keyedClass], sent[idempotentClass]; valuable < 600 || others > valuable/2 {
		t.Errorf("%d of 1000 valuable requests and %d of 1000 others were sent", valuable, others)
	}
}

// Guards against clients' retries that delay first attempts while many requests are rejected: with a fifth rejected,
// retries, which have less time remaining, made the first attempts late. If few requests are rejected, first attempts
// and retries have equal priority, because a rejected retry is lost.
func TestFirstAttemptsGoFirstUnderScarcity(t *testing.T) {
	for rejected, firstGoesFirst := range map[float64]bool{0: false, 0.1: false, 0.2: true, 1: true} {
		s := testSettings()
		s.MarksRetries = true
		w := newTestInstance(t, s, 1)
		w.listReady(1)
		w.b.rejections = decayedMean{100, 100 * rejected}
		w.b.limit, w.b.sends.n = smallLimit, 1000
		for range 10 {
			w.request(nonIdempotentClass)
		}
		w.nextID++
		retry := w.nextID
		w.event(Event{Kind: EventRequest, Request: retry, Class: nonIdempotentClass, Remaining: time.Second, ClientRetry: true})
		first := w.request(nonIdempotentClass)
		queueIndex := func(id RequestID) int {
			return slices.IndexFunc(w.b.queue, func(request *requestState) bool { return request.id == id })
		}
		if i, j := queueIndex(retry), queueIndex(first); i < 0 || j < 0 || j < i != firstGoesFirst {
			t.Errorf("%.1f rejected: the retry is at index %d of the queue, the first attempt at %d", rejected, i, j)
		}
	}
}

// Guards against rejected clients that all retry at the same time: the retry hint must grow with the fraction of
// requests that are rejected and must have jitter.
func TestRetryAfterGrowsWithJitter(t *testing.T) {
	measureHints := func(rejected float64) (mean time.Duration, distinct int) {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(1)
		w.b.settings.MaxRetryAfter = time.Hour
		w.b.rejections = decayedMean{100, 100 * rejected}
		seen := map[time.Duration]bool{}
		for range 100 {
			hint := w.b.retryAfter(&requestState{class: w.b.classes[0]})
			mean += hint / 100
			seen[hint] = true
		}
		return mean, len(seen)
	}
	fewRejected, distinct := measureHints(0.1)
	manyRejected, _ := measureHints(0.9)
	if manyRejected < 3*fewRejected || distinct < 90 {
		t.Errorf("mean hint %v with few rejections and %v with many, %d of 100 hints different", fewRejected, manyRejected, distinct)
	}
}

// Guards against subsets by name that use endpoints unevenly, differ after a restart, or change much when an endpoint
// is added.
func TestSubsetByName(t *testing.T) {
	subsetOf := func(name string, endpointCount int, seed uint64) map[EndpointID]bool {
		s := testSettings()
		s.Name, s.Instances = name, 50
		w := newTestInstance(t, s, seed)
		w.listReady(endpointCount)
		out := map[EndpointID]bool{}
		for _, x := range w.b.endpoints {
			out[x.Endpoint] = true
		}
		return out
	}
	users, changed := map[EndpointID]int{}, 0
	for i := range 200 {
		name := fmt.Sprint("n", i)
		subset := subsetOf(name, 50, 1)
		if len(subset) != minSubsetSize || !maps.Equal(subset, subsetOf(name, 50, 2)) {
			t.Fatalf("%s uses %d endpoints, or other ones after a restart", name, len(subset))
		}
		for id := range subset {
			users[id]++
		}
		for id := range subsetOf(name, 51, 1) {
			if !subset[id] {
				changed++
			}
		}
	}
	for id := range EndpointID(50) { // 32 of 200 instances on average, within 4 standard deviations
		if n := users[id+1]; n < 32-21 || n > 32+21 {
			t.Errorf("endpoint %d is used by %d instances", id+1, n)
		}
	}
	if changed > 200 {
		t.Errorf("one more endpoint changes %d of 1600 choices", changed)
	}
}

// Guards against a listed start that is missing, earlier than before or in the future: it must neither make a warming
// endpoint look warm nor keep it warming up indefinitely.
func TestImplausibleStartTimes(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	entry := Entry{Endpoint: 1, State: Ready, Weight: 1, StartedAt: w.now}
	w.list(ListFull, entry)
	warmingUp := func() bool { return w.b.isWarmingUp(w.b.endpointsByID[1]) }
	for _, start := range []time.Duration{entry.StartedAt, 0, entry.StartedAt - time.Hour} {
		entry.StartedAt = start
		if w.list(ListDelta, entry); !warmingUp() {
			t.Errorf("a listed start of %v after one of %v makes the endpoint warm", start, w.now)
		}
	}
	w.advance(w.b.settings.WarmupDuration)
	if warmingUp() {
		t.Error("the endpoint warms up for longer than WarmupDuration")
	}
	entry.StartedAt = w.now + time.Hour // a clock that is ahead
	w.list(ListDelta, entry)
	if !warmingUp() {
		t.Error("a new start in the future is not counted as a start")
	}
	w.advance(w.b.settings.WarmupDuration / 2)
	w.list(ListDelta, entry)
	w.advance(w.b.settings.WarmupDuration / 2)
	if warmingUp() {
		t.Error("a start in the future makes the endpoint warm up for longer than WarmupDuration")
	}
	entry.StartedAt = w.now // another start after the clock was corrected, earlier than the last listed start
	if w.list(ListDelta, entry); !warmingUp() {
		t.Error("a start that follows one in the future is not counted as a start")
	}
}

// Guards against an instance with few answers that cuts its limit too slowly: congestion grows with time, not with the
// number of answers.
func TestLimitCutsGrowWithTime(t *testing.T) {
	limitAfter := func(answers int, interval time.Duration) float64 { // the limit after 5 s of late answers
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(10)
		for range int(minBaselineResponses) {
			w.b.latencyWindow.add(min(1, 0.05/0.4))
		}
		w.advance(maintenanceInterval)
		w.b.limit = 1000
		for range 5 * time.Second / interval {
			for range answers {
				w.b.latencyWindow.add(min(1, 0.39/0.4))
			}
			w.advance(interval)
		}
		return w.b.limit
	}
	manyAnswers, fewAnswers := limitAfter(100, maintenanceInterval), limitAfter(12, 4*maintenanceInterval)
	if manyAnswers > 500 || fewAnswers > 500 || fewAnswers > 3*manyAnswers {
		t.Errorf("limit 1000 cut to %.0f with many late answers and %.0f with few", manyAnswers, fewAnswers)
	}
}

// Guards against ejecting an endpoint with a full connection table: failed connects are no sign of a crash while the
// endpoint serves other requests.
func TestFailedConnectsOfAnsweringEndpoint(t *testing.T) {
	for _, answers := range []bool{true, false} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(1)
		w.serveCalls(60, idempotentClass, func(EndpointID) time.Duration { return 40 * ms })
		w.advance(20 * time.Second) // old answers have little weight after this time
		w.b.limit = 20
		before := w.b.limit
		var ids []int
		for range 5 {
			w.request(nonIdempotentClass)
			ids = append(ids, len(w.sends)-1)
		}
		if len(w.sends) != 65 {
			t.Fatalf("%d sends, want 65", len(w.sends))
		}
		w.advance(60 * ms)
		if answers {
			w.endAttempt(ids[0], OK, 60*ms)
		}
		for _, at := range ids[1:] {
			w.endAttempt(at, ConnectFailed, 60*ms)
		}
		ejected := w.b.endpoints[0].ejectionBackoff > 0
		if ejected == answers {
			t.Errorf("another request answered: %v, endpoint ejected: %v", answers, ejected)
		}
		if answers && w.b.limit >= before {
			t.Errorf("limit %.1f, was %.1f before the connects failed", w.b.limit, before)
		}
	}
}

// Guards against an instance that starts during congestion and takes the high latency for its baseline: its limit would
// never fall.
func TestStartDuringCongestion(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(10)
	w.b.limit = 100
	for range 20 {
		for range int(minBaselineResponses) {
			w.b.latencyWindow.add(min(1, 0.6*0.4/0.4)) // a constant latency of 0.6 of the target
		}
		w.b.limitUse = decayedMean{1000, 1000 * w.b.limit}
		w.advance(maintenanceInterval)
	}
	if w.b.limit > 50 {
		t.Errorf("limit %.0f after 5 s of high latency, started at 100", w.b.limit)
	}
}

// Guards against new requests to an endpoint outside the subset that still has pending attempts, such as the
// replacement of an ejected endpoint that has recovered.
func TestNoNewRequestsOutsideSubset(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newTestInstance(t, s, 1)
	w.listReady(60)
	bad := w.b.endpoints[3]
	w.b.eject(bad)
	w.advance(time.Second)
	w.b.limit = 100
	for range 40 { // every endpoint, including the replacement, gets some requests
		w.request(idempotentClass)
	}
	bad.halfOpen, bad.ejectedUntil = false, 0 // as after a served trial request
	w.b.rebuildEndpoints()
	var outside *endpointState
	for _, x := range w.b.endpoints {
		if !x.inSubset {
			outside = x
		}
	}
	if outside == nil || len(outside.pending) == 0 {
		t.Fatal("no endpoint outside the subset has pending attempts")
	}
	n := len(w.sends)
	for range 60 {
		w.request(nonIdempotentClass)
	}
	for _, a := range w.sends[n:] {
		if a.Endpoint == outside.Endpoint {
			t.Fatal("a new request was sent to an endpoint outside the subset")
		}
	}
	if len(w.sends) == n {
		t.Fatal("nothing was sent")
	}
}

// Guards against a limit that grows although it is not used on average: the unused part would turn into congestion when
// endpoints become slower.
func TestLimitGrowsWithMeanUse(t *testing.T) {
	for _, c := range []struct {
		use   float64
		grows bool
	}{{0.5, false}, {0.65, false}, {0.95, true}} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(10)
		before := w.b.limit
		for range 5 {
			for range int(minBaselineResponses) {
				w.b.latencyWindow.add(min(1, 0.05/0.4))
			}
			w.b.limitUse = decayedMean{10000, 10000 * c.use * w.b.limit}
			w.advance(maintenanceInterval)
		}
		if w.b.limit > before != c.grows {
			t.Errorf("limit changed from %.0f to %.0f with %.2f of it in use", before, w.b.limit, c.use)
		}
	}
}

// Guards against a limit that does not follow the capacity of the endpoints: an empty first list must not leave it at
// zero, restarts must not raise it each time, and frequent lists must not prevent its growth while endpoints warm up.
func TestLimitFollowsCapacity(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	var entries []Entry
	for i := range 12 {
		entries = append(entries, Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1})
	}
	w.list(ListCached)
	for round := range 3 {
		w.list(ListFull, entries...)
		for range 2 * w.b.settings.WarmupDuration / (200 * ms) {
			w.advance(200 * ms)
			w.list(ListFull, entries...)
		}
		if math.Abs(w.b.limit-12*initialLimit) > 1 {
			t.Errorf("limit %.1f after %d restarts of all endpoints, with nothing learned", w.b.limit, round)
		}
		for i := range entries {
			entries[i].StartedAt = w.now
		}
	}
}

// Guards against a division by zero when answers earn sends in panic mode, in which all endpoints are ejected but still
// used.
func TestWarmupInPanicMode(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	for i := range 4 {
		w.list(ListDelta, Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1, StartedAt: w.now})
	}
	for _, endpoint := range w.b.endpoints {
		w.b.eject(endpoint)
	}
	w.b.assessPending()
	w.b.updatePanicMode()
	for range 20 {
		w.b.earnWarmupCredits(w.b.endpoints[0])
	}
	for _, endpoint := range w.b.endpoints {
		for n := 0; ; n++ {
			if !endpoint.warmup.CanSend(w.now) {
				if n == 0 || n > 15 { // the mean is 6
					t.Errorf("endpoint %d has a budget of %d sends after 20 answers of one of 4 endpoints", endpoint.Endpoint, n)
				}
				break
			}
			endpoint.warmup.Spend()
		}
	}
}

// Guards against an instance with a small limit that goes on rejecting requests for seconds after congestion, because
// congestion has made its limit credit negative. Without congestion the negative credit is kept.
func TestNegativeLimitCreditIsClearedAfterCongestion(t *testing.T) {
	for _, congestion := range []bool{true, false} {
		s := testSettings()
		s.Instances = 10
		w := newTestInstance(t, s, 1)
		w.listReady(4)
		w.b.baseline, w.b.baselineKnown, w.b.limit = 0.1, true, 2
		adapt := func(latencyShare float64) {
			for range 2 * int(minLimitResponses) {
				w.b.latencyWindow.add(latencyShare)
			}
			w.b.now += maintenanceInterval
			w.b.adaptLimit()
		}
		if congestion {
			adapt(0.9)
		}
		w.b.limitCredit = -5
		adapt(0.1)
		if cleared := w.b.limitCredit >= 0; cleared != congestion {
			t.Errorf("after congestion: %v, and the limit credit is %.1f below zero", congestion, -w.b.limitCredit)
		}
	}
}
