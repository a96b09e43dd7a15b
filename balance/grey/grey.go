// Package grey tells why an attempt has no answer yet, and what a host is worth that fails a part of what it gets.
// It is pure: the caller passes ages and tells how each attempt ended.
//
// Two questions are kept apart. Does this attempt hang? What would be a late answer is weighed against what would be
// none: by how long answers of the class take at present, by how many later attempts the host has answered, and by
// how often the host has said nothing before (Bayes). And what share of its attempts does this host fail, against its
// like? A share is shrunk toward what the others show in the same moment for the same classes, so that what all have
// in common, a class that fails everywhere or a dependency that is down, is held against none of them.
//
// An attempt that ends without an answer is no proof: it counts as failed by the odds that it hung. All evidence ages,
// so that a host which is left alone is tried again. docs/design/grey-failures.md has the options and the figures.
package grey

import (
	"math"
	"time"
)

// Tunables.
const (
	decaySeconds          = 10.0 // seconds after which an observation weighs 1/e
	latencyDecaySeconds   = 20.0 // the same of how long answers take: classes differ for long
	recentDecaySeconds    = 5.0  // of whether a host is of any use
	suspicionDecaySeconds = 60.0 // of the suspicion: a host that is seldom sent to must not seem well for that
	momentDecaySeconds    = 0.5  // and of how all do at this moment

	priorSpread          = 0.6  // of the logarithms of a class's answer times, until known
	priorSpreadWeight    = 20.0 // answers that this first spread counts for
	minSpread            = 0.35 // answers are never taken to be more alike than this, or the first odd one would seem to hang
	lowestDecile         = 1.28 // standard deviations below the mean that the quickest tenth of a normal distribution is
	priorLatencyWeight   = 4.0  // answers that the first mean counts for
	overtakenProbability = 0.4  // chance that an answer of this host which is on its way is overtaken by one sent later
	maxOvertaken         = 3    // more of them prove no more: what takes long is overtaken by many

	maxFastLogRatio = 0.7  // logarithm of how many times its pace an answer takes that is as quick as ever
	priorFastWeight = 0.7  // attempts that all being well counts for, at any moment
	minTrustShare   = 0.3  // share of quick answers among all attempts from which silence tells anything of a host,
	fullTrustShare  = 0.55 // and everything

	priorHangRate      = 0.004 // share of a host's attempts that hang, until known
	minHangRate        = 0.001 // the least: a host that has answered all so far may have just changed
	priorHangWeight    = 50.0  // attempts that this counts for, over all hosts
	priorFailureRate   = 0.01  // share that fails in any way, until known
	priorFailureWeight = 20.0  // attempts that this counts for, over all other hosts of a class
	peerWeight         = 6.0   // attempts that a host's likeness to the others counts for
	ownClassWeight     = 8.0   // attempts of a class that its host's likeness to itself counts for
	maxFailureRate     = 0.98  // a share never gets so high that nothing would be sent

	minTimeoutRate     = 0.1   // share of attempts that are out when their time is up, until known, and the least it is taken for
	priorTimeoutWeight = 5.0   // attempts that this counts for
	unresponsiveOdds   = 0.001 // chance of so many in a row under which a host is called silent

	minGreyRate      = 0.05  // the least share that a host is suspected of
	greyRateFactor   = 4.0   // or as many times what is usual,
	maxGreyExcess    = 0.3   // but no more than that of the rest of it: what all fail half of tells nothing of one
	standardErrors   = 1.0   // its standard error, times this, is added to what the others fail: it may be more than was seen
	minPeerRate      = 0.005 // the least that counts as usual: two failures by chance must not be news
	maxSuspicion     = 7.5   // of the evidence that is kept: it bounds how long a healed host is suspected
	greySuspicion    = 6.0   // evidence (logarithm of the odds) from which a host is called grey
	clearedSuspicion = 3.0   // until so little is left
)

