package model

import (
	"math"
	"time"
)

// rateIntegral integrates a rate that is constant between changes. Reading changes nothing, not even a bit, and it adds
// only where the rate changes, which keeps rounding errors rare.
type rateIntegral struct {
	since time.Duration
	total float64 // up to since
	rate  float64
}

// at is the integral up to now. The conversion keeps the product from being fused with the sum, which some processors
// would do and others not.
func (r *rateIntegral) at(now time.Duration) float64 {
	return r.total + float64(r.rate*float64(now-r.since))
}

func (r *rateIntegral) setRate(now time.Duration, rate float64) {
	if rate != r.rate {
		r.total, r.since, r.rate = r.at(now), now, rate
	}
}

// virtualClock is the virtual time of processor sharing: the work, in ns on the standard core, that a job would have got
// that has run since the endpoint was last idle. The running jobs share the cores evenly, so that all get the same at any
// moment: a job ends when the clock reaches its value at the job's start plus the job's work, and only arrivals change
// the order of the ends.
type virtualClock struct {
	rateIntegral
	nextEnd time.Duration // when the first of the running jobs ends
}

// reach sets the clock to the end of a segment: times are whole ns and virtual work is not, which may leave it below.
func (v *virtualClock) reach(now time.Duration, end float64) {
	v.total, v.since = max(v.at(now), end), now
}

// idle restarts the clock from 0, where floating point is most precise.
func (v *virtualClock) idle(now time.Duration) {
	v.rateIntegral = rateIntegral{since: now}
	v.nextEnd = Never
}

// schedule sets nextEnd to the time at which the clock will be at end, rounded up to a whole ns.
func (v *virtualClock) schedule(now time.Duration, end float64) {
	v.nextEnd = Never
	if v.rate <= 0 {
		return
	}
	wait := math.Ceil((end - v.total) / v.rate)
	if wait < float64(Never-v.since) {
		v.nextEnd = max(now, v.since+time.Duration(wait))
	}
}
