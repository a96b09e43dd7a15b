package loopback

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// auditor is an auditor of the fleet (pinelb audit) over all its processes, of which there is one at a time.
type auditor struct {
	run  *run
	plan *scenario.Auditor

	mu         sync.Mutex
	startCount int
	cmd        *exec.Cmd     // of the current process or the last one; nil before the first
	exited     chan struct{} // closed once that process has exited
}

// path is a file of the auditor's beside the sidecars' logs.
func (a *auditor) path(ending string) string {
	return filepath.Join(a.run.fleet.logDir, "audit-"+a.plan.Name+ending)
}

// statePath is the file with its state, from which the next process goes on.
func (a *auditor) statePath() string { return a.path(".kept") }

// findingsPath is the file to which it prints its findings.
func (a *auditor) findingsPath() string { return a.path(".jsonl") }

// start starts a process. An error is that of its files or of the program.
func (a *auditor) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	inventory := a.path(".toml")
	if err := os.WriteFile(inventory, a.run.inventory(), configFileMode); err != nil {
		return fmt.Errorf("loopback: inventory: %w", err)
	}
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if a.cmd == nil {
		flags |= os.O_TRUNC
		if err := os.Remove(a.statePath()); err != nil && !errors.Is(err, fs.ErrNotExist) { // of another run
			return fmt.Errorf("loopback: auditor: %w", err)
		}
	}
	findings, err := os.OpenFile(a.findingsPath(), flags, logFileMode)
	if err != nil {
		return fmt.Errorf("loopback: auditor: %w", err)
	}
	defer func() { _ = findings.Close() }() // nothing is written here: the process has a descriptor of its own
	log, err := os.OpenFile(a.path(".log"), flags, logFileMode)
	if err != nil {
		return fmt.Errorf("loopback: auditor: %w", err)
	}
	defer func() { _ = log.Close() }()
	a.startCount++
	cmd := exec.Command(a.run.fleet.builds[0], a.args(inventory)...)
	cmd.Stdout, cmd.Stderr = findings, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := a.run.fleet.spawn(cmd); err != nil {
		return fmt.Errorf("loopback: auditor %s: %w", a.plan.Name, err)
	}
	ended := make(chan struct{})
	a.cmd, a.exited = cmd, ended
	a.run.fleet.tasks.Go(func() {
		defer close(ended)
		_ = cmd.Wait() // the status repeats what it prints
	})
	return nil
}

func (a *auditor) args(inventory string) []string {
	p := a.plan
	args := []string{
		"audit", inventory,
		"--by=" + fmt.Sprintf("%s-%d", p.Name, a.startCount),
		"--json",
		"--watch=" + p.Interval.D().String(),
		"--kept=" + a.statePath(),
		"--share=" + strconv.FormatFloat(p.MaxPermitShare, 'g', -1, 64),
	}
	if p.Timeout > 0 {
		args = append(args, "--within="+p.Timeout.D().String())
	}
	if p.PollsList {
		args = append(args, "--list="+a.run.addresses.listService())
	}
	if p.RaisesMinimum {
		args = append(args, "--raise", "--grace="+p.Grace.D().String(), "--spread="+p.Jitter.D().String())
	}
	if p.IssuesPermits {
		args = append(args, "--shut-out")
	}
	return args
}

// signal sends a signal to the current process, if it runs.
func (a *auditor) signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd == nil {
		return
	}
	select {
	case <-a.exited:
	default:
		_ = a.cmd.Process.Signal(s) // one that has just exited needs none
	}
}

// stop stops the current process as an operator does: SIGINT, and SIGKILL if it takes too long.
func (a *auditor) stop() {
	a.signal(syscall.SIGCONT) // one that is stopped handles no other signal
	a.signal(syscall.SIGINT)
	timer := time.AfterFunc(auditorStopTimeout, func() { a.signal(syscall.SIGKILL) })
	defer timer.Stop()
	a.wait()
}

// wait waits until the current process, if there is one, has exited.
func (a *auditor) wait() {
	a.mu.Lock()
	ended := a.exited
	a.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// inventory lists the sidecars of the first tier by the addresses at which operators call them.
func (r *run) inventory() []byte {
	var text strings.Builder
	for i := range r.plan.Sidecars {
		if s := &r.plan.Sidecars[i]; s.Endpoint < 0 {
			fmt.Fprintf(&text, "[[sidecar]]\nname = %q\naddr = %q\nzone = %q\n", s.Name, r.controlAddress(i), plan.Zone)
		}
	}
	return []byte(text.String())
}

// controlAddress is where operators call a sidecar, whichever of its processes runs.
func (r *run) controlAddress(sidecar int) string {
	if r.plan.IsIntercepted("control", sidecar) {
		return r.addresses.link("control", sidecar, 0)
	}
	return r.addresses.control(sidecar, 0)
}
