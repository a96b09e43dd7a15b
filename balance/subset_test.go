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

// Guards against a bound on handshakes that counts other users of an endpoint than there are.
func TestHandshakeLimitUsesSameSubsetSize(t *testing.T) {
	if pacing.MinHostsPerInstance != minSubsetSize || pacing.TargetInstancesPerHost != targetInstancesPerEndpoint {
		t.Errorf("package pacing counts by %d and %d, this one chooses by %d and %d", pacing.MinHostsPerInstance, pacing.TargetInstancesPerHost, minSubsetSize, targetInstancesPerEndpoint)
	}
}

// Of a large fleet, all instances together must use every endpoint about equally, kind by kind; of a small
// one, every instance uses all.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	for _, c := range []struct{ instances, servers, least, most int }{
		{1, 10, 1, 1},
		{2, 17, 2, 2},
		{10, 15, targetInstancesPerEndpoint - 1, targetInstancesPerEndpoint + 1},
		{13, 16, 6, 7}, // by name 2 to 10: of the platform's large fleet the most used were congested and the least idle
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
			for i := range c.servers {
				entries = append(entries, Entry{Endpoint: EndpointID(i * 7), State: Ready, Weight: 1, Kind: min(i%3, 1)})
			}
			w.list(ListFull, entries...)
			n, other := 0, 0
			for _, x := range w.b.endpoints {
				users[x.Endpoint]++
				n++
				other += x.Kind
			}
			if part := float64(other) / float64(n); c.servers > 30 && (part < 0.55 || part > 0.78) {
				t.Errorf("%d x %d: %d of %d used are of the kind that makes up two thirds", c.instances, c.servers, other, n)
			}
		}
		for i := range c.servers {
			if u := users[EndpointID(i*7)]; u < c.least || u > c.most {
				t.Errorf("%d x %d: an endpoint has %d users, want %d to %d", c.instances, c.servers, u, c.least, c.most)
			}
		}
	}
}

// An endpoint that is ejected gets a stand-in, and keeps its place for its trial.
func TestStandInForEjectedEndpoint(t *testing.T) {
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
		t.Fatalf("%d endpoints used (the ejected one: %v), want a stand-in beside it", n, bad.inSubset)
	}
	bad.halfOpen, bad.ejectedUntil, w.b.solveNeeded = false, 0, true // its trial went well
	w.advance(time.Second)
	if n := len(w.b.endpoints); n != minSubsetSize {
		t.Fatalf("%d endpoints used after its return, want %d", n, minSubsetSize)
	}
	closed := 0
	for _, a := range w.otherActions {
		if a.Kind == ActCloseIdle {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d endpoints' idle connections closed, want the stand-in's", closed)
	}
}

// When an endpoint that is used drains, the next on the ring takes its place at once.
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

// What a limit starts with, and may not fall under, is for an endpoint over all instances: a hundred of them
// with a floor of two requests an endpoint each let any overload through.
func TestLimitIsDividedByInstances(t *testing.T) {
	for _, c := range []struct{ instances, servers int }{{1, 10}, {10, 15}, {100, 60}, {130, 70}} {
		s := testSettings()
		s.Instances = c.instances
		w := newTestInstance(t, s, 1)
		w.listReady(c.servers)
		if all := w.b.limit * float64(c.instances); all > max(float64(c.instances), initialLimit*float64(c.servers))+0.01 {
			t.Errorf("%d x %d: all instances together start with %.0f in flight", c.instances, c.servers, all)
		}
		for range int(minBaselineResponses) { // a few quick answers, then nothing but late ones
			w.b.latencyWindow.add(min(1, 0.05/0.4))
		}
		w.advance(maintenanceInterval)
		for range 50 {
			for range int(minBaselineResponses) {
				w.b.latencyWindow.add(min(1, 1/0.4))
			}
			w.advance(maintenanceInterval)
		}
		if all := w.b.limit * float64(c.instances); all > max(float64(c.instances), minLimit*float64(c.servers))+0.01 {
			t.Errorf("%d x %d: with late answers, all instances together may still have %.0f in flight", c.instances, c.servers, all)
		}
	}
}

