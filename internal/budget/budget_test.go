package budget

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed and number of checks make the result in CI reproducible; -rapid.seed=0 -rapid.checks=10000 tests more
// cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// chain simulates a chain of tiers with a sidecar before each. Servers call the next tier a fixed number of times for
// each request. Attempts fail at random, and every failure is retried if the allowance permits it.
type chain struct {
	t           *rapid.T
	calls       []int // number of calls of a server for each request, by tier; 0 at the last
	pools       []*SharedPools
	failureRate float64
	now         time.Duration
	nextPool    uint64
	attempts    []int // by tier
	retries     int   // attempts that are not the first of their request at that sidecar
}

// request runs a request at the sidecar before a tier, with the given number of extra attempts. It returns whether the
// request was served and how many extra attempts were not used.
func (c *chain) request(tier, extra int) (ok bool, unused int) {
	leaf := tier == len(c.calls)-1
	allowance := NewAllowance(extra, leaf)
	for n := 0; ; n++ {
		passedDown, permitted := allowance.NextAttempt()
		if !permitted {
			return false, allowance.Unused()
		}
		if n > 0 {
			c.retries++
		}
		c.attempts[tier]++
		ok, report := c.attempt(tier, passedDown)
		allowance.ReturnUnused(n, report)
		if ok {
			return true, allowance.Unused()
		}
	}
}

// attempt runs an attempt at a server. Its answer may or may not report the extra attempts of its calls.
func (c *chain) attempt(tier, extra int) (ok bool, report AttemptReport) {
	c.nextPool++
	poolID := c.nextPool
	ok = true
	reports := rapid.Bool().Draw(c.t, "reports")
	for call := range c.calls[tier] {
		c.now += time.Millisecond
		pools := c.pools[tier+1]
		granted := pools.Open(c.now, c.now+time.Second, poolID, extra)
		served, unused := c.request(tier+1, granted)
		if unused < 0 || unused > granted {
			c.t.Fatalf("%d extra attempts were granted, %d are returned as unused", granted, unused)
		}
		pools.Close(poolID, unused)
		if callReport := (AttemptReport{reports, granted - unused}); call == 0 {
			report = callReport
		} else {
			report = report.Add(callReport)
		}
		if ok = served; !ok {
			break
		}
	}
	return ok && rapid.Float64Range(0, 1).Draw(c.t, "outcome") >= c.failureRate, report
}

// Guards against more retries than were granted: for random chains and failures, the retries of a request in all tiers
// do not exceed its grant, and the last tier gets at most 1 + grant times the plain calls.
func TestRetriesBoundedByGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{t: t, calls: rapid.SliceOfN(rapid.IntRange(1, 2), 0, 2).Draw(t, "calls"),
			failureRate: rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "failure rate")}
		c.calls = append(c.calls, 0)
		c.attempts = make([]int, len(c.calls))
		plain := 1
		for _, n := range c.calls {
			c.pools = append(c.pools, NewSharedPools())
			plain *= max(1, n)
		}
		extra := rapid.IntRange(0, MaxExtraAttempts).Draw(t, "extra")
		ok, _ := c.request(0, extra)
		if c.retries > extra {
			t.Errorf("%d attempts were retries, %d granted", c.retries, extra)
		}
		if bottom := c.attempts[len(c.attempts)-1]; bottom > (1+extra)*plain {
			t.Errorf("%d attempts at the last tier, %d without retries, %d extra attempts granted", bottom, plain, extra)
		}
		if !ok && c.failureRate == 0 {
			t.Error("the request failed although no attempt did")
		}
	})
}

// Checks that MaxAttempts returns the number of attempts that an Allowance permits.
func TestMaxAttempts(t *testing.T) {
	for extra := range 2 * MaxExtraAttempts {
		for _, leaf := range []bool{true, false} {
			allowance, n, passedDown := NewAllowance(extra, leaf), 0, 0
			for {
				passed, ok := allowance.NextAttempt()
				if !ok {
					break
				}
				n, passedDown = n+1, passedDown+passed
			}
			if n != MaxAttempts(extra, leaf) || n-1+passedDown+allowance.Unused() != extra {
				t.Errorf("%d extra attempts, leaf %v: %d attempts, %d passed down; MaxAttempts is %d", extra, leaf, n, passedDown, MaxAttempts(extra, leaf))
			}
		}
	}
}

