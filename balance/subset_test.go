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

// Guards against a bound on handshakes that counts other users of a host than there are.
func TestHandshakeLimitCountsTheSameUsers(t *testing.T) {
	if pacing.MinHostsPerInstance != usedLeast || pacing.TargetInstancesPerHost != usersWanted {
		t.Errorf("package pace counts by %d and %d, this one chooses by %d and %d", pacing.MinHostsPerInstance, pacing.TargetInstancesPerHost, usedLeast, usersWanted)
	}
}

// Of a large fleet, all instances together must use every server about equally, kind by kind; of a small
// one, every instance uses all.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	for _, c := range []struct{ instances, servers, least, most int }{
		{1, 10, 1, 1},
		{2, 17, 2, 2},
		{10, 15, usersWanted - 1, usersWanted + 1},
		{13, 16, 6, 7}, // by name 2 to 10: of the platform's large fleet the most used were crowded and the least idle
		{75, 84, usersWanted - 1, usersWanted + 2},
		{84, 168, usersWanted - 1, usersWanted + 1},
		{168, 147, usersWanted, usersWanted + 4},
		{40, 300, usersWanted - 1, usersWanted + 1},
	} {
		users := map[EndpointID]int{}
		for rank := range c.instances {
			s := testSettings()
			s.Instances, s.Rank, s.Kinds = c.instances, rank, 2
			w := newWorld(t, s, uint64(rank))
			var es []Entry
			for i := range c.servers {
				es = append(es, Entry{Endpoint: EndpointID(i * 7), State: Ready, Weight: 1, Kind: min(i%3, 1)})
			}
			w.list(ListFull, es...)
			n, other := 0, 0
			for _, x := range w.b.servers {
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
				t.Errorf("%d x %d: a server has %d users, want %d to %d", c.instances, c.servers, u, c.least, c.most)
			}
		}
	}
}

