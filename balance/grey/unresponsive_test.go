package grey

import (
	"math/rand/v2"
	"testing"
)

// Guards against missing an endpoint that never answers while all others are congested: on the platform's large fleet,
// each sidecar sent such an endpoint one request a second for as long as it hung. For several time-out rates of the
// other endpoints, the unresponsive one must be detected within a few of its own attempts, with few false positives
// among the others.
func TestUnresponsiveDuringOverload(t *testing.T) {
	for _, c := range []struct {
		timeoutRate float64 // share of attempts at the other endpoints that time out
		maxAttempts int     // at the unresponsive endpoint, until it is detected
	}{{0.01, 4}, {0.1, 4}, {0.3, 11}, {0.5, 20}} {
		attempts, falsePositives := 0, 0
		for seed := range uint64(50) {
			detector, hosts, detectedAfter, rng := NewDetector([]float64{typicalSeconds}), make([]Host, 8), 0, rand.New(rand.NewPCG(seed, 1))
			for i := range 800 {
				h := &hosts[i%8]
				if i%8 == 0 && i >= 400 { // endpoint 0 stops answering
					if detector.RecordTimeout(h) && detectedAfter == 0 {
						detectedAfter = i/8 - 50 + 1
					}
				} else if rng.Float64() >= c.timeoutRate {
					detector.RecordAnswer(h, 0, typicalSeconds, 0)
				} else if detector.RecordTimeout(h) && i%8 > 0 {
					falsePositives++
				}
				attempts++
				detector.Decay(0.02)
			}
			if detectedAfter == 0 || detectedAfter > c.maxAttempts {
				t.Errorf("time-out rate %.2f, seed %d: detected after %d attempts (0: never), want at most %d", c.timeoutRate, seed, detectedAfter, c.maxAttempts)
			}
		}
		if share := float64(falsePositives) / float64(attempts); share > unresponsiveProbability {
			t.Errorf("time-out rate %.2f: %.3f of attempts reported a responsive endpoint as unresponsive", c.timeoutRate, share)
		}
	}
}
