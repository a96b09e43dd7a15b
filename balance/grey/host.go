package grey

import "math"

// Host is the evidence about one host. The zero value has none.
type Host struct {
	classes        []decayedCount // by class; may be shorter than the detector's
	hangs          decayedCount
	recent         decayedCount
	timeoutsInARow int     // attempts that timed out since the last answer
	suspicion      float64 // logarithm of the odds that it fails more than its peers: a sum that stays at 0 or over (CUSUM; Page 1954)
	grey           bool
}

// Decay lets so many seconds pass.
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

// Grey reports whether the host fails more than its peers, by evidence that chance hardly brings.
func (h *Host) Grey() bool { return h.grey }

// MostlyFailing reports whether the host has failed more attempts of late than it has answered.
func (h *Host) MostlyFailing() bool { return 2*h.recent.failures > h.recent.attempts }

// class is the host's count of a class.
func (h *Host) class(class int) decayedCount {
	if class >= len(h.classes) {
		return decayedCount{}
	}
	return h.classes[class]
}

// suspect takes in an attempt that failed, from 0 to 1, where its peers fail at a rate and a grey host would at greyRate.
func (h *Host) suspect(failed, peerRate, greyRate float64) {
	failed = max(0, failed)
	h.suspicion += failed*math.Log(greyRate/peerRate) + (1-failed)*math.Log((1-greyRate)/(1-peerRate))
	h.suspicion = min(maxSuspicion, max(0, h.suspicion))
	h.grey = h.suspicion >= greySuspicion || h.grey && h.suspicion > clearedSuspicion
}
