package placement

import (
	"math"
	"slices"
	"time"
)

// The streams that run at an endpoint. A long prompt is read in pieces between their tokens, so that their events come with
// longer pauses: one whose pause exceeds its route's bound is late. Long prompts are therefore sent where few streams run.

const (
	priorTokenTime  = 4 * time.Millisecond // that a stream takes for a token, before anything was seen
	tokenTimeMemory = 20.0                 // streams after which one weighs 1/e
	mostTokens      = 1e6                  // the same for what requests say of themselves
	mostTokenTime   = time.Second          // bounds what odd answers can do
	streamLifeMost  = time.Minute          // the same for what requests say of themselves
	streamsMost     = 64                   // an endpoint
	lifeShape       = 4.0                  // of the distribution of lives: a standard deviation of some 0.45 of their logarithm
	survivesLeast   = 0.02                 // chance to run still below which a stream is forgotten
	heldUpLeast     = 1e-3                 // chance of a pause that is too long below which it is none
	priorPauseShare = 0.6                  // of a prompt's reading, the pause that it makes between events of a stream, before anything was seen
	leastPauseShare = 0.02                 // bound of the same
	pauseMemory     = 20.0                 // streams after which one weighs 1/e in it
	readingsMost    = 16                   // prompts of an endpoint that are remembered
)

// running is a stream at an endpoint.
type running struct {
	from time.Duration // first token
	life time.Duration // expected
	gap  time.Duration // longest pause with which it is in time
	size float64       // in calls of mean size
}

// survives is how likely the stream still runs at a moment: lives are taken as log-logistic.
func (r *running) survives(at time.Duration) float64 {
	if at <= r.from || r.life <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(float64(at-r.from)/float64(r.life), lifeShape))
}

// streams are those that run at an endpoint, as far as this router knows.
type streams struct{ list []running }

func (s *streams) add(now time.Duration, r running) {
	s.list = slices.DeleteFunc(s.list, func(other running) bool { return other.survives(now) < survivesLeast })
	if len(s.list) >= streamsMost {
		return
	}
	s.list = append(s.list, r)
}

// heldUp is how many calls of mean size are late because a prompt is read from a moment on for so many seconds.
func (s *streams) heldUp(from time.Duration, seconds, pauseShare float64) float64 {
	sum, late, gap := 0.0, 0.0, time.Duration(-1)
	for i := range s.list {
		r := &s.list[i]
		if r.gap != gap { // most streams have the one before's
			gap = r.gap
			late = lateness(pauseShare*seconds, gap.Seconds())
		}
		if late > heldUpLeast {
			sum += r.size * late * r.survives(from)
		}
	}
	return sum
}

// pauseShare is the longest pause that a prompt makes between a stream's events, as a share of the time that it is read.
// Engines read prompts in pieces of different lengths, which nobody tells. The zero value has seen nothing.
type pauseShare struct {
	mean float64
	seen bool
}

func (p *pauseShare) observe(seen *Stall) {
	if !(seen.PrefillTime > 0 && seen.Longest >= 0) {
		return
	}
	if !p.seen {
		p.mean, p.seen = priorPauseShare, true
	}
	share := min(max(seen.Longest/seen.PrefillTime, leastPauseShare), 1)
	p.mean += (share - p.mean) / pauseMemory
}

func (p *pauseShare) share() float64 {
	if !p.seen {
		return priorPauseShare
	}
	return p.mean
}

// readings are the last prompts that an endpoint was sent.
type readings struct {
	list [readingsMost]promptReading
	next int
}

type promptReading struct {
	at      time.Duration // when it was sent
	seconds float64
}

func (r *readings) add(now time.Duration, seconds float64) {
	r.list[r.next] = promptReading{now, seconds}
	r.next = (r.next + 1) % readingsMost
}

// longest is the longest of those that were sent in a time; 0: none was, as far as is remembered.
func (r *readings) longest(from, to time.Duration) float64 {
	longest := 0.0
	for _, each := range r.list {
		if each.at >= from && each.at <= to {
			longest = max(longest, each.seconds)
		}
	}
	return longest
}

// tokenTimes are how long streams take for a token of those that they may write, by rank. Most write fewer.
type tokenTimes [ranks]float64 // seconds; 0: nothing was seen

func (t *tokenTimes) observe(rank int, took time.Duration, tokens float64) {
	if tokens < 1 || took <= 0 {
		return
	}
	each := &t[min(max(rank, 0), ranks-1)]
	if *each == 0 {
		*each = priorTokenTime.Seconds()
	}
	*each += (min(took.Seconds()/tokens, mostTokenTime.Seconds()) - *each) / tokenTimeMemory
}

// life is how long a stream that may write so many tokens runs.
func (t *tokenTimes) life(rank int, tokens float64) time.Duration {
	each := t[min(max(rank, 0), ranks-1)]
	if each == 0 {
		each = priorTokenTime.Seconds()
	}
	return min(time.Duration(min(tokens, mostTokens)*each*float64(time.Second)), streamLifeMost)
}
