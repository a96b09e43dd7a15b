package settingsbench

import (
	"errors"
	"syscall"
	"time"
)

// runKilled kills distributors, and publishes at another one at once.
func (r *benchmark) runKilled(result *Result) error {
	dead := []int{1}
	if result.Case == "two killed" {
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
	t.fill(r, result)
	return nil
}

// runUnresponsive stops distributors, others for each change, and publishes at another one at once: as if their machines had
// failed.
func (r *benchmark) runUnresponsive(result *Result) error {
	var t tally
	for change := range r.Changes {
		stopped := []int{1 + change%4}
		if result.Case == "two silent" {
			stopped = append(stopped, 1+(change+1+change/4%3)%4)
		}
		for _, i := range stopped {
			if err := r.distributors.processes[i].signal(syscall.SIGSTOP); err != nil {
				return err
			}
		}
		e, from, err := r.changeAll(0)
		for _, i := range stopped {
			err = errors.Join(err, r.distributors.processes[i].signal(syscall.SIGCONT))
		}
		if err != nil {
			return err
		}
		t.add(r, e, from)
	}
	t.fill(r, result)
	return nil
}

// runSlow has one distributor run for a tenth of the time, while changes are published.
func (r *benchmark) runSlow(result *Result) error {
	p := r.distributors.processes[3]
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			for _, turn := range []struct {
				signal syscall.Signal
				wait   time.Duration
			}{{syscall.SIGSTOP, 900 * time.Millisecond}, {syscall.SIGCONT, 100 * time.Millisecond}} {
				_ = p.signal(turn.signal) // it runs as long as the benchmark
				select {
				case <-stop:
					_ = p.signal(syscall.SIGCONT)
					return
				case <-time.After(turn.wait):
				}
			}
		}
	}()
	err := r.runChanges(result)
	close(stop)
	<-stopped
	result.Note = "one of five distributors runs for 0.1 s in each second"
	return err
}

// runStopped stops a quarter of the sidecars, publishes, and continues them after Config.Window.
func (r *benchmark) runStopped(result *Result) error {
	indexes := filterIndexes(r.Real, func(i int) bool { return i%4 == 0 })
	for _, i := range indexes {
		if err := r.sidecars.processes[i].signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	e, from, err := r.publish(0)
	if err != nil {
		return err
	}
	r.stubs.await(r.allStubs(), e, from.Add(inForceTimeout))
	delays, late := r.stubs.delays(r.allStubs(), e, from)
	result.Stubs = newTimes(delays, late)
	time.Sleep(r.Window)
	continuedAt := time.Now()
	for _, i := range indexes {
		if err := r.sidecars.processes[i].signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	r.sidecars.await(r.allSidecars(), e, continuedAt.Add(inForceTimeout))
	delays, late = r.sidecars.delays(indexes, e, continuedAt)
	result.Sidecars, result.Changes = newTimes(delays, late), 1
	answering := r.sidecars.countAnswering(r.sequence)
	result.Answering, result.Note = &answering, "sidecars: those that were stopped, from when they went on"
	return nil
}
