package grey

import "math"

// Host holds the evidence about one host. The zero value has no evidence.
type Host struct {
	classes             []decayedCount // by class; may be shorter than the detector's
	hangs               decayedCount
	recent              decayedCount
	consecutiveTimeouts int     // time-outs since the last answer
	suspicion           float64 // sum of log-likelihood ratios of grey to healthy, at least 0 (CUSUM; Page 1954)
	grey                bool
}

// Decay reduces the weight of the evidence, for seconds that have passed.
func (h *Host) Decay(seconds float64) {
	keep := math.Exp(-seconds / decaySeconds)
	h.hangs.decay(keep)
	h.recent.decay(math.Exp(-seconds / recentDecaySeconds))
	h.suspicion *= math.Exp(-seconds / suspicionDecaySeconds)
	h.grey = h.grey && h.suspicion > clearedSuspicion
	for i := range h.classes {
		h.classes[i].decay(keep)
	}
}

// Grey reports whether the host fails more attempts than its peers, by evidence that is unlikely to be chance.
func (h *Host) Grey() bool { return h.grey }

// MostlyFailing reports whether more than half of the host's recent attempts failed.
func (h *Host) MostlyFailing() bool { return 2*h.recent.failures > h.recent.attempts }

// class returns the host's counts of a class.
func (h *Host) class(class int) decayedCount {
	if class >= len(h.classes) {
		return decayedCount{}
	}
	return h.classes[class]
}

// updateSuspicion adds an attempt that failed with probability failed to the evidence that the host is grey. peerRate
// is the failure rate of a healthy host, greyRate that of a grey one.
func (h *Host) updateSuspicion(failed, peerRate, greyRate float64) {
	failed = max(0, failed)
	h.suspicion += failed*math.Log(greyRate/peerRate) + (1-failed)*math.Log((1-greyRate)/(1-peerRate))
	h.suspicion = min(maxSuspicion, max(0, h.suspicion))
	h.grey = h.suspicion >= greySuspicion || h.grey && h.suspicion > clearedSuspicion
}
