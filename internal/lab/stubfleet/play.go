package stubfleet

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

// Intervals and time-outs of a play.
const (
	sampleInterval = 100 * time.Millisecond
	readyTimeout   = 2 * time.Minute // for all to have their first list, unless that is measured
	minSettleTime  = 2 * time.Second // thereafter, for the watches to be out of step
	restartShare   = 0.05            // of a rack's stubs, a second
)

// play is a running case.
type play struct {
	Case
	service      *Service
	frontends    [2]*Frontend // of the stubs and of the real sidecars
	racks        []*process
	realSidecars []*realSidecar
	dir          string
	samples      []sample

	rackStopped bool          // the first rack is
	restoredAt  time.Duration // end of the outage, by monotonicNow; 0: there was none
}

// sample holds the counters at a moment.
type sample struct {
	at     time.Duration // by monotonicNow
	counts [2]Counts     // by frontend
}

// Play plays a case and returns its results. A case that cannot be played is a *KeyError.
func Play(ctx context.Context, c Case) (f Figures, err error) {
	m, err := ThisMachine()
	if err != nil {
		return f, err
	}
	if err := c.Check(m); err != nil {
		return f, err
	}
	runtime.LockOSThread() // the processes die with the thread that starts them (PR_SET_PDEATHSIG)
	defer runtime.UnlockOSThread()
	p := &play{Case: c}
	if c.ConcurrentCalls > 0 {
		p.service = NewService(c.Hosts, &model.ListService{Concurrency: c.ConcurrentCalls, ServiceTime: c.CallTime, MaxQueue: c.QueueLength, OnOverflow: model.OverflowReject})
	} else {
		p.service = NewService(c.Hosts, nil)
	}
	defer p.close()
	if err := p.setUp(); err != nil {
		return f, err
	}
	return p.run(ctx)
}

// setUp opens the service and starts the racks. No sidecar runs yet.
func (p *play) setUp() (err error) {
	for i, name := range []string{"stubs", "real"} {
		if p.frontends[i], err = p.service.Open(name); err != nil {
			return err
		}
	}
	if p.dir, err = os.MkdirTemp("", "pinelab-scale-"); err != nil {
		return fmt.Errorf("stubfleet: %w", err)
	}
	config := FleetConfig{Discovery: p.frontends[0].addr, Paced: p.Paced, Seed: p.Seed, StartSpread: p.StartSpread}
	for i := range p.Racks {
		first := i * p.Sidecars / p.Racks
		r, err := launch(p.Rack(), config, first, (i+1)*p.Sidecars/p.Racks-first)
		if err != nil {
			return err
		}
		p.racks = append(p.racks, r)
	}
	return nil
}

// start starts the sidecars; the real ones one after the other.
func (p *play) start() error {
	for _, r := range p.racks {
		if _, err := r.call(command{Op: opStart}); err != nil {
			return err
		}
	}
	config := FleetConfig{Discovery: p.frontends[1].addr, Seed: p.Seed}
	for i := range p.Real {
		r, err := launchReal(p.Program, p.Operator, p.dir, config, p.Sidecars+i, p.Sidecars+p.Real)
		if err != nil {
			return err
		}
		p.realSidecars = append(p.realSidecars, r)
	}
	return nil
}

// close kills all processes, and closes the service.
func (p *play) close() {
	for _, r := range p.racks {
		r.close()
	}
	var ends sync.WaitGroup
	for _, r := range p.realSidecars {
		ends.Go(r.close)
	}
	ends.Wait()
	for _, f := range p.frontends {
		if f != nil {
			f.Down()
		}
	}
	if p.dir != "" {
		_ = os.RemoveAll(p.dir) // what is left over is a temporary file
	}
}