// A limit that is not a whole number must still be reached by some instances, and can then grow: with its
// fraction cut off everywhere, many instances would have much less in flight than they may, for ever.
func TestFractionOfLimitIsUsed(t *testing.T) {
	most := 0.0
	for seed := range uint64(200) {
		s := testSettings()
		s.Instances = 200
		w := newTestInstance(t, s, seed)
		w.listReady(40)
		w.b.limit = smallLimit + 0.6
		most += w.b.allowedInFlight(nil)
		grown := w.b.limit
		for range 5 {
			for range int(minBaselineResponses) {
				w.b.latencyWindow.add(min(1, 0.05/0.4))
			}
			w.b.limitUse = decayedMean{1000, 1000 * w.b.limit}
			w.advance(maintenanceInterval)
		}
		if w.b.limit <= grown {
			t.Fatalf("seed %d: limit still %.2f though it was reached and answers were quick", seed, w.b.limit)
		}
	}
	if mean := most / 200; math.Abs(mean-smallLimit-0.6) > 0.15 {
		t.Errorf("200 instances with a limit of %.1f have %.2f in flight each", smallLimit+0.6, mean)
	}
}

// measureInFlight has an instance with a fixed limit take a request each so often, answered after 100 ms, for a while,
// and returns how many it had in flight on average and at most.
func measureInFlight(t *testing.T, limit float64, every time.Duration) (mean float64, most int) {
	s := testSettings()
	s.Instances = 1000 // whose part of the least is small
	w := newTestInstance(t, s, 1)
	w.listReady(20)
	const steps = 3000
	done := 0
	for step := range steps {
		w.b.limit = limit
		if step%int(every/(10*ms)) == 0 {
			w.request(nonIdempotentClass)
		}
		w.advance(10 * ms)
		for ; done < len(w.sends) && w.now-w.sentAt[done] >= 100*ms; done++ {
			w.endAttempt(done, OK, 100*ms)
		}
		out := len(w.sends) - done
		mean += float64(out) / steps
		most = max(most, out)
	}
	return mean, most
}

// An instance whose share is one request or less must be able to have two or three in flight for a moment, or most of
// what comes would find it taken; but on average it has no more than its share, however much comes.
func TestSmallLimitIsKeptOnAverage(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 2.5} {
		mean, most := measureInFlight(t, limit, 10*ms)
		if mean > 1.15*limit || mean < 0.8*limit { // a look may raise it before the next step sets it back
			t.Errorf("a limit of %.1f has %.2f in flight on average of all that comes", limit, mean)
		}
		if float64(most) < limit+1 || float64(most) > math.Ceil(2.5*limit+3*math.Sqrt(2.5*limit)) {
			t.Errorf("a limit of %.1f has at most %d in flight", limit, most)
		}
	}
	if mean, _ := measureInFlight(t, 1, 200*ms); mean < 0.45 {
		t.Errorf("of 0.5 that come and may be in flight, %.2f are", mean)
	}
}

