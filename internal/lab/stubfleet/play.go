package stubfleet

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

// How a play goes on.
const (
	sampleInterval    = 100 * time.Millisecond // counts are taken so often
	readyTimeout = 2 * time.Minute        // for all to have their first list, where that is not what is measured
	minSettleTime   = 2 * time.Second        // after that at least, for all to be in the midst of their watches
	restartShare = 0.05                   // of a rack's sidecars, a second
)

// play is one case under way.
type play struct {
	Case
	service *Service
	frontends  [2]*Frontend // of the hollow and of the real sidecars
	racks   []*process
	realSidecars   []*realSidecar
	dir     string
	samples   []sample

	rackStopped bool          // a rack is
	restoredAt    time.Duration // when the service, which was down, was there again, by clock; 0 is never
}

// look is what had been counted at a time.
type sample struct {
	at     time.Duration // by clock
	counts [2]Counts     // by front
}

// Play plays a case and returns what came of it.
func Play(ctx context.Context, c Case) (f Figures, err error) {
	m, err := ThisMachine()
	if err != nil {
		return f, err
	}
	if err := c.Check(m); err != nil {
		return f, err
	}
	runtime.LockOSThread() // the processes die with the thread that starts them (PR_SET_PDEATHSIG): it must last
	defer runtime.UnlockOSThread()
	p := &play{Case: c}
	if c.ConcurrentCalls > 0 {
		p.service = NewService(c.Hosts, &model.Listing{Calls: c.ConcurrentCalls, Call: c.CallTime, Line: c.QueueLength, Beyond: model.Turns})
	} else {
		p.service = NewService(c.Hosts, nil)
	}
	defer p.close()
	if err := p.setUp(); err != nil {
		return f, err
	}
	return p.run(ctx)
}

// set opens the service and makes the racks. No sidecar runs yet.
func (p *play) setUp() (err error) {
	for i, name := range []string{"hollow", "real"} {
		if p.frontends[i], err = p.service.Open(name); err != nil {
			return err
		}
	}
	if p.dir, err = os.MkdirTemp("", "pinelab-scale-"); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	told := FleetConfig{Discovery: p.frontends[0].addr, Paced: p.Paced, Seed: p.Seed, StartSpread: p.StartSpread}
	for i := range p.Racks {
		first := i * p.Sidecars / p.Racks
		r, err := launch(p.Rack(), told, first, (i+1)*p.Sidecars/p.Racks-first)
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
		if _, err := r.call(command{Op: "start"}); err != nil {
			return err
		}
	}
	told := FleetConfig{Discovery: p.frontends[1].addr, Seed: p.Seed}
	for i := range p.Real {
		r, err := launchReal(p.Program, p.Operator, p.dir, told, p.Sidecars+i, p.Sidecars+p.Real)
		if err != nil {
			return err
		}
		p.realSidecars = append(p.realSidecars, r)
	}
	return nil
}

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
		_ = os.RemoveAll(p.dir) // it holds nothing that is missed
	}
}

