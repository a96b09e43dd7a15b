package model

import "time"

// pressure watches whether a cold server is sent more than it stands. In every window of the spec's length,
// the work sent must stay within FallMultiple times the integral of what it can do. Before its start it counts
// as having been able to do what it can at its start, so that a burst right then is judged at once, against
// a whole window.
//
// Whether it falls is exact. Both integrals are kept as marks, one at each arrival and at each change of
// capacity; between marks the excess is a straight line, so that it is highest where a mark enters the window
// or leaves it, which is where it is judged. What is sent is judged as it comes; a loss of capacity alone may
// tell only at the next mark.
type pressure struct {
	on       bool
	window   time.Duration
	multiple float64 // 0 is never
	base     mark    // the last that has left the window
	marks    queue[mark]
	worst    float64
}

// mark is both integrals at one moment.
type mark struct {
	at   time.Duration
	sent time.Duration // before what came at this moment
	able meter         // from this moment on
}

func (p *pressure) begin(spec Spec, now, sent time.Duration, able *meter) {
	p.end()
	p.on = spec.FallWindow > 0
	p.window, p.multiple = spec.FallWindow, spec.FallMultiple
	p.base = mark{now, sent, *able}
}

func (p *pressure) end() {
	p.on = false
	p.marks.clear()
}

// next is when the oldest mark leaves the window.
func (p *pressure) next() time.Duration {
	if p.marks.len() == 0 {
		return Never
	}
	return p.marks.first().at + p.window
}

// mark notes an arrival, before which sent was before, or a change of capacity. It says whether that was
// too much.
func (p *pressure) mark(now, before, sent time.Duration, able *meter) bool {
	if !p.on {
		return false
	}
	p.marks.push(mark{now, before, *able})
	return p.over(now, sent, able)
}

// leave lets the oldest mark go. It says whether the window up to then had too much.
func (p *pressure) leave(sent time.Duration, able *meter) bool {
	now := p.next()
	over := p.over(now, sent, able)
	p.base = p.marks.pop()
	return over
}

// over judges the window that ends now; the oldest mark counts as within.
func (p *pressure) over(now, sent time.Duration, able *meter) bool {
	work := float64(sent - p.marks.first().sent)
	could := able.read(now) - p.base.able.read(now-p.window)
	if work <= 0 {
		return false
	}
	if could > 0 {
		p.worst = max(p.worst, work/could)
	}
	return p.multiple > 0 && work > p.multiple*could
}