// run starts the sidecars, measures, and collects the results.
func (p *play) run(ctx context.Context) (Figures, error) {
	s := scenarios[p.Scenario]
	load := loadAverage()
	restore := func() error { return nil }
	if s.outage != nil {
		restore = s.outage(p)
	}
	if !s.coldStart {
		if err := p.start(); err != nil {
			return Figures{}, err
		}
		if err := p.awaitRevision(ctx, 1, readyTimeout); err != nil {
			return Figures{}, err
		}
		if !sleep(ctx, p.settle()) {
			return Figures{}, ctx.Err()
		}
	}
	before, err := p.usages()
	if err != nil {
		return Figures{}, err
	}
	startedAt := monotonicNow()
	p.sample()
	if s.coldStart {
		if err := p.start(); err != nil {
			return Figures{}, err
		}
	}
	changes, err := p.measure(ctx, s, startedAt, restore)
	if err != nil {
		return Figures{}, err
	}
	after, err := p.usages()
	if err != nil {
		return Figures{}, err
	}
	last := int64(1)
	if len(changes) > 0 {
		last = changes[len(changes)-1]
	}
	if err := p.awaitRevision(ctx, last, p.FinalTimeout); err != nil && ctx.Err() != nil {
		return Figures{}, err
	}
	incarnations, err := p.incarnations()
	if err != nil {
		return Figures{}, err
	}
	return p.figures(changes, incarnations, before, after, load), nil
}

// settle returns how long to wait between the first lists and the measured time. Paced watches are so long that a measured time
// which begins with them has too few calls.
func (p *play) settle() time.Duration {
	if p.Paced == nil {
		return minSettleTime
	}
	return max(minSettleTime, p.Paced.Fleet.MaxWatchWait())
}

// measure samples for the measured time, and returns the revisions of the changes that were made.
func (p *play) measure(ctx context.Context, s scenario, startedAt time.Duration, restore func() error) (changes []int64, err error) {
	length := time.Duration(p.Seconds) * time.Second
	down := s.outage != nil
	for n := time.Duration(1); n*sampleInterval <= length; n++ {
		due := n * sampleInterval
		for p.Changes > 0 && (float64(len(changes))+0.5)/p.Changes < due.Seconds() { // the first half a gap after the beginning
			at := time.Duration((float64(len(changes)) + 0.5) / p.Changes * float64(time.Second))
			if !sleep(ctx, startedAt+at-monotonicNow()) {
				return nil, ctx.Err()
			}
			changes = append(changes, p.service.Change())
		}
		if !sleep(ctx, startedAt+due-monotonicNow()) {
			return nil, ctx.Err()
		}
		p.sample()
		if down && due >= p.Outage {
			if err := restore(); err != nil {
				return nil, err
			}
			down, p.restoredAt = false, monotonicNow()
		}
		if s.onSample != nil {
			if err := s.onSample(p, due.Seconds()/length.Seconds()); err != nil {
				return nil, err
			}
		}
	}
	return changes, nil
}

// sample takes a sample.
func (p *play) sample() {
	p.samples = append(p.samples, sample{monotonicNow(), [2]Counts{p.frontends[0].Counts(), p.frontends[1].Counts()}})
}

// awaitRevision waits until all sidecars have applied a revision. It returns an error after the timeout, or that of ctx.
func (p *play) awaitRevision(ctx context.Context, revision int64, timeout time.Duration) error {
	for end := monotonicNow() + timeout; ; {
		oldest, err := p.minRevision()
		if err != nil {
			return err
		}
		if oldest >= revision {
			return nil
		}
		if monotonicNow() >= end {
			return fmt.Errorf("stubfleet: after %s a sidecar has applied revision %d, and not %d", timeout, oldest, revision)
		}
		if !sleep(ctx, sampleInterval) {
			return ctx.Err()
		}
	}
}

// minRevision returns the oldest revision that any sidecar has applied; 0 while one has none.
func (p *play) minRevision() (int64, error) {
	oldest := int64(-1)
	add := func(revision int64) {
		if oldest < 0 || revision < oldest {
			oldest = revision
		}
	}
	for _, r := range p.racks {
		answer, err := r.call(command{Op: opMinRevision})
		if err != nil {
			return 0, err
		}
		add(answer.MinRevision)
	}
	for _, r := range p.realSidecars {
		add(r.revision())
	}
	return oldest, nil
}

// incarnations returns those of all sidecars.
func (p *play) incarnations() (out []Incarnation, err error) {
	for _, r := range p.racks {
		answer, err := r.call(command{Op: opIncarnations})
		if err != nil {
			return nil, err
		}
		out = append(out, answer.Incarnations...)
	}
	for _, r := range p.realSidecars {
		out = append(out, r.incarnation())
	}
	return out, nil
}

// usages returns the usage of each rack, and at the end that of this process.
func (p *play) usages() (out []Usage, err error) {
	for _, r := range p.racks {
		answer, err := r.call(command{Op: opUsage})
		if err != nil {
			return nil, err
		}
		out = append(out, answer.Usage)
	}
	return append(out, usage()), nil
}

// sleep waits, and reports false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
