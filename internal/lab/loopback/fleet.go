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
	readyWithin   = 30 * time.Second // for the sidecars that start before the run, as on the platform
	healthWithin  = time.Second
	watchEach     = 500 * time.Millisecond
	longestGraced = 3 * time.Second // of deadlines, for a planned end; a longer one gets no more
	graceBeyond   = 700 * time.Millisecond
	hurriedGrace  = 500 * time.Millisecond // where the run was broken off
)

// fleet is the sidecars of a run, each a process of its own.
type fleet struct {
	*run
	dir, logs string // of the configurations and of the logs
	builds    [2]string
	sidecars  []*sidecar
	front     http.Client // asks for health
	operators http.Client
	spawn     chan func()
	life      context.Context
	end       context.CancelFunc
	tasks     sync.WaitGroup
}

// newFleet makes a fleet of which nothing runs yet. Close it in any case.
func newFleet(r *run) (*fleet, error) {
	f := &fleet{run: r, logs: r.opts.Dir, builds: r.opts.Builds, spawn: make(chan func())}
	if f.builds[1] == "" {
		f.builds[1] = f.builds[0]
	}
	var err error
	if f.dir, err = os.MkdirTemp("", "pinelab-"); err != nil {
		return nil, fmt.Errorf("live: %w", err)
	}
	if f.logs == "" {
		f.logs = filepath.Join(f.dir, "logs")
	}
	if err := os.MkdirAll(f.logs, 0o755); err != nil {
		os.RemoveAll(f.dir)
		return nil, fmt.Errorf("live: logs: %w", err)
	}
	for i := range r.plan.Sidecars {
		f.sidecars = append(f.sidecars, newSidecar(f, i))
	}
	f.front = http.Client{Timeout: healthWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	f.operators = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.life, f.end = context.WithCancel(context.Background())
	f.tasks.Go(f.parent)
	f.tasks.Go(f.watch)
	return f, nil
}

// parent starts the processes. They die with the thread that started them (PR_SET_PDEATHSIG), however this
// process ends; so it must be one thread that lasts as long as the fleet.
func (f *fleet) parent() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range f.spawn {
		start()
	}
}

// launch starts a process from the parent's thread.
func (f *fleet) launch(cmd *exec.Cmd) error {
	result := make(chan error)
	f.spawn <- func() { result <- cmd.Start() }
	return <-result
}

// health is the code of the answer to GET /_health; 0 for none.
func (f *fleet) health(i int) int { return f.asked("http://" + f.net.sidecar(i) + "/_health") }

// asked is the code of the answer to GET url; 0 for none.
func (f *fleet) asked(url string) int {
	req, err := http.NewRequestWithContext(f.life, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	answer, err := f.front.Do(req)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// watch notes from time to time what each process takes.
func (f *fleet) watch() {
	tick := time.NewTicker(watchEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, s := range f.sidecars {
				s.measure()
			}
		case <-f.life.Done():
			return
		}
	}
}

// begin starts the sidecars that are there before the run and waits until each is ready or has ended, or for
// 30 s. An error is a program that can't be started, or ctx's.
func (f *fleet) begin(ctx context.Context) error {
	within, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, s := range f.sidecars {
		if s.plan.Begin < 0 && (s.plan.Box < 0 || f.plan.Boxes[s.plan.Box].Start != "absent") {
			if err := f.start(i); err != nil {
				return err
			}
		}
	}
	for _, s := range f.sidecars {
		p := s.last()
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
func (f *fleet) hup(i int, discovery string) error { return f.sidecars[i].hup(discovery) }

// admitted says whether the front gives a sidecar something to do. It notices a death late, as the scenario
// has it. Of one whose health says that it drains, clients go on using the connections they have.
func (f *fleet) admitted(i int) bool {
	at := f.sidecars[i].standing.Load()
	return at.able && !at.out && f.now() < at.until && (!at.draining || f.callers.kept(i))
}

// grace is how long a planned end may take, as on the platform.
func (f *fleet) grace() (grace time.Duration) {
	for _, c := range f.plan.Scenario.Class {
		grace = max(grace, c.Deadline.D())
	}
	return min(grace, longestGraced) + graceBeyond
}

// finish ends what still runs, as planned: SIGTERM, and SIGKILL after the grace of the platform, or after less
// in a hurry.
func (f *fleet) finish(hurry bool) {
	grace := f.grace()
	if hurry {
		grace = min(grace, hurriedGrace)
	}
	for _, s := range f.sidecars {
		s.measure()
		s.stop()
	}
	after, cancel := context.WithTimeout(f.life, grace)
	defer cancel()
	for _, s := range f.sidecars {
		if p := s.last(); p != nil {
			select {
			case <-p.ended:
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
		if p := s.last(); p != nil {
			<-p.ended
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
	f.end()
	close(f.spawn)
	f.tasks.Wait()
	os.RemoveAll(f.dir)
	return out
}
