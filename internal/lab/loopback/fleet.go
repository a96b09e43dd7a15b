package loopback

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// How the fleet is kept.
const (
	readyTimeout      = 30 * time.Second // for the sidecars that start before the run, as on the platform
	healthTimeout     = time.Second
	usageInterval     = 500 * time.Millisecond
	maxGracedDeadline = 3 * time.Second // of deadlines, for a planned end; a longer one gets no more
	graceMargin       = 700 * time.Millisecond
	abortGrace        = 500 * time.Millisecond // where the run was broken off
)

// fleet is the sidecars of a run, each a process of its own.
type fleet struct {
	*run
	configDir, logDir string // of the configurations and of the logs
	builds            [2]string
	sidecars          []*sidecar
	healthClient      http.Client // asks for health
	controlClient     http.Client
	spawnRequests     chan func()
	ctx               context.Context
	cancel            context.CancelFunc
	tasks             sync.WaitGroup
}

// newFleet makes a fleet of which nothing runs yet. Close it in any case.
func newFleet(r *run) (*fleet, error) {
	f := &fleet{run: r, logDir: r.options.LogDir, builds: r.options.Builds, spawnRequests: make(chan func())}
	if f.builds[1] == "" {
		f.builds[1] = f.builds[0]
	}
	var err error
	if f.configDir, err = os.MkdirTemp("", "pinelab-"); err != nil {
		return nil, fmt.Errorf("live: %w", err)
	}
	if f.logDir == "" {
		f.logDir = filepath.Join(f.configDir, "logs")
	}
	if err := os.MkdirAll(f.logDir, 0o755); err != nil {
		os.RemoveAll(f.configDir)
		return nil, fmt.Errorf("live: logs: %w", err)
	}
	for i := range r.plan.Sidecars {
		f.sidecars = append(f.sidecars, newSidecar(f, i))
	}
	f.healthClient = http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	f.controlClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.tasks.Go(f.spawnLoop)
	f.tasks.Go(f.watchUsage)
	return f, nil
}

// parent starts the processes. They die with the thread that started them (PR_SET_PDEATHSIG), however this
// process ends; so it must be one thread that lasts as long as the fleet.
func (f *fleet) spawnLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range f.spawnRequests {
		start()
	}
}

// launch starts a process from the parent's thread.
func (f *fleet) spawn(cmd *exec.Cmd) error {
	result := make(chan error)
	f.spawnRequests <- func() { result <- cmd.Start() }
	return <-result
}

// health is the code of the answer to GET /_health; 0 for none.
func (f *fleet) healthStatus(i int) int {
	return f.getStatus("http://" + f.addresses.sidecar(i) + "/_health")
}

// asked is the code of the answer to GET url; 0 for none.
func (f *fleet) getStatus(url string) int {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	answer, err := f.healthClient.Do(req)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// watch notes from time to time what each process takes.
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

// begin starts the sidecars that are there before the run and waits until each is ready or has ended, or for
// 30 s. An error is a program that can't be started, or ctx's.
func (f *fleet) startInitial(ctx context.Context) error {
	within, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, s := range f.sidecars {
		if s.plan.Begin < 0 && (s.plan.Box < 0 || f.plan.Boxes[s.plan.Box].Start != "absent") {
			if err := f.start(i); err != nil {
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
		case <-within.Done():
			return ctx.Err() // none if only the time is up: the run begins without it
		}
	}
	return nil
}

// start starts a sidecar that does not run.
func (f *fleet) start(i int) error { return f.sidecars[i].start() }

// stop sends SIGTERM.
func (f *fleet) stop(i int) { f.sidecars[i].stop() }

// upgrade has a sidecar's process be succeeded.
func (f *fleet) upgrade(i int) error { return f.sidecars[i].upgrade() }

// kill sends SIGKILL.
func (f *fleet) kill(i int) { f.sidecars[i].kill() }

// signal sends a signal to a sidecar's process, if one runs.
func (f *fleet) signal(i int, s syscall.Signal) { f.sidecars[i].signal(s) }

// hup tells a sidecar the new address of its agent of discovery. One that does not run finds it at its start.
func (f *fleet) reload(i int, discovery string) error { return f.sidecars[i].reload(discovery) }

// admitted says whether the front gives a sidecar something to do. It notices a death late, as the scenario
// has it. Of one whose health says that it drains, clients go on using the connections they have.
func (f *fleet) routable(i int) bool {
	at := f.sidecars[i].routing.Load()
	return at.ready && !at.unhealthy && f.elapsed() < at.deadAt && (!at.draining || f.transport.hasIdle(i))
}

// grace is how long a planned end may take, as on the platform.
func (f *fleet) gracePeriod() (grace time.Duration) {
	for _, c := range f.plan.Scenario.Class {
		grace = max(grace, c.Deadline.D())
	}
	return min(grace, maxGracedDeadline) + graceMargin
}

// finish ends what still runs, as planned: SIGTERM, and SIGKILL after the grace of the platform, or after less
// in a hurry.
func (f *fleet) shutDown(hurry bool) {
	grace := f.gracePeriod()
	if hurry {
		grace = min(grace, abortGrace)
	}
	for _, s := range f.sidecars {
		s.measureUsage()
		s.stop()
	}
	after, cancel := context.WithTimeout(f.ctx, grace)
	defer cancel()
	for _, s := range f.sidecars {
		if p := s.currentProcess(); p != nil {
			select {
			case <-p.exited:
			case <-after.Done():
			}
		}
	}
	f.killAll()
}

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

// close ends everything at once, waits for it and returns what each sidecar's processes took.
func (f *fleet) close() []trace.Usage {
	out := make([]trace.Usage, 0, len(f.sidecars))
	f.killAll()
	for _, s := range f.sidecars {
		out = append(out, s.usage())
	}
	f.cancel()
	close(f.spawnRequests)
	f.tasks.Wait()
	os.RemoveAll(f.configDir)
	return out
}
