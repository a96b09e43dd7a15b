package calibration

import (
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/simulation"
)

// RecordError is the error of records that can't be replayed.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "rehearse: " + e.Reason }

func newRecordError(format string, args ...any) *RecordError {
	return &RecordError{fmt.Sprintf(format, args...)}
}

// Options are those of a fit.
type Options struct {
	Seed        uint64 // of the replay's draws; 0 is 1
	Evaluations int    // maximum number of trial plays; negative is none, 0 is DefaultEvaluations
}

// DefaultEvaluations is the default number of trial plays. They take some ten seconds for a record of 10,000 requests.
const DefaultEvaluations = 80

const (
	minRequests = 100              // fewer say nothing about endpoints
	maxLength   = 15 * time.Minute // of a scenario
	passes      = 2                // faults hide slowness and slowness looks like faults, so both are fitted repeatedly
)

// Replay is a scenario with a record's requests and a fit of its endpoints and their faults, ready to be played.
type Replay struct {
	Scenario *scenario.Scenario
	Arrivals []plan.Arrival
	Seed     uint64
	Notes    []string // findings and limits of the fit, for people
	Recorded Counts   // of the record

	history *history
}

// Fit makes a replay of the records of sidecars of one tier. Records that are too short or too long, or that have too few
// successful attempts, are a *RecordError.
func Fit(records []*accesslog.Recording, o Options) (*Replay, error) {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b *accesslog.Recording) int { return rankOf(a) - rankOf(b) })
	v, err := mergeRecords(records)
	if err != nil {
		return nil, err
	}
	if err := v.validate(); err != nil {
		return nil, err
	}
	m := fit(v)
	r := &Replay{Scenario: m.buildScenario(v), Seed: max(o.Seed, 1), Recorded: v.counts(), history: v}
	if r.Arrivals, err = Arrivals(Merge(records), r.Scenario); err != nil {
		return nil, err
	}
	if err := r.adjust(m, o); err != nil {
		return nil, err
	}
	r.Notes = append(m.notes(v, r.Scenario), v.notes...)
	return r, nil
}

// Merge merges records into one, the runs in the order of their starts.
func Merge(records []*accesslog.Recording) *accesslog.Recording {
	out := &accesslog.Recording{}
	for _, r := range records {
		out.Runs = append(out.Runs, r.Runs...)
		out.Other, out.Skipped, out.Truncated = out.Other+r.Other, out.Skipped+r.Skipped, out.Truncated || r.Truncated
	}
	slices.SortStableFunc(out.Runs, func(a, b *accesslog.Run) int { return a.Header.Start.Compare(b.Header.Start) })
	return out
}

func rankOf(r *accesslog.Recording) int {
	if len(r.Runs) == 0 {
		return 0
	}
	return r.Runs[0].Header.Settings.Rank
}

// validate returns an error that names what the records lack to be replayed.
func (v *history) validate() error {
	answered := 0
	for i := range v.attempts {
		answered += boolToInt(v.attempts[i].status == balance.OK)
	}
	switch {
	case len(v.requests) == 0:
		return newRecordError("the record holds no stream: nothing was asked while it was made")
	case len(v.requests) < minRequests:
		return newRecordError("the record is too short to tell anything of hosts: %d streams, %d at least", len(v.requests), minRequests)
	case answered < minAnswered:
		return newRecordError("only %d of %d attempts were answered: how fast the hosts are can't be told (%d at least)",
			answered, len(v.attempts), minAnswered)
	case v.end > maxLength:
		return newRecordError("the record spans %s from its first stream on; a rehearsal is %s at most", v.end.Round(time.Second), maxLength)
	}
	return nil
}

// Play plays the replay once in virtual time and counts the requests' outcomes at the sidecars.
func (r *Replay) Play(seed uint64) (Counts, error) {
	v, err := r.play(r.Scenario, seed)
	if err != nil {
		return Counts{}, err
	}
	return v.counts(), nil
}

// play plays a scenario and returns its history, as of a record.
func (r *Replay) play(s *scenario.Scenario, seed uint64) (*history, error) {
	p, err := plan.Build(s, seed, r.Arrivals)
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	log, err := simulation.Play(p)
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	var records []*accesslog.Recording
	for i := range p.Sidecars {
		rec, err := Record(p, log, i)
		if err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
		records = append(records, rec)
	}
	return mergeRecords(records)
}
