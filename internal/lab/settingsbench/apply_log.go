package settingsbench

import (
	"sync"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// appliedEdition records when a follower had an edition in force.
type appliedEdition struct {
	edition version.Edition
	at      time.Time
}

// applyLog records the applied editions of followers, by their index.
type applyLog struct {
	mu         sync.Mutex
	byFollower [][]appliedEdition
	changed    chan struct{} // closed and replaced with each record
}

// newApplyLog makes the log of n followers.
func newApplyLog(n int) *applyLog {
	return &applyLog{byFollower: make([][]appliedEdition, n), changed: make(chan struct{})}
}

// record records that a follower has an edition in force now.
func (s *applyLog) record(follower int, e version.Edition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byFollower[follower] = append(s.byFollower[follower], appliedEdition{e, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// appliedAt returns when a follower had the edition or a newer one in force; false: not yet. The caller holds mu.
func (s *applyLog) appliedAt(follower int, e version.Edition) (time.Time, bool) {
	for _, applied := range s.byFollower[follower] {
		if applied.edition.Compare(e) >= 0 {
			return applied.at, true
		}
	}
	return time.Time{}, false
}

// await waits until the followers have the edition or a newer one in force, or until the deadline.
func (s *applyLog) await(followers []int, e version.Edition, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		s.mu.Lock()
		complete, changed := true, s.changed
		for _, i := range followers {
			if n := len(s.byFollower[i]); n == 0 || s.byFollower[i][n-1].edition.Compare(e) < 0 {
				complete = false
				break
			}
		}
		s.mu.Unlock()
		if complete {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// delays returns the time since from until each of the followers had the edition in force; late is the number of those that had
// not.
func (s *applyLog) delays(followers []int, e version.Edition, from time.Time) (delays []time.Duration, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range followers {
		at, ok := s.appliedAt(i, e)
		if !ok {
			late++
			continue
		}
		delays = append(delays, max(0, at.Sub(from)))
	}
	return delays, late
}

// filterIndexes returns the indexes below n that match.
func filterIndexes(n int, match func(int) bool) (indexes []int) {
	for i := range n {
		if match(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
