package settingsbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Service is the one that all follow: one of so many followers is the worst case.
const Service = "orders"

const (
	inForceTimeout     = 15 * time.Second // after which a change counts as not in force
	changesPerDay     = 5300             // changes
	parallelReloads     = 16               // that change files at once
	maxFollowers = 4096             // watches that one distributor may hold
)

// Config is a measurement.
type Config struct {
	Pinelb  string        // the program
	Env     []string      // of its processes, beside this one's
	Sizes   []int         // hollow followers: changes and rest are measured at each, the other cases at the last
	Real    int           // sidecars
	Changes int           // in a case
	Bytes   int           // of settings, about
	Window  time.Duration // of cases that take time: rest, a day, a stop, regions apart
	Only    []string      // cases; none: all
	Out     io.Writer     // JSON lines
	Seed    uint64
}

// Cases are the cases that there are, in their order. "before" is by hand; the rest is distributed.
var Cases = []string{"before", "change", "rest", "day", "day x100", "one killed", "two killed", "one silent", "two silent", "one slow", "stopped", "apart", "joined", "cold"}

// Check names the first key that can't be used.
func (c *Config) Check() error {
	for i, n := range c.Sizes {
		if n < 1 || n > maxFollowers || i > 0 && n <= c.Sizes[i-1] {
			return fmt.Errorf("sizes: %d is not from 1 to %d, or not above the one before it", n, maxFollowers)
		}
	}
	for _, name := range c.Only {
		if !slices.Contains(Cases, name) {
			return fmt.Errorf("only: %q is none of %q", name, Cases)
		}
	}
	switch {
	case len(c.Sizes) == 0:
		return errors.New("sizes: must be given")
	case c.Real < 4 || c.Real > 200:
		return errors.New("real: must be from 4 to 200")
	case c.Changes < 1 || c.Changes > 1000:
		return errors.New("changes: must be from 1 to 1000")
	case c.Bytes < 1024 || c.Bytes > 64<<10:
		return errors.New("bytes: must be from 1024 to 65536")
	case c.Window < time.Second || c.Window > time.Hour:
		return errors.New("window: must be from 1s to 1h")
	}
	if _, err := os.Stat(c.Pinelb); err != nil {
		return fmt.Errorf("pinelb: %w", err)
	}
	return nil
}

// Result is the result of one case.
type Result struct {
	Case      string  `json:"case"`
	Followers int     `json:"followers"` // hollow
	Real      int     `json:"real"`
	Changes   int     `json:"changes"`
	Bytes     int     `json:"bytes"`             // of settings
	Publish   *Times  `json:"publish,omitempty"` // calls to publish, of which a change's time begins
	Stubs    *Times  `json:"hollow,omitempty"`
	Sidecars  *Times  `json:"sidecars,omitempty"`
	Answering    *int    `json:"answer,omitempty"`   // real ones that serve what the last change alone has
	Seconds   float64 `json:"seconds"`            // that the case took
	CallsPerS     float64 `json:"calls_s,omitempty"`  // of hollow followers, a second
	BytesPerS      float64 `json:"bytes_s,omitempty"`  // of theirs, both ways
	Connections     int64   `json:"connections"`        // that they have opened since their start
	MaxCPU   float64 `json:"busiest,omitempty"`  // distributor, of a core
	MaxMemoryMB   float64 `json:"largest,omitempty"`  // distributor, resident MB
	LabCPU       float64 `json:"rig_core,omitempty"` // the hollow followers and the rest of the rig, of a core
	Load      string  `json:"load"`               // averages of the machine
	Note      string  `json:"note,omitempty"`
}

// rig is what a measurement is made with.
type benchmark struct {
	*Config
	ctx    context.Context
	dir    string
	upstream  *upstream
	distributors   *distributorSet
	sidecars   *sidecarSet
	stubs *stubFollowers
	partitioned  atomic.Bool
	sequence      int             // settings published
	publishTimes  []time.Duration // to publish them, in this case
}

// Run measures, and writes a line for each case as it is done.
func Run(ctx context.Context, c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "distributed-*")
	if err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	defer os.RemoveAll(dir)
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

func (r *benchmark) selected(name string) bool { return len(r.Only) == 0 || slices.Contains(r.Only, name) }