// A server that is written off gets a stand-in, and keeps its place for its trial.
func TestStandInForAnEjectedServer(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newWorld(t, s, 1)
	w.servers(60)
	if n := len(w.b.servers); n != usedLeast {
		t.Fatalf("%d servers used, want %d", n, usedLeast)
	}
	bad := w.b.servers[3]
	w.b.eject(bad)
	w.run(time.Second)
	if n := len(w.b.servers); n != usedLeast+1 || !bad.used {
		t.Fatalf("%d servers used (the ejected one: %v), want a stand-in beside it", n, bad.used)
	}
	bad.trial, bad.ejected, w.b.dirty = false, 0, true // its trial went well
	w.run(time.Second)
	if n := len(w.b.servers); n != usedLeast {
		t.Fatalf("%d servers used after its return, want %d", n, usedLeast)
	}
	closed := 0
	for _, a := range w.other {
		if a.Kind == ActCloseUnused {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d servers' idle connections closed, want the stand-in's", closed)
	}
}

// When a server that is used drains, the next on the ring takes its place at once.
func TestSubsetFollowsTheList(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newWorld(t, s, 1)
	w.servers(60)
	e := w.b.servers[0].Entry
	e.State = Draining
	w.list(ListDelta, e)
	if n := len(w.b.servers); n != usedLeast || w.b.servers[0].Endpoint == e.Endpoint {
		t.Errorf("%d servers used, the draining one among them: %v", n, w.b.servers[0].Endpoint == e.Endpoint)
	}
}

// What a limit starts with, and may not fall under, is for a server over all instances: a hundred of them
// with a floor of two requests a server each let any crowd through.
func TestLimitIsAnInstancesPart(t *testing.T) {
	for _, c := range []struct{ instances, servers int }{{1, 10}, {10, 15}, {100, 60}, {130, 70}} {
		s := testSettings()
		s.Instances = c.instances
		w := newWorld(t, s, 1)
		w.servers(c.servers)
		if all := w.b.limit * float64(c.instances); all > max(float64(c.instances), limitFirst*float64(c.servers))+0.01 {
			t.Errorf("%d x %d: all together start with %.0f held", c.instances, c.servers, all)
		}
		for range int(calmWindow) { // a few quick answers, then nothing but late ones
			w.b.window.add(min(1, 0.05/0.4))
		}
		w.run(maintainEvery)
		for range 50 {
			for range int(calmWindow) {
				w.b.window.add(min(1, 1/0.4))
			}
			w.run(maintainEvery)
		}
		if all := w.b.limit * float64(c.instances); all > max(float64(c.instances), limitLeast*float64(c.servers))+0.01 {
			t.Errorf("%d x %d: with late answers, all together may still hold %.0f", c.instances, c.servers, all)
		}
	}
}

// A limit that is not a whole number must still be reached by some instances, and can then grow: with its
// fraction cut off everywhere, many instances would hold much less than they may, for ever.
func TestFractionOfTheLimitIsUsed(t *testing.T) {
	most := 0.0
	for seed := range uint64(200) {
		s := testSettings()
		s.Instances = 200
		w := newWorld(t, s, seed)
		w.servers(40)
		w.b.limit = limitSmall + 0.6
		most += w.b.whole(nil)
		grown := w.b.limit
		for range 5 {
			for range int(calmWindow) {
				w.b.window.add(min(1, 0.05/0.4))
			}
			w.b.inUse = average{1000, 1000 * w.b.limit}
			w.run(maintainEvery)
		}
		if w.b.limit <= grown {
			t.Fatalf("seed %d: limit still %.2f though it was reached and answers were quick", seed, w.b.limit)
		}
	}
	if mean := most / 200; math.Abs(mean-limitSmall-0.6) > 0.15 {
		t.Errorf("200 instances with a limit of %.1f hold %.2f each", limitSmall+0.6, mean)
	}
}

// hold has an instance with a fixed limit take a request each so often, answered after 100 ms, for a while,
// and returns how many it held on average and at most.
func hold(t *testing.T, limit float64, every time.Duration) (mean float64, most int) {
	s := testSettings()
	s.Instances = 1000 // whose part of the least is small
	w := newWorld(t, s, 1)
	w.servers(20)
	const steps = 3000
	done := 0
	for step := range steps {
		w.b.limit = limit
		if step%int(every/(10*ms)) == 0 {
			w.request(unsafeClass)
		}
		w.run(10 * ms)
		for ; done < len(w.sends) && w.now-w.sentAt[done] >= 100*ms; done++ {
			w.end(done, OK, 100*ms)
		}
		out := len(w.sends) - done
		mean += float64(out) / steps
		most = max(most, out)
	}
	return mean, most
}

// An instance whose share is one request or less must be able to hold two or three for a moment, or most of
// what comes would find it taken; but on average it holds no more than its share, however much comes.
func TestSmallLimitIsKeptOnAverage(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 2.5} {
		mean, most := hold(t, limit, 10*ms)
		if mean > 1.15*limit || mean < 0.8*limit { // a look may raise it before the next step sets it back
			t.Errorf("a limit of %.1f holds %.2f on average of all that comes", limit, mean)
		}
		if float64(most) < limit+1 || float64(most) > math.Ceil(2.5*limit+3*math.Sqrt(2.5*limit)) {
			t.Errorf("a limit of %.1f holds %d at most", limit, most)
		}
	}
	if mean, _ := hold(t, 1, 200*ms); mean < 0.45 {
		t.Errorf("of 0.5 that come and may be held, %.2f are", mean)
	}
}

// Where one request comes at a time there is no line to take the best from: the limit has to be kept for them.
func TestSmallLimitIsForTheBest(t *testing.T) {
	s := testSettings()
	s.Classes[keyedClass].Worth = 4
	s.Instances = 1000
	w := newWorld(t, s, 1)
	w.servers(20)
	sent, done := [3]int{}, 0
	class := map[RequestID]int{}
	for step := range 4000 { // 1.5 of each are offered to hold, and 1 may be held
		w.b.limit = 1
		if step%4 < 2 {
			class[w.request(step%4)] = step % 4
		}
		w.run(10 * ms)
		for ; done < len(w.sends) && w.now-w.sentAt[done] >= 60*ms; done++ {
			sent[class[w.sends[done].Request]]++
			w.end(done, OK, 60*ms)
		}
	}
	if good, others := sent[keyedClass], sent[safeClass]; good < 600 || others > good/2 {
		t.Errorf("%d of 1000 valuable requests are sent, and %d of 1000 others", good, others)
	}
}

