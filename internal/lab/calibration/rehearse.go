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
	leastStreams = 100              // fewer say nothing of hosts
	longestFit   = 15 * time.Minute // of a scenario
	passes       = 2                // faults hide slowness and slowness looks like faults: look twice
)

// Rehearsal is a record's hosts and what went wrong with them, ready to be played again.
type Rehearsal struct {
	Scenario *scenario.Scenario
	Arrivals []plan.Arrival
	Seed     uint64
	Notes    []string // what was found and what could not be, in plain words
	Observed Counts   // what the sidecars gave

	view *view
}

// Fit makes a rehearsal of sidecars' records, of one tier. The same records and options give the same one.
func Fit(records []*accesslog.Recording, o Options) (*Rehearsal, error) {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b *accesslog.Recording) int { return rank(a) - rank(b) })
	v, err := look(records)
	if err != nil {
		return nil, err
	}
	if err := v.tells(); err != nil {
		return nil, err
	}
	m := fit(v)
	r := &Rehearsal{Scenario: m.scenario(v), Seed: max(o.Seed, 1), Observed: v.counts(), view: v}
	if r.Arrivals, err = Arrivals(Merge(records), r.Scenario); err != nil {
		return nil, err
	}
	if err := r.calibrate(m, o); err != nil {
		return nil, err
	}
	r.Notes = append(m.notes(v, r.Scenario), v.notes...)
	return r, nil
}

// Merge puts records together into one, the runs by their starts.
func Merge(records []*accesslog.Recording) *accesslog.Recording {
	out := &accesslog.Recording{}
	for _, r := range records {
		out.Runs = append(out.Runs, r.Runs...)
		out.Other, out.Skipped, out.Truncated = out.Other+r.Other, out.Skipped+r.Skipped, out.Truncated || r.Truncated
	}
	slices.SortStableFunc(out.Runs, func(a, b *accesslog.Run) int { return a.Header.Start.Compare(b.Header.Start) })
	return out
}

func rank(r *accesslog.Recording) int {
	if len(r.Runs) == 0 {
		return 0
	}
	return r.Runs[0].Header.Settings.Rank
}

// tells names what a record lacks to be rehearsed.
func (v *view) tells() error {
	answered := 0
	for i := range v.attempts {
		answered += b2i(v.attempts[i].status == balance.OK)
	}
	switch {
	case len(v.streams) == 0:
		return errors.New("rehearse: the record holds no stream: nothing was asked while it was made")
	case len(v.streams) < leastStreams:
		return fmt.Errorf("rehearse: the record is too short to tell anything of hosts: %d streams, %d at least", len(v.streams), leastStreams)
	case answered < leastDone:
		return fmt.Errorf("rehearse: only %d of %d attempts were answered: how fast the hosts are can't be told (%d at least)",
			answered, len(v.attempts), leastDone)
	case v.end > longestFit:
		return fmt.Errorf("rehearse: the record spans %s from its first stream on; a rehearsal is %s at most", v.end.Round(time.Second), longestFit)
	}
	return nil
}

// Play plays the rehearsal once in virtual time and counts what the sidecars gave.
func (r *Rehearsal) Play(seed uint64) (Counts, error) {
	v, err := r.play(r.Scenario, seed)
	if err != nil {
		return Counts{}, err
	}
	return v.counts(), nil
}

// play plays a scenario and looks at it as at a record.
func (r *Rehearsal) play(s *scenario.Scenario, seed uint64) (*view, error) {
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
	return look(records)
}
