package model

import "time"

// A ramp would make every end of a job the root of a quadratic, so warming goes in steps. 20 ms is a tenth
// or less of what callers notice, and at least 50 steps keep each within 2% of the way.
const (
	maxWarmupStep  = 20 * time.Millisecond
	minWarmupSteps = 50
)

// warmth is how far a server is from its start to full capacity.
type warmup struct {
	share  float64 // of its full capacity
	next   time.Duration
	from   float64
	total  time.Duration // progress at which it is warm
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
		share: spec.WarmupInitialShare, from: spec.WarmupInitialShare, total: spec.WarmupDuration, step: step, byWork: spec.WarmupByWork,
		since: now, goal: step,
	}
	w.setSpeed(now, 0)
}

// pace sets the speed of its progress, with so many cores at work, and the time of the next step.
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

// warmer is the end of a step.
func (s *Endpoint) finishWarmupStep() {
	w := &s.warmup
	w.progress += w.speed * (s.now - w.since)
	w.since = s.now
	if w.progress >= w.total {
		w.complete()
	} else {
		steps := w.progress / w.step
		w.share = w.from + (1-w.from)*float64(steps*w.step)/float64(w.total)
		w.goal = min((steps+1)*w.step, w.total)
	}
	s.capacityChanged()
	if !w.inProgress() {
		s.pressure.end()
	}
}

// turned is a change of what the server can do, which its pressure is told.
func (s *Endpoint) capacityChanged() {
	s.possibleWork.setRate(s.now, s.nominalCapacity())
	if s.pressure.record(s.now, s.sentWork, s.sentWork, &s.possibleWork) {
		s.collapse()
	}
}
