package grey

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed and number of checks make the result in CI reproducible; -rapid.seed=0 -rapid.checks=1000 tests more
// cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const typicalSeconds = 0.06 // typical latency of an answer

// testCluster simulates endpoints. Each never answers a share of its attempts, and fails another share with errors.
type testCluster struct {
	detector    *Detector
	hosts       []Host
	hangRate    []float64 // by host
	failureRate []float64 // by host
	slowdown    float64   // factor by which all latencies are longer than typical
	rng         *rand.Rand
	now         float64 // in seconds
	decayedAt   float64 // until this time the evidence has been decayed
}

func newTestCluster(hosts int, seed uint64) *testCluster {
	return &testCluster{detector: NewDetector([]float64{typicalSeconds, 2 * typicalSeconds}), hosts: make([]Host, hosts), hangRate: make([]float64, hosts),
		failureRate: make([]float64, hosts), slowdown: 1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// attempt sends one request to an endpoint. The sender abandons it after ten times the typical latency.
func (c *testCluster) attempt(host, class int) {
	h := &c.hosts[host]
	latency := typicalSeconds * float64(class+1) * c.slowdown * math.Exp(0.5*c.rng.NormFloat64())
	c.detector.BeginAssessment()
	switch sample := c.rng.Float64(); {
	case sample < c.hangRate[host] || latency > 10*typicalSeconds:
		hangProbability := c.detector.HangProbability(h, class, 10*typicalSeconds, 1, 3)
		c.detector.RecordAbandoned(h, class, 10*typicalSeconds, hangProbability, 3)
	case sample < c.hangRate[host]+c.failureRate[host]:
		c.detector.RecordFailure(h, class, 0)
	default:
		c.detector.RecordAnswer(h, class, latency, c.detector.HangProbability(h, class, latency, 1, 0))
	}
}

// advance simulates some seconds with attempts at a rate per second, distributed evenly over all endpoints. It calls
// afterAttempt, if not nil, after each of them.
func (c *testCluster) advance(seconds, rate float64, afterAttempt func(host int)) {
	for end := c.now + seconds; ; {
		c.now += c.rng.ExpFloat64() / rate
		for ; c.decayedAt+0.25 < math.Min(c.now, end); c.decayedAt += 0.25 {
			c.detector.Decay(0.25)
			for i := range c.hosts {
				c.hosts[i].Decay(0.25)
			}
		}
		if c.now >= end {
			return
		}
		host := c.rng.IntN(len(c.hosts))
		c.attempt(host, c.rng.IntN(2))
		if afterAttempt != nil {
			afterAttempt(host)
		}
	}
}

// Guards against false positives at any request rate, while all endpoints are healthy, slow or fail alike. If all fail
// a large share of their attempts, a small cluster is a poor estimate of the common rate, and more false positives are
// allowed.
func TestFewFalsePositives(t *testing.T) {
	attempts, falsePositives := map[bool]int{}, map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(rapid.IntRange(2, 20).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		c.slowdown = rapid.SampledFrom([]float64{1, 1, 2.8}).Draw(t, "slowdown")
		commonRate := rapid.SampledFrom([]float64{0, 0.001, 0.003, 0.2}).Draw(t, "common failure rate")
		for i := range c.failureRate {
			c.failureRate[i] = commonRate
		}
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate of an endpoint") * float64(len(c.hosts))
		wasGrey := make([]bool, len(c.hosts))
		c.advance(4000/rate, rate, func(host int) {
			attempts[commonRate > 0.1]++
			if c.hosts[host].Grey() && !wasGrey[host] {
				falsePositives[commonRate > 0.1]++
			}
			wasGrey[host] = c.hosts[host].Grey()
		})
	})
	for failing, maxRate := range map[bool]float64{false: 1.0 / 3000, true: 1.0 / 200} {
		if rate := float64(falsePositives[failing]) / float64(attempts[failing]); rate > maxRate {
			t.Errorf("high common failure rate: %v: %d false positives in %d attempts", failing, falsePositives[failing], attempts[failing])
		}
	}
}

// Guards against missing an endpoint that fails a large share of its attempts, and against considering it grey for long
// after it has recovered.
func TestDetectionAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(8, rapid.Uint64().Draw(t, "seed"))
		share := rapid.Float64Range(0.3, 1).Draw(t, "share")
		if rapid.Bool().Draw(t, "hangs") {
			c.hangRate[0] = share
		} else {
			c.failureRate[0] = share
		}
		rate := 8 * rapid.Float64Range(2, 50).Draw(t, "rate of an endpoint")
		initial := c.detector.FailureRate(&c.hosts[1], 0, 0, 0)
		c.advance(10, rate, nil)
		if !c.hosts[0].Grey() {
			t.Errorf("the faulty endpoint is not detected; its estimated failure rate is %.2f", c.detector.FailureRate(&c.hosts[0], 0, 0, 0))
		}
		if faulty, healthy := c.detector.FailureRate(&c.hosts[0], 0, 0, 0), c.detector.FailureRate(&c.hosts[1], 0, 0, 0); faulty < 0.25*share || healthy > 0.1 || initial > 0.05 {
			t.Errorf("true failure rate %.2f: the faulty endpoint is estimated at %.2f, a healthy one at %.2f, and at %.2f before the fault", share, faulty, healthy, initial)
		}
		c.hangRate[0], c.failureRate[0] = 0, 0
		c.advance(60, rate, nil)
		if c.hosts[0].Grey() {
			t.Error("the endpoint is still grey a minute after its recovery")
		}
	})
}

