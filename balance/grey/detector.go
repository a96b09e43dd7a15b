package grey

import (
	"math"
	"time"
)

// Detector is what one instance knows of all hosts of a cluster together.
type Detector struct {
	classes   []decayedCount
	latencies []latencyModel // by class
	hangs     decayedCount
	timeouts  decayedCount // of attempts that were answered or timed out, the latter
	recent    recentLatency

	// As of BeginAssessment.
	slowdown float64
	trust    float64
	overdue  float64 // pending attempts that should have been answered, counted until the next BeginAssessment
}

// NewDetector returns a detector without evidence. Seconds is how long an answer of each class is expected to take.
func NewDetector(seconds []float64) *Detector {
	d := &Detector{trust: 1}
	d.AddClasses(seconds)
	return d
}

// AddClasses adds the classes of seconds beyond those that the detector has; seconds is as for NewDetector, of all classes.
func (d *Detector) AddClasses(seconds []float64) {
	for _, s := range seconds[min(len(d.classes), len(seconds)):] {
		d.classes = append(d.classes, decayedCount{})
		d.latencies = append(d.latencies, latencyModel{prior: math.Log(max(s, minSeconds))})
	}
}

// RecordAnswer takes in an answer after so many seconds. HangProbability is that of the attempt's last assessment: one that
// was taken to hang and is answered also stands for another that was abandoned for a hedge and did not hang either.
func (d *Detector) RecordAnswer(h *Host, class int, seconds, hangProbability float64) {
	d.recent.add(d.latencies[class].add(seconds), true)
	d.timeouts.add(0)
	h.timeoutsInARow = 0
	takenBack := 0.0
	if hangProbability > 0.5 {
		takenBack = -hangProbability
	}
	d.recordEnd(h, class, takenBack, takenBack)
}

// RecordFailure takes in an attempt that failed: an error, a reset, a time-out. HangProbability is that of its last
// assessment, or 0 where the host has answered in some way.
func (d *Detector) RecordFailure(h *Host, class int, hangProbability float64) {
	d.recordEnd(h, class, 1, hangProbability)
}

// RecordAbandoned takes in an attempt that was cancelled after so many seconds, overtaken by so many answers of the host.
func (d *Detector) RecordAbandoned(h *Host, class int, seconds, hangProbability float64, overtakenBy int) {
	if overtakenBy < maxOvertaken {
		d.recent.add(d.latencies[class].logRatio(seconds), false)
	}
	d.recordEnd(h, class, hangProbability, hangProbability)
}

// RecordTimeout takes in an attempt that was pending when its request ran out of time, and reports whether its host is
// unresponsive: whether so many in a row would hardly time out if the host did as all do at present. That works during
// overload too, where a single attempt proves nothing and HangProbability has no trust.
func (d *Detector) RecordTimeout(h *Host) (unresponsive bool) {
	usual := max(minTimeoutRate, d.timeouts.rate(minTimeoutRate, priorTimeoutWeight))
	d.timeouts.add(1)
	h.timeoutsInARow++
	return math.Pow(usual, float64(h.timeoutsInARow)) < unresponsiveOdds
}

// recordEnd takes in the end of an attempt, by the odds that it failed and that it hung.
func (d *Detector) recordEnd(h *Host, class int, failed, hung float64) {
	for len(h.classes) < len(d.classes) {
		h.classes = append(h.classes, decayedCount{})
	}
	peers := d.peerCounts(h, class)
	peerRate := peers.rate(priorFailureRate, priorFailureWeight)
	peerRate = max(minPeerRate, peerRate+standardErrors*math.Sqrt(peerRate*(1-peerRate)/(peers.attempts+priorFailureWeight)))
	greyRate := max(minGreyRate, peerRate+min((greyRateFactor-1)*peerRate, maxGreyExcess*(1-peerRate)))
	h.suspect(failed, peerRate, greyRate)
	d.classes[class].add(failed)
	h.classes[class].add(failed)
	d.hangs.add(hung)
	h.hangs.add(hung)
	h.recent.add(failed)
}

// Decay lets so many seconds pass over what is known of all hosts together; Host.Decay does for one.
func (d *Detector) Decay(seconds float64) {
	keep := math.Exp(-seconds / decaySeconds)
	keepLatency := math.Exp(-seconds / latencyDecaySeconds)
	d.hangs.decay(keep)
	d.timeouts.decay(math.Exp(-seconds / recentDecaySeconds))
	d.recent.decay(math.Exp(-seconds / momentDecaySeconds))
	for i := range d.classes {
		d.classes[i].decay(keep)
		d.latencies[i].decay(keepLatency)
	}
}

// BeginAssessment begins an assessment of all pending attempts: HangProbability is to be called once for each.
func (d *Detector) BeginAssessment() {
	d.slowdown = d.recent.slowdown()
	d.trust = d.recent.trust(d.overdue)
	d.overdue = 0
}

// HangProbability is the chance that an attempt that has been pending for so many seconds will never be answered. Slowness is
// the factor by which its host takes longer than its peers to answer, and overtakenBy how many attempts that the host was
// sent later it has answered.
func (d *Detector) HangProbability(h *Host, class int, seconds, slowness float64, overtakenBy int) float64 {
	model := &d.latencies[class]
	logRatio := model.logRatio(seconds)
	if logRatio > maxFastLogRatio && overtakenBy < maxOvertaken {
		d.overdue++
	}
	hangRate := d.HangRate(h)
	if logRatio < 0 { // younger than half of all answers
		return d.trust * hangRate
	}
	notOvertaken := math.Pow(overtakenProbability, float64(min(overtakenBy, maxOvertaken)))
	late := (1 - hangRate) * model.survival(logRatio-d.slowdown-math.Log(max(1, slowness))) * notOvertaken
	return d.trust * hangRate / max(hangRate+late, 1e-300)
}

// FastLatency is the longest that the quickest tenth of a class's answers take; 0 until enough have been seen.
func (d *Detector) FastLatency(class int) time.Duration {
	model := &d.latencies[class]
	if model.n < priorSpreadWeight {
		return 0
	}
	return time.Duration(math.Exp(model.mean()-lowestDecile*model.spread()) * float64(time.Second))
}

// HangRate is the share of a host's attempts that hang.
func (d *Detector) HangRate(h *Host) float64 {
	return max(minHangRate, h.hangs.rate(d.hangs.rate(priorHangRate, priorHangWeight), peerWeight))
}

// peerCounts is the count of a class at all hosts but one.
func (d *Detector) peerCounts(h *Host, class int) decayedCount {
	all, own := d.classes[class], h.class(class)
	return decayedCount{
		attempts: max(0, all.attempts-own.attempts),
		failures: max(0, all.failures-own.failures),
	}
}

// peerFailureRate is the share that the other hosts fail of a class.
func (d *Detector) peerFailureRate(h *Host, class int) float64 {
	peers := d.peerCounts(h, class)
	return peers.rate(priorFailureRate, priorFailureWeight)
}

// FailureRate is the share of a host's attempts of a class that fail. So many pending attempts count with those that have
// ended: hanging is the sum of their HangProbability.
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