// sub is a directory of its own.
func (r *benchmark) subdirectory(name string) (string, error) {
	dir := filepath.Join(r.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("distributed: %w", err)
	}
	return dir, nil
}

// before changes the settings of the real sidecars as that is done without distributors: their files are written and they are signalled,
// one after the other, and by so many hands at once. What it leaves out is the way to each machine.
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
	for _, at := range []int{1, parallelReloads} {
		var took []time.Duration
		var mu sync.Mutex
		began := time.Now()
		for range r.Changes {
			r.sequence++
			from := time.Now()
			var wait sync.WaitGroup
			next := atomic.Int64{}
			var faults []error
			for range at {
				wait.Go(func() {
					for i := int(next.Add(1)) - 1; i < r.Real; i = int(next.Add(1)) - 1 {
						err := s.reload(i, settingsText(r.sequence, r.Bytes))
						mu.Lock()
						took, faults = append(took, time.Since(from)), append(faults, err)
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			if err := errors.Join(faults...); err != nil {
				return err
			}
		}
		l := Result{Case: "before", Changes: r.Changes, Sidecars: newTimes(took, 0), Seconds: time.Since(began).Seconds()}
		answer := s.countAnswering(r.sequence)
		l.Answering = &answer
		each := l.Seconds / float64(r.Changes*r.Real)
		l.Note = fmt.Sprintf("hands: %d; %.2f ms a sidecar, %.1f s for 1,700 (extrapolated; without the way to each machine)", at, 1000*each, 1700*each)
		if err := r.writeResult(l); err != nil {
			return err
		}
	}
	return nil
}

// write writes a case's line.
func (r *benchmark) writeResult(l Result) error {
	l.Real, l.Bytes, l.Load = r.Real, r.Bytes, loadAverages()
	if r.stubs != nil {
		l.Followers, l.Connections = len(r.stubs.byFollower), r.stubs.connections.Load()
	}
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	if _, err := fmt.Fprintf(r.Out, "%s\n", text); err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	return r.ctx.Err()
}

// distributed plays the other cases.
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
		if _, _, err := r.changeAll(0); err != nil { // all are there, and watch
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

// play plays a case and writes its line.
func (r *benchmark) runCase(name string) error {
	began, was := time.Now(), r.usage()
	l := Result{Case: name}
	r.publishTimes = nil
	err := map[string]func(*Result) error{"change": r.runChanges, "rest": r.runRest, "day": r.runDay, "day x100": r.runDay, "one killed": r.runKilled, "two killed": r.runKilled,
		"one silent": r.runUnresponsive, "two silent": r.runUnresponsive, "one slow": r.runSlow, "stopped": r.runStopped, "apart": r.runPartition, "joined": r.runHeal, "cold": r.runColdStart}[name](&l)
	if err != nil {
		return err
	}
	l.Seconds = time.Since(began).Seconds()
	if len(r.publishTimes) > 0 {
		l.Publish = newTimes(r.publishTimes, 0)
	}
	if name != "cold" { // others count there
		r.fillUsage(&l, was)
	}
	return r.writeResult(l)
}

func (r *benchmark) usage() usage {
	u := usage{at: time.Now(), calls: r.stubs.calls.Load(), bytes: r.stubs.bytes.Load(), labCPU: cpuTime(os.Getpid())}
	for _, p := range r.distributors.processes {
		u.cpu = append(u.cpu, cpuTime(p.cmd.Process.Pid))
	}
	return u
}

// used fills in what has been used since.
func (r *benchmark) fillUsage(l *Result, was usage) {
	is := r.usage()
	seconds := is.at.Sub(was.at).Seconds()
	l.CallsPerS, l.BytesPerS, l.LabCPU = float64(is.calls-was.calls)/seconds, float64(is.bytes-was.bytes)/seconds, (is.labCPU-was.labCPU).Seconds()/seconds
	for i, p := range r.distributors.processes {
		l.MaxCPU = max(l.MaxCPU, (is.cpu[i]-was.cpu[i]).Seconds()/seconds)
		l.MaxMemoryMB = max(l.MaxMemoryMB, resident(p.cmd.Process.Pid))
	}
}

// change publishes the next settings at a distributor, and waits until they are in force at all or the limit is over.
func (r *benchmark) changeAll(at int) (version.Edition, time.Time, error) {
	e, from, err := r.publish(at)
	if err == nil {
		r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
		r.sidecars.await(r.allSidecars(), e, from.Add(inForceTimeout))
	}
	return e, from, err
}

func (r *benchmark) publish(at int) (version.Edition, time.Time, error) {
	r.sequence++
	e, from, err := r.distributors.publish(r.ctx, at, settingsText(r.sequence, r.Bytes))
	r.publishTimes = append(r.publishTimes, time.Since(from))
	return e, from, err
}

func (r *benchmark) allStubs() []int     { return filterIndexes(len(r.stubs.byFollower), func(int) bool { return true }) }
func (r *benchmark) allSidecars() []int { return filterIndexes(r.Real, func(int) bool { return true }) }

// tally collects how long changes took.
type tally struct {
	stubs, sidecars         []time.Duration
	stubsLate, sidecarsLate int
}

func (t *tally) add(r *benchmark, e version.Edition, from time.Time) {
	took, late := r.stubs.delays(r.allStubs(), e, from)
	t.stubs, t.stubsLate = append(t.stubs, took...), t.stubsLate+late
	took, late = r.sidecars.delays(r.allSidecars(), e, from)
	t.sidecars, t.sidecarsLate = append(t.sidecars, took...), t.sidecarsLate+late
}

func (t *tally) fill(r *benchmark, l *Result) {
	l.Changes = r.Changes
	l.Stubs, l.Sidecars = newTimes(t.stubs, t.stubsLate), newTimes(t.sidecars, t.sidecarsLate)
	answer := r.sidecars.countAnswering(r.sequence)
	l.Answering = &answer
}

// changes are published one after the other, each at the next distributor, at times that have nothing to do with the watches'.
func (r *benchmark) runChanges(l *Result) error {
	var t tally
	for i := range r.Changes {
		e, from, err := r.changeAll(i % distributorCount)
		if err != nil {
			return err
		}
		t.add(r, e, from)
		time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
	}
	t.fill(r, l)
	return nil
}

func (r *benchmark) runRest(*Result) error {
	time.Sleep(r.Window)
	return nil
}

// day has changes come as often as on a day of the letter's, or a hundred times that, whether or not the former is in force.
func (r *benchmark) runDay(l *Result) error {
	gap := 24 * time.Hour / changesPerDay
	if l.Case != "day" {
		gap /= 100
	}
	type published struct {
		e    version.Edition
		from time.Time
	}
	var all []published
	for end, next := time.Now().Add(r.Window), time.Now(); time.Now().Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		e, from, err := r.publish(len(all) % distributorCount)
		if err != nil {
			return err
		}
		all = append(all, published{e, from})
	}
	last := all[len(all)-1]
	r.stubs.await(r.allStubs(), last.e, last.from.Add(inForceTimeout))
	r.sidecars.await(r.allSidecars(), last.e, last.from.Add(inForceTimeout))
	var t tally
	for _, p := range all {
		t.add(r, p.e, p.from)
	}
	t.fill(r, l)
	l.Changes = len(all)
	return nil
}

// killed kills distributors, and publishes at another one at once.
func (r *benchmark) runKilled(l *Result) error {
	dead := []int{1}
	if l.Case == "two killed" {
		dead = []int{2, 4}
	}
	var t tally
	for range r.Changes {
		for _, i := range dead {
			r.distributors.processes[i].kill()
		}
		e, from, err := r.changeAll(0)
		if err != nil {
			return err
		}
		t.add(r, e, from)
		for _, i := range dead {
			if err := r.distributors.restart(i); err != nil {
				return err
			}
		}
	}
	t.fill(r, l)
	return nil
}

// silent stops distributors, others for each change, and publishes at another one at once: as if their machines were gone.
func (r *benchmark) runUnresponsive(l *Result) error {
	var t tally
	for i := range r.Changes {
		mute := []int{1 + i%4}
		if l.Case == "two silent" {
			mute = append(mute, 1+(i+1+i/4%3)%4)
		}
		for _, who := range mute {
			if err := r.distributors.processes[who].signal(syscall.SIGSTOP); err != nil {
				return err
			}
		}
		e, from, err := r.changeAll(0)
		for _, who := range mute {
			err = errors.Join(err, r.distributors.processes[who].signal(syscall.SIGCONT))
		}
		if err != nil {
			return err
		}
		t.add(r, e, from)
	}
	t.fill(r, l)
	return nil
}

// slow has one distributor run for a tenth of the time, with changes published at another one.
func (r *benchmark) runSlow(l *Result) error {
	p := r.distributors.processes[3]
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			for _, turn := range []struct {
				signal syscall.Signal
				wait   time.Duration
			}{{syscall.SIGSTOP, 900 * time.Millisecond}, {syscall.SIGCONT, 100 * time.Millisecond}} {
				_ = p.signal(turn.signal) // it is the rig's own, and runs
				select {
				case <-over:
					_ = p.signal(syscall.SIGCONT)
					return
				case <-time.After(turn.wait):
				}
			}
		}
	}()
	err := r.runChanges(l)
	close(over)
	<-ended
	l.Note = "one of five distributors runs for 0.1 s in each second"
	return err
}

// stopped stops a quarter of the real sidecars, publishes, and has them go on after a while.
func (r *benchmark) runStopped(l *Result) error {
	who := filterIndexes(r.Real, func(i int) bool { return i%4 == 0 })
	for _, i := range who {
		if err := r.sidecars.processes[i].signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	e, from, err := r.publish(0)
	if err != nil {
		return err
	}
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	took, late := r.stubs.delays(r.allStubs(), e, from)
	l.Stubs = newTimes(took, late)
	time.Sleep(r.Window)
	on := time.Now()
	for _, i := range who {
		if err := r.sidecars.processes[i].signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	r.sidecars.await(r.allSidecars(), e, on.Add(inForceTimeout))
	took, late = r.sidecars.delays(who, e, on)
	l.Sidecars, l.Changes = newTimes(took, late), 1
	answer := r.sidecars.countAnswering(r.sequence)
	l.Answering, l.Note = &answer, "sidecars: those that were stopped, from when they went on"
	return nil
}

// parted cuts the regions apart and publishes in both at once. Each region's followers are to have its own. The real sidecars reach all
// distributors, and are left out.
func (r *benchmark) runPartition(l *Result) error {
	r.partitioned.Store(true)
	var took []time.Duration
	late := 0
	for region, at := range []int{0, 4} {
		e, from, err := r.publish(at)
		if err != nil {
			return err
		}
		who := filterIndexes(len(r.stubs.byFollower), func(i int) bool { return regionOf(i) == region })
		r.stubs.await(who, e, from.Add(inForceTimeout))
		t, n := r.stubs.delays(who, e, from)
		took, late = append(took, t...), late+n
	}
	time.Sleep(r.Window)
	l.Stubs, l.Changes, l.Note = newTimes(took, late), 2, "a change in each region, at its followers"
	return nil
}

// joined has the first region be changed once more, so that it wins, and the regions reach one another again: from then on until
// all have that.
func (r *benchmark) runHeal(l *Result) error {
	r.partitioned.Store(true) // it is, unless this case is played alone
	if _, _, err := r.publish(4); err != nil {
		return err
	}
	var e version.Edition
	for range 3 { // more changes than the other region has had
		var err error
		if e, _, err = r.publish(0); err != nil {
			return err
		}
	}
	from := time.Now()
	r.partitioned.Store(false)
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	took, late := r.stubs.delays(r.allStubs(), e, from)
	l.Stubs, l.Changes = newTimes(took, late), 4
	s, err := r.distributors.status(r.ctx, 1)
	if err != nil {
		return err
	}
	l.Note = fmt.Sprintf("from when they were joined; newest %s", s.Edition)
	if s.Overruled != nil {
		l.Note += fmt.Sprintf(", overruled %s", s.Overruled.Edition)
	}
	return nil
}

// cold has all hollow followers start in the same moment.
func (r *benchmark) runColdStart(l *Result) error {
	n := len(r.stubs.byFollower)
	r.stubs.stop()
	e, _, err := r.publish(0)
	if err != nil {
		return err
	}
	from := time.Now()
	r.stubs = startStubs(n, r.Seed+1, r.distributors.addrs[:], &r.partitioned)
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	took, late := r.stubs.delays(r.allStubs(), e, from)
	l.Stubs, l.Changes, l.Note = newTimes(took, late), 1, "from their start to the newest settings in force"
	return nil
}