// Guards against attributing a class's fault at all endpoints to the endpoints, and against missing an endpoint's fault
// in one class.
func TestFaultIsAttributed(t *testing.T) {
	for seed := range uint64(5) {
		c := newTestCluster(6, seed)
		for range 3000 { // class 1 fails everywhere; endpoint 0 fails class 0 as well
			host, class := c.rng.IntN(6), c.rng.IntN(2)
			switch {
			case class == 1 && c.rng.Float64() < 0.5, class == 0 && host == 0 && c.rng.Float64() < 0.5:
				c.detector.RecordFailure(&c.hosts[host], class, 0)
			default:
				c.detector.RecordAnswer(&c.hosts[host], class, typicalSeconds, 0)
			}
		}
		for host := range c.hosts {
			if c.hosts[host].Grey() != (host == 0) {
				t.Errorf("seed %d: endpoint %d: grey is %v", seed, host, c.hosts[host].Grey())
			}
			for class, want := range []float64{0, 0.5} {
				if host == 0 {
					want = 0.5
				}
				if got := c.detector.FailureRate(&c.hosts[host], class, 0, 0); math.Abs(got-want) > 0.08 {
					t.Errorf("seed %d: endpoint %d has an estimated failure rate of %.2f in class %d, the true one is %.2f", seed, host, got, class, want)
				}
			}
		}
	}
}

// Guards against mistaking overload for hangs: while all endpoints are slow, a missing answer is weak evidence.
func TestOverloadIsNotTakenForHangs(t *testing.T) {
	c := newTestCluster(4, 1)
	c.advance(20, 100, nil)
	c.detector.BeginAssessment()
	if calm := c.detector.HangProbability(&c.hosts[0], 0, 8*typicalSeconds, 1, 0); calm < 0.5 {
		t.Errorf("normal load, pending for 8 times the typical latency: hang probability is %.2f, want at least 0.5", calm)
	}
	c.slowdown = 6
	c.advance(3, 100, nil)
	c.detector.BeginAssessment()
	if overloaded := c.detector.HangProbability(&c.hosts[0], 0, 8*typicalSeconds, 1, 0); overloaded > 0.1 {
		t.Errorf("all endpoints 6 times slower: hang probability is %.2f, want at most 0.1", overloaded)
	}
}

// The hang probability is between 0 and 1. It rises with the attempt's age and the number of later answers, and falls
// with the endpoint's slowness.
func TestHangProbabilityIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(3, rapid.Uint64().Draw(t, "seed"))
		c.hangRate[0] = rapid.Float64Range(0, 0.5).Draw(t, "hang rate")
		c.advance(5, 60, nil)
		c.detector.BeginAssessment()
		age, overtakenBy := rapid.Float64Range(0, 2).Draw(t, "age"), rapid.IntRange(0, 5).Draw(t, "overtaken by")
		slowness := rapid.Float64Range(1, 4).Draw(t, "slowness")
		probability := func(age, slowness float64, overtakenBy int) float64 {
			return c.detector.HangProbability(&c.hosts[0], 0, age, slowness, overtakenBy)
		}
		p := probability(age, slowness, overtakenBy)
		if p < 0 || p > 1 || probability(1.5*age, slowness, overtakenBy) < p-1e-12 || probability(age, 2*slowness, overtakenBy) > p+1e-12 || probability(age, slowness, overtakenBy+1) < p-1e-12 {
			t.Errorf("hang probability %.3f; older attempt %.3f, slower endpoint %.3f, overtaken once more %.3f", p, probability(1.5*age, slowness, overtakenBy),
				probability(age, 2*slowness, overtakenBy), probability(age, slowness, overtakenBy+1))
		}
	})
}

var grid = flag.Bool("grid", false, "print the detection delay of grey endpoints and the false positives of healthy ones, for several shares and rates")

// TestGrid prints the table in docs/design/grey-failures.md. Run it with go test ./balance/grey -run Grid -grid -v
func TestGrid(t *testing.T) {
	if !*grid {
		t.Skip("this is a measurement, which runs with -grid only")
	}
	const runs, maxSeconds = 40, 120.0
	for _, rate := range []float64{0.2, 0.5, 2, 10, 50} {
		falsePositives, hours := 0, 0.0
		for seed := range uint64(runs) {
			c := newTestCluster(12, seed)
			for i := range c.failureRate {
				c.failureRate[i] = 0.002
			}
			wasGrey := false
			c.advance(maxSeconds, 12*rate, func(int) {
				if c.hosts[0].Grey() && !wasGrey {
					falsePositives++
				}
				wasGrey = c.hosts[0].Grey()
			})
			hours += maxSeconds / 3600
		}
		t.Logf("%4.1f attempts a second: %.2f false positives per endpoint and hour", rate, float64(falsePositives)/hours)
		for _, share := range []float64{0.05, 0.1, 0.2, 0.5, 1} {
			var delays []float64
			for seed := range uint64(runs) {
				c := newTestCluster(12, seed)
				c.advance(20, 12*rate, nil)
				c.hangRate[0] = share
				start := c.now
				for c.now < start+maxSeconds && !c.hosts[0].Grey() {
					c.advance(0.1, 12*rate, nil)
				}
				if c.hosts[0].Grey() {
					delays = append(delays, c.now-start)
				}
			}
			mean := 0.0
			for _, delay := range delays {
				mean += delay / float64(len(delays))
			}
			t.Logf("%4.1f attempts a second, %3.0f%% hang: detected in %3.0f%% of runs, after %.1f s", rate, 100*share, 100*float64(len(delays))/runs, mean)
		}
	}
}
