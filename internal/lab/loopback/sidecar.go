package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// sidecar is one instance of the fleet over all its processes, of which one is in service at a time.
type sidecar struct {
	run   *run
	fleet *fleet
	id    int
	plan  *plan.Sidecar

	routing atomic.Pointer[routingState]

	mu               sync.Mutex
	discoveryAddress string // of its agent
	startCount       int
	finalSettings    bool             // the run is over: see settings
	members          []map[string]any // the endpoint list in its configuration
	process          *process         // the one in service, or the last one; nil before the first
	used             trace.Usage
}

// process is one run of the program. The sidecar's lock guards the flags.
type process struct {
	cmd            *exec.Cmd
	controlAddress string        // where it listens for operators; empty if nowhere
	stopping       bool          // SIGTERM was sent
	killed         bool          // SIGKILL was sent
	settled        chan struct{} // closed once it has been ready, or has exited
	exited         chan struct{} // closed once it has exited and all is recorded
}

func newSidecar(f *fleet, id int) *sidecar {
	r := f.run
	s := &sidecar{
		run:              r,
		fleet:            f,
		id:               id,
		plan:             &r.plan.Sidecars[id],
		discoveryAddress: r.addresses.agent(id, 0),
	}
	if r.plan.IsIntercepted("list", id) {
		s.discoveryAddress = r.addresses.link("list", id, 0)
	}
	s.routing.Store(&routingState{deadAt: model.Never})
	s.used = trace.Usage{Sidecar: id, Build: s.plan.Build}
	return s
}

// startsBeforeRun reports whether the sidecar is there before the run: not by the script, nor with an endpoint that comes later.
func (s *sidecar) startsBeforeRun() bool {
	if s.plan.StartAt >= 0 {
		return false
	}
	return s.plan.Endpoint < 0 || s.run.plan.Endpoints[s.plan.Endpoint].Start != "absent"
}

// start starts a process, unless one runs. An error is that of its files or of the program.
func (s *sidecar) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running() {
		return nil
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	s.process = p
	s.updateControlLink()
	s.run.recorder.addSidecarEvent(trace.SidecarEvent{
		At:      s.run.elapsed(),
		Sidecar: s.id,
		Kind:    trace.SidecarStarted,
		Digest:  s.configuredDigest(),
	})
	s.fleet.tasks.Go(func() { s.wait(p) })
	s.fleet.tasks.Go(func() { s.awaitReady(p) })
	return nil
}

// launch starts the program. The lock is held.
func (s *sidecar) launch() (*process, error) {
	s.startCount++
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	p := &process{settled: make(chan struct{}), exited: make(chan struct{})}
	switch {
	case s.run.plan.HasUpgrades(): // two processes at a time
		p.controlAddress = s.run.addresses.control(s.id, s.startCount)
	case s.run.plan.NeedsControlAccess():
		p.controlAddress = s.run.addresses.control(s.id, 0)
	}
	p.cmd = s.command(p.controlAddress)
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if s.startCount == 1 {
		flags |= os.O_TRUNC
	}
	log, err := os.OpenFile(s.logPath(), flags, logFileMode)
	if err != nil {
		return nil, fmt.Errorf("loopback: sidecar's log: %w", err)
	}
	defer func() { _ = log.Close() }() // nothing is written here: the process has a descriptor of its own
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := s.fleet.spawn(p.cmd); err != nil {
		return nil, fmt.Errorf("loopback: sidecar %s: %w", s.plan.Name, err)
	}
	// The program relies on the platform's limit; one that needs more has to fail here too. It fails only if the program has
	// exited already.
	sockets := uint64(s.run.plan.Scenario.Fleet.Sockets)
	_ = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil)
	return p, nil
}

// updateControlLink has the operators' link, if there is one, forward to the process in service. The lock is held.
func (s *sidecar) updateControlLink() {
	if l := s.run.links[linkKey{"control", s.id, 0}]; l != nil {
		l.setTarget(s.process.controlAddress)
	}
}

