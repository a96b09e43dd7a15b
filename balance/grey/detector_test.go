package grey

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// CI has to come to the same verdict every time; -rapid.seed=0 -rapid.checks=1000 looks further.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const typicalSeconds = 0.06 // seconds of an answer

// testCluster is endpoints of which each fails a share of its attempts by saying nothing, and another by errors.
type testCluster struct {
	f           *Detector
	hosts       []Host
	hangRate    []float64
	failureRate []float64
	slowdown    float64 // times as long as ever that all take
	rng         *rand.Rand
	now         float64
	aged        float64
}

func newTestCluster(hosts int, seed uint64) *testCluster {
	return &testCluster{f: NewDetector([]float64{typicalSeconds, 2 * typicalSeconds}), hosts: make([]Host, hosts), hangRate: make([]float64, hosts),
		failureRate: make([]float64, hosts), slowdown: 1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// attempt has one endpoint take one request, whose sender gives up after ten times the typical.
func (w *testCluster) attempt(host, class int) {
	h := &w.hosts[host]
	took := typicalSeconds * float64(class+1) * w.slowdown * math.Exp(0.5*w.rng.NormFloat64())
	w.f.BeginAssessment()
	switch x := w.rng.Float64(); {
	case x < w.hangRate[host] || took > 10*typicalSeconds:
		hung := w.f.HangProbability(h, class, 10*typicalSeconds, 1, 3)
		w.f.RecordAbandoned(h, class, 10*typicalSeconds, hung, 3)
	case x < w.hangRate[host]+w.failureRate[host]:
		w.f.RecordFailure(h, class, 0)
	default:
		w.f.RecordAnswer(h, class, took, w.f.HangProbability(h, class, took, 1, 0))
	}
}

// advance lets time pass and has attempts come at a rate, over all endpoints evenly.
func (w *testCluster) advance(seconds, rate float64, each func(host int)) {
	for end := w.now + seconds; ; {
		w.now += w.rng.ExpFloat64() / rate
		for ; w.aged+0.25 < math.Min(w.now, end); w.aged += 0.25 {
			w.f.Decay(0.25)
			for i := range w.hosts {
				w.hosts[i].Decay(0.25)
			}
		}
		if w.now >= end {
			return
		}
		host := w.rng.IntN(len(w.hosts))
		w.attempt(host, w.rng.IntN(2))
		if each != nil {
			each(host)
		}
	}
}

// Guards against a calm or slow fleet's endpoints being called grey: whatever the rate. Where all fail a good part alike, a
// few endpoints say little about what is usual, and chance alarms more often.
func TestFewFalsePositives(t *testing.T) {
	attempts, alarms := map[bool]int{}, map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(rapid.IntRange(2, 20).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		w.slowdown = rapid.SampledFrom([]float64{1, 1, 2.8}).Draw(t, "slow")
		same := rapid.SampledFrom([]float64{0, 0.001, 0.003, 0.2}).Draw(t, "failing alike")
		for i := range w.failureRate {
			w.failureRate[i] = same
		}
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate of an endpoint") * float64(len(w.hosts))
		was := make([]bool, len(w.hosts))
		w.advance(4000/rate, rate, func(host int) {
			attempts[same > 0.1]++
			if w.hosts[host].Grey() && !was[host] {
				alarms[same > 0.1]++
			}
			was[host] = w.hosts[host].Grey()
		})
	})
	for failing, most := range map[bool]float64{false: 1.0 / 3000, true: 1.0 / 200} {
		if rate := float64(alarms[failing]) / float64(attempts[failing]); rate > most {
			t.Errorf("all failing alike: %v: %d alarms in %d attempts", failing, alarms[failing], attempts[failing])
		}
	}
}

// Guards against an endpoint that fails a good part and goes undetected, or being suspected for long after it has healed.
func TestDetectionAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(8, rapid.Uint64().Draw(t, "seed"))
		share := rapid.Float64Range(0.3, 1).Draw(t, "share")
		if rapid.Bool().Draw(t, "mute") {
			w.hangRate[0] = share
		} else {
			w.failureRate[0] = share
		}
		rate := 8 * rapid.Float64Range(2, 50).Draw(t, "rate of an endpoint")
		healthy := w.f.FailureRate(&w.hosts[1], 0, 0, 0)
		w.advance(10, rate, nil)
		if !w.hosts[0].Grey() {
			t.Errorf("not detected: fails %.2f", w.f.FailureRate(&w.hosts[0], 0, 0, 0))
		}
		if failing, well := w.f.FailureRate(&w.hosts[0], 0, 0, 0), w.f.FailureRate(&w.hosts[1], 0, 0, 0); failing < 0.25*share || well > 0.1 || healthy > 0.05 {
			t.Errorf("of %.2f: the failing one is taken for %.2f, another for %.2f, before for %.2f", share, failing, well, healthy)
		}
		w.hangRate[0], w.failureRate[0] = 0, 0
		w.advance(60, rate, nil)
		if w.hosts[0].Grey() {
			t.Error("still grey a minute after it has healed")
		}
	})
}

