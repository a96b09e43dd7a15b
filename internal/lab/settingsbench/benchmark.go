// Package settingsbench measures how settings reach a fleet, on loopback: real distributors, stub followers, which are
// internal/settingsclient on real sockets without a sidecar, and real sidecars. Only the command line of the test lab calls it, as
// pinelb-testlab distribute. All processes, sockets and files are its own and end with Run.
package settingsbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// benchmark is a running measurement.
type benchmark struct {
	*Config
	ctx          context.Context
	dir          string
	upstream     *upstream
	distributors *distributorSet
	sidecars     *sidecarSet
	stubs        *stubFollowers
	partitioned  atomic.Bool
	sequence     int             // settings published
	publishTimes []time.Duration // to publish them, in this case
}

// Run measures, and writes a line of JSON for each case as it ends. It returns the first error, or that of ctx.
func Run(ctx context.Context, c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "distributed-*")
	if err != nil {
		return fmt.Errorf("settingsbench: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left over is a temporary file
	r := &benchmark{Config: &c, ctx: ctx, dir: dir}
	if r.upstream, err = newUpstream(); err != nil {
		return err
	}
	defer r.upstream.close()
	if r.selected("before") {
		if err := r.measureManual(); err != nil {
			return err
		}
	}
	if len(c.Only) == 1 && c.Only[0] == "before" {
		return nil
	}
	return r.measureDistributed()
}

// selected reports whether a case is to be run.
func (r *benchmark) selected(name string) bool {
	return len(r.Only) == 0 || slices.Contains(r.Only, name)
}

// subdirectory makes a directory of that name.
func (r *benchmark) subdirectory(name string) (string, error) {
	dir := filepath.Join(r.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("settingsbench: %w", err)
	}
	return dir, nil
}

// measureDistributed runs all cases but "before".
func (r *benchmark) measureDistributed() error {
	dir, err := r.subdirectory("after")
	if err != nil {
		return err
	}
	if r.distributors, err = startDistributors(r.Config, dir, &r.partitioned); err != nil {
		return err
	}
	defer r.distributors.stop()
	if r.sidecars, err = startSidecars(r.Config, dir, r.upstream, r.Real, r.distributors.addrs[:]); err != nil {
		return err
	}
	defer r.sidecars.stop()
	defer func() {
		if r.stubs != nil {
			r.stubs.stop()
		}
	}()
	for i, n := range r.Sizes {
		if r.stubs != nil {
			r.stubs.stop()
		}
		r.stubs = startStubs(n, r.Seed, r.distributors.addrs[:], &r.partitioned)
		if _, _, err := r.changeAll(0); err != nil { // all have started, and watch
			return err
		}
		cases := []string{"change", "rest"}
		if i == len(r.Sizes)-1 {
			cases = Cases[1:]
		}
		for _, name := range cases {
			if !r.selected(name) {
				continue
			}
			if err := r.runCase(name); err != nil {
				return fmt.Errorf("%s, %d followers: %w", name, n, err)
			}
		}
	}
	return nil
}

// runners run the cases, by name. The names are those of the flag --only and of the results.
var runners = map[string]func(*benchmark, *Result) error{
	"change":     (*benchmark).runChanges,
	"rest":       (*benchmark).runRest,
	"day":        (*benchmark).runDay,
	"day x100":   (*benchmark).runDay,
	"one killed": (*benchmark).runKilled,
	"two killed": (*benchmark).runKilled,
	"one silent": (*benchmark).runUnresponsive,
	"two silent": (*benchmark).runUnresponsive,
	"one slow":   (*benchmark).runSlow,
	"stopped":    (*benchmark).runStopped,
	"apart":      (*benchmark).runPartition,
	"joined":     (*benchmark).runHeal,
	"cold":       (*benchmark).runColdStart,
}

// runCase runs a case and writes its result.
func (r *benchmark) runCase(name string) error {
	startedAt, before := time.Now(), r.usage()
	result := Result{Case: name}
	r.publishTimes = nil
	if err := runners[name](r, &result); err != nil {
		return err
	}
	result.Seconds = time.Since(startedAt).Seconds()
	if len(r.publishTimes) > 0 {
		result.Publish = newTimes(r.publishTimes, 0)
	}
	if name != "cold" { // its followers are not those of before
		r.fillUsage(&result, before)
	}
	return r.writeResult(result)
}

// changeAll publishes the next settings at a distributor, and waits until they are in force at all followers, or for
// inForceTimeout.
func (r *benchmark) changeAll(at int) (version.Edition, time.Time, error) {
	e, from, err := r.publish(at)
	if err == nil {
		r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
		r.sidecars.await(r.allSidecars(), e, from.Add(inForceTimeout))
	}
	return e, from, err
}

// publish publishes the next settings at a distributor. It returns their edition and the time before the call.
func (r *benchmark) publish(at int) (version.Edition, time.Time, error) {
	r.sequence++
	e, from, err := r.distributors.publish(r.ctx, at, settingsText(r.sequence, r.Bytes))
	r.publishTimes = append(r.publishTimes, time.Since(from))
	return e, from, err
}

// allStubs returns the indexes of all stubs.
func (r *benchmark) allStubs() []int {
	return filterIndexes(len(r.stubs.byFollower), func(int) bool { return true })
}

// allSidecars returns the indexes of all sidecars.
func (r *benchmark) allSidecars() []int { return filterIndexes(r.Real, func(int) bool { return true }) }