// tally is attempts and how many of them went wrong, aged.
type decayedCount struct{ attempts, failures float64 }

func (t *decayedCount) add(bad float64) {
	t.attempts, t.failures = t.attempts+1, max(0, t.failures+bad)
}
func (t *decayedCount) decay(keep float64) { t.attempts, t.failures = t.attempts*keep, t.failures*keep }

// share is the part that went wrong, as if it had been like over so many attempts as well.
func (t *decayedCount) rate(like, calls float64) float64 {
	return (t.failures + like*calls) / (t.attempts + calls)
}

// pace is how long answers of a class take at hosts that answer: log-normally distributed.
type latencyModel struct{ prior, n, sum, squares float64 }

// over is the logarithm of how many times the typical answer's time so many seconds are.
func (p *latencyModel) logRatio(seconds float64) float64 {
	return math.Log(max(seconds, 1e-6)) - (p.sum+priorLatencyWeight*p.prior)/(p.n+priorLatencyWeight)
}

// answered takes in an answer and returns what over said of it before.
func (p *latencyModel) add(seconds float64) float64 {
	x := p.logRatio(seconds)
	p.n, p.sum, p.squares = p.n+1, p.sum+math.Log(max(seconds, 1e-6)), p.squares+x*x
	return x
}

func (p *latencyModel) decay(keep float64) {
	p.n, p.sum, p.squares = p.n*keep, p.sum*keep, p.squares*keep
}

// open is the chance that an answer which will come has not come yet, at an age of which over says x.
func (p *latencyModel) survival(x float64) float64 {
	return 0.5 * math.Erfc(x/(p.spread()*math.Sqrt2))
}

func (p *latencyModel) spread() float64 {
	return max(minSpread, math.Sqrt((p.squares+priorSpreadWeight*priorSpread*priorSpread)/(p.n+priorSpreadWeight)))
}

// present is how all hosts do at this moment: by how much answers take longer than their paces, and how many don't.
type recentLatency struct{ n, sum, fast float64 }

func (p *recentLatency) add(x float64, answered bool) {
	if !answered && x < maxFastLogRatio {
		return // given up before it was late: that says nothing
	}
	p.n, p.sum = p.n+1, p.sum+x
	if x < maxFastLogRatio {
		p.fast++
	}
}

func (p *recentLatency) decay(keep float64) { p.n, p.sum, p.fast = p.n*keep, p.sum*keep, p.fast*keep }

// shift is the logarithm of how many times as long answers take, 0 at least.
func (p *recentLatency) slowdown() float64 { return max(0, p.sum/(p.n+priorFastWeight)) }

// trust is how far silence tells of hosts that hang, from 0 to 1: while most answers come as quickly as ever, all of it.
// Where few do, all are slow or jammed, and no attempt is to be taken for lost. Late is how many are out that should
// have been answered.
func (p *recentLatency) trust(late float64) float64 {
	quick := (p.fast + priorFastWeight) / (p.n + priorFastWeight + late)
	return min(1, max(0, (quick-minTrustShare)/(fullTrustShare-minTrustShare)))
}

// Restore is what is known of one host. The zero value knows nothing.
type Host struct {
	classes        []decayedCount
	hangs          decayedCount
	recent         decayedCount
	timeoutsInARow int     // attempts in a row whose time was up, since its last answer
	suspicion      float64 // evidence for it to fail more than its like: a sum that never falls below 0 (CUSUM; Page 1954)
	grey           bool
}

// Detector is all hosts of a cluster, so far as this instance sees them.
type Detector struct {
	classes  []decayedCount
	paces    []latencyModel
	hangs    decayedCount
	timeouts decayedCount // of attempts that were answered or out when their time was up, the latter
	recent   recentLatency
	slowdown float64
	trust    float64
	overdue  float64
}

// NewDetector returns a fleet that knows nothing yet. First is how many seconds an answer of each class is expected to take.
func NewDetector(first []float64) *Detector {
	f := &Detector{trust: 1}
	f.AddClasses(first)
	return f
}

