package requests

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	returnTimeout = 30 * time.Second // until a router is ready again, after which the next loss is allowed nevertheless
	catchUpTime   = 3 * time.Second  // after the return of a core router without its disk, before the next loss
)

// faultPlayer plays a script's faults.
type faultPlayer struct {
	fleet     *fleet
	endpoints []*endpoint
	losses    *machines.Losses
	clock     func() time.Duration

	mu     sync.Mutex
	played []string
	counts map[FaultKind]int
	errs   []error
}

// play plays the faults and returns once the last one has come to its end. Faults overlap; those that would lose too much of the core wait.
func (p *faultPlayer) play(ctx context.Context, faults []Fault) error {
	var script sync.WaitGroup
	for _, f := range faults {
		if !machines.Pause(ctx, f.At-p.clock()) {
			break
		}
		script.Go(func() { p.playOne(ctx, f) })
	}
	script.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.errs...)
}

func (p *faultPlayer) playOne(ctx context.Context, f Fault) {
	switch f.Kind {
	case Crash:
		p.crash(f)
	case Hangup:
		p.note(f)
		p.fleet.routers[f.Machine].Signal(syscall.SIGHUP)
	case Blackout:
		p.blackout(ctx, f)
	case Freeze:
		p.freeze(f)
	default:
		p.restart(ctx, f)
	}
}

// crash ends an endpoint and starts it again; one that is down already stays so until it is started.
func (p *faultPlayer) crash(f Fault) {
	e := p.endpoints[f.Machine]
	if !e.crashing.TryLock() {
		return
	}
	defer e.crashing.Unlock()
	p.note(f)
	e.crash()
	time.Sleep(f.For)
	p.fail(e.start())
}

func (p *faultPlayer) freeze(f Fault) {
	if !p.losses.Take([]int{f.Machine}, tolerated) {
		return
	}
	defer p.losses.GiveBack([]int{f.Machine})
	p.note(f)
	r := p.fleet.routers[f.Machine]
	r.Signal(syscall.SIGSTOP)
	time.Sleep(f.For)
	r.Signal(syscall.SIGCONT)
}

// restart ends a router and starts it again, with its disk or an empty one.
func (p *faultPlayer) restart(ctx context.Context, f Fault) {
	if !p.losses.Take([]int{f.Machine}, tolerated) {
		return
	}
	defer p.losses.GiveBack([]int{f.Machine})
	p.note(f)
	r := p.fleet.routers[f.Machine]
	if f.Kind == Stop {
		r.Stop()
	} else {
		r.Kill()
	}
	if f.Kind == Wipe {
		p.fail(r.Wipe())
	}
	time.Sleep(f.For)
	p.fail(r.Start(false))
	p.awaitReturn(ctx, f, r)
}

// blackout kills all routers at once and takes a disk with it.
func (p *faultPlayer) blackout(ctx context.Context, f Fault) {
	all := make([]int, len(p.fleet.routers))
	for i := range all {
		all[i] = i
	}
	if !p.losses.Take(all, len(all)) {
		return
	}
	defer p.losses.GiveBack(all)
	p.note(f)
	p.fleet.killAll()
	p.fail(p.fleet.routers[f.Machine].Wipe())
	time.Sleep(f.For)
	p.fail(p.fleet.startAll(false))
	p.awaitReturn(ctx, f, p.fleet.routers...)
}

// awaitReturn waits until routers are ready, and those that lost a disk have the configuration again.
func (p *faultPlayer) awaitReturn(ctx context.Context, f Fault, routers ...*router) {
	ready, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	awaitReady(ready, routers...)
	if f.Kind == Wipe || f.Kind == Blackout {
		time.Sleep(catchUpTime)
	}
}

func (p *faultPlayer) note(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[f.Kind]++
	p.played = append(p.played, fmt.Sprintf("%.3f s %s", p.clock().Seconds(), f))
}

func (p *faultPlayer) fail(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, err)
}