func (s *sidecar) command(controlAddress string) *exec.Cmd {
	cmd := exec.Command(s.fleet.builds[s.plan.Build])
	if s.operatorConfig() != "" {
		cmd.Args = append(cmd.Args, "--config="+s.operatorPath())
	}
	cmd.Env = append(os.Environ(), "LB_CONFIG="+s.configPath(), "LB_NAME="+s.plan.Name,
		"LB_LISTEN="+s.run.addresses.sidecar(s.id), "LB_DISCOVERY="+s.discoveryAddress)
	if controlAddress != "" {
		cmd.Env = append(cmd.Env, "LB_CONTROL="+controlAddress, "TMPDIR="+s.fleet.configDir)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,            // ^C is for this process, which then ends them in order
		Pdeathsig: syscall.SIGKILL, // see fleet.spawnLoop
	}
	return cmd
}

// logPath is the file that has its output.
func (s *sidecar) logPath() string { return filepath.Join(s.fleet.logDir, s.plan.Name+".log") }

// running reports whether the process in service runs. The lock is held.
func (s *sidecar) running() bool {
	if s.process == nil {
		return false
	}
	select {
	case <-s.process.exited:
		return false
	default:
		return true
	}
}

// wait waits for a process to exit and records how it did.
func (s *sidecar) wait(p *process) {
	_ = p.cmd.Wait() // how it exited is in its ProcessState
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.cmd.ProcessState
	s.used.CPU += state.UserTime() + state.SystemTime()
	defer close(p.exited)
	crashed := !p.stopping && !p.killed
	if crashed {
		s.addEvent(trace.SidecarCrashed, state.String()+"\n"+tail(s.logPath()))
	}
	if s.process != p { // another one has taken its place, or it never was in service
		return
	}
	if p.stopping && !p.killed {
		s.addEvent(trace.SidecarExited, state.String())
	}
	routing := *s.routing.Load()
	routing.deadAt = min(routing.deadAt, s.run.elapsed()+s.run.plan.Scenario.Clients.FailureDetection.D())
	s.routing.Store(&routing)
	s.run.transport.closeIdle(s.id) // before p.exited is closed: routable must not count on these connections
}

// sleep waits for d; false if the process exits or the fleet is closed meanwhile.
func (s *sidecar) sleep(p *process, d time.Duration) bool {
	return sleep(d, p.exited, s.fleet.ctx.Done())
}

// stop sends SIGTERM to the process in service.
func (s *sidecar) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() || s.process.stopping || s.process.killed || s.process.cmd.Process.Signal(syscall.SIGTERM) != nil {
		return // it is ending, or has exited
	}
	p := s.process
	p.stopping = true
	s.addEvent(trace.SidecarStopping, "")
	s.fleet.tasks.Go(func() { s.awaitDraining(p) })
}

// kill sends SIGKILL to the process in service.
func (s *sidecar) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() || s.process.killed || s.process.cmd.Process.Kill() != nil {
		return
	}
	s.process.killed = true
	s.addEvent(trace.SidecarKilled, "")
}

// signal sends a signal to the process in service, if it runs.
func (s *sidecar) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running() {
		_ = s.process.cmd.Process.Signal(sig) // one that has just exited needs none
	}
}

// reload has it follow discovery at another address, by SIGHUP. One that is down finds the address at its next start, and one that
// is not ready yet gets the signal once it is: before that the signal might end it.
func (s *sidecar) reload(discoveryAddress string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryAddress = discoveryAddress
	if !s.running() {
		return nil
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	p := s.process
	s.fleet.tasks.Go(func() {
		<-p.settled
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process == p && s.running() && p.cmd.Process.Signal(syscall.SIGHUP) == nil {
			s.addEvent(trace.SidecarReloaded, "")
		}
	})
	return nil
}

// currentProcess is the process in service or the last one; nil if there has been none.
func (s *sidecar) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

func (s *sidecar) addEvent(kind trace.SidecarEventKind, detail string) {
	s.run.recorder.addSidecarEvent(trace.SidecarEvent{At: s.run.elapsed(), Sidecar: s.id, Kind: kind, Detail: detail})
}
