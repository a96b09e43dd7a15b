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
	readySoonest = 5 * time.Millisecond // after its start, and then ever more seldom
	readySeldom  = 50 * time.Millisecond
	attendEach   = 300 * time.Millisecond // where it may shut itself out
	drainEach    = 200 * time.Millisecond // from SIGTERM on: new connections come for 0.2 to 0.4 s more
)

// sidecar is one instance of the fleet over all its processes, of which there is one at a time.
type sidecar struct {
	fleet *fleet
	id    int
	plan  *plan.Sidecar

	standing atomic.Pointer[standing]

	mu        sync.Mutex
	discovery string // where its agent is
	starts    int
	closing   bool             // the run is over
	knows     []map[string]any // the list that it was configured with
	process   *process         // that runs, or the last; nil before the first
	taken     trace.Usage
}

// standing is a sidecar as the front sees it.
type standing struct {
	able     bool          // its health has said 200 since its start
	draining bool          // it has said 503 since SIGTERM
	out      bool          // its health says 503 now
	until    time.Duration // when the front will have noticed that it has died
}

// process is one run of the program. The sidecar's lock guards the flags.
type process struct {
	cmd      *exec.Cmd
	control  string        // where it listens for operators; empty: nowhere
	stopping bool          // SIGTERM was sent
	killed   bool          // SIGKILL was
	settled  chan struct{} // closed once it has been ready, or has ended
	ended    chan struct{} // closed once it has, and all is noted
}

func newSidecar(f *fleet, id int) *sidecar {
	s := &sidecar{fleet: f, id: id, plan: &f.plan.Sidecars[id], discovery: f.net.agent(id, 0)}
	if f.plan.Linked("list", id) {
		s.discovery = f.net.link("list", id, 0)
	}
	s.standing.Store(&standing{until: model.Never})
	s.taken = trace.Usage{Sidecar: id, Build: s.plan.Build}
	return s
}

// start starts a process, unless one runs.
func (s *sidecar) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs() {
		return nil
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	s.process = p
	s.lead()
	s.fleet.trace.change(trace.SidecarEvent{At: s.fleet.now(), Sidecar: s.id, Kind: trace.SidecarStarted, Digest: s.holds()})
	s.fleet.tasks.Go(func() { s.wait(p) })
	s.fleet.tasks.Go(func() { s.admit(p) })
	return nil
}

