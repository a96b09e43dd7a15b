// Package distributed measures how settings reach a fleet: real distributors, hollow followers that are internal/settingsclient on real
// sockets, and real sidecars, on loopback.
package settingsbench

import (
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// stamp is when a follower had an edition in force.
type appliedEdition struct {
	edition version.Edition
	at      time.Time
}

// stamps are those of some followers, by their numbers.
type applyLog struct {
	mu   sync.Mutex
	byFollower   [][]appliedEdition
	changed chan struct{} // closed when there is another one
}

func newApplyLog(n int) *applyLog { return &applyLog{byFollower: make([][]appliedEdition, n), changed: make(chan struct{})} }

func (s *applyLog) record(who int, e version.Edition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byFollower[who] = append(s.byFollower[who], appliedEdition{e, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// has is when a follower had the edition or a newer one; false: not yet.
func (s *applyLog) appliedAt(who int, e version.Edition) (time.Time, bool) {
	for _, one := range s.byFollower[who] {
		if one.edition.Compare(e) >= 0 {
			return one.at, true
		}
	}
	return time.Time{}, false
}

// await waits until those followers have the edition or a newer one, or the time is over.
func (s *applyLog) await(who []int, e version.Edition, until time.Time) {
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	for {
		s.mu.Lock()
		all, more := true, s.changed
		for _, i := range who {
			if n := len(s.byFollower[i]); n == 0 || s.byFollower[i][n-1].edition.Compare(e) < 0 {
				all = false
				break
			}
		}
		s.mu.Unlock()
		if all {
			return
		}
		select {
		case <-more:
		case <-late.C:
			return
		}
	}
}

// took is how long after from each of those followers had the edition; late is how many did not.
func (s *applyLog) delays(who []int, e version.Edition, from time.Time) (took []time.Duration, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range who {
		at, has := s.appliedAt(i, e)
		if !has {
			late++
			continue
		}
		took = append(took, max(0, at.Sub(from)))
	}
	return took, late
}

// Times are how long changes took to be in force, in milliseconds.
type Times struct {
	N    int     `json:"n"` // followers times changes
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Last float64 `json:"last_ms"`
	Late int     `json:"late"` // that were not in force within the limit
}

func newTimes(took []time.Duration, late int) *Times {
	t := &Times{N: len(took) + late, Late: late}
	if len(took) == 0 {
		return t
	}
	slices.Sort(took)
	at := func(q float64) float64 {
		return float64(took[min(len(took)-1, int(q*float64(len(took))))].Microseconds()) / 1000
	}
	t.P50, t.P99, t.Last = at(0.5), at(0.99), at(1)
	return t
}

// numbers are those from 0 on, below n, that fit.
func filterIndexes(n int, fits func(int) bool) (out []int) {
	for i := range n {
		if fits(i) {
			out = append(out, i)
		}
	}
	return out
}