// Guards against one class's fault at all endpoints being held against them, and one endpoint's with one class being missed.
func TestFaultIsAttributed(t *testing.T) {
	for seed := range uint64(5) {
		w := newTestCluster(6, seed)
		for range 3000 { // class 1 fails everywhere; endpoint 0 fails class 0 as well
			host, class := w.rng.IntN(6), w.rng.IntN(2)
			switch {
			case class == 1 && w.rng.Float64() < 0.5, class == 0 && host == 0 && w.rng.Float64() < 0.5:
				w.f.RecordFailure(&w.hosts[host], class, 0)
			default:
				w.f.RecordAnswer(&w.hosts[host], class, typicalSeconds, 0)
			}
		}
		for host := range w.hosts {
			if w.hosts[host].Grey() != (host == 0) {
				t.Errorf("seed %d: endpoint %d is grey: %v", seed, host, w.hosts[host].Grey())
			}
			for class, want := range []float64{0, 0.5} {
				if host == 0 {
					want = 0.5
				}
				if got := w.f.FailureRate(&w.hosts[host], class, 0, 0); math.Abs(got-want) > 0.08 {
					t.Errorf("seed %d: endpoint %d fails %.2f of class %d, in truth %.2f", seed, host, got, class, want)
				}
			}
		}
	}
}

// Guards against overload being taken for endpoints that hang: while all are slow, a missing answer says little.
func TestOverloadIsNotTakenForHangs(t *testing.T) {
	w := newTestCluster(4, 1)
	w.advance(20, 100, nil)
	w.f.BeginAssessment()
	if calm := w.f.HangProbability(&w.hosts[0], 0, 8*typicalSeconds, 1, 0); calm < 0.5 {
		t.Errorf("calm, and out for 8 times the typical: hangs with odds of %.2f only", calm)
	}
	w.slowdown = 6
	w.advance(3, 100, nil)
	w.f.BeginAssessment()
	if overloaded := w.f.HangProbability(&w.hosts[0], 0, 8*typicalSeconds, 1, 0); overloaded > 0.1 {
		t.Errorf("all are 6 times slower: hangs with odds of %.2f", overloaded)
	}
}

// The odds move with each kind of evidence in its direction and stay odds.
func TestHangProbabilityIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(3, rapid.Uint64().Draw(t, "seed"))
		w.hangRate[0] = rapid.Float64Range(0, 0.5).Draw(t, "mute")
		w.advance(5, 60, nil)
		w.f.BeginAssessment()
		age, passed := rapid.Float64Range(0, 2).Draw(t, "age"), rapid.IntRange(0, 5).Draw(t, "passed")
		slow := rapid.Float64Range(1, 4).Draw(t, "slow")
		at := func(age, slow float64, passed int) float64 {
			return w.f.HangProbability(&w.hosts[0], 0, age, slow, passed)
		}
		p := at(age, slow, passed)
		if p < 0 || p > 1 || at(1.5*age, slow, passed) < p-1e-12 || at(age, 2*slow, passed) > p+1e-12 || at(age, slow, passed+1) < p-1e-12 {
			t.Errorf("%.3f; older %.3f, slower endpoint %.3f, passed once more %.3f", p, at(1.5*age, slow, passed),
				at(age, 2*slow, passed), at(age, slow, passed+1))
		}
	})
}

var grid = flag.Bool("grid", false, "print how soon a grey endpoint is detected, and how often a healthy one is, for some shares and rates")

// TestGrid prints the table of docs/design/grey-failures.md: go test ./balance/grey -run Grid -grid -v
func TestGrid(t *testing.T) {
	if !*grid {
		t.Skip("a measurement: -grid")
	}
	const plays, most = 40, 120.0
	for _, rate := range []float64{0.2, 0.5, 2, 10, 50} {
		alarms, hours := 0, 0.0
		for seed := range uint64(plays) {
			w := newTestCluster(12, seed)
			for i := range w.failureRate {
				w.failureRate[i] = 0.002
			}
			was := false
			w.advance(most, 12*rate, func(int) {
				if w.hosts[0].Grey() && !was {
					alarms++
				}
				was = w.hosts[0].Grey()
			})
			hours += most / 3600
		}
		t.Logf("%4.1f a second: %.2f false alarms an hour of an endpoint", rate, float64(alarms)/hours)
		for _, share := range []float64{0.05, 0.1, 0.2, 0.5, 1} {
			var at []float64
			for seed := range uint64(plays) {
				w := newTestCluster(12, seed)
				w.advance(20, 12*rate, nil)
				w.hangRate[0] = share
				from := w.now
				for w.now < from+most && !w.hosts[0].Grey() {
					w.advance(0.1, 12*rate, nil)
				}
				if w.hosts[0].Grey() {
					at = append(at, w.now-from)
				}
			}
			mean := 0.0
			for _, x := range at {
				mean += x / float64(len(at))
			}
			t.Logf("%4.1f a second, mute %3.0f%%: detected %3.0f%%, after %.1f s", rate, 100*share, 100*float64(len(at))/plays, mean)
		}
	}
}