// AddClasses takes in classes that have come since, after those that there are. First is as for New, of all of them.
func (f *Detector) AddClasses(first []float64) {
	for _, seconds := range first[min(len(f.classes), len(first)):] {
		f.classes = append(f.classes, decayedCount{})
		f.paces = append(f.paces, latencyModel{prior: math.Log(max(seconds, 1e-6))})
	}
}

// of is what is known of a class at a host.
func (h *Host) class(class int) decayedCount {
	if class >= len(h.classes) {
		return decayedCount{}
	}
	return h.classes[class]
}

// RecordAnswer is an answer that took so many seconds. Hung is what Hangs last said of the attempt: one that was taken to
// hang and is answered stands for another that was given up for a copy, and did not hang either.
func (f *Detector) RecordAnswer(h *Host, class int, seconds, hung float64) {
	f.recent.add(f.paces[class].add(seconds), true)
	f.timeouts.add(0)
	h.timeoutsInARow = 0
	wrong := 0.0
	if hung > 0.5 {
		wrong = -hung
	}
	f.recordEnd(h, class, wrong, wrong)
}

// RecordFailure is an attempt that failed: an error, a reset, a time-out; hung is what Hangs last said of it, or 0 where the
// host has said something.
func (f *Detector) RecordFailure(h *Host, class int, hung float64) { f.recordEnd(h, class, 1, hung) }

// RecordAbandoned is an attempt that was withdrawn after so many seconds.
func (f *Detector) RecordAbandoned(h *Host, class int, seconds, hung float64, passed int) {
	if passed < maxOvertaken {
		f.recent.add(f.paces[class].logRatio(seconds), false)
	}
	f.recordEnd(h, class, hung, hung)
}

// RecordTimeout takes in an attempt that was out when its request's time was up, and tells whether its host is silent: whether
// so many in a row would hardly be without an answer if the host did as all do at present. It tells in a crowd too,
// where a single attempt proves nothing and Hangs trusts none.
func (f *Detector) RecordTimeout(h *Host) bool {
	usual := max(minTimeoutRate, f.timeouts.rate(minTimeoutRate, priorTimeoutWeight))
	f.timeouts.add(1)
	h.timeoutsInARow++
	return math.Pow(usual, float64(h.timeoutsInARow)) < unresponsiveOdds
}

func (f *Detector) recordEnd(h *Host, class int, failed, hung float64) {
	for len(h.classes) < len(f.classes) {
		h.classes = append(h.classes, decayedCount{})
	}
	others := f.peerCounts(h, class)
	usual := others.rate(priorFailureRate, priorFailureWeight)
	usual = max(minPeerRate, usual+standardErrors*math.Sqrt(usual*(1-usual)/(others.attempts+priorFailureWeight)))
	looked := max(minGreyRate, usual+min((greyRateFactor-1)*usual, maxGreyExcess*(1-usual)))
	news := max(0, failed)
	h.suspicion += news*math.Log(looked/usual) + (1-news)*math.Log((1-looked)/(1-usual))
	h.suspicion = min(maxSuspicion, max(0, h.suspicion))
	h.grey = h.suspicion >= greySuspicion || h.grey && h.suspicion > clearedSuspicion
	f.classes[class].add(failed)
	h.classes[class].add(failed)
	f.hangs.add(hung)
	h.hangs.add(hung)
	h.recent.add(failed)
}

// Age lets so many seconds pass over what is known of the whole.
func (f *Detector) Age(seconds float64) {
	keep, keepPace := math.Exp(-seconds/decaySeconds), math.Exp(-seconds/latencyDecaySeconds)
	f.hangs.decay(keep)
	f.timeouts.decay(math.Exp(-seconds / recentDecaySeconds))
	f.recent.decay(math.Exp(-seconds / momentDecaySeconds))
	for i := range f.classes {
		f.classes[i].decay(keep)
		f.paces[i].decay(keepPace)
	}
}

