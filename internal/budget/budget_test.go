package budget

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// CI has to come to the same verdict every time; -rapid.seed=0 -rapid.checks=10000 looks further.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// chain is a chain of tiers with a sidecar before each, whose servers call the next tier so many times for each request.
// Everything fails at random, and whoever may retry does.
type chain struct {
	t           *rapid.T
	calls       []int // by tier; the last has none
	pools       []*SharedPools
	failureRate float64
	now         time.Duration
	nextPool    uint64
	attempts    []int // attempts, by tier
	retries     int   // of them not the first of their request at that sidecar
}

// request is one at the sidecar before a tier, with so many extra attempts; it returns whether it was served and what it
// has not used.
func (c *chain) request(tier, extra int) (ok bool, unused int) {
	last := tier == len(c.calls)-1
	share := NewAllowance(extra, last)
	for n := 0; ; n++ {
		down, may := share.NextAttempt()
		if !may {
			return false, share.Unused()
		}
		if n > 0 {
			c.retries++
		}
		c.attempts[tier]++
		ok, tried := c.visit(tier, down)
		share.ReturnUnused(n, tried)
		if ok {
			return true, share.Unused()
		}
	}
}

// visit is an attempt at a server, whose answer may say what its calls took.
func (c *chain) visit(tier, extra int) (ok bool, tried AttemptReport) {
	c.nextPool++
	poolID := c.nextPool
	ok = true
	carries := rapid.Bool().Draw(c.t, "carries")
	for call := range c.calls[tier] {
		c.now += time.Millisecond
		pools := c.pools[tier+1]
		got := pools.Open(c.now, c.now+time.Second, poolID, extra)
		served, unused := c.request(tier+1, got)
		if unused < 0 || unused > got {
			c.t.Fatalf("of %d extra attempts %d are left", got, unused)
		}
		pools.Close(poolID, unused)
		if t := (AttemptReport{carries, got - unused}); call == 0 {
			tried = t
		} else {
			tried = tried.Add(t)
		}
		if ok = served; !ok {
			break
		}
	}
	return ok && rapid.Float64Range(0, 1).Draw(c.t, "outcome") >= c.failureRate, tried
}

// Guards against more attempts than were granted: over random chains, failures and orders no request is retried more
// often than it was granted, in all tiers together, so that the bottom sees at most 1 + grant times the plain calls.
func TestRetriesBoundedByGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{t: t, calls: rapid.SliceOfN(rapid.IntRange(1, 2), 0, 2).Draw(t, "calls"),
			failureRate: rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "fails")}
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
			t.Errorf("%d attempts at the bottom of plain %d, %d granted", bottom, plain, extra)
		}
		if !ok && c.failureRate == 0 {
			t.Error("failed though nothing did")
		}
	})
}

// MaxAttempts says beforehand how many attempts an Allowance will allow.
func TestMaxAttempts(t *testing.T) {
	for extra := range 2 * MaxExtraAttempts {
		for _, last := range []bool{true, false} {
			s, n, down := NewAllowance(extra, last), 0, 0
			for {
				d, ok := s.NextAttempt()
				if !ok {
					break
				}
				n, down = n+1, down+d
			}
			if n != MaxAttempts(extra, last) || n-1+down+s.Unused() != extra {
				t.Errorf("%d extra, last %v: %d attempts and %d below, foreseen %d", extra, last, n, down, MaxAttempts(extra, last))
			}
		}
	}
}

