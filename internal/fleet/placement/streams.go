package placement

import (
	"math"
	"slices"
	"time"
)

// The streams that run at an endpoint. A long prompt is read in pieces between their tokens, so that their events come with
// longer pauses: one whose pause exceeds its route's bound is late. Long prompts are therefore sent where few streams run.

const (
	priorTokenTime      = 4 * time.Millisecond // that a stream takes for a token, before anything was seen
	tokenTimeMemory     = 20.0                 // streams after which one weighs 1/e
	maxOutputTokens     = 1e6                  // the same for what requests say of themselves
	maxTokenTime        = time.Second          // bounds what odd answers can do
	maxStreamDuration   = time.Minute          // the same for what requests say of themselves
	maxStreams          = 64                   // an endpoint
	streamDurationShape = 4.0                  // of the distribution of lives: a standard deviation of some 0.45 of their logarithm
	minSurvival         = 0.02                 // chance to run still below which a stream is forgotten
	minStallChance      = 1e-3                 // chance of a pause that is too long below which it is none
	priorStallShare     = 0.6                  // of a prompt's reading, the pause that it makes between events of a stream, before anything was seen
	minStallShare       = 0.02                 // bound of the same
	stallMemory         = 20.0                 // streams after which one weighs 1/e in it
	maxRecentPrefills   = 16                   // prompts of an endpoint that are remembered
)

// running is a stream at an endpoint.
type runningStream struct {
	firstToken  time.Duration // first token
	duration    time.Duration // expected
	maxEventGap time.Duration // longest pause with which it is in time
	weight      float64       // in calls of mean size
}

// survives is how likely the stream still runs at a moment: lives are taken as log-logistic.
func (r *runningStream) survival(at time.Duration) float64 {
	if at <= r.firstToken || r.duration <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(float64(at-r.firstToken)/float64(r.duration), streamDurationShape))
}

// streams are those that run at an endpoint, as far as this router knows.
type streamSet struct{ running []runningStream }

func (s *streamSet) add(now time.Duration, r runningStream) {
	s.running = slices.DeleteFunc(s.running, func(other runningStream) bool { return other.survival(now) < minSurvival })
	if len(s.running) >= maxStreams {
		return
	}
	s.running = append(s.running, r)
}

// stalledCalls is how many calls of mean size are late because a prompt is read from a moment on for so many seconds.
func (s *streamSet) stalledCalls(from time.Duration, seconds, pauseShare float64) float64 {
	sum, late, gap := 0.0, 0.0, time.Duration(-1)
	for i := range s.running {
		r := &s.running[i]
		if r.maxEventGap != gap { // most streams have the one before's
			gap = r.maxEventGap
			late = lateness(pauseShare*seconds, gap.Seconds())
		}
		if late > minStallChance {
			sum += r.weight * late * r.survival(from)
		}
	}
	return sum
}

// stallShare is the longest pause that a prompt makes between a stream's events, as a share of the time that it is read.
// Engines read prompts in pieces of different lengths, which nobody tells. The zero value has seen nothing.
type stallModel struct {
	mean float64
	seen bool
}

func (p *stallModel) observe(seen *Stall) {
	if !(seen.PrefillTime > 0 && seen.Longest >= 0) {
		return
	}
	if !p.seen {
		p.mean, p.seen = priorStallShare, true
	}
	share := min(max(seen.Longest/seen.PrefillTime, minStallShare), 1)
	p.mean += (share - p.mean) / stallMemory
}

func (p *stallModel) share() float64 {
	if !p.seen {
		return priorStallShare
	}
	return p.mean
}

// readings are the last prompts that an endpoint was sent.
type recentPrefills struct {
	list [maxRecentPrefills]prefillRecord
	next int
}

type prefillRecord struct {
	sentAt  time.Duration // when it was sent
	seconds float64
}

func (r *recentPrefills) add(now time.Duration, seconds float64) {
	r.list[r.next] = prefillRecord{now, seconds}
	r.next = (r.next + 1) % maxRecentPrefills
}

// longest is the longest of those that were sent in a time; 0: none was, as far as is remembered.
func (r *recentPrefills) longest(from, to time.Duration) float64 {
	longest := 0.0
	for _, each := range r.list {
		if each.sentAt >= from && each.sentAt <= to {
			longest = max(longest, each.seconds)
		}
	}
	return longest
}

// tokenTimes are how long streams take for a token of those that they may write, by rank. Most write fewer.
type tokenTimes [priorityLevels]float64 // seconds; 0: nothing was seen

func (t *tokenTimes) observe(rank int, took time.Duration, tokens float64) {
	if tokens < 1 || took <= 0 {
		return
	}
	each := &t[min(max(rank, 0), priorityLevels-1)]
	if *each == 0 {
		*each = priorTokenTime.Seconds()
	}
	*each += (min(took.Seconds()/tokens, maxTokenTime.Seconds()) - *each) / tokenTimeMemory
}

// life is how long a stream that may write so many tokens runs.
func (t *tokenTimes) duration(rank int, tokens float64) time.Duration {
	each := t[min(max(rank, 0), priorityLevels-1)]
	if each == 0 {
		each = priorTokenTime.Seconds()
	}
	return min(time.Duration(min(tokens, maxOutputTokens)*each*float64(time.Second)), maxStreamDuration)
}