// launch starts the program. It needs the lock.
func (s *sidecar) launch() (*process, error) {
	s.starts++
	if err := s.configure(); err != nil {
		return nil, err
	}
	p := &process{settled: make(chan struct{}), ended: make(chan struct{})}
	switch {
	case s.fleet.plan.Upgrades(): // two processes at a time
		p.control = s.fleet.net.control(s.id, s.starts)
	case s.fleet.plan.Operators():
		p.control = s.fleet.net.control(s.id, 0)
	}
	p.cmd = s.command(p.control)
	how := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if s.starts == 1 {
		how |= os.O_TRUNC
	}
	log, err := os.OpenFile(s.log(), how, 0o644)
	if err != nil {
		return nil, fmt.Errorf("live: log: %w", err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := s.fleet.launch(p.cmd); err != nil {
		return nil, fmt.Errorf("live: sidecar %s: %w", s.plan.Name, err)
	}
	// The program counts on the platform's bound; one that needs more is to fail here too.
	sockets := uint64(s.fleet.plan.Scenario.Fleet.Sockets)
	unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil)
	return p, nil
}

// lead has the link of operators, if there is one, pass on to the present process. It needs the lock.
func (s *sidecar) lead() {
	if l := s.fleet.links[linkKey{"control", s.id, 0}]; l != nil {
		l.leads(s.process.control)
	}
}

func (s *sidecar) command(control string) *exec.Cmd {
	cmd := exec.Command(s.fleet.builds[s.plan.Build])
	if s.operatorText() != "" {
		cmd.Args = append(cmd.Args, "--config="+s.operator())
	}
	cmd.Env = append(os.Environ(), "LB_CONFIG="+s.file(), "LB_NAME="+s.plan.Name,
		"LB_LISTEN="+s.fleet.net.sidecar(s.id), "LB_DISCOVERY="+s.discovery)
	if control != "" {
		cmd.Env = append(cmd.Env, "LB_CONTROL="+control, "TMPDIR="+s.fleet.dir)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,            // ^C is for this process, which then ends them in order
		Pdeathsig: syscall.SIGKILL, // see fleet.parent
	}
	return cmd
}

// log is the file that has its output.
func (s *sidecar) log() string { return filepath.Join(s.fleet.logs, s.plan.Name+".log") }

// runs needs the lock.
func (s *sidecar) runs() bool {
	if s.process == nil {
		return false
	}
	select {
	case <-s.process.ended:
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
	s.taken.CPU += state.UserTime() + state.SystemTime()
	defer close(p.ended)
	if s.process != p { // another one has taken its place, or it has never come so far
		if !p.stopping && !p.killed {
			s.note(trace.SidecarCrashed, state.String()+"\n"+tail(s.log()))
		}
		return
	}
	switch {
	case p.killed:
	case p.stopping:
		s.note(trace.SidecarExited, state.String())
	default:
		s.note(trace.SidecarCrashed, state.String()+"\n"+tail(s.log()))
	}
	at := *s.standing.Load()
	at.until = min(at.until, s.fleet.now()+s.fleet.plan.Scenario.Clients.Notice.D())
	s.standing.Store(&at)
	s.fleet.callers.forget(s.id) // before anyone hears of the end: the front must not count on these
}

// admit waits until a process is ready and lets the front have it.
func (s *sidecar) admit(p *process) {
	defer close(p.settled)
	for wait := readySoonest; s.pause(p, wait); wait = min(readySeldom, wait*3/2) {
		if s.fleet.health(s.id) != http.StatusOK {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs() {
			s.standing.Store(&standing{able: true, until: model.Never})
			s.note(trace.SidecarReady, "")
			if s.fleet.plan.Scenario.Fleet.Audited() {
				s.fleet.tasks.Go(func() { s.attend(p) })
			}
		}
		return
	}
}

// attend has the front look at the health of a process that may shut itself out, until it ends: one that says no gets nothing new.
// One that does not answer is no matter of this.
func (s *sidecar) attend(p *process) {
	for s.pause(p, attendEach) {
		code := s.fleet.health(s.id)
		s.mu.Lock()
		at := *s.standing.Load()
		if out := code == http.StatusServiceUnavailable; code != 0 && out != at.out && s.process == p && !p.stopping {
			at.out = out
			s.standing.Store(&at)
		}
		s.mu.Unlock()
	}
}

// drain waits until a process says that it drains and takes it from the front.
func (s *sidecar) drain(p *process) {
	for s.pause(p, drainEach) {
		if s.fleet.health(s.id) != http.StatusServiceUnavailable {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process == p && s.runs() {
			at := *s.standing.Load()
			at.draining = true
			s.standing.Store(&at)
		}
		return
	}
}

// pause waits; false if the process or the fleet ends meanwhile.
func (s *sidecar) pause(p *process, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ended:
	case <-s.fleet.life.Done():
	}
	return false
}

func (s *sidecar) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runs() || s.process.stopping || s.process.killed || s.process.cmd.Process.Signal(syscall.SIGTERM) != nil {
		return // it has ended already
	}
	p := s.process
	p.stopping = true
	s.note(trace.SidecarStopping, "")
	s.fleet.tasks.Go(func() { s.drain(p) })
}

func (s *sidecar) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runs() || s.process.killed || s.process.cmd.Process.Kill() != nil {
		return
	}
	s.process.killed = true
	s.note(trace.SidecarKilled, "")
}

func (s *sidecar) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs() {
		_ = s.process.cmd.Process.Signal(sig) // one that has just ended needs none
	}
}

// hup has it follow discovery at another address. One that is down finds that at its next start, and one that
// is not ready yet is told once it is: before that the signal might end it.
func (s *sidecar) hup(discovery string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discovery = discovery
	if !s.runs() {
		return nil
	}
	if err := s.configure(); err != nil {
		return err
	}
	p := s.process
	s.fleet.tasks.Go(func() {
		<-p.settled
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process == p && s.runs() && p.cmd.Process.Signal(syscall.SIGHUP) == nil {
			s.note(trace.SidecarReloaded, "")
		}
	})
	return nil
}

// last is the present process or the last one; nil if there has been none.
func (s *sidecar) last() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

func (s *sidecar) note(what trace.SidecarEventKind, text string) {
	s.fleet.trace.change(trace.SidecarEvent{At: s.fleet.now(), Sidecar: s.id, Kind: what, Detail: text})
}
