// Package rehearse takes sidecars' records and makes a scenario of them that behaves as the recorded hosts
// did: who asked what and when is the record's, and the boxes and what went wrong with them are fitted to it.
package calibration

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/stream"
)

const (
	// cancelSteps part a client's time, to find how likely it leaves in each. The gone are few: ten steps still
	// tell a client that leaves at once from one that waits.
	cancelSteps = 10
	// lead is the quiet kept before the first stream of a sidecar that had none for long, in which it learns
	// of its hosts.
	quietLead = time.Second
)

// start is the rehearsal's time 0: the earliest start of a run, or shortly before the first stream if that
// came much later.
func startOf(records ...*accesslog.Record) time.Time {
	var first, asked time.Time
	for _, r := range records {
		for _, run := range r.Runs {
			if at := run.Header.Start; first.IsZero() || at.Before(first) {
				first = at
			}
			if len(run.Streams) == 0 {
				continue
			}
			if at := run.Header.Start.Add(run.Streams[0].Arrival); asked.IsZero() || at.Before(asked) {
				asked = at
			}
		}
	}
	if quiet := asked.Add(-quietLead).Truncate(time.Millisecond); quiet.After(first) {
		return quiet
	}
	return first
}

// Arrivals are a record's streams as a scenario's clients send them again. Classes are found by name. Clients
// that left do so again, and of the others as many would have left later as the record makes likely.
func Arrivals(r *accesslog.Record, s *scenario.Scenario) ([]plan.Arrival, error) {
	zero := startOf(r)
	out := []plan.Arrival{}
	leaves := cancelRates(r)
	rng := rand.New(rand.NewPCG(cancelSteps, 1))
	for _, run := range r.Runs {
		offset := run.Header.Start.Sub(zero)
		for i := range run.Streams {
			st := &run.Streams[i]
			name := run.Header.Settings.ClassNames[st.Class]
			class := s.ClassIndex(name)
			if class < 0 {
				return nil, fmt.Errorf("rehearse: the record names the class %q, which the scenario lacks", name)
			}
			a := plan.Arrival{At: offset + st.Arrival, Class: class, Timeout: st.Left, IsRetry: st.Repeated}
			if a.CancelAfter = leaves.drawCancelTime(st, rng); st.End == stream.Gone {
				a.CancelAfter = st.Answered
			}
			if a.CancelAfter >= st.Left { // its time is up by then
				a.CancelAfter = 0
			}
			out = append(out, a)
		}
	}
	return out, nil
}

// rates are how often clients leave in each part of their time, as a rate over that time.
type cancelHazard [cancelSteps]float64

// leaving counts those that left against the time that all waited: what was answered says nothing of when its
// client would have left later.
func cancelRates(r *accesslog.Record) (out cancelHazard) {
	var left, waited cancelHazard
	for _, run := range r.Runs {
		for i := range run.Streams {
			s := &run.Streams[i]
			if s.Left <= 0 {
				continue
			}
			part := float64(s.Answered) / float64(s.Left) * cancelSteps
			for step := range out {
				waited[step] += min(max(part-float64(step), 0), 1)
			}
			if step := int(part); s.End == stream.Gone && step < cancelSteps {
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

// after draws when a client would have left that had its answer; 0 is never.
func (r *cancelHazard) drawCancelTime(s *accesslog.Stream, rng *rand.Rand) time.Duration {
	need := rng.ExpFloat64()
	from := float64(s.Answered) / float64(max(s.Left, 1)) * cancelSteps
	for step := int(from); step < cancelSteps; step++ {
		here := r[step] * (float64(step+1) - max(from, float64(step)))
		if need < here {
			part := max(from, float64(step)) + need/r[step]
			return time.Duration(part / cancelSteps * float64(s.Left))
		}
		need -= here
	}
	return 0
}