// While more than a few are refused, a client's first try goes before others' repeated ones, of whose time less is
// left: at a fifth refused, repeats in turn made the first tries late. Where little is missing, all are equal, for a
// repeated one that is refused is lost.
func TestFirstTriesGoFirstInNeed(t *testing.T) {
	for refused, need := range map[float64]bool{0: false, 0.1: false, 0.2: true, 1: true} {
		s := testSettings()
		s.MarksRetry = true
		w := newWorld(t, s, 1)
		w.servers(1)
		w.b.asked = average{100, 100 * refused}
		w.b.limit, w.b.sent.n = limitSmall, 1000
		for range 10 {
			w.request(unsafeClass)
		}
		w.nextID++
		repeated := w.nextID
		w.event(Event{Kind: EventRequest, Request: repeated, Class: unsafeClass, Left: time.Second, Repeated: true})
		first := w.request(unsafeClass)
		at := func(id RequestID) int {
			return slices.IndexFunc(w.b.waiting, func(r *request) bool { return r.id == id })
		}
		if i, j := at(repeated), at(first); i < 0 || j < 0 || j < i != need {
			t.Errorf("%.1f refused: the repeated try is at %d of the line, the first at %d", refused, i, j)
		}
	}
}

// The advice when to come back has to grow with what is refused, and to differ, or all come back together.
func TestAdviceGrowsAndIsSpread(t *testing.T) {
	advice := func(refused float64) (mean time.Duration, apart int) {
		w := newWorld(t, testSettings(), 1)
		w.servers(1)
		w.b.set.MaxRetryAfter = time.Hour
		w.b.asked = average{100, 100 * refused}
		seen := map[time.Duration]bool{}
		for range 100 {
			hint := w.b.retryHint(&request{class: w.b.classes[0]})
			mean += hint / 100
			seen[hint] = true
		}
		return mean, len(seen)
	}
	calm, apart := advice(0.1)
	dark, _ := advice(0.9)
	if dark < 3*calm || apart < 90 {
		t.Errorf("advice is %v where little is refused and %v where most is, with %d of 100 different", calm, dark, apart)
	}
}

// An instance that has a name needs no number: all together use every server about equally, the same after
// a restart, and one server or instance more changes little.
func TestChoiceByName(t *testing.T) {
	used := func(name string, servers int, seed uint64) map[EndpointID]bool {
		s := testSettings()
		s.Name, s.Instances = name, 50
		w := newWorld(t, s, seed)
		w.servers(servers)
		out := map[EndpointID]bool{}
		for _, x := range w.b.servers {
			out[x.Endpoint] = true
		}
		return out
	}
	users, moved := map[EndpointID]int{}, 0
	for i := range 200 {
		name := fmt.Sprint("n", i)
		mine := used(name, 50, 1)
		if len(mine) != usedLeast || !maps.Equal(mine, used(name, 50, 2)) {
			t.Fatalf("%s uses %d servers, or others after a restart", name, len(mine))
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
			t.Errorf("server %d has %d users", id+1, n)
		}
	}
	if moved > 200 {
		t.Errorf("one server more moves %d of 1600 choices", moved)
	}
}