// Where one request comes at a time there is no line to take the best from: the limit has to be kept for them.
func TestSmallLimitIsReservedByPriority(t *testing.T) {
	s := testSettings()
	s.Classes[keyedClass].Value = 4
	s.Instances = 1000
	w := newTestInstance(t, s, 1)
	w.listReady(20)
	sent, done := [3]int{}, 0
	class := map[RequestID]int{}
	for step := range 4000 { // 1.5 of each are offered, and 1 may be in flight
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
	if good, others := sent[keyedClass], sent[idempotentClass]; good < 600 || others > good/2 {
		t.Errorf("%d of 1000 valuable requests are sent, and %d of 1000 others", good, others)
	}
}

// While more than a few are rejected, a client's first attempt goes before others' repeated ones, of whose time less is
// left: at a fifth rejected, repeats in turn made the first attempts late. Where little is missing, all are equal, for a
// repeated one that is rejected is lost.
func TestFirstAttemptsGoFirstWhenScarce(t *testing.T) {
	for rejected, need := range map[float64]bool{0: false, 0.1: false, 0.2: true, 1: true} {
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
		repeated := w.nextID
		w.event(Event{Kind: EventRequest, Request: repeated, Class: nonIdempotentClass, Remaining: time.Second, ClientRetry: true})
		first := w.request(nonIdempotentClass)
		at := func(id RequestID) int {
			return slices.IndexFunc(w.b.queue, func(request *requestState) bool { return request.id == id })
		}
		if i, j := at(repeated), at(first); i < 0 || j < 0 || j < i != need {
			t.Errorf("%.1f rejected: the retry is at %d of the queue, the first at %d", rejected, i, j)
		}
	}
}

// The advice when to come back has to grow with what is rejected, and to differ, or all come back together.
func TestRetryAfterGrowsWithJitter(t *testing.T) {
	advice := func(rejected float64) (mean time.Duration, apart int) {
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
	calm, apart := advice(0.1)
	dark, _ := advice(0.9)
	if dark < 3*calm || apart < 90 {
		t.Errorf("advice is %v where little is rejected and %v where most is, with %d of 100 different", calm, dark, apart)
	}
}

// An instance that has a name needs no number: all instances together use every endpoint about equally, the same after
// a restart, and one endpoint or instance more changes little.
func TestSubsetByName(t *testing.T) {
	used := func(name string, servers int, seed uint64) map[EndpointID]bool {
		s := testSettings()
		s.Name, s.Instances = name, 50
		w := newTestInstance(t, s, seed)
		w.listReady(servers)
		out := map[EndpointID]bool{}
		for _, x := range w.b.endpoints {
			out[x.Endpoint] = true
		}
		return out
	}
	users, moved := map[EndpointID]int{}, 0
	for i := range 200 {
		name := fmt.Sprint("n", i)
		mine := used(name, 50, 1)
		if len(mine) != minSubsetSize || !maps.Equal(mine, used(name, 50, 2)) {
			t.Fatalf("%s uses %d endpoints, or others after a restart", name, len(mine))
		}
		for id := range mine {
			users[id]++
		}
		for id := range used(name, 51, 1) {
			if !mine[id] {
				moved++
			}
		}
	}
	for id := range EndpointID(50) { // 32 of 200 on average, and 4 standard deviations to each side
		if n := users[id+1]; n < 32-21 || n > 32+21 {
			t.Errorf("endpoint %d has %d users", id+1, n)
		}
	}
	if moved > 200 {
		t.Errorf("one endpoint more moves %d of 1600 choices", moved)
	}
}

// A start that is missing, moves back or lies ahead must not make a warming endpoint look warm, nor keep it warming up for ever.
func TestImplausibleStartTimes(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	entry := Entry{Endpoint: 1, State: Ready, Weight: 1, StartedAt: w.now}
	w.list(ListFull, entry)
	warmingUp := func() bool { return w.b.isWarmingUp(w.b.endpointsByID[1]) }
	for _, start := range []time.Duration{entry.StartedAt, 0, entry.StartedAt - time.Hour} {
		entry.StartedAt = start
		if w.list(ListDelta, entry); !warmingUp() {
			t.Errorf("a start listed as %v after %v makes it warm", start, w.now)
		}
	}
	w.advance(w.b.settings.WarmupDuration)
	if warmingUp() {
		t.Error("warming up for longer than stated")
	}
	entry.StartedAt = w.now + time.Hour // a clock that is ahead
	w.list(ListDelta, entry)
	if !warmingUp() {
		t.Error("a new start in the future is taken for none")
	}
	w.advance(w.b.settings.WarmupDuration / 2)
	w.list(ListDelta, entry)
	w.advance(w.b.settings.WarmupDuration / 2)
	if warmingUp() {
		t.Error("a start in the future keeps it warming up")
	}
	entry.StartedAt = w.now // and once it is right, another start, though listed as earlier than the last
	if w.list(ListDelta, entry); !warmingUp() {
		t.Error("a start is missed after one in the future")
	}
}

// Congestion grows with time, not with answers: an instance that sees few of them must cut as deep in a second.
func TestLimitCutsGrowWithTime(t *testing.T) {
	left := func(answers int, every time.Duration) float64 { // late answers for five seconds
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(10)
		for range int(minBaselineResponses) {
			w.b.latencyWindow.add(min(1, 0.05/0.4))
		}
		w.advance(maintenanceInterval)
		w.b.limit = 1000
		for range 5 * time.Second / every {
			for range answers {
				w.b.latencyWindow.add(min(1, 0.39/0.4))
			}
			w.advance(every)
		}
		return w.b.limit
	}
	often, seldom := left(100, maintenanceInterval), left(12, 4*maintenanceInterval)
	if often > 500 || seldom > 500 || seldom > 3*often {
		t.Errorf("limit 1000 cut to %.0f with many late answers and %.0f with few", often, seldom)
	}
}

// Connects that fail while requests succeed are evidence of a full connection table, not of a dead endpoint.
func TestFailedConnectsOfAnsweringEndpoint(t *testing.T) {
	for _, answers := range []bool{true, false} {
		w := newTestInstance(t, testSettings(), 1)
		w.listReady(1)
		w.serveCalls(60, idempotentClass, func(EndpointID) time.Duration { return 40 * ms })
		w.advance(20 * time.Second) // long enough for old answers to weigh little
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
			t.Errorf("other requests answered: %v, endpoint ejected: %v", answers, ejected)
		}
		if answers && w.b.limit >= before {
			t.Errorf("limit %.1f, was %.1f before the connects failed", w.b.limit, before)
		}
	}
}

// An instance that starts during congestion sees nothing but late answers. It must not take them for the uncongested
// state, or its limit would never fall.
func TestStartDuringCongestion(t *testing.T) {
	w := newTestInstance(t, testSettings(), 1)
	w.listReady(10)
	w.b.limit = 100
	for range 20 {
		for range int(minBaselineResponses) {
			w.b.latencyWindow.add(min(1, 0.6*0.4/0.4)) // six tenths of the target latency, all the time
		}
		w.b.limitUse = decayedMean{1000, 1000 * w.b.limit}
		w.advance(maintenanceInterval)
	}
	if w.b.limit > 50 {
		t.Errorf("limit %.0f after five seconds of late answers, started at 100", w.b.limit)
	}
}

// A stand-in that is no longer used may still have requests, but gets no new ones.
func TestNothingNewOutsideSubset(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newTestInstance(t, s, 1)
	w.listReady(60)
	bad := w.b.endpoints[3]
	w.b.eject(bad)
	w.advance(time.Second)
	w.b.limit = 100
	for range 40 { // every endpoint, the stand-in too, has some
		w.request(idempotentClass)
	}
	bad.halfOpen, bad.ejectedUntil = false, 0 // its trial went well
	w.b.rebuildEndpoints()
	var left *endpointState
	for _, x := range w.b.endpoints {
		if !x.inSubset {
			left = x
		}
	}
	if left == nil || len(left.pending) == 0 {
		t.Fatal("no endpoint that left and still has requests")
	}
	n := len(w.sends)
	for range 60 {
		w.request(nonIdempotentClass)
	}
	for _, a := range w.sends[n:] {
		if a.Endpoint == left.Endpoint {
			t.Fatal("a new request went to an endpoint that is no longer used")
		}
	}
	if len(w.sends) == n {
		t.Fatal("nothing was sent")
	}
}

// Room that is not used in the mean is not widened, however quick the answers: it would turn into congestion when
// something slows.
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
			t.Errorf("limit %.0f to %.0f with %.2f of it in use", before, w.b.limit, c.use)
		}
	}
}

