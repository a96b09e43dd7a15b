package loopback

import (
	"fmt"
	"net/http"
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

// How the front asks for a sidecar's health.
const (
	minReadyInterval = 5 * time.Millisecond // after its start, and then ever more seldom
	maxReadyInterval = 50 * time.Millisecond
	healthInterval   = 300 * time.Millisecond // where it may shut itself out
	drainInterval    = 200 * time.Millisecond // from SIGTERM on: new connections come for 0.2 to 0.4 s more
)

// sidecar is one instance of the fleet over all its processes, of which there is one at a time.
type sidecar struct {
	fleet *fleet
	id    int
	plan  *plan.Sidecar

	routing atomic.Pointer[routingState]

	mu               sync.Mutex
	discoveryAddress string // where its agent is
	startCount       int
	finalSettings    bool             // the run is over
	members          []map[string]any // the list that it was configured with
	process          *process         // that runs, or the last; nil before the first
	used             trace.Usage
}

// standing is a sidecar as the front sees it.
type routingState struct {
	ready     bool          // its health has said 200 since its start
	draining  bool          // it has said 503 since SIGTERM
	unhealthy bool          // its health says 503 now
	deadAt    time.Duration // when the front will have noticed that it has died
}

// process is one run of the program. The sidecar's lock guards the flags.
type process struct {
	cmd            *exec.Cmd
	controlAddress string        // where it listens for operators; empty: nowhere
	stopping       bool          // SIGTERM was sent
	killed         bool          // SIGKILL was
	settled        chan struct{} // closed once it has been ready, or has ended
	exited         chan struct{} // closed once it has, and all is noted
}

func newSidecar(f *fleet, id int) *sidecar {
	s := &sidecar{fleet: f, id: id, plan: &f.plan.Sidecars[id], discoveryAddress: f.addresses.agent(id, 0)}
	if f.plan.Linked("list", id) {
		s.discoveryAddress = f.addresses.link("list", id, 0)
	}
	s.routing.Store(&routingState{deadAt: model.Never})
	s.used = trace.Usage{Sidecar: id, Build: s.plan.Build}
	return s
}

// start starts a process, unless one runs.
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
	s.fleet.recorder.addSidecarEvent(trace.SidecarEvent{At: s.fleet.elapsed(), Sidecar: s.id, Kind: trace.SidecarStarted, Digest: s.configuredDigest()})
	s.fleet.tasks.Go(func() { s.wait(p) })
	s.fleet.tasks.Go(func() { s.awaitReady(p) })
	return nil
}

