package model

import "time"

// A ramp would make every end of a job the root of a quadratic, so warming goes in steps. 20 ms is a tenth
// or less of what callers notice, and at least 50 steps keep each within 2% of the way.
const (
	coldStep  = 20 * time.Millisecond
	coldSteps = 50
)

// warmth is how far a server is from its start to full capacity.
type warmth struct {
	share  float64 // of its full capacity
	next   time.Duration
	from   float64
	length time.Duration // progress at which it is warm
	step   time.Duration
	byWork bool

	progress time.Duration // time since the start, or the cores' busy time, up to since
	since    time.Duration
	speed    time.Duration // of progress: 1, or the busy cores
	goal     time.Duration // progress at the end of the present step
}

func (w *warmth) warm() { *w = warmth{share: 1, next: Never} }

func (w *warmth) cold() bool { return w.length > 0 }

func (w *warmth) chill(spec Spec, now time.Duration) {
	step := max(min(coldStep, spec.ColdFor/coldSteps), 1)
	*w = warmth{
		share: spec.ColdFrom, from: spec.ColdFrom, length: spec.ColdFor, step: step, byWork: spec.WarmByWork,
		since: now, goal: step,
	}
	w.pace(now, 0)
}

// pace sets the speed of its progress, with so many cores at work, and the time of the next step.
func (w *warmth) pace(now time.Duration, busy int) {
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
func (s *Server) warmer() {
	w := &s.warmth
	w.progress += w.speed * (s.now - w.since)
	w.since = s.now
	if w.progress >= w.length {
		w.warm()
	} else {
		steps := w.progress / w.step
		w.share = w.from + (1-w.from)*float64(steps*w.step)/float64(w.length)
		w.goal = min((steps+1)*w.step, w.length)
	}
	s.turned()
	if !w.cold() {
		s.pressure.end()
	}
}

// turned is a change of what the server can do, which its pressure is told.
func (s *Server) turned() {
	s.could.set(s.now, s.able())
	if s.pressure.mark(s.now, s.sent, s.sent, &s.could) {
		s.fall()
	}
}
