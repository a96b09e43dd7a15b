package settingsbench

import (
	"time"

	"pinelb.example/pinelb/internal/version"
)

// tally collects the delays of several changes.
type tally struct {
	stubs, sidecars         []time.Duration
	stubsLate, sidecarsLate int
}

// add adds the delays of a change.
func (t *tally) add(r *benchmark, e version.Edition, from time.Time) {
	delays, late := r.stubs.delays(r.allStubs(), e, from)
	t.stubs, t.stubsLate = append(t.stubs, delays...), t.stubsLate+late
	delays, late = r.sidecars.delays(r.allSidecars(), e, from)
	t.sidecars, t.sidecarsLate = append(t.sidecars, delays...), t.sidecarsLate+late
}

// fill fills in the figures of a result.
func (t *tally) fill(r *benchmark, result *Result) {
	result.Changes = r.Changes
	result.Stubs, result.Sidecars = newTimes(t.stubs, t.stubsLate), newTimes(t.sidecars, t.sidecarsLate)
	answer := r.sidecars.countAnswering(r.sequence)
	result.Answering = &answer
}
