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
	limit     = 15 * time.Second // after which a change counts as not in force
	dayOf     = 5300             // changes
	hands     = 16               // that change files at once
	sizesMost = 4096             // watches that one distributor may hold
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
		if n < 1 || n > sizesMost || i > 0 && n <= c.Sizes[i-1] {
			return fmt.Errorf("sizes: %d is not from 1 to %d, or not above the one before it", n, sizesMost)
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

// Line is the result of one case.
type Line struct {
	Case      string  `json:"case"`
	Followers int     `json:"followers"` // hollow
	Real      int     `json:"real"`
	Changes   int     `json:"changes"`
	Bytes     int     `json:"bytes"`             // of settings
	Publish   *Times  `json:"publish,omitempty"` // calls to publish, of which a change's time begins
	Hollow    *Times  `json:"hollow,omitempty"`
	Sidecars  *Times  `json:"sidecars,omitempty"`
	Answer    *int    `json:"answer,omitempty"`   // real ones that serve what the last change alone has
	Seconds   float64 `json:"seconds"`            // that the case took
	Calls     float64 `json:"calls_s,omitempty"`  // of hollow followers, a second
	Rate      float64 `json:"bytes_s,omitempty"`  // of theirs, both ways
	Conns     int64   `json:"connections"`        // that they have opened since their start
	Busiest   float64 `json:"busiest,omitempty"`  // distributor, of a core
	Largest   float64 `json:"largest,omitempty"`  // distributor, resident MB
	Rig       float64 `json:"rig_core,omitempty"` // the hollow followers and the rest of the rig, of a core
	Load      string  `json:"load"`               // averages of the machine
	Note      string  `json:"note,omitempty"`
}

// rig is what a measurement is made with.
type rig struct {
	*Config
	ctx    context.Context
	dir    string
	world  *world
	five   *five
	real   *sidecars
	hollow *hollow
	apart  atomic.Bool
	n      int             // settings published
	calls  []time.Duration // to publish them, in this case
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
	r := &rig{Config: &c, ctx: ctx, dir: dir}
	if r.world, err = newWorld(); err != nil {
		return err
	}
	defer r.world.close()
	if r.wants("before") {
		if err := r.before(); err != nil {
			return err
		}
	}
	if len(c.Only) == 1 && c.Only[0] == "before" {
		return nil
	}
	return r.distributed()
}

func (r *rig) wants(name string) bool { return len(r.Only) == 0 || slices.Contains(r.Only, name) }

// sub is a directory of its own.
func (r *rig) sub(name string) (string, error) {
	dir := filepath.Join(r.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("distributed: %w", err)
	}
	return dir, nil
}

// before changes the settings of the real sidecars as that is done without distributors: their files are written and they are signalled,
// one after the other, and by so many hands at once. What it leaves out is the way to each machine.
func (r *rig) before() error {
	dir, err := r.sub("before")
	if err != nil {
		return err
	}
	s, err := startSidecars(r.Config, dir, r.world, r.Real, nil)
	if err != nil {
		return err
	}
	defer s.stop()
	for _, at := range []int{1, hands} {
		var took []time.Duration
		var mu sync.Mutex
		began := time.Now()
		for range r.Changes {
			r.n++
			from := time.Now()
			var wait sync.WaitGroup
			next := atomic.Int64{}
			var faults []error
			for range at {
				wait.Go(func() {
					for i := int(next.Add(1)) - 1; i < r.Real; i = int(next.Add(1)) - 1 {
						err := s.byHand(i, settings(r.n, r.Bytes))
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
		l := Line{Case: "before", Changes: r.Changes, Sidecars: timesOf(took, 0), Seconds: time.Since(began).Seconds()}
		answer := s.answers(r.n)
		l.Answer = &answer
		each := l.Seconds / float64(r.Changes*r.Real)
		l.Note = fmt.Sprintf("hands: %d; %.2f ms a sidecar, %.1f s for 1,700 (extrapolated; without the way to each machine)", at, 1000*each, 1700*each)
		if err := r.write(l); err != nil {
			return err
		}
	}
	return nil
}

// write writes a case's line.
func (r *rig) write(l Line) error {
	l.Real, l.Bytes, l.Load = r.Real, r.Bytes, load()
	if r.hollow != nil {
		l.Followers, l.Conns = len(r.hollow.of), r.hollow.connections.Load()
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
func (r *rig) distributed() error {
	dir, err := r.sub("after")
	if err != nil {
		return err
	}
	if r.five, err = startFive(r.Config, dir, &r.apart); err != nil {
		return err
	}
	defer r.five.stop()
	if r.real, err = startSidecars(r.Config, dir, r.world, r.Real, r.five.asked[:]); err != nil {
		return err
	}
	defer r.real.stop()
	defer func() {
		if r.hollow != nil {
			r.hollow.stop()
		}
	}()
	for i, n := range r.Sizes {
		if r.hollow != nil {
			r.hollow.stop()
		}
		r.hollow = startHollow(n, r.Seed, r.five.asked[:], &r.apart)
		if _, _, err := r.change(0); err != nil { // all are there, and watch
			return err
		}
		cases := []string{"change", "rest"}
		if i == len(r.Sizes)-1 {
			cases = Cases[1:]
		}
		for _, name := range cases {
			if !r.wants(name) {
				continue
			}
			if err := r.play(name); err != nil {
				return fmt.Errorf("%s, %d followers: %w", name, n, err)
			}
		}
	}
	return nil
}

// play plays a case and writes its line.
func (r *rig) play(name string) error {
	began, was := time.Now(), r.usage()
	l := Line{Case: name}
	r.calls = nil
	err := map[string]func(*Line) error{"change": r.changes, "rest": r.rest, "day": r.day, "day x100": r.day, "one killed": r.killed, "two killed": r.killed,
		"one silent": r.silent, "two silent": r.silent, "one slow": r.slow, "stopped": r.stopped, "apart": r.parted, "joined": r.joined, "cold": r.cold}[name](&l)
	if err != nil {
		return err
	}
	l.Seconds = time.Since(began).Seconds()
	if len(r.calls) > 0 {
		l.Publish = timesOf(r.calls, 0)
	}
	if name != "cold" { // others count there
		r.used(&l, was)
	}
	return r.write(l)
}

func (r *rig) usage() usage {
	u := usage{at: time.Now(), calls: r.hollow.calls.Load(), bytes: r.hollow.bytes.Load(), own: cpu(os.Getpid())}
	for _, p := range r.five.running {
		u.cpu = append(u.cpu, cpu(p.cmd.Process.Pid))
	}
	return u
}

// used fills in what has been used since.
func (r *rig) used(l *Line, was usage) {
	is := r.usage()
	seconds := is.at.Sub(was.at).Seconds()
	l.Calls, l.Rate, l.Rig = float64(is.calls-was.calls)/seconds, float64(is.bytes-was.bytes)/seconds, (is.own-was.own).Seconds()/seconds
	for i, p := range r.five.running {
		l.Busiest = max(l.Busiest, (is.cpu[i]-was.cpu[i]).Seconds()/seconds)
		l.Largest = max(l.Largest, resident(p.cmd.Process.Pid))
	}
}

// change publishes the next settings at a distributor, and waits until they are in force at all or the limit is over.
func (r *rig) change(at int) (version.Edition, time.Time, error) {
	e, from, err := r.publish(at)
	if err == nil {
		r.hollow.await(r.all(), e, from.Add(limit))
		r.real.await(r.allReal(), e, from.Add(limit))
	}
	return e, from, err
}

func (r *rig) publish(at int) (version.Edition, time.Time, error) {
	r.n++
	e, from, err := r.five.publish(r.ctx, at, settings(r.n, r.Bytes))
	r.calls = append(r.calls, time.Since(from))
	return e, from, err
}

func (r *rig) all() []int     { return numbers(len(r.hollow.of), func(int) bool { return true }) }
func (r *rig) allReal() []int { return numbers(r.Real, func(int) bool { return true }) }

// tally collects how long changes took.
type tally struct {
	hollow, real         []time.Duration
	hollowLate, realLate int
}

func (t *tally) add(r *rig, e version.Edition, from time.Time) {
	took, late := r.hollow.took(r.all(), e, from)
	t.hollow, t.hollowLate = append(t.hollow, took...), t.hollowLate+late
	took, late = r.real.took(r.allReal(), e, from)
	t.real, t.realLate = append(t.real, took...), t.realLate+late
}

func (t *tally) fill(r *rig, l *Line) {
	l.Changes = r.Changes
	l.Hollow, l.Sidecars = timesOf(t.hollow, t.hollowLate), timesOf(t.real, t.realLate)
	answer := r.real.answers(r.n)
	l.Answer = &answer
}

// changes are published one after the other, each at the next distributor, at times that have nothing to do with the watches'.
func (r *rig) changes(l *Line) error {
	var t tally
	for i := range r.Changes {
		e, from, err := r.change(i % distributors)
		if err != nil {
			return err
		}
		t.add(r, e, from)
		time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
	}
	t.fill(r, l)
	return nil
}

func (r *rig) rest(*Line) error {
	time.Sleep(r.Window)
	return nil
}

// day has changes come as often as on a day of the letter's, or a hundred times that, whether or not the former is in force.
func (r *rig) day(l *Line) error {
	gap := 24 * time.Hour / dayOf
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
		e, from, err := r.publish(len(all) % distributors)
		if err != nil {
			return err
		}
		all = append(all, published{e, from})
	}
	last := all[len(all)-1]
	r.hollow.await(r.all(), last.e, last.from.Add(limit))
	r.real.await(r.allReal(), last.e, last.from.Add(limit))
	var t tally
	for _, p := range all {
		t.add(r, p.e, p.from)
	}
	t.fill(r, l)
	l.Changes = len(all)
	return nil
}

// killed kills distributors, and publishes at another one at once.
func (r *rig) killed(l *Line) error {
	dead := []int{1}
	if l.Case == "two killed" {
		dead = []int{2, 4}
	}
	var t tally
	for range r.Changes {
		for _, i := range dead {
			r.five.running[i].kill()
		}
		e, from, err := r.change(0)
		if err != nil {
			return err
		}
		t.add(r, e, from)
		for _, i := range dead {
			if err := r.five.back(i); err != nil {
				return err
			}
		}
	}
	t.fill(r, l)
	return nil
}

// silent stops distributors, others for each change, and publishes at another one at once: as if their machines were gone.
func (r *rig) silent(l *Line) error {
	var t tally
	for i := range r.Changes {
		mute := []int{1 + i%4}
		if l.Case == "two silent" {
			mute = append(mute, 1+(i+1+i/4%3)%4)
		}
		for _, who := range mute {
			if err := r.five.running[who].signal(syscall.SIGSTOP); err != nil {
				return err
			}
		}
		e, from, err := r.change(0)
		for _, who := range mute {
			err = errors.Join(err, r.five.running[who].signal(syscall.SIGCONT))
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
func (r *rig) slow(l *Line) error {
	p := r.five.running[3]
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
	err := r.changes(l)
	close(over)
	<-ended
	l.Note = "one of five distributors runs for 0.1 s in each second"
	return err
}

// stopped stops a quarter of the real sidecars, publishes, and has them go on after a while.
func (r *rig) stopped(l *Line) error {
	who := numbers(r.Real, func(i int) bool { return i%4 == 0 })
	for _, i := range who {
		if err := r.real.run[i].signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	e, from, err := r.publish(0)
	if err != nil {
		return err
	}
	r.hollow.await(r.all(), e, from.Add(limit))
	took, late := r.hollow.took(r.all(), e, from)
	l.Hollow = timesOf(took, late)
	time.Sleep(r.Window)
	on := time.Now()
	for _, i := range who {
		if err := r.real.run[i].signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	r.real.await(r.allReal(), e, on.Add(limit))
	took, late = r.real.took(who, e, on)
	l.Sidecars, l.Changes = timesOf(took, late), 1
	answer := r.real.answers(r.n)
	l.Answer, l.Note = &answer, "sidecars: those that were stopped, from when they went on"
	return nil
}

// parted cuts the regions apart and publishes in both at once. Each region's followers are to have its own. The real sidecars reach all
// distributors, and are left out.
func (r *rig) parted(l *Line) error {
	r.apart.Store(true)
	var took []time.Duration
	late := 0
	for region, at := range []int{0, 4} {
		e, from, err := r.publish(at)
		if err != nil {
			return err
		}
		who := numbers(len(r.hollow.of), func(i int) bool { return regionOf(i) == region })
		r.hollow.await(who, e, from.Add(limit))
		t, n := r.hollow.took(who, e, from)
		took, late = append(took, t...), late+n
	}
	time.Sleep(r.Window)
	l.Hollow, l.Changes, l.Note = timesOf(took, late), 2, "a change in each region, at its followers"
	return nil
}

// joined has the first region be changed once more, so that it wins, and the regions reach one another again: from then on until
// all have that.
func (r *rig) joined(l *Line) error {
	r.apart.Store(true) // it is, unless this case is played alone
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
	r.apart.Store(false)
	r.hollow.await(r.all(), e, from.Add(limit))
	took, late := r.hollow.took(r.all(), e, from)
	l.Hollow, l.Changes = timesOf(took, late), 4
	s, err := r.five.status(r.ctx, 1)
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
func (r *rig) cold(l *Line) error {
	n := len(r.hollow.of)
	r.hollow.stop()
	e, _, err := r.publish(0)
	if err != nil {
		return err
	}
	from := time.Now()
	r.hollow = startHollow(n, r.Seed+1, r.five.asked[:], &r.apart)
	r.hollow.await(r.all(), e, from.Add(limit))
	took, late := r.hollow.took(r.all(), e, from)
	l.Hollow, l.Changes, l.Note = timesOf(took, late), 1, "from their start to the newest settings in force"
	return nil
}
