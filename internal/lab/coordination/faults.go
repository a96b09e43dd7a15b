package coordination

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
	minCatchUp     = 2 * time.Second        // after a start with an empty disk, before the next loss
	ackWait        = 400 * time.Millisecond // for the acknowledgement after which a fault comes
	frozenTime     = 600 * time.Millisecond // of machines before a blackout: others take their names over
	settleTimeout  = 60 * time.Second       // before the play, and at its end
	blackoutSettle = 8 * time.Second        // before a blackout: without it there is none
)

// faultPlayer plays a script's faults.
type faultPlayer struct {
	fleet  *fleet
	losses *machines.Losses
	acks   *acknowledgements
	clock  func() time.Duration
	ctx    context.Context // of the play

	mu     sync.Mutex
	played []string       // with their times
	counts map[string]int // of faults played, by their kind
	passed map[string]int // of faults passed over, by their kind
	errs   []error        // what kept the player from playing
}

// play plays the faults and returns once the last one has come to its end.
func (p *faultPlayer) play(faults []Fault) error {
	var script sync.WaitGroup
	for i, f := range faults {
		if !machines.Pause(p.ctx, f.At-p.clock()) {
			break
		}
		if i == len(faults)-1 { // the last blackout: what was begun is ended before
			p.losses.Close()
			script.Wait()
			p.blackout(f, true)
			break
		}
		script.Go(func() { p.playOne(f) })
	}
	script.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.errs...)
}

func (p *faultPlayer) playOne(f Fault) {
	switch f.Kind {
	case Hangup:
		p.note(f)
		p.machines(f)[0].Signal(syscall.SIGHUP)
	case Stall:
		p.freeze(f, p.fleet.core)
	case Freeze:
		p.freeze(f, tolerated)
	case Blackout:
		p.blackout(f, false)
	default:
		p.restart(f)
	}
}

func (p *faultPlayer) machines(f Fault) (machines []*machine) {
	for _, i := range f.Machines {
		machines = append(machines, p.fleet.machines[i])
	}
	return machines
}

// freeze stops processes and lets them go on.
func (p *faultPlayer) freeze(f Fault, limit int) {
	if !p.losses.Take(f.Machines, limit) {
		p.pass(f)
		return
	}
	defer p.losses.GiveBack(f.Machines)
	p.acks.await(f.AfterAck, ackWait)
	p.note(f)
	for _, m := range p.machines(f) {
		m.Signal(syscall.SIGSTOP)
	}
	time.Sleep(f.For)
	for _, m := range p.machines(f) {
		m.Signal(syscall.SIGCONT)
	}
}

// restart ends processes and starts them again, with their disks or empty ones.
func (p *faultPlayer) restart(f Fault) {
	if !p.losses.Take(f.Machines, tolerated) {
		p.pass(f)
		return
	}
	defer p.losses.GiveBack(f.Machines)
	p.acks.await(f.AfterAck, ackWait)
	p.note(f)
	machines := p.machines(f)
	for _, m := range machines {
		if f.Kind != Stop {
			m.Signal(syscall.SIGKILL)
		}
	}
	var ends sync.WaitGroup
	for _, m := range machines {
		ends.Go(m.Stop)
	}
	ends.Wait()
	if f.Kind == Wipe {
		p.wipe(machines)
	}
	time.Sleep(f.For)
	for _, m := range machines {
		p.fail(m.Start(false))
	}
	if f.Kind == Wipe {
		time.Sleep(minCatchUp)
		p.awaitSettled(settleTimeout)
	}
}

// blackout kills all processes at once and takes disks with it. The fleet is settled before, else there is none.
func (p *faultPlayer) blackout(f Fault, isLast bool) {
	all := make([]int, len(p.fleet.machines))
	for i := range all {
		all[i] = i
	}
	if !isLast && !p.losses.Take(all, len(all)) {
		p.pass(f)
		return
	}
	defer p.losses.GiveBack(all)
	if !p.awaitSettled(blackoutSettle) {
		p.pass(f)
		return
	}
	for _, i := range f.Frozen {
		p.fleet.machines[i].Signal(syscall.SIGSTOP)
	}
	if len(f.Frozen) > 0 {
		time.Sleep(frozenTime)
	}
	p.acks.await(f.AfterAck, ackWait)
	p.note(f)
	p.fleet.killAll()
	p.wipe(p.machines(f))
	time.Sleep(f.For)
	p.fail(p.fleet.startAll(false))
	if !isLast {
		time.Sleep(minCatchUp)
		p.awaitSettled(settleTimeout)
	}
}

func (p *faultPlayer) wipe(machines []*machine) {
	for _, m := range machines {
		p.fail(m.Wipe())
	}
}

func (p *faultPlayer) awaitSettled(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	return p.fleet.awaitSettled(ctx)
}

func (p *faultPlayer) note(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[string(f.Kind)]++
	p.played = append(p.played, fmt.Sprintf("%.3f s %s", p.clock().Seconds(), f))
}

func (p *faultPlayer) pass(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed[string(f.Kind)]++
	p.played = append(p.played, fmt.Sprintf("%.3f s passed over: %s", p.clock().Seconds(), f))
}

func (p *faultPlayer) fail(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, err)
}