// Guards against unlimited retries while nothing succeeds. A failed request pays for all extra attempts that it may
// have used, so that retries are bounded by the full bucket, the tokens that first attempts earn, and the maximum of
// open grants.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget(rapid.IntRange(1, 50).Draw(t, "instances"))
		const want = 3
		type openRequest struct {
			extra       int
			clientRetry bool
		}
		var open []openRequest
		initialTokens, firstAttempts, used, maxOpen := budget.Tokens(), 0.0, 0.0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				firstAttempts++
				open = append(open, openRequest{budget.GrantFirst(want), false})
			case 1:
				if extra, ok := budget.GrantRetry(want); ok {
					used++
					open = append(open, openRequest{extra, true})
				}
			default:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					n := rapid.IntRange(0, open[i].extra).Draw(t, "used")
					used += float64(n)
					budget.Finish(n, open[i].clientRetry, false)
					open = append(open[:i], open[i+1:]...)
				}
			}
			maxOpen = max(maxOpen, len(open))
		}
		if bound := initialTokens + TokensPerRequest*firstAttempts + float64(want*maxOpen); used > bound+1e-9 {
			t.Errorf("%.1f retries for %.0f first attempts that all failed, want at most %.1f", used, firstAttempts, bound)
		}
	})
	budget := NewRetryBudget(1)
	for i := range 1000 { // one in five fails, after three extra attempts
		if extra := budget.GrantFirst(3); extra < 3 {
			t.Fatalf("%d extra attempts are granted while retries help, want 3", extra)
		}
		if budget.Finish(3, false, i%5 != 0); budget.Tokens() > tierMaxTokens {
			t.Fatalf("the bucket holds %.1f tokens, more than its size", budget.Tokens())
		}
	}
}

// Checks that a call can use what earlier calls returned, that concurrent calls share a pool, and that a pool is filled
// only once.
func TestSharedPools(t *testing.T) {
	pools := NewSharedPools()
	if a, b, c := pools.Open(0, time.Second, 7, 4), pools.Open(0, time.Second, 7, 4), pools.Open(0, time.Second, 7, 4); a != 3 || b != 1 || c != 0 {
		t.Errorf("concurrent calls get %d, %d, %d extra attempts, want 3, 1, 0", a, b, c)
	}
	pools.Close(7, 2)
	pools.Close(7, 1)
	pools.Close(7, 0)
	if n := pools.Open(0, time.Second, 7, 4); n != 2 {
		t.Errorf("a call gets %d of three returned extra attempts, want 2", n)
	}
	pools.Close(7, 0)
	if n := pools.Open(2*time.Second, 3*time.Second, 8, 100); n != MaxExtraAttempts-1 || len(pools.pools) != 1 {
		t.Errorf("after the first pool expired: %d pools, and a call with 100 extra attempts gets %d", len(pools.pools), n)
	}
	for id := range uint64(2 * maxPools) {
		pools.Open(2*time.Second, 3*time.Second, 100+id, 2)
	}
	if len(pools.pools) > maxPools {
		t.Errorf("%d pools are kept, more than maxPools", len(pools.pools))
	}
	if n := pools.Open(2*time.Second, 3*time.Second, 1, 8); n != 0 {
		t.Errorf("%d extra attempts are granted with the maximum of pools, want 0", n)
	}
}

// Checks that a grant survives a round trip, that other members are kept, and that an invalid grant is ignored.
func TestGrantRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grant := Grant{PoolID: rapid.Uint64().Draw(t, "pool"), ExtraAttempts: rapid.IntRange(0, MaxExtraAttempts).Draw(t, "extra"),
			ValueShare: float64(rapid.IntRange(0, 1000).Draw(t, "value share")) / 1000,
			Path:       rapid.SliceOfN(rapid.StringMatching(`[a-zA-Z0-9_-]{1,24}`), 0, maxPathServices).Draw(t, "path")}
		rest := rapid.SampledFrom([]string{"", "user=1;p", "a=b , c=%20d"}).Draw(t, "rest")
		header := grant.Join(rest)
		if len(grant.String()) > maxMemberBytes {
			return // too long to be parsed: ten services with names of the maximum length
		}
		got, others, ok := Split(header)
		if !ok || got.PoolID != grant.PoolID || got.ExtraAttempts != grant.ExtraAttempts || got.ValueShare != grant.ValueShare || !slices.Equal(got.Path, grant.Path) {
			t.Errorf("%q is parsed as %+v, valid: %v", header, got, ok)
		}
		if strings.ReplaceAll(others, " ", "") != strings.ReplaceAll(rest, " ", "") {
			t.Errorf("%q has the members %q without the grant", header, others)
		}
	})
	for _, header := range []string{"", "pinelb=", "pinelb=1.a.2.3", "pinelb=2.a.2.3.x", "pinelb=1.a.9.3.x", "pinelb=1.a.2.1001.x",
		"pinelb=1.a.-2.3.x", "pinelb=1.a.2.3.x y", "pinelb=1.a.2.3.x~", "pinelb=1.zz.2.3.x", "pinelb=1.a.2.3.x,pinelb=1.a.2.3.x",
		"pinelb=1.a.2.3." + strings.Repeat("x~", maxPathServices) + "x", "pinelb=1.a.2.3.x" + strings.Repeat(",a=b", 2000), "pinelb"} {
		if grant, _, ok := Split(header); ok {
			t.Errorf("%.60q is invalid, but parsed as %+v", header, grant)
		}
	}
}

