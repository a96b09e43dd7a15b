package settingsbench

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// measureManual measures changes without distributors: the files of the sidecars are written and the processes signalled, one
// after the other, and parallelReloads at a time. It leaves out the network to each machine.
func (r *benchmark) measureManual() error {
	dir, err := r.subdirectory("before")
	if err != nil {
		return err
	}
	s, err := startSidecars(r.Config, dir, r.upstream, r.Real, nil)
	if err != nil {
		return err
	}
	defer s.stop()
	for _, parallel := range []int{1, parallelReloads} {
		var delays []time.Duration
		startedAt := time.Now()
		for range r.Changes {
			r.sequence++
			took, err := r.reloadAll(s, parallel)
			if err != nil {
				return err
			}
			delays = append(delays, took...)
		}
		result := Result{Case: "before", Changes: r.Changes, Sidecars: newTimes(delays, 0), Seconds: time.Since(startedAt).Seconds()}
		answering := s.countAnswering(r.sequence)
		result.Answering = &answering
		each := result.Seconds / float64(r.Changes*r.Real)
		result.Note = fmt.Sprintf("hands: %d; %.2f ms a sidecar, %.1f s for 1,700 (extrapolated; without the way to each machine)",
			parallel, 1000*each, 1700*each)
		if err := r.writeResult(result); err != nil {
			return err
		}
	}
	return nil
}

// reloadAll has all sidecars reload the current settings, parallel of them at a time, and returns the time from its start to the end
// of each reload.
func (r *benchmark) reloadAll(s *sidecarSet, parallel int) ([]time.Duration, error) {
	var mu sync.Mutex
	var delays []time.Duration
	var errs []error
	from := time.Now()
	var tasks sync.WaitGroup
	next := atomic.Int64{}
	for range parallel {
		tasks.Go(func() {
			for i := int(next.Add(1)) - 1; i < r.Real; i = int(next.Add(1)) - 1 {
				err := s.reload(i, settingsText(r.sequence, r.Bytes))
				mu.Lock()
				delays, errs = append(delays, time.Since(from)), append(errs, err)
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return delays, errors.Join(errs...)
}

// runChanges publishes changes one after the other, each at the next distributor, at intervals unrelated to those of the watches.
func (r *benchmark) runChanges(result *Result) error {
	var t tally
	for i := range r.Changes {
		e, from, err := r.changeAll(i % distributorCount)
		if err != nil {
			return err
		}
		t.add(r, e, from)
		time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
	}
	t.fill(r, result)
	return nil
}

// runRest makes no changes.
func (r *benchmark) runRest(*Result) error {
	time.Sleep(r.Window)
	return nil
}

// runDay makes changes at the rate of an ordinary day, or a hundred times that, without waiting for the previous one to be in
// force.
func (r *benchmark) runDay(result *Result) error {
	gap := 24 * time.Hour / changesPerDay
	if result.Case != "day" {
		gap /= 100
	}
	type published struct {
		edition version.Edition
		from    time.Time
	}
	var changes []published
	for end, next := time.Now().Add(r.Window), time.Now(); time.Now().Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		e, from, err := r.publish(len(changes) % distributorCount)
		if err != nil {
			return err
		}
		changes = append(changes, published{e, from})
	}
	last := changes[len(changes)-1]
	r.stubs.await(r.allStubs(), last.edition, last.from.Add(inForceTimeout))
	r.sidecars.await(r.allSidecars(), last.edition, last.from.Add(inForceTimeout))
	var t tally
	for _, p := range changes {
		t.add(r, p.edition, p.from)
	}
	t.fill(r, result)
	result.Changes = len(changes)
	return nil
}