// Age lets so many seconds pass over what is known of a host.
func (h *Host) Age(seconds float64) {
	keep := math.Exp(-seconds / decaySeconds)
	h.hangs.decay(keep)
	h.recent.decay(math.Exp(-seconds / recentDecaySeconds))
	h.suspicion *= math.Exp(-seconds / suspicionDecaySeconds)
	h.grey = h.grey && h.suspicion > clearedSuspicion
	for i := range h.classes {
		h.classes[i].decay(keep)
	}
}

// Grey tells whether the host fails more than its like, by evidence that chance hardly brings.
func (h *Host) Grey() bool { return h.grey }

// MostlyFailing tells whether the host has failed more of late than it has answered.
func (h *Host) MostlyFailing() bool { return 2*h.recent.failures > h.recent.attempts }

// BeginAssessment begins a look at all that is out: Hangs is to be asked of each attempt once.
func (f *Detector) BeginAssessment() {
	f.slowdown, f.trust, f.overdue = f.recent.slowdown(), f.recent.trust(f.overdue), 0
}

// HangProbability is the chance that an attempt which has been out for so many seconds will never be answered. Slow is by how
// many times its host takes longer than its like to answer, and passed how many attempts that the host was sent later
// it has answered.
func (f *Detector) HangProbability(h *Host, class int, seconds, slow float64, passed int) float64 {
	p := &f.paces[class]
	x := p.logRatio(seconds)
	if x > maxFastLogRatio && passed < maxOvertaken {
		f.overdue++
	}
	mute := f.HangRate(h)
	if x < 0 { // younger than half of all answers
		return f.trust * mute
	}
	late := (1 - mute) * p.survival(x-f.slowdown-math.Log(max(1, slow))) * math.Pow(overtakenProbability, float64(min(passed, maxOvertaken)))
	return f.trust * mute / max(mute+late, 1e-300)
}

// FastLatency is what the quickest tenth of a class's answers take at most; 0 until some have been seen.
func (f *Detector) FastLatency(class int) time.Duration {
	p := &f.paces[class]
	if p.n < priorSpreadWeight {
		return 0
	}
	x := (p.sum+priorLatencyWeight*p.prior)/(p.n+priorLatencyWeight) - lowestDecile*p.spread()
	return time.Duration(math.Exp(x) * float64(time.Second))
}

// Hangs is the share of a host's attempts that hang.
func (f *Detector) HangRate(h *Host) float64 {
	return max(minHangRate, h.hangs.rate(f.hangs.rate(priorHangRate, priorHangWeight), peerWeight))
}

// usual is the share that the other hosts fail of a class.
func (f *Detector) peerFailureRate(h *Host, class int) float64 {
	others := f.peerCounts(h, class)
	return others.rate(priorFailureRate, priorFailureWeight)
}

// others is what is known of a class at all hosts but one.
func (f *Detector) peerCounts(h *Host, class int) decayedCount {
	all, own := f.classes[class], h.class(class)
	return decayedCount{max(0, all.attempts-own.attempts), max(0, all.failures-own.failures)}
}

// FailureRate is the share of a host's attempts of a class that come to nothing. Out attempts that are still there are
// counted with those that have ended: hanging is the sum of what Hangs says of them.
func (f *Detector) FailureRate(h *Host, class int, hanging, out float64) float64 {
	usual := f.peerFailureRate(h, class)
	excess, n := hanging-out*usual, out
	for i := range h.classes {
		excess += h.classes[i].failures - h.classes[i].attempts*f.peerFailureRate(h, i)
		n += h.classes[i].attempts
	}
	like := min(maxFailureRate, max(0, usual+excess/(n+peerWeight)))
	own := h.class(class)
	return min(maxFailureRate, own.rate(like, ownClassWeight))
}
