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
	lookEach    = 100 * time.Millisecond // counts are taken so often
	readyWithin = 2 * time.Minute        // for all to have their first list, where that is not what is measured
	settleFor   = 2 * time.Second        // after that at least, for all to be in the midst of their watches
	restartPart = 0.05                   // of a rack's sidecars, a second
)

// play is one case under way.
type play struct {
	Case
	service *Service
	fronts  [2]*Front // of the hollow and of the real sidecars
	racks   []*process
	reals   []*real
	dir     string
	looks   []look

	stopped bool          // a rack is
	back    time.Duration // when the service, which was down, was there again, by clock; 0 is never
}

// look is what had been counted at a time.
type look struct {
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
	if c.Calls > 0 {
		p.service = NewService(c.Hosts, &model.ListService{Concurrency: c.Calls, ServiceTime: c.Call, MaxQueue: c.Line, OnOverflow: model.OverflowReject})
	} else {
		p.service = NewService(c.Hosts, nil)
	}
	defer p.close()
	if err := p.set(); err != nil {
		return f, err
	}
	return p.run(ctx)
}

// set opens the service and makes the racks. No sidecar runs yet.
func (p *play) set() (err error) {
	for i, name := range []string{"hollow", "real"} {
		if p.fronts[i], err = p.service.Open(name); err != nil {
			return err
		}
	}
	if p.dir, err = os.MkdirTemp("", "pinelab-scale-"); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	told := Told{Discovery: p.fronts[0].addr, Paced: p.Paced, Seed: p.Seed, Spread: p.Spread}
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
		if _, err := r.do(order{Do: "start"}); err != nil {
			return err
		}
	}
	told := Told{Discovery: p.fronts[1].addr, Seed: p.Seed}
	for i := range p.Real {
		r, err := launchReal(p.Program, p.Operator, p.dir, told, p.Sidecars+i, p.Sidecars+p.Real)
		if err != nil {
			return err
		}
		p.reals = append(p.reals, r)
	}
	return nil
}

func (p *play) close() {
	for _, r := range p.racks {
		r.close()
	}
	var ends sync.WaitGroup
	for _, r := range p.reals {
		ends.Go(r.close)
	}
	ends.Wait()
	for _, f := range p.fronts {
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
	if s.down != nil {
		back = s.down(p)
	}
	if !s.cold {
		if err := p.start(); err != nil {
			return Figures{}, err
		}
		if err := p.await(ctx, 1, readyWithin); err != nil {
			return Figures{}, err
		}
		if !wait(ctx, p.settle()) {
			return Figures{}, ctx.Err()
		}
	}
	before, err := p.usages()
	if err != nil {
		return Figures{}, err
	}
	began := clock()
	p.look()
	if s.cold {
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
	if err := p.await(ctx, last, p.Within); err != nil && ctx.Err() != nil {
		return Figures{}, err
	}
	lives, err := p.lives()
	if err != nil {
		return Figures{}, err
	}
	return p.figures(changes, lives, before, after, load), nil
}

// settle is for how long nothing is measured after the first lists. Paced watches are so long that a measured time which begins with
// them has too few calls.
func (p *play) settle() time.Duration {
	if p.Paced == nil {
		return settleFor
	}
	return max(settleFor, p.Paced.Fleet.MaxWatchWait())
}

// measure goes through the measured time and returns the revisions of the changes that were made.
func (p *play) measure(ctx context.Context, s scenario, began time.Duration, back func() error) (changes []int64, err error) {
	length := time.Duration(p.Seconds) * time.Second
	down := s.down != nil
	for n := time.Duration(1); n*lookEach <= length; n++ {
		due := n * lookEach
		for p.Changes > 0 && (float64(len(changes))+0.5)/p.Changes < due.Seconds() { // the first half a gap after the beginning
			at := time.Duration((float64(len(changes)) + 0.5) / p.Changes * float64(time.Second))
			if !wait(ctx, began+at-clock()) {
				return nil, ctx.Err()
			}
			changes = append(changes, p.service.Change())
		}
		if !wait(ctx, began+due-clock()) {
			return nil, ctx.Err()
		}
		p.look()
		if down && due >= p.Down {
			if err := back(); err != nil {
				return nil, err
			}
			down, p.back = false, clock()
		}
		if s.each != nil {
			if err := s.each(p, due.Seconds()/length.Seconds()); err != nil {
				return nil, err
			}
		}
	}
	return changes, nil
}

func (p *play) look() {
	p.looks = append(p.looks, look{clock(), [2]Counts{p.fronts[0].Counts(), p.fronts[1].Counts()}})
}

// await waits until all act on a revision; an error is that they don't in time, or ctx's.
func (p *play) await(ctx context.Context, revision int64, within time.Duration) error {
	for end := clock() + within; ; {
		least, err := p.least()
		if err != nil {
			return err
		}
		if least >= revision {
			return nil
		}
		if clock() >= end {
			return fmt.Errorf("hollow: after %s a sidecar acts on revision %d, and not on %d", within, least, revision)
		}
		if !wait(ctx, lookEach) {
			return ctx.Err()
		}
	}
}

// least is the oldest revision that any sidecar acts on; 0 while one has none.
func (p *play) least() (int64, error) {
	least := int64(-1)
	add := func(at int64) {
		if least < 0 || at < least {
			least = at
		}
	}
	for _, r := range p.racks {
		a, err := r.do(order{Do: "least"})
		if err != nil {
			return 0, err
		}
		add(a.Least)
	}
	for _, r := range p.reals {
		add(r.least())
	}
	return least, nil
}

func (p *play) lives() (out []Life, err error) {
	for _, r := range p.racks {
		a, err := r.do(order{Do: "lives"})
		if err != nil {
			return nil, err
		}
		out = append(out, a.Lives...)
	}
	for _, r := range p.reals {
		out = append(out, r.life())
	}
	return out, nil
}

// usages are the racks', one after the other, and at the end this process's.
func (p *play) usages() (out []Usage, err error) {
	for _, r := range p.racks {
		a, err := r.do(order{Do: "usage"})
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
	case over >= 0.25 && over < 0.75 && !p.stopped:
		p.stopped = true
		return p.racks[0].signal(syscall.SIGSTOP)
	case over >= 0.75 && p.stopped:
		p.stopped = false
		return p.racks[0].signal(syscall.SIGCONT)
	}
	return nil
}

// restartSome starts a part of each rack's sidecars anew, evenly over the time.
func (p *play) restartSome(over float64) error {
	for _, r := range p.racks {
		due := int(over*float64(p.Seconds)*restartPart*float64(r.sidecars)) - r.restarted
		if due <= 0 {
			continue
		}
		if _, err := r.do(order{Do: "restart", Sidecars: due}); err != nil {
			return err
		}
		r.restarted += due
	}
	return nil
}

// refuse has the service be down.
func (p *play) refuse() (back func() error) {
	for _, f := range p.fronts {
		f.Down()
	}
	return func() error {
		for _, f := range p.fronts {
			if err := f.Up(); err != nil {
				return err
			}
		}
		return nil
	}
}

// turn has it answer 503.
func (p *play) turn() (back func() error) {
	p.service.Treat(func(Call) Treatment { return Turns })
	return func() error {
		p.service.Treat(nil)
		return nil
	}
}

// wait waits; false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