func TestLoopDetection(t *testing.T) {
	for _, c := range []struct {
		path    string
		reentry int
		loop    bool
	}{{"", 0, false}, {"a b", 0, false}, {"a c b", 0, true}, {"c", 1, false}, {"c c", 1, true}} {
		if loop := HasLoop(strings.Fields(c.path), "c", c.reentry); loop != c.loop {
			t.Errorf("path %q, at most %d reentries: loop is %v", c.path, c.reentry, loop)
		}
	}
	path := []string{}
	for range 3 * maxPathServices {
		path = AppendService(path, "s")
	}
	if len(path) != maxPathServices {
		t.Errorf("the path has %d services, want maxPathServices", len(path))
	}
}

func FuzzSplit(f *testing.F) {
	for _, s := range []string{"", "pinelb=1.a.2.300.web~order", "a=b,pinelb=1.0.0.0.;x=y", "pinelb=1.a.2.3.x, pinelb=1.b.1.1.y"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		grant, rest, ok := Split(header)
		if _, _, remains := Split(rest); remains || len(rest) > len(header) {
			t.Errorf("%q without the grant is %q", header, rest)
		}
		if again, _, same := Split(grant.Join(rest)); ok && (!same || again.String() != grant.String()) {
			t.Errorf("%q is %+v after a round trip, valid: %v", header, again, same)
		}
	})
}

// Guards against trusting a caller's grant at the edge, not detecting a loop, and granting nothing to a request without a
// header.
func TestTracker(t *testing.T) {
	edge := NewTracker(Settings{Service: "front", Edge: true, Instances: 1, MaxExtraAttempts: 3}, 1)
	forged := Grant{PoolID: 1, ExtraAttempts: MaxExtraAttempts, ValueShare: 1, Path: []string{"front"}}
	a := edge.Open(0, time.Second, forged.Join("user=7"), false)
	if a.Loop != nil || a.MaxAttempts() != 2 {
		t.Errorf("the edge permits %d attempts, loop %v; want 2 and no loop", a.MaxAttempts(), a.Loop)
	}
	header, _ := edge.NextAttempt(a, 0.5)
	grant, rest, ok := Split(header)
	if !ok || grant.ExtraAttempts != 2 || grant.ValueShare != 0.5 || rest != "user=7" || !slices.Equal(grant.Path, []string{"front"}) {
		t.Errorf("the next tier gets the header %q", header)
	}
	back := NewTracker(Settings{Service: "back", Leaf: true, Instances: 1, MaxExtraAttempts: 3}, 2)
	b := back.Open(0, time.Second, header, true)
	if b.MaxAttempts() != 3 || b.ValueShare() != 0.5 {
		t.Errorf("the next tier permits %d attempts at a value share of %v, want 3 at 0.5", b.MaxAttempts(), b.ValueShare())
	}
	again := back.Open(0, time.Second, header, false)
	if again.MaxAttempts() != 1 {
		t.Errorf("a concurrent call may make %d attempts, want 1", again.MaxAttempts())
	}
	ring := NewTracker(Settings{Service: "front", Instances: 1, MaxExtraAttempts: 3}, 3)
	from, _ := back.NextAttempt(b, 1)
	if l := ring.Open(0, time.Second, from, false); !slices.Equal(l.Loop, []string{"front", "back", "front"}) {
		t.Errorf("the loop is %v", l.Loop)
	}
	if o := back.Open(0, time.Second, "", false); o.MaxAttempts() != MaxAttempts(3, true) {
		t.Errorf("a request without a header may make %d attempts", o.MaxAttempts())
	}
	edge.Close(a, false)
	fail := func(clientRetry bool) int {
		a := edge.Open(0, time.Second, "", clientRetry)
		for range a.MaxAttempts() {
			edge.NextAttempt(a, 1)
		}
		edge.Close(a, false)
		return a.MaxAttempts()
	}
	for range 200 {
		fail(false)
	}
	if n := fail(true); n >= 0 {
		t.Errorf("while nothing succeeds, a client's retry may make %d attempts, want none", n)
	}
	for range 300 { // earn tokens until the balance is positive
		edge.Close(edge.Open(0, time.Second, "", false), true)
	}
	if n := fail(true); n < 1 {
		t.Error("after all requests succeed again, a client's retry may make no attempt")
	}
}

// BenchmarkTracker measures the whole cost of a request in the tracker of a sidecar after the first tier: parsing its
// header, writing that of an attempt, and closing it.
func BenchmarkTracker(b *testing.B) {
	tracker := NewTracker(Settings{Service: "order", Instances: 1, MaxExtraAttempts: 6}, 1)
	header := (&Grant{PoolID: 1, ExtraAttempts: 4, ValueShare: 1, Path: []string{"front"}}).Join("")
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		a := tracker.Open(now, now+time.Second, header, false)
		down, n := tracker.NextAttempt(a, 1)
		tracker.ReportAttempt(a, n, AttemptReport{Known: true})
		tracker.Close(a, true)
		if i == 0 {
			b.ReportMetric(float64(len(down)), "bytes/attempt")
		}
	}
}
