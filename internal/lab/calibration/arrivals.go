// Package calibration makes a scenario of sidecars' access logs (records) that behaves as the recorded endpoints did. The
// requests and their times are the record's; the endpoints and their faults are fitted to it, first directly, by maximum
// likelihood, and then by trial plays in virtual time that are compared with the record.
//
// Fit makes a Replay, which can be played, compared with the record and written as files; Arrivals and Record are the two
// conversions between records and plans. Everything but Replay.Write is pure: the same records and options give the same
// replay. An "endpoint" here is one of the record's hosts.
package calibration

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/stream"
)

const (
	// cancelSteps is the number of steps of a request's time-out for which the rate of cancellations is estimated. There
	// are few cancellations: ten steps still distinguish clients that cancel at once from those that wait.
	cancelSteps = 10
	// quietLead is the time kept before the first request of a sidecar that had none for long, in which it gets its list.
	quietLead = time.Second
)

// startOf returns the replay's time 0: the earliest start of a run, or shortly before the first request if that came much
// later.
func startOf(records ...*accesslog.Recording) time.Time {
	var first, firstRequest time.Time
	for _, r := range records {
		for _, run := range r.Runs {
			if at := run.Header.Start; first.IsZero() || at.Before(first) {
				first = at
			}
			if len(run.Streams) == 0 {
				continue
			}
			if at := run.Header.Start.Add(run.Streams[0].Arrival); firstRequest.IsZero() || at.Before(firstRequest) {
				firstRequest = at
			}
		}
	}
	if quiet := firstRequest.Add(-quietLead).Truncate(time.Millisecond); quiet.After(first) {
		return quiet
	}
	return first
}

// Arrivals returns a record's requests as a scenario's clients send them again. Classes are found by name; one that the
// scenario lacks is a *RecordError. Clients that cancelled do so again, and for the others the time of a later cancellation is
// drawn at the rate of the record.
func Arrivals(r *accesslog.Recording, s *scenario.Scenario) ([]plan.Arrival, error) {
	zero := startOf(r)
	out := []plan.Arrival{}
	leaves := cancelRates(r)
	random := rand.New(rand.NewPCG(cancelSteps, 1))
	for _, run := range r.Runs {
		offset := run.Header.Start.Sub(zero)
		for i := range run.Streams {
			st := &run.Streams[i]
			name := run.Header.Settings.ClassNames[st.Class]
			class := s.ClassIndex(name)
			if class < 0 {
				return nil, newRecordError("the record names the class %q, which the scenario lacks", name)
			}
			a := plan.Arrival{At: offset + st.Arrival, Class: class, Timeout: st.TimeLeft, IsRetry: st.Retry}
			if a.CancelAfter = leaves.drawCancelTime(st, random); st.Outcome == stream.ClientGone {
				a.CancelAfter = st.Answered
			}
			if a.CancelAfter >= st.TimeLeft { // its time is up by then
				a.CancelAfter = 0
			}
			out = append(out, a)
		}
	}
	return out, nil
}

// cancelHazard is the rate of cancellations in each step of a request's time-out, per step.
type cancelHazard [cancelSteps]float64

// cancelRates estimates it as the cancellations of a step over the time that all requests waited in it: a request with a
// response is censored from then on.
func cancelRates(r *accesslog.Recording) (out cancelHazard) {
	var left, waited cancelHazard
	for _, run := range r.Runs {
		for i := range run.Streams {
			s := &run.Streams[i]
			if s.TimeLeft <= 0 {
				continue
			}
			part := float64(s.Answered) / float64(s.TimeLeft) * cancelSteps
			for step := range out {
				waited[step] += min(max(part-float64(step), 0), 1)
			}
			if step := int(part); s.Outcome == stream.ClientGone && step < cancelSteps {
				left[step]++
			}
		}
	}
	for step := range out {
		if waited[step] > 0 {
			out[step] = left[step] / waited[step]
		}
	}
	return out
}

// drawCancelTime draws when a client would have cancelled a request that had a response; 0 is never.
func (r *cancelHazard) drawCancelTime(s *accesslog.Stream, random *rand.Rand) time.Duration {
	need := random.ExpFloat64()
	from := float64(s.Answered) / float64(max(s.TimeLeft, 1)) * cancelSteps
	for step := int(from); step < cancelSteps; step++ {
		here := r[step] * (float64(step+1) - max(from, float64(step)))
		if need < here {
			part := max(from, float64(step)) + need/r[step]
			return time.Duration(part / cancelSteps * float64(s.TimeLeft))
		}
		need -= here
	}
	return 0
}
