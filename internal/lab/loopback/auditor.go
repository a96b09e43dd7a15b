package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// auditor is one beside the fleet, over all its processes, of which there is one at a time.
type auditor struct {
	run  *run
	plan *scenario.Audit

	mu         sync.Mutex
	startCount int
	cmd        *exec.Cmd     // of the present process or the last one; nil before the first
	exited     chan struct{} // closed once that has
}

func (a *auditor) path(ending string) string {
	return filepath.Join(a.run.fleet.logDir, "audit-"+a.plan.Name+ending)
}

// kept is the file by which it goes on where it was stopped.
func (a *auditor) statePath() string { return a.path(".kept") }

// found is where it prints to.
func (a *auditor) findingsPath() string { return a.path(".jsonl") }

// start starts a process of it.
func (a *auditor) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	roster := a.path(".toml")
	if err := os.WriteFile(roster, a.run.inventory(), configFileMode); err != nil {
		return fmt.Errorf("live: roster: %w", err)
	}
	how := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if a.cmd == nil {
		how |= os.O_TRUNC
		os.Remove(a.statePath()) // of another run
	}
	found, err := os.OpenFile(a.findingsPath(), how, 0o644)
	if err != nil {
		return fmt.Errorf("live: auditor: %w", err)
	}
	defer found.Close()
	log, err := os.OpenFile(a.path(".log"), how, 0o644)
	if err != nil {
		return fmt.Errorf("live: auditor: %w", err)
	}
	defer log.Close()
	a.startCount++
	cmd := exec.Command(a.run.fleet.builds[0], a.args(roster)...)
	cmd.Stdout, cmd.Stderr = found, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := a.run.fleet.spawn(cmd); err != nil {
		return fmt.Errorf("live: auditor %s: %w", a.plan.Name, err)
	}
	ended := make(chan struct{})
	a.cmd, a.exited = cmd, ended
	a.run.fleet.tasks.Go(func() {
		defer close(ended)
		cmd.Wait() // its status tells what it found, and that is in what it prints
	})
	return nil
}

func (a *auditor) args(roster string) []string {
	p := a.plan
	args := []string{"audit", roster, "--by=" + fmt.Sprintf("%s-%d", p.Name, a.startCount), "--json", "--watch=" + p.Every.D().String(), "--kept=" + a.statePath(),
		"--share=" + strconv.FormatFloat(p.Share, 'g', -1, 64)}
	if p.Within > 0 {
		args = append(args, "--within="+p.Within.D().String())
	}
	if p.List {
		args = append(args, "--list="+a.run.addresses.listService())
	}
	if p.Raise {
		args = append(args, "--raise", "--grace="+p.Grace.D().String(), "--spread="+p.Spread.D().String())
	}
	if p.ShutOut {
		args = append(args, "--shut-out")
	}
	return args
}

func (a *auditor) signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd == nil {
		return
	}
	select {
	case <-a.exited:
	default:
		_ = a.cmd.Process.Signal(s) // one that has just ended needs none
	}
}

// wait waits until the present process, if there is one, has ended.
func (a *auditor) wait() {
	a.mu.Lock()
	ended := a.exited
	a.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// roster lists the sidecars of the first tier by the addresses at which operators call them.
func (r *run) inventory() []byte {
	var out strings.Builder
	for i := range r.plan.Sidecars {
		if s := &r.plan.Sidecars[i]; s.Box < 0 {
			fmt.Fprintf(&out, "[[sidecar]]\nname = %q\naddr = %q\nzone = %q\n", s.Name, r.controlAddress(i), plan.Zone)
		}
	}
	return []byte(out.String())
}

// operators is where operators call a sidecar, whichever of its processes runs.
func (r *run) controlAddress(sidecar int) string {
	if r.plan.Linked("control", sidecar) {
		return r.addresses.link("control", sidecar, 0)
	}
	return r.addresses.control(sidecar, 0)
}