// A start that is missing, moves back or lies ahead must not make a cold server look warm, nor keep it cold.
func TestOddStarts(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	entry := Entry{Endpoint: 1, State: Ready, Weight: 1, UpSince: w.now}
	w.list(ListFull, entry)
	cold := func() bool { return w.b.isCold(w.b.byID[1]) }
	for _, told := range []time.Duration{entry.UpSince, 0, entry.UpSince - time.Hour} {
		entry.UpSince = told
		if w.list(ListDelta, entry); !cold() {
			t.Errorf("a start told as %v after %v makes it warm", told, w.now)
		}
	}
	w.run(w.b.set.ColdFor)
	if cold() {
		t.Error("cold for longer than stated")
	}
	entry.UpSince = w.now + time.Hour // a clock that is ahead
	w.list(ListDelta, entry)
	if !cold() {
		t.Error("a new start in the future is taken for none")
	}
	w.run(w.b.set.ColdFor / 2)
	w.list(ListDelta, entry)
	w.run(w.b.set.ColdFor / 2)
	if cold() {
		t.Error("a start in the future keeps it cold")
	}
	entry.UpSince = w.now // and once it is right, another start, though told as earlier than the last
	if w.list(ListDelta, entry); !cold() {
		t.Error("a start is missed after one in the future")
	}
}

// A jam grows with time, not with answers: an instance that sees few of them must cut as deep in a second.
func TestCutsGrowWithTime(t *testing.T) {
	left := func(answers int, every time.Duration) float64 { // late answers for five seconds
		w := newWorld(t, testSettings(), 1)
		w.servers(10)
		for range int(calmWindow) {
			w.b.window.add(min(1, 0.05/0.4))
		}
		w.run(maintainEvery)
		w.b.limit = 1000
		for range 5 * time.Second / every {
			for range answers {
				w.b.window.add(min(1, 0.39/0.4))
			}
			w.run(every)
		}
		return w.b.limit
	}
	often, seldom := left(100, maintainEvery), left(12, 4*maintainEvery)
	if often > 500 || seldom > 500 || seldom > 3*often {
		t.Errorf("limit 1000 cut to %.0f with many late answers and %.0f with few", often, seldom)
	}
}

// Connects that fail while requests succeed tell of a full connection table, not of a dead server.
func TestFailedConnectsOfAServerThatAnswers(t *testing.T) {
	for _, answers := range []bool{true, false} {
		w := newWorld(t, testSettings(), 1)
		w.servers(1)
		w.serve(60, safeClass, func(EndpointID) time.Duration { return 40 * ms })
		w.run(20 * time.Second) // long enough for old answers to weigh little
		w.b.limit = 20
		before := w.b.limit
		var ids []int
		for range 5 {
			w.request(unsafeClass)
			ids = append(ids, len(w.sends)-1)
		}
		if len(w.sends) != 65 {
			t.Fatalf("%d sends, want 65", len(w.sends))
		}
		w.run(60 * ms)
		if answers {
			w.end(ids[0], OK, 60*ms)
		}
		for _, at := range ids[1:] {
			w.end(at, ConnectFailed, 60*ms)
		}
		ejected := w.b.servers[0].backoff > 0
		if ejected == answers {
			t.Errorf("other requests answered: %v, server ejected: %v", answers, ejected)
		}
		if answers && w.b.limit >= before {
			t.Errorf("limit %.1f, was %.1f before the connects failed", w.b.limit, before)
		}
	}
}

// An instance that starts in a crowd sees nothing but late answers. It must not take them for the uncrowded
// state, or its limit would never fall.
func TestStartInACrowd(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.servers(10)
	w.b.limit = 100
	for range 20 {
		for range int(calmWindow) {
			w.b.window.add(min(1, 0.6*0.4/0.4)) // six tenths of the aim, all the time
		}
		w.b.inUse = average{1000, 1000 * w.b.limit}
		w.run(maintainEvery)
	}
	if w.b.limit > 50 {
		t.Errorf("limit %.0f after five seconds of late answers, started at 100", w.b.limit)
	}
}

