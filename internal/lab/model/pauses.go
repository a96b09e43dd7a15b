package model

import (
	"math/rand/v2"
	"time"
)

// pauses are times in which a process makes no progress. Their lengths, and the intervals from the end of one to the
// start of the next, are exponential with the spec's means. They start again with each process.
type pauses struct {
	interval, length time.Duration
	random           *rand.Rand
	paused           bool
	next             time.Duration // toggle
}

func newPauses(spec Spec, seed uint64) pauses {
	return pauses{
		interval: spec.PauseInterval, length: spec.Pause,
		random: rand.New(rand.NewPCG(seed, pauseStream)),
		next:   Never,
	}
}

func (p *pauses) begin(now time.Duration) {
	if p.interval > 0 {
		p.next = now + p.draw(p.interval)
	}
}

func (p *pauses) end() { p.paused, p.next = false, Never }

// toggle starts or ends a pause.
func (p *pauses) toggle(now time.Duration) {
	p.paused = !p.paused
	if p.paused {
		p.next = now + p.draw(p.length)
	} else {
		p.next = now + p.draw(p.interval)
	}
}

func (p *pauses) draw(mean time.Duration) time.Duration {
	return time.Duration(p.random.ExpFloat64() * float64(mean))
}