// launch starts the program. It needs the lock.
func (s *sidecar) launch() (*process, error) {
	s.startCount++
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	p := &process{settled: make(chan struct{}), exited: make(chan struct{})}
	switch {
	case s.fleet.plan.Upgrades(): // two processes at a time
		p.controlAddress = s.fleet.addresses.control(s.id, s.startCount)
	case s.fleet.plan.Operators():
		p.controlAddress = s.fleet.addresses.control(s.id, 0)
	}
	p.cmd = s.command(p.controlAddress)
	how := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if s.startCount == 1 {
		how |= os.O_TRUNC
	}
	log, err := os.OpenFile(s.logPath(), how, 0o644)
	if err != nil {
		return nil, fmt.Errorf("live: log: %w", err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := s.fleet.spawn(p.cmd); err != nil {
		return nil, fmt.Errorf("live: sidecar %s: %w", s.plan.Name, err)
	}
	// The program counts on the platform's bound; one that needs more is to fail here too.
	sockets := uint64(s.fleet.plan.Scenario.Fleet.Sockets)
	unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil)
	return p, nil
}

// lead has the link of operators, if there is one, pass on to the present process. It needs the lock.
func (s *sidecar) updateControlLink() {
	if l := s.fleet.links[linkKey{"control", s.id, 0}]; l != nil {
		l.setTarget(s.process.controlAddress)
	}
}

func (s *sidecar) command(control string) *exec.Cmd {
	cmd := exec.Command(s.fleet.builds[s.plan.Build])
	if s.operatorConfig() != "" {
		cmd.Args = append(cmd.Args, "--config="+s.operatorPath())
	}
	cmd.Env = append(os.Environ(), "LB_CONFIG="+s.configPath(), "LB_NAME="+s.plan.Name,
		"LB_LISTEN="+s.fleet.addresses.sidecar(s.id), "LB_DISCOVERY="+s.discoveryAddress)
	if control != "" {
		cmd.Env = append(cmd.Env, "LB_CONTROL="+control, "TMPDIR="+s.fleet.configDir)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,            // ^C is for this process, which then ends them in order
		Pdeathsig: syscall.SIGKILL, // see fleet.parent
	}
	return cmd
}

// log is the file that has its output.
func (s *sidecar) logPath() string { return filepath.Join(s.fleet.logDir, s.plan.Name+".log") }

// runs needs the lock.
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

// wait sees a process through to its end.
func (s *sidecar) wait(p *process) {
	p.cmd.Wait() // how it ended is in its state
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.cmd.ProcessState
	s.used.CPU += state.UserTime() + state.SystemTime()
	defer close(p.exited)
	if s.process != p { // another one has taken its place, or it has never come so far
		if !p.stopping && !p.killed {
			s.addEvent(trace.SidecarCrashed, state.String()+"\n"+tail(s.logPath()))
		}
		return
	}
	switch {
	case p.killed:
	case p.stopping:
		s.addEvent(trace.SidecarExited, state.String())
	default:
		s.addEvent(trace.SidecarCrashed, state.String()+"\n"+tail(s.logPath()))
	}
	routing := *s.routing.Load()
	routing.deadAt = min(routing.deadAt, s.fleet.elapsed()+s.fleet.plan.Scenario.Clients.Notice.D())
	s.routing.Store(&routing)
	s.fleet.transport.closeIdle(s.id) // before anyone hears of the end: the front must not count on these
}

// admit waits until a process is ready and lets the front have it.
func (s *sidecar) awaitReady(p *process) {
	defer close(p.settled)
	for wait := minReadyInterval; s.sleep(p, wait); wait = min(maxReadyInterval, wait*3/2) {
		if s.fleet.healthStatus(s.id) != http.StatusOK {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running() {
			s.routing.Store(&routingState{ready: true, deadAt: model.Never})
			s.addEvent(trace.SidecarReady, "")
			if s.fleet.plan.Scenario.Fleet.Audited() {
				s.fleet.tasks.Go(func() { s.watchHealth(p) })
			}
		}
		return
	}
}

// attend has the front look at the health of a process that may shut itself out, until it ends: one that says no gets nothing new.
// One that does not answer is no matter of this.
func (s *sidecar) watchHealth(p *process) {
	for s.sleep(p, healthInterval) {
		code := s.fleet.healthStatus(s.id)
		s.mu.Lock()
		routing := *s.routing.Load()
		if out := code == http.StatusServiceUnavailable; code != 0 && out != routing.unhealthy && s.process == p && !p.stopping {
			routing.unhealthy = out
			s.routing.Store(&routing)
		}
		s.mu.Unlock()
	}
}

// drain waits until a process says that it drains and takes it from the front.
func (s *sidecar) awaitDraining(p *process) {
	for s.sleep(p, drainInterval) {
		if s.fleet.healthStatus(s.id) != http.StatusServiceUnavailable {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process == p && s.running() {
			routing := *s.routing.Load()
			routing.draining = true
			s.routing.Store(&routing)
		}
		return
	}
}

// pause waits; false if the process or the fleet ends meanwhile.
func (s *sidecar) sleep(p *process, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.exited:
	case <-s.fleet.ctx.Done():
	}
	return false
}

func (s *sidecar) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() || s.process.stopping || s.process.killed || s.process.cmd.Process.Signal(syscall.SIGTERM) != nil {
		return // it has ended already
	}
	p := s.process
	p.stopping = true
	s.addEvent(trace.SidecarStopping, "")
	s.fleet.tasks.Go(func() { s.awaitDraining(p) })
}

func (s *sidecar) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() || s.process.killed || s.process.cmd.Process.Kill() != nil {
		return
	}
	s.process.killed = true
	s.addEvent(trace.SidecarKilled, "")
}

func (s *sidecar) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running() {
		_ = s.process.cmd.Process.Signal(sig) // one that has just ended needs none
	}
}

// hup has it follow discovery at another address. One that is down finds that at its next start, and one that
// is not ready yet is told once it is: before that the signal might end it.
func (s *sidecar) reload(discovery string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryAddress = discovery
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

// last is the present process or the last one; nil if there has been none.
func (s *sidecar) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

func (s *sidecar) addEvent(what trace.SidecarEventKind, text string) {
	s.fleet.recorder.addSidecarEvent(trace.SidecarEvent{At: s.fleet.elapsed(), Sidecar: s.id, Kind: what, Detail: text})
}
