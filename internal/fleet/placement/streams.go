package placement

import (
	"math"
	"slices"
	"time"
)

// The streams that run at an endpoint. A long prompt is prefilled in chunks between their tokens, so that gaps between their
// events grow: a stream whose gap exceeds its route's bound is late. Long prompts are therefore sent where few streams run.

// runningStream is a stream at an endpoint.
type runningStream struct {
	firstToken  time.Duration // expected time
	duration    time.Duration // expected, from the first token on
	maxEventGap time.Duration // beyond which the stream is late
	weight      float64       // in calls of mean weight
}

// survival returns the probability that the stream still runs at a time. Durations are taken as log-logistic.
func (r *runningStream) survival(at time.Duration) float64 {
	if at <= r.firstToken || r.duration <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(float64(at-r.firstToken)/float64(r.duration), streamDurationShape))
}

// streamSet is the streams that run at an endpoint, as far as this router knows, maxStreams at most.
type streamSet struct{ running []runningStream }

// add adds a stream, and drops those that have probably ended.
func (s *streamSet) add(now time.Duration, r runningStream) {
	s.running = slices.DeleteFunc(s.running, func(other runningStream) bool { return other.survival(now) < minSurvival })
	if len(s.running) >= maxStreams {
		return
	}
	s.running = append(s.running, r)
}

// stalledCalls returns how many calls of mean weight become late by a prefill that starts at a time and takes so many seconds;
// stallShare is the stall that it causes, as a share of these.
func (s *streamSet) stalledCalls(start time.Duration, seconds, stallShare float64) float64 {
	sum, late, gap := 0.0, 0.0, time.Duration(-1)
	for i := range s.running {
		r := &s.running[i]
		if r.maxEventGap != gap { // most streams have the bound of the one before
			gap = r.maxEventGap
			late = lateness(stallShare*seconds, gap.Seconds())
		}
		if late > minStallChance {
			sum += r.weight * late * r.survival(start)
		}
	}
	return sum
}

// tokenTimes is the mean seconds that streams take for each token that they may write, by priority. Most write fewer tokens
// than they may. 0: none has been observed.
type tokenTimes [priorityLevels]float64

func (t *tokenTimes) observe(priority int, took time.Duration, tokens float64) {
	if tokens < 1 || took <= 0 {
		return
	}
	mean := &t[priorityClass(priority)]
	if *mean == 0 {
		*mean = priorTokenTime.Seconds()
	}
	*mean += (min(took.Seconds()/tokens, maxTokenTime.Seconds()) - *mean) / tokenTimeMemory
}

// duration returns how long a stream that may write so many tokens is expected to run.
func (t *tokenTimes) duration(priority int, tokens float64) time.Duration {
	mean := t[priorityClass(priority)]
	if mean == 0 {
		mean = priorTokenTime.Seconds()
	}
	return min(time.Duration(min(tokens, maxOutputTokens)*mean*float64(time.Second)), maxStreamDuration)
}
