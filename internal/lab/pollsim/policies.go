package pollsim

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/pacing"
)

// Policies are the rules that were weighed, by name.
var Policies = map[string]Policy{
	"agent":   agent,   // as an agent of the machine's own is asked
	"backoff": backoff, // full jitter over a wait that doubles with each failure
	"window":  window,  // full jitter over instances / rate, again after each failure
	"ranks":   ranks,   // moments by rank, on a clock that all share
	"equal":   equal,   // the same where all are told the rank 0
	"pace":    paced,   // what the daemon does
}

func paced(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Instance {
	return pacing.New(f, r, now)
}

// plain is what the simple ones share: the next call, and how many in a row have failed.
type plain struct {
	next   time.Duration
	failed int
	rand   *rand.Rand
	watch  time.Duration
	after  func(p *plain, now time.Duration) time.Duration // the next call after a failure
}

func (p *plain) At() time.Duration     { return p.next }
func (p *plain) Ask(time.Duration)     {}
func (p *plain) Wait() time.Duration   { return p.upTo(p.watch/4) + 3*p.watch/4 }
func (p *plain) Within() time.Duration { return 2 * time.Second }

func (p *plain) upTo(d time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(d))
}

func (p *plain) Ended(now time.Duration, e pacing.Result) {
	if e.Outcome == pacing.Answered || e.Outcome == pacing.NoChange {
		p.failed, p.next = 0, now
		return
	}
	p.next = p.after(p, now)
	p.failed++
}

func agent(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Instance {
	return &plain{next: now, rand: r, watch: time.Second, after: func(p *plain, now time.Duration) time.Duration {
		wait := min(800*time.Millisecond, 100*time.Millisecond<<min(p.failed, 8))
		return now + 3*wait/4 + p.upTo(wait/4)
	}}
}

func backoff(_ pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Instance {
	p := &plain{rand: r, watch: time.Second, after: func(p *plain, now time.Duration) time.Duration {
		return now + p.upTo(min(30*time.Second, 100*time.Millisecond<<min(p.failed, 12)))
	}}
	p.next = now + p.upTo(time.Second)
	return p
}

func window(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Instance {
	p := &plain{rand: r, watch: max(time.Second, 2*f.Period()), after: func(p *plain, now time.Duration) time.Duration { return now + p.upTo(f.Period()) }}
	p.next = now + p.upTo(f.Period())
	return p
}

// ranked asks at its rank's part of each period of the clock.
type ranked struct {
	plain
	f    pacing.Fleet
	rank int
}

func (p *ranked) Ended(now time.Duration, e pacing.Result) {
	period := p.f.Period()
	own := time.Duration(float64(p.rank) / float64(p.f.Instances) * float64(period))
	p.next = (now-own+period)/period*period + own
}

func ranks(f pacing.Fleet, number int, r *rand.Rand, now time.Duration) Instance {
	p := &ranked{plain: plain{rand: r, watch: max(time.Second, 2*f.Period())}, f: f, rank: number}
	p.Ended(now, pacing.Result{})
	return p
}

func equal(f pacing.Fleet, _ int, r *rand.Rand, now time.Duration) Instance {
	return ranks(f, 0, r, now)
}
