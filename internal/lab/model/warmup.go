package model

import "time"

// Capacity grows in steps: with a continuous growth every end of a job would be the root of a quadratic. 20 ms is a tenth
// or less of what callers notice, and with at least 50 steps each is 2% of the growth at most.
const (
	maxWarmupStep  = 20 * time.Millisecond
	minWarmupSteps = 50
)

// warmup is the progress of an endpoint from its start to full capacity.
type warmup struct {
	share  float64 // of the full capacity
	next   time.Duration
	from   float64
	total  time.Duration // progress at which it is complete
	step   time.Duration
	byWork bool

	progress time.Duration // time since the start, or the cores' busy time, up to since
	since    time.Duration
	speed    time.Duration // of progress: 1, or the busy cores
	goal     time.Duration // progress at the end of the present step
}

func (w *warmup) complete() { *w = warmup{share: 1, next: Never} }

func (w *warmup) inProgress() bool { return w.total > 0 }

func (w *warmup) begin(spec Spec, now time.Duration) {
	step := max(min(maxWarmupStep, spec.WarmupDuration/minWarmupSteps), 1)
	*w = warmup{
		share:  spec.WarmupInitialShare,
		from:   spec.WarmupInitialShare,
		total:  spec.WarmupDuration,
		step:   step,
		byWork: spec.WarmupByWork,
		since:  now,
		goal:   step,
	}
	w.setSpeed(now, 0)
}

// setSpeed sets the speed of progress, with a number of busy cores, and the time of the next step.
func (w *warmup) setSpeed(now time.Duration, busy int) {
	w.progress += w.speed * (now - w.since)
	w.since = now
	w.speed = 1
	if w.byWork {
		w.speed = time.Duration(busy)
	}
	w.next = Never
	if w.speed > 0 {
		w.next = now + (w.goal-w.progress+w.speed-1)/w.speed
	}
}

// finishWarmupStep ends a step of the warm-up.
func (e *Endpoint) finishWarmupStep() {
	w := &e.warmup
	w.progress += w.speed * (e.now - w.since)
	w.since = e.now
	if w.progress >= w.total {
		w.complete()
	} else {
		steps := w.progress / w.step
		w.share = w.from + (1-w.from)*float64(steps*w.step)/float64(w.total)
		w.goal = min((steps+1)*w.step, w.total)
	}
	e.capacityChanged()
	if !w.inProgress() {
		e.pressure.end()
	}
}

// capacityChanged records a change of the nominal capacity, after which the pressure may be too high.
func (e *Endpoint) capacityChanged() {
	e.possibleWork.setRate(e.now, e.nominalCapacity())
	if e.pressure.record(e.now, e.sentWork, e.sentWork, &e.possibleWork) {
		e.collapse()
	}
}
