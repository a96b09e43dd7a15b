package loopback

import (
	"net/http"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const upgradeTimeout = 6 * time.Second // until the new process has to be healthy

// upgrade starts a second process beside the one in service, and shuts that one down once the second is healthy by its control
// address. The sidecar is in service all the time: package judge excuses nothing that is lost meanwhile.
func (s *sidecar) upgrade() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() {
		return nil
	}
	old := s.process
	p, err := s.launch()
	if err != nil {
		return err
	}
	close(p.settled)
	s.addEvent(trace.SidecarUpgradeStarted, "")
	s.fleet.tasks.Go(func() { s.wait(p) })
	s.fleet.tasks.Go(func() { s.finishUpgrade(old, p) })
	return nil
}

// finishUpgrade waits for the new process and has it take the old one's place; one that doesn't become healthy is killed.
func (s *sidecar) finishUpgrade(old, p *process) {
	startedAt := time.Now()
	for s.fleet.getStatus("http://"+p.controlAddress+"/admin/health") != http.StatusOK {
		if !s.sleep(p, minReadyInterval) || time.Since(startedAt) > upgradeTimeout {
			s.addEvent(trace.SidecarCrashed, "the new process of an upgrade does not say yes")
			s.killProcess(p)
			s.addEvent(trace.SidecarUpgradeFinished, "")
			return
		}
	}
	s.mu.Lock()
	s.process, old.stopping = p, true
	s.updateControlLink()
	_ = old.cmd.Process.Signal(syscall.SIGTERM) // one that has just exited needs none
	s.mu.Unlock()
	s.sleep(old, s.fleet.gracePeriod())
	s.killProcess(old)
	s.addEvent(trace.SidecarUpgradeFinished, "")
}

// killProcess kills a process that is not in service, if it still runs, and waits for it to exit.
func (s *sidecar) killProcess(p *process) {
	s.mu.Lock()
	p.killed = true
	s.mu.Unlock()
	_ = p.cmd.Process.Kill() // it fails on one that has exited
	<-p.exited
}