// run measures.
func (p *play) run(ctx context.Context) (Figures, error) {
	s := scenarios[p.Scenario]
	load := loadAverage()
	back := func() error { return nil }
	if s.outage != nil {
		back = s.outage(p)
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
	began := monotonicNow()
	p.sample()
	if s.coldStart {
		if err := p.start(); err != nil {
			return Figures{}, err
		}
	}
	changes, err := p.measure(ctx, s, began, back)
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
	lives, err := p.incarnations()
	if err != nil {
		return Figures{}, err
	}
	return p.figures(changes, lives, before, after, load), nil
}

// settle is for how long nothing is measured after the first lists. Paced watches are so long that a measured time which begins with
// them has too few calls.
func (p *play) settle() time.Duration {
	if p.Paced == nil {
		return minSettleTime
	}
	return max(minSettleTime, p.Paced.Fleet.Longest())
}

// measure goes through the measured time and returns the revisions of the changes that were made.
func (p *play) measure(ctx context.Context, s scenario, began time.Duration, back func() error) (changes []int64, err error) {
	length := time.Duration(p.Seconds) * time.Second
	down := s.outage != nil
	for n := time.Duration(1); n*sampleInterval <= length; n++ {
		due := n * sampleInterval
		for p.Changes > 0 && (float64(len(changes))+0.5)/p.Changes < due.Seconds() { // the first half a gap after the beginning
			at := time.Duration((float64(len(changes)) + 0.5) / p.Changes * float64(time.Second))
			if !sleep(ctx, began+at-monotonicNow()) {
				return nil, ctx.Err()
			}
			changes = append(changes, p.service.Change())
		}
		if !sleep(ctx, began+due-monotonicNow()) {
			return nil, ctx.Err()
		}
		p.sample()
		if down && due >= p.Outage {
			if err := back(); err != nil {
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

func (p *play) sample() {
	p.samples = append(p.samples, sample{monotonicNow(), [2]Counts{p.frontends[0].Counts(), p.frontends[1].Counts()}})
}

// await waits until all act on a revision; an error is that they don't in time, or ctx's.
func (p *play) awaitRevision(ctx context.Context, revision int64, within time.Duration) error {
	for end := monotonicNow() + within; ; {
		least, err := p.minRevision()
		if err != nil {
			return err
		}
		if least >= revision {
			return nil
		}
		if monotonicNow() >= end {
			return fmt.Errorf("hollow: after %s a sidecar acts on revision %d, and not on %d", within, least, revision)
		}
		if !sleep(ctx, sampleInterval) {
			return ctx.Err()
		}
	}
}

// least is the oldest revision that any sidecar acts on; 0 while one has none.
func (p *play) minRevision() (int64, error) {
	least := int64(-1)
	add := func(at int64) {
		if least < 0 || at < least {
			least = at
		}
	}
	for _, r := range p.racks {
		a, err := r.call(command{Op: "least"})
		if err != nil {
			return 0, err
		}
		add(a.MinRevision)
	}
	for _, r := range p.realSidecars {
		add(r.revision())
	}
	return least, nil
}

func (p *play) incarnations() (out []Incarnation, err error) {
	for _, r := range p.racks {
		a, err := r.call(command{Op: "lives"})
		if err != nil {
			return nil, err
		}
		out = append(out, a.Incarnations...)
	}
	for _, r := range p.realSidecars {
		out = append(out, r.incarnation())
	}
	return out, nil
}

// usages are the racks', one after the other, and at the end this process's.
func (p *play) usages() (out []Usage, err error) {
	for _, r := range p.racks {
		a, err := r.call(command{Op: "usage"})
		if err != nil {
			return nil, err
		}
		out = append(out, a.Usage)
	}
	return append(out, usage()), nil
}

// stopRack stops the first rack at a quarter of the measured time and has it go on at three quarters.
func (p *play) stopRack(over float64) error {
	switch {
	case over >= 0.25 && over < 0.75 && !p.rackStopped:
		p.rackStopped = true
		return p.racks[0].signal(syscall.SIGSTOP)
	case over >= 0.75 && p.rackStopped:
		p.rackStopped = false
		return p.racks[0].signal(syscall.SIGCONT)
	}
	return nil
}

// restartSome starts a part of each rack's sidecars anew, evenly over the time.
func (p *play) restartSome(over float64) error {
	for _, r := range p.racks {
		due := int(over*float64(p.Seconds)*restartShare*float64(r.sidecars)) - r.restarted
		if due <= 0 {
			continue
		}
		if _, err := r.call(command{Op: "restart", Sidecars: due}); err != nil {
			return err
		}
		r.restarted += due
	}
	return nil
}

// refuse has the service be down.
func (p *play) refuseConnections() (back func() error) {
	for _, f := range p.frontends {
		f.Down()
	}
	return func() error {
		for _, f := range p.frontends {
			if err := f.Up(); err != nil {
				return err
			}
		}
		return nil
	}
}

// turn has it answer 503.
func (p *play) respond503() (back func() error) {
	p.service.SetTreatment(func(Call) Treatment { return Reject })
	return func() error {
		p.service.SetTreatment(nil)
		return nil
	}
}

// wait waits; false if ctx ends before.
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
