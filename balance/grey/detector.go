package grey

import (
	"math"
	"time"
)

// Detector holds the evidence that one instance has about all hosts of a cluster together.
type Detector struct {
	classes   []decayedCount // by class
	latencies []latencyModel // by class
	hangs     decayedCount
	timeouts  decayedCount // attempts that were answered or timed out; the time-outs are the failures
	recent    recentLatency

	// Set by BeginAssessment.
	slowdown        float64
	trust           float64
	overdueAttempts float64 // pending attempts that are later than a fast answer, counted until the next BeginAssessment
}

// NewDetector returns a detector without evidence. seconds is the expected latency of each class.
func NewDetector(seconds []float64) *Detector {
	d := &Detector{trust: 1}
	d.AddClasses(seconds)
	return d
}

// AddClasses adds the classes that the detector does not have yet. seconds is the expected latency of every class, also
// of those that exist, which are not changed.
func (d *Detector) AddClasses(seconds []float64) {
	for _, s := range seconds[min(len(d.classes), len(seconds)):] {
		d.classes = append(d.classes, decayedCount{})
		d.latencies = append(d.latencies, latencyModel{priorMean: math.Log(max(s, minLatencySeconds))})
	}
}

// RecordAnswer records an answer with a latency in seconds. hangProbability is that of the attempt's last assessment.
// If it is above one half, the same amount of an earlier hang and failure is cancelled: for each such attempt that is
// answered after all, a similar one was probably cancelled in favour of a hedge and counted as a hang although it did
// not hang.
func (d *Detector) RecordAnswer(h *Host, class int, seconds, hangProbability float64) {
	d.recent.add(d.latencies[class].add(seconds), true)
	d.timeouts.add(0)
	h.consecutiveTimeouts = 0
	correction := 0.0
	if hangProbability > 0.5 {
		correction = -hangProbability
	}
	d.recordEnd(h, class, correction, correction)
}

// RecordFailure records an attempt that failed with an error, a reset or a time-out. hangProbability is that of its last
// assessment, or 0 if the host responded at all.
func (d *Detector) RecordFailure(h *Host, class int, hangProbability float64) {
	d.recordEnd(h, class, 1, hangProbability)
}

// RecordAbandoned records an attempt that this instance cancelled when it was seconds old. overtakenBy is the number of
// later attempts that the host had answered by then. The attempt counts as a failure with weight hangProbability.
func (d *Detector) RecordAbandoned(h *Host, class int, seconds, hangProbability float64, overtakenBy int) {
	if overtakenBy < maxOvertaken {
		d.recent.add(d.latencies[class].logRatio(seconds), false)
	}
	d.recordEnd(h, class, hangProbability, hangProbability)
}

// RecordTimeout records an attempt that was still pending at its request's deadline. It reports whether the host is
// unresponsive: whether its number of consecutive time-outs has a probability below unresponsiveProbability at the
// cluster's present time-out rate. This also works during overload, when HangProbability is scaled down to 0 and a
// single attempt proves nothing.
func (d *Detector) RecordTimeout(h *Host) (unresponsive bool) {
	clusterRate := max(minTimeoutRate, d.timeouts.rate(minTimeoutRate, priorTimeoutWeight))
	d.timeouts.add(1)
	h.consecutiveTimeouts++
	return math.Pow(clusterRate, float64(h.consecutiveTimeouts)) < unresponsiveProbability
}

// recordEnd counts an ended attempt. failed and hung are the probabilities that it failed and that it hung; negative
// values cancel earlier evidence.
func (d *Detector) recordEnd(h *Host, class int, failed, hung float64) {
	for len(h.classes) < len(d.classes) {
		h.classes = append(h.classes, decayedCount{})
	}
	peers := d.peerCounts(h, class)
	peerRate := peers.rate(priorFailureRate, priorFailureWeight)
	peerRate = max(minPeerRate, peerRate+peerRateStandardErrors*math.Sqrt(peerRate*(1-peerRate)/(peers.attempts+priorFailureWeight)))
	greyRate := max(minGreyRate, peerRate+min((greyRateFactor-1)*peerRate, maxGreyExcess*(1-peerRate)))
	h.updateSuspicion(failed, peerRate, greyRate)
	d.classes[class].add(failed)
	h.classes[class].add(failed)
	d.hangs.add(hung)
	h.hangs.add(hung)
	h.recent.add(failed)
}

