package loopback

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	readyTimeout      = 30 * time.Second // of the sidecars that start before the run, as on the platform
	healthTimeout     = time.Second
	usageInterval     = 500 * time.Millisecond
	maxGracedDeadline = 3 * time.Second        // a longer deadline doesn't extend the grace period
	graceMargin       = 700 * time.Millisecond // of the grace period, beyond the longest deadline
	abortGrace        = 500 * time.Millisecond // of a run that was cut short
)

// fleet is the sidecars of a run, each with processes of its own.
type fleet struct {
	run           *run
	configDir     string // temporary; for the configurations
	logDir        string
	builds        [2]string
	sidecars      []*sidecar
	healthClient  http.Client
	controlClient http.Client // for operators' calls
	spawnRequests chan func() // to spawnLoop
	ctx           context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// newFleet makes a fleet of which nothing runs yet; close must be called. An error is that of its directories.
func newFleet(r *run) (*fleet, error) {
	f := &fleet{
		run:           r,
		logDir:        r.options.LogDir,
		builds:        r.options.Builds,
		healthClient:  http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		controlClient: http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		spawnRequests: make(chan func()),
	}
	if f.builds[1] == "" {
		f.builds[1] = f.builds[0]
	}
	var err error
	if f.configDir, err = os.MkdirTemp("", "pinelab-"); err != nil {
		return nil, fmt.Errorf("loopback: configurations: %w", err)
	}
	if f.logDir == "" {
		f.logDir = filepath.Join(f.configDir, "logs")
	}
	if err := os.MkdirAll(f.logDir, 0o755); err != nil {
		return nil, errors.Join(fmt.Errorf("loopback: logs: %w", err), os.RemoveAll(f.configDir))
	}
	for i := range r.plan.Sidecars {
		f.sidecars = append(f.sidecars, newSidecar(f, i))
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.tasks.Go(f.spawnLoop)
	f.tasks.Go(f.watchUsage)
	return f, nil
}

// spawnLoop starts the processes. They die with the thread that started them (PR_SET_PDEATHSIG, prctl(2)), however this process
// ends; so it has to be one thread that lasts as long as the fleet.
func (f *fleet) spawnLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range f.spawnRequests {
		start()
	}
}

// spawn starts a process from spawnLoop's thread.
func (f *fleet) spawn(cmd *exec.Cmd) error {
	result := make(chan error)
	f.spawnRequests <- func() { result <- cmd.Start() }
	return <-result
}

// healthStatus is the status code of the response to a sidecar's GET /_health; 0 if there is none.
func (f *fleet) healthStatus(sidecar int) int {
	return f.getStatus("http://" + f.run.addresses.sidecar(sidecar) + "/_health")
}

// getStatus is the status code of the response to GET url; 0 if there is none.
func (f *fleet) getStatus(url string) int {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := f.healthClient.Do(req)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// watchUsage measures regularly what each process takes.
func (f *fleet) watchUsage() {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, s := range f.sidecars {
				s.measureUsage()
			}
		case <-f.ctx.Done():
			return
		}
	}
}

// startInitial starts the sidecars that are there before the run and waits until each is ready or has exited, for readyTimeout at
// most. An error is that of a program that can't be started, or ctx's.
func (f *fleet) startInitial(ctx context.Context) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range f.sidecars {
		if s.startsBeforeRun() {
			if err := s.start(); err != nil {
				return err
			}
		}
	}
	for _, s := range f.sidecars {
		p := s.currentProcess()
		if p == nil {
			continue
		}
		select {
		case <-p.settled:
		case <-readyCtx.Done():
			return ctx.Err() // nil if only the time is up: the run begins without it
		}
	}
	return nil
}

// routable reports whether the clients' load balancer routes requests to a sidecar. It notices a death late, as the scenario has it.
// While a sidecar drains, clients go on using the connections they have.
func (f *fleet) routable(sidecar int) bool {
	state := f.sidecars[sidecar].routing.Load()
	return state.ready && !state.unhealthy && f.run.elapsed() < state.deadAt &&
		(!state.draining || f.run.transport.hasIdle(sidecar))
}

// gracePeriod is how long a graceful shutdown may take, as on the platform.
func (f *fleet) gracePeriod() time.Duration {
	longest := time.Duration(0)
	for _, class := range f.run.plan.Scenario.Classes {
		longest = max(longest, class.Deadline.D())
	}
	return min(longest, maxGracedDeadline) + graceMargin
}

// shutDown shuts down what still runs: SIGTERM, and SIGKILL after the grace period, which is shorter if the run was cut short.
func (f *fleet) shutDown(aborted bool) {
	grace := f.gracePeriod()
	if aborted {
		grace = min(grace, abortGrace)
	}
	for _, s := range f.sidecars {
		s.measureUsage()
		s.stop()
	}
	graceCtx, cancel := context.WithTimeout(f.ctx, grace)
	defer cancel()
	for _, s := range f.sidecars {
		if p := s.currentProcess(); p != nil {
			select {
			case <-p.exited:
			case <-graceCtx.Done():
			}
		}
	}
	f.killAll()
}

// killAll sends SIGKILL to all and waits until they have exited.
func (f *fleet) killAll() {
	for _, s := range f.sidecars {
		s.kill()
	}
	for _, s := range f.sidecars {
		if p := s.currentProcess(); p != nil {
			<-p.exited
		}
	}
}

// close kills everything, waits for it and returns what each sidecar's processes took.
func (f *fleet) close() []trace.Usage {
	f.killAll()
	usage := make([]trace.Usage, 0, len(f.sidecars))
	for _, s := range f.sidecars {
		usage = append(usage, s.usage())
	}
	f.cancel()
	close(f.spawnRequests)
	f.tasks.Wait()
	_ = os.RemoveAll(f.configDir) // a temporary directory that remains does no harm
	return usage
}