// Guards against retries that go on while nothing succeeds: what fails pays for all that it may have used, so that
// all is bounded by the full bucket, what first attempts earn, and what was open at any one time.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget(rapid.IntRange(1, 50).Draw(t, "instances"))
		const want = 3
		type openRequest struct {
			extra       int
			clientRetry bool
		}
		var out []openRequest
		full, firsts, used, most := budget.Tokens(), 0.0, 0.0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				firsts++
				out = append(out, openRequest{budget.GrantFirst(want), false})
			case 1:
				if extra, ok := budget.GrantRetry(want); ok {
					used++
					out = append(out, openRequest{extra, true})
				}
			default:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					n := rapid.IntRange(0, out[i].extra).Draw(t, "used")
					used += float64(n)
					budget.Finish(n, out[i].clientRetry, false)
					out = append(out[:i], out[i+1:]...)
				}
			}
			most = max(most, len(out))
		}
		if bound := full + TokensPerRequest*firsts + float64(want*most); used > bound+1e-9 {
			t.Errorf("%.1f retries were made for %.0f first attempts that all failed; at most %.1f", used, firsts, bound)
		}
	})
	budget := NewRetryBudget(1)
	for i := range 1000 { // one in three fails for good, after three attempts
		if extra := budget.GrantFirst(3); extra < 3 {
			t.Fatalf("%d of 3 are granted while they help", extra)
		}
		if budget.Finish(3, false, i%5 != 0); budget.Tokens() > tierMaxTokens {
			t.Fatalf("%.1f tokens are saved", budget.Tokens())
		}
	}
}

// What one call leaves over serves the next, side by side calls share, and a pool is not filled twice.
func TestSharedPools(t *testing.T) {
	pools := NewSharedPools()
	if a, b, c := pools.Open(0, time.Second, 7, 4), pools.Open(0, time.Second, 7, 4), pools.Open(0, time.Second, 7, 4); a != 3 || b != 1 || c != 0 {
		t.Errorf("side by side they get %d, %d, %d", a, b, c)
	}
	pools.Close(7, 2)
	pools.Close(7, 1)
	pools.Close(7, 0)
	if n := pools.Open(0, time.Second, 7, 4); n != 2 {
		t.Errorf("of three left over one call gets %d", n)
	}
	pools.Close(7, 0)
	if n := pools.Open(2*time.Second, 3*time.Second, 8, 100); n != MaxExtraAttempts-1 || len(pools.pools) != 1 {
		t.Errorf("after the first expired: %d pools, a call with 100 gets %d", len(pools.pools), n)
	}
	for id := range uint64(2 * maxPools) {
		pools.Open(2*time.Second, 3*time.Second, 100+id, 2)
	}
	if len(pools.pools) > maxPools {
		t.Errorf("%d pools are kept", len(pools.pools))
	}
	if n := pools.Open(2*time.Second, 3*time.Second, 1, 8); n != 0 {
		t.Errorf("with no capacity %d are granted", n)
	}
}

// What is written is read again; other members pass on; what is invalid is not trusted.
func TestGrantRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Grant{PoolID: rapid.Uint64().Draw(t, "pot"), ExtraAttempts: rapid.IntRange(0, MaxExtraAttempts).Draw(t, "extra"),
			ValueShare: float64(rapid.IntRange(0, 1000).Draw(t, "worth")) / 1000,
			Path:       rapid.SliceOfN(rapid.StringMatching(`[a-zA-Z0-9_-]{1,24}`), 0, maxPath).Draw(t, "path")}
		rest := rapid.SampledFrom([]string{"", "user=1;p", "a=b , c=%20d"}).Draw(t, "rest")
		header := c.Join(rest)
		if len(c.String()) > maxMember {
			return // it would not be read: ten services of the longest names
		}
		got, others, ok := Split(header)
		if !ok || got.PoolID != c.PoolID || got.ExtraAttempts != c.ExtraAttempts || got.ValueShare != c.ValueShare || !slices.Equal(got.Path, c.Path) {
			t.Errorf("%q is read as %+v, %v", header, got, ok)
		}
		if strings.ReplaceAll(others, " ", "") != strings.ReplaceAll(rest, " ", "") {
			t.Errorf("of %q %q is left", header, others)
		}
	})
	for _, header := range []string{"", "pinelb=", "pinelb=1.a.2.3", "pinelb=2.a.2.3.x", "pinelb=1.a.9.3.x", "pinelb=1.a.2.1001.x",
		"pinelb=1.a.-2.3.x", "pinelb=1.a.2.3.x y", "pinelb=1.a.2.3.x~", "pinelb=1.zz.2.3.x", "pinelb=1.a.2.3.x,pinelb=1.a.2.3.x",
		"pinelb=1.a.2.3." + strings.Repeat("x~", maxPath) + "x", "pinelb=1.a.2.3.x" + strings.Repeat(",a=b", 2000), "pinelb"} {
		if c, _, ok := Split(header); ok {
			t.Errorf("%.60q is taken for %+v", header, c)
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
			t.Errorf("%q and %d times allowed: %v", c.path, c.reentry, loop)
		}
	}
	path := []string{}
	for range 3 * maxPath {
		path = AppendService(path, "s")
	}
	if len(path) != maxPath {
		t.Errorf("%d services are kept", len(path))
	}
}