// Decay reduces the weight of the evidence about all hosts together, for seconds that have passed. Host.Decay does so for
// one host.
func (d *Detector) Decay(seconds float64) {
	keep := math.Exp(-seconds / decaySeconds)
	keepLatency := math.Exp(-seconds / latencyDecaySeconds)
	d.hangs.decay(keep)
	d.timeouts.decay(math.Exp(-seconds / recentDecaySeconds))
	d.recent.decay(math.Exp(-seconds / recentLatencyDecaySeconds))
	for i := range d.classes {
		d.classes[i].decay(keep)
		d.latencies[i].decay(keepLatency)
	}
}

// BeginAssessment begins an assessment of all pending attempts. The caller then calls HangProbability once for each of
// them.
func (d *Detector) BeginAssessment() {
	d.slowdown = d.recent.slowdown()
	d.trust = d.recent.trust(d.overdueAttempts)
	d.overdueAttempts = 0
}

// HangProbability returns the probability that a pending attempt will never be answered. seconds is its age, slowness
// the host's mean latency divided by that of its peers, and overtakenBy the number of later attempts that the host has
// answered.
func (d *Detector) HangProbability(h *Host, class int, seconds, slowness float64, overtakenBy int) float64 {
	model := &d.latencies[class]
	logRatio := model.logRatio(seconds)
	if logRatio > maxFastLogRatio && overtakenBy < maxOvertaken {
		d.overdueAttempts++
	}
	hangRate := d.HangRate(h)
	if logRatio < 0 { // younger than the median latency: no evidence yet
		return d.trust * hangRate
	}
	overtaken := math.Pow(overtakenProbability, float64(min(overtakenBy, maxOvertaken)))
	answerPending := (1 - hangRate) * model.survival(logRatio-d.slowdown-math.Log(max(1, slowness))) * overtaken
	return d.trust * hangRate / max(hangRate+answerPending, 1e-300)
}

// FastLatency returns the tenth percentile of a class's latency, or 0 while there are too few answers for an estimate.
func (d *Detector) FastLatency(class int) time.Duration {
	model := &d.latencies[class]
	if model.weight < priorSpreadWeight {
		return 0
	}
	return time.Duration(math.Exp(model.mean()-lowestDecileDeviations*model.spread()) * float64(time.Second))
}

// HangRate returns the estimated share of a host's attempts that hang.
func (d *Detector) HangRate(h *Host) float64 {
	return max(minHangRate, h.hangs.rate(d.hangs.rate(priorHangRate, priorHangWeight), peerWeight))
}

// peerCounts returns the counts of a class at all hosts except h.
func (d *Detector) peerCounts(h *Host, class int) decayedCount {
	all, own := d.classes[class], h.class(class)
	return decayedCount{
		attempts: max(0, all.attempts-own.attempts),
		failures: max(0, all.failures-own.failures),
	}
}

// peerFailureRate returns the failure rate of a class at all hosts except h.
func (d *Detector) peerFailureRate(h *Host, class int) float64 {
	peers := d.peerCounts(h, class)
	return peers.rate(priorFailureRate, priorFailureWeight)
}

// FailureRate returns the estimated share of a host's attempts of a class that fail. pending is the number of the host's
// pending attempts, which count like ended ones, and hanging the sum of their HangProbability.
func (d *Detector) FailureRate(h *Host, class int, hanging, pending float64) float64 {
	peerRate := d.peerFailureRate(h, class)
	excess, attempts := hanging-pending*peerRate, pending
	for i := range h.classes {
		excess += h.classes[i].failures - h.classes[i].attempts*d.peerFailureRate(h, i)
		attempts += h.classes[i].attempts
	}
	hostRate := min(maxFailureRate, max(0, peerRate+excess/(attempts+peerWeight)))
	own := h.class(class)
	return min(maxFailureRate, own.rate(hostRate, ownClassWeight))
}