// The limit is for what the endpoints can do: a list that is empty first must not leave it at nothing, restarts must
// not leave it higher each time, and lists that come often must not lose what warms up between them.
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
			t.Errorf("limit %.1f after %d restarts of all, with nothing learned", w.b.limit, round)
		}
		for i := range entries {
			entries[i].StartedAt = w.now
		}
	}
}

// Where all are ejected, and used all the same, what they answer still has to earn: no part of nothing.
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
		w.b.earnWarmupSends(w.b.endpoints[0])
	}
	for _, endpoint := range w.b.endpoints {
		for n := 0; ; n++ {
			if !endpoint.warmup.CanSend(w.now) {
				if n == 0 || n > 15 { // 6 on average
					t.Errorf("endpoint %d has %d rights after 20 answers of one of 4", endpoint.Endpoint, n)
				}
				break
			}
			endpoint.warmup.Spend()
		}
	}
}

// TestLimitDebtForgivenAfterCongestion: an instance with a small limit that had more in flight during congestion does not go on rejecting for seconds
// once answers are quick again; without congestion it makes up for what it had too much.
func TestLimitDebtForgivenAfterCongestion(t *testing.T) {
	for _, congestion := range []bool{true, false} {
		s := testSettings()
		s.Instances = 10
		w := newTestInstance(t, s, 1)
		w.listReady(4)
		w.b.baseline, w.b.baselineKnown, w.b.limit = 0.1, true, 2
		look := func(taken float64) {
			for range 2 * int(minLimitResponses) {
				w.b.latencyWindow.add(taken)
			}
			w.b.now += maintenanceInterval
			w.b.adaptLimit()
		}
		if congestion {
			look(0.9)
		}
		w.b.limitCredit = -5
		look(0.1)
		if forgiven := w.b.limitCredit >= 0; forgiven != congestion {
			t.Errorf("after congestion: %v, and %.1f is owed", congestion, -w.b.limitCredit)
		}
	}
}