// A stand-in that is no longer used may still hold requests, but gets no new ones.
func TestNothingNewForAServerThatLeftTheSubset(t *testing.T) {
	s := testSettings()
	s.Instances, s.Rank = 50, 7
	w := newWorld(t, s, 1)
	w.servers(60)
	bad := w.b.servers[3]
	w.b.eject(bad)
	w.run(time.Second)
	w.b.limit = 100
	for range 40 { // every server, the stand-in too, holds some
		w.request(safeClass)
	}
	bad.trial, bad.ejected = false, 0 // its trial went well
	w.b.relist()
	var left *server
	for _, x := range w.b.servers {
		if !x.used {
			left = x
		}
	}
	if left == nil || len(left.held) == 0 {
		t.Fatal("no server that left and still holds requests")
	}
	n := len(w.sends)
	for range 60 {
		w.request(unsafeClass)
	}
	for _, a := range w.sends[n:] {
		if a.Endpoint == left.Endpoint {
			t.Fatal("a new request went to a server that is no longer used")
		}
	}
	if len(w.sends) == n {
		t.Fatal("nothing was sent")
	}
}

// Room that is not used in the mean is not widened, however quick the answers: it would turn into a jam when
// something slows.
func TestLimitGrowsOnMeanUse(t *testing.T) {
	for _, c := range []struct {
		use   float64
		grows bool
	}{{0.5, false}, {0.65, false}, {0.95, true}} {
		w := newWorld(t, testSettings(), 1)
		w.servers(10)
		before := w.b.limit
		for range 5 {
			for range int(calmWindow) {
				w.b.window.add(min(1, 0.05/0.4))
			}
			w.b.inUse = average{10000, 10000 * c.use * w.b.limit}
			w.run(maintainEvery)
		}
		if w.b.limit > before != c.grows {
			t.Errorf("limit %.0f to %.0f with %.2f of it in use", before, w.b.limit, c.use)
		}
	}
}

// The limit is for what the servers can do: a list that is empty first must not leave it at nothing, restarts must
// not leave it higher each time, and lists that come often must not lose what warms up between them.
func TestLimitFollowsTheList(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	var es []Entry
	for i := range 12 {
		es = append(es, Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1})
	}
	w.list(ListCached)
	for round := range 3 {
		w.list(ListFull, es...)
		for range 2 * w.b.set.ColdFor / (200 * ms) {
			w.run(200 * ms)
			w.list(ListFull, es...)
		}
		if math.Abs(w.b.limit-12*limitFirst) > 1 {
			t.Errorf("limit %.1f after %d restarts of all, with nothing learned", w.b.limit, round)
		}
		for i := range es {
			es[i].UpSince = w.now
		}
	}
}

// Where all are written off, and used all the same, what they answer still has to earn: no part of nothing.
func TestColdOnesEarnInACrisis(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	for i := range 4 {
		w.list(ListDelta, Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1, UpSince: w.now})
	}
	for _, s := range w.b.servers {
		w.b.eject(s)
	}
	w.b.watch()
	w.b.judgeFleet()
	for range 20 {
		w.b.earnCold(w.b.servers[0])
	}
	for _, s := range w.b.servers {
		for n := 0; ; n++ {
			if !s.cold.Ready(w.now) {
				if n == 0 || n > 15 { // 6 on average
					t.Errorf("server %d has %d rights after 20 answers of one of 4", s.Endpoint, n)
				}
				break
			}
			s.cold.Spend()
		}
	}
}

// TestCrowdsDebtIsForgiven: an instance with a small limit that held more in a crowd does not go on refusing for seconds
// once answers are quick again; without a crowd it makes up for what it held too much.
func TestCrowdsDebtIsForgiven(t *testing.T) {
	for _, crowd := range []bool{true, false} {
		s := testSettings()
		s.Instances = 10
		w := newWorld(t, s, 1)
		w.servers(4)
		w.b.uncrowded, w.b.known, w.b.limit = 0.1, true, 2
		look := func(taken float64) {
			for range 2 * int(limitWindow) {
				w.b.window.add(taken)
			}
			w.b.now += maintainEvery
			w.b.adaptLimit()
		}
		if crowd {
			look(0.9)
		}
		w.b.unused = -5
		look(0.1)
		if forgiven := w.b.unused >= 0; forgiven != crowd {
			t.Errorf("after a crowd: %v, and %.1f is owed", crowd, -w.b.unused)
		}
	}
}
