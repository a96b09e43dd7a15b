package settingsbench

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// runPartition partitions the regions and publishes in both at once. The followers of each region are to get its own settings. The
// sidecars reach all distributors, and are left out.
func (r *benchmark) runPartition(result *Result) error {
	r.partitioned.Store(true)
	var delays []time.Duration
	late := 0
	for region, at := range []int{0, 4} {
		e, from, err := r.publish(at)
		if err != nil {
			return err
		}
		followers := filterIndexes(len(r.stubs.byFollower), func(i int) bool { return regionOf(i) == region })
		r.stubs.await(followers, e, from.Add(inForceTimeout))
		more, n := r.stubs.delays(followers, e, from)
		delays, late = append(delays, more...), late+n
	}
	time.Sleep(r.Window)
	result.Stubs, result.Changes, result.Note = newTimes(delays, late), 2, "a change in each region, at its followers"
	return nil
}

// runHeal publishes more changes in the first region, so that it wins, ends the partition, and measures from then on.
func (r *benchmark) runHeal(result *Result) error {
	r.partitioned.Store(true) // as after the case "apart", unless this case is run alone
	if _, _, err := r.publish(4); err != nil {
		return err
	}
	var e version.Edition
	for range 3 { // more changes than the other region made
		var err error
		if e, _, err = r.publish(0); err != nil {
			return err
		}
	}
	from := time.Now()
	r.partitioned.Store(false)
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	delays, late := r.stubs.delays(r.allStubs(), e, from)
	result.Stubs, result.Changes = newTimes(delays, late), 4
	status, err := r.distributors.status(r.ctx, 1)
	if err != nil {
		return err
	}
	result.Note = fmt.Sprintf("from when they were joined; newest %s", status.Edition)
	if status.Overruled != nil {
		result.Note += fmt.Sprintf(", overruled %s", status.Overruled.Edition)
	}
	return nil
}

// runColdStart starts all stubs at the same moment.
func (r *benchmark) runColdStart(result *Result) error {
	n := len(r.stubs.byFollower)
	r.stubs.stop()
	e, _, err := r.publish(0)
	if err != nil {
		return err
	}
	from := time.Now()
	r.stubs = startStubs(n, r.Seed+1, r.distributors.addrs[:], &r.partitioned)
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	delays, late := r.stubs.delays(r.allStubs(), e, from)
	result.Stubs, result.Changes, result.Note = newTimes(delays, late), 1, "from their start to the newest settings in force"
	return nil
}
