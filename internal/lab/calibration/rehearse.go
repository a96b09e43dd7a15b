package calibration

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/simulation"
)

// Options bound a fit.
type Options struct {
	Seed        uint64 // of the rehearsal's draws; 0 is 1
	Evaluations int    // plays that the calibration may make; negative is none, 0 is DefaultEvaluations
}

// DefaultEvaluations takes some ten seconds for a record of 10,000 streams.
const DefaultEvaluations = 80

const (
	minRequests = 100              // fewer say nothing of hosts
	maxLength   = 15 * time.Minute // of a scenario
	passes      = 2                // faults hide slowness and slowness looks like faults: look twice
)

// Replay is a record's hosts and what went wrong with them, ready to be played again.
type Replay struct {
	Scenario *scenario.Scenario
	Arrivals []plan.Arrival
	Seed     uint64
	Notes    []string // what was found and what could not be, in plain words
	Recorded Counts   // what the sidecars gave

	history *history
}

// Fit makes a rehearsal of sidecars' records, of one tier. The same records and options give the same one.
func Fit(records []*accesslog.Record, o Options) (*Replay, error) {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b *accesslog.Record) int { return rankOf(a) - rankOf(b) })
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

// Merge puts records together into one, the runs by their starts.
func Merge(records []*accesslog.Record) *accesslog.Record {
	out := &accesslog.Record{}
	for _, r := range records {
		out.Runs = append(out.Runs, r.Runs...)
		out.Other, out.Skipped, out.Truncated = out.Other+r.Other, out.Skipped+r.Skipped, out.Truncated || r.Truncated
	}
	slices.SortStableFunc(out.Runs, func(a, b *accesslog.Run) int { return a.Header.Start.Compare(b.Header.Start) })
	return out
}

func rankOf(r *accesslog.Record) int {
	if len(r.Runs) == 0 {
		return 0
	}
	return r.Runs[0].Header.Settings.Rank
}

// tells names what a record lacks to be rehearsed.
func (v *history) validate() error {
	answered := 0
	for i := range v.attempts {
		answered += boolToInt(v.attempts[i].status == balance.OK)
	}
	switch {
	case len(v.requests) == 0:
		return errors.New("rehearse: the record holds no stream: nothing was asked while it was made")
	case len(v.requests) < minRequests:
		return fmt.Errorf("rehearse: the record is too short to tell anything of hosts: %d streams, %d at least", len(v.requests), minRequests)
	case answered < minAnswered:
		return fmt.Errorf("rehearse: only %d of %d attempts were answered: how fast the hosts are can't be told (%d at least)",
			answered, len(v.attempts), minAnswered)
	case v.end > maxLength:
		return fmt.Errorf("rehearse: the record spans %s from its first stream on; a rehearsal is %s at most", v.end.Round(time.Second), maxLength)
	}
	return nil
}

// Play plays the rehearsal once in virtual time and counts what the sidecars gave.
func (r *Replay) Play(seed uint64) (Counts, error) {
	v, err := r.play(r.Scenario, seed)
	if err != nil {
		return Counts{}, err
	}
	return v.counts(), nil
}

// play plays a scenario and looks at it as at a record.
func (r *Replay) play(s *scenario.Scenario, seed uint64) (*history, error) {
	p, err := plan.Build(s, seed, r.Arrivals)
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	log, err := simulation.Play(p)
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	var records []*accesslog.Record
	for i := range p.Sidecars {
		rec, err := Record(p, log, i)
		if err != nil {
			return nil, fmt.Errorf("rehearse: %w", err)
		}
		records = append(records, rec)
	}
	return mergeRecords(records)
}
