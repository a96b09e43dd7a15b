package grey

import (
	"math/rand/v2"
	"testing"
)

// Guards against an endpoint that answers nothing and goes undetected since all others are congested: on the platform's large
// fleet each sidecar sent such an endpoint a request a second for as long as it hung. By a share of all attempts that run out
// of time, the unresponsive one has to be found within a few of its own, and endpoints that do as the rest seldom called unresponsive.
func TestUnresponsiveDuringOverload(t *testing.T) {
	for _, c := range []struct {
		up   float64 // share of attempts at the others whose time is up
		most int     // attempts until the unresponsive one is found
	}{{0.01, 4}, {0.1, 4}, {0.3, 11}, {0.5, 20}} {
		calls, falsePositives := 0, 0
		for seed := range uint64(50) {
			detector, hosts, found, rng := NewDetector([]float64{typicalSeconds}), make([]Host, 8), 0, rand.New(rand.NewPCG(seed, 1))
			for n := range 800 {
				h := &hosts[n%8]
				if n%8 == 0 && n >= 400 { // it stops answering
					if detector.RecordTimeout(h) && found == 0 {
						found = n/8 - 50 + 1
					}
				} else if rng.Float64() >= c.up {
					detector.RecordAnswer(h, 0, typicalSeconds, 0)
				} else if detector.RecordTimeout(h) && n%8 > 0 {
					falsePositives++
				}
				calls++
				detector.Decay(0.02)
			}
			if found == 0 || found > c.most {
				t.Errorf("at a share of %.2f, seed %d: found after %d attempts, want %d at most", c.up, seed, found, c.most)
			}
		}
		if part := float64(falsePositives) / float64(calls); part > unresponsiveOdds {
			t.Errorf("at a share of %.2f, %.3f of attempts called an endpoint unresponsive that does as the others", c.up, part)
		}
	}
}