func FuzzSplit(f *testing.F) {
	for _, s := range []string{"", "pinelb=1.a.2.300.web~order", "a=b,pinelb=1.0.0.0.;x=y", "pinelb=1.a.2.3.x, pinelb=1.b.1.1.y"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		c, rest, ok := Split(header)
		if _, _, left := Split(rest); left || len(rest) > len(header) {
			t.Errorf("%q leaves %q", header, rest)
		}
		if again, _, same := Split(c.Join(rest)); ok && (!same || again.String() != c.String()) {
			t.Errorf("%q comes back as %+v, %v", header, again, same)
		}
	})
}

// Guards against a caller's grant being trusted at the edge, a loop passing, and a request that carries nothing being bound.
func TestTracker(t *testing.T) {
	edge := NewTracker(Settings{Service: "front", Edge: true, Instances: 1, MaxExtraAttempts: 3}, 1)
	forged := Grant{PoolID: 1, ExtraAttempts: MaxExtraAttempts, ValueShare: 1, Path: []string{"front"}}
	a := edge.Open(0, time.Second, forged.Join("user=7"), false)
	if a.Loop != nil || a.MaxAttempts() != 2 {
		t.Errorf("at the edge %d attempts are granted, loop %v", a.MaxAttempts(), a.Loop)
	}
	header, _ := edge.NextAttempt(a, 0.5)
	c, rest, ok := Split(header)
	if !ok || c.ExtraAttempts != 2 || c.ValueShare != 0.5 || rest != "user=7" || !slices.Equal(c.Path, []string{"front"}) {
		t.Errorf("%q goes down", header)
	}
	back := NewTracker(Settings{Service: "back", Leaf: true, Instances: 1, MaxExtraAttempts: 3}, 2)
	b := back.Open(0, time.Second, header, true)
	if b.MaxAttempts() != 3 || b.ValueShare() != 0.5 {
		t.Errorf("behind it %d attempts at a value share of %v", b.MaxAttempts(), b.ValueShare())
	}
	again := back.Open(0, time.Second, header, false)
	if again.MaxAttempts() != 1 {
		t.Errorf("a call beside it may make %d attempts", again.MaxAttempts())
	}
	ring := NewTracker(Settings{Service: "front", Instances: 1, MaxExtraAttempts: 3}, 3)
	from, _ := back.NextAttempt(b, 1)
	if l := ring.Open(0, time.Second, from, false); !slices.Equal(l.Loop, []string{"front", "back", "front"}) {
		t.Errorf("the loop is %v", l.Loop)
	}
	if o := back.Open(0, time.Second, "", false); o.MaxAttempts() != MaxAttempts(3, true) {
		t.Errorf("one that carries nothing may make %d attempts", o.MaxAttempts())
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
		t.Errorf("nothing succeeds, and a client's retry may make %d attempts", n)
	}
	for range 300 { // it pays its debt
		edge.Close(edge.Open(0, time.Second, "", false), true)
	}
	if n := fail(true); n < 1 {
		t.Error("all succeeds again, and a retry may make no attempt")
	}
}

// BenchmarkTracker is a request's whole cost in the tracker of a sidecar behind the first tier: its header read, an attempt's
// written, its end.
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
