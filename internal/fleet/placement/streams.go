package placement

import (
	"math"
	"slices"
	"time"
)

// This file models the streams that run at an endpoint. An endpoint prefills a long prompt in chunks, between the tokens of
// the streams that it runs, which lengthens the gaps between their events. A stream with a gap above its MaxEventGap is
// late, so long prompts are preferably sent to endpoints with few streams.

// runningStream is a stream that an endpoint writes.
type runningStream struct {
	firstToken  time.Duration // expected time of the first token
	duration    time.Duration // expected, from the first token on
	maxEventGap time.Duration // a stream with a longer gap is late
	weight      float64       // of the call, relative to the mean weight
}

// survival returns the probability that the stream is still running at a time. Durations are assumed to have a log-logistic
// distribution.
func (r *runningStream) survival(at time.Duration) float64 {
	if at <= r.firstToken || r.duration <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(float64(at-r.firstToken)/float64(r.duration), streamDurationShape))
}

// streamSet holds the streams that this router assumes to run at an endpoint, at most maxStreams.
type streamSet struct{ running []runningStream }

// add removes streams that have probably ended, and adds one unless there are maxStreams.
func (s *streamSet) add(now time.Duration, r runningStream) {
	s.running = slices.DeleteFunc(s.running, func(other runningStream) bool { return other.survival(now) < minSurvival })
	if len(s.running) >= maxStreams {
		return
	}
	s.running = append(s.running, r)
}

// stalledCalls returns the expected number of streams, in calls of mean weight, that become late by a prefill that
// begins at start and takes the given seconds. stallShare is the stall that the prefill causes, as a share of its time.
func (s *streamSet) stalledCalls(start time.Duration, seconds, stallShare float64) float64 {
	sum, stallProbability, gap := 0.0, 0.0, time.Duration(-1)
	for i := range s.running {
		r := &s.running[i]
		if r.maxEventGap != gap { // most streams have the same bound as the one before
			gap = r.maxEventGap
			stallProbability = lateness(stallShare*seconds, gap.Seconds())
		}
		if stallProbability > minStallProbability {
			sum += r.weight * stallProbability * r.survival(start)
		}
	}
	return sum
}

// tokenTimes holds, by priority, the mean duration of streams divided by their maximum number of tokens, in seconds; 0 if
// none has been observed. It is below the time of an actual token, since most streams write fewer tokens than the maximum.
type tokenTimes [priorityLevels]float64

func (t *tokenTimes) observe(priority int, duration time.Duration, tokens float64) {
	if tokens < 1 || duration <= 0 {
		return
	}
	mean := &t[priorityClass(priority)]
	if *mean == 0 {
		*mean = priorTokenTime.Seconds()
	}
	*mean += (min(duration.Seconds()/tokens, maxTokenTime.Seconds()) - *mean) / tokenTimeDecayStreams
}

// duration returns the expected duration of a stream that is limited to the given number of tokens.
func (t *tokenTimes) duration(priority int, tokens float64) time.Duration {
	mean := t[priorityClass(priority)]
	if mean == 0 {
		mean = priorTokenTime.Seconds()
	}
	return min(time.Duration(min(tokens, maxOutputTokens)*mean*float64(time.Second)), maxStreamDuration)
}
