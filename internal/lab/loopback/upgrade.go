package loopback

import (
	"net/http"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const upgradeTimeout = 6 * time.Second // the new process of an upgrade is due by then

// upgrade starts a second process beside the one that runs, and ends that one once the second says yes to operators. The
// sidecar is in service all the time: nothing excuses what is lost meanwhile.
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

// succeed has the new process take the old one's place.
func (s *sidecar) finishUpgrade(old, p *process) {
	from := time.Now()
	for s.fleet.getStatus("http://"+p.controlAddress+"/admin/health") != http.StatusOK {
		if !s.sleep(p, minReadyInterval) || time.Since(from) > upgradeTimeout {
			s.addEvent(trace.SidecarCrashed, "the new process of an upgrade does not say yes")
			s.killProcess(p)
			s.addEvent(trace.SidecarUpgradeFinished, "")
			return
		}
	}
	s.mu.Lock()
	s.process, old.stopping = p, true
	s.updateControlLink()
	_ = old.cmd.Process.Signal(syscall.SIGTERM) // one that has just ended needs none
	s.mu.Unlock()
	late := time.NewTimer(s.fleet.gracePeriod())
	defer late.Stop()
	select {
	case <-old.exited:
	case <-late.C:
	case <-s.fleet.ctx.Done():
	}
	s.killProcess(old)
	s.addEvent(trace.SidecarUpgradeFinished, "")
}

// end kills a process that is not the sidecar's, if it still runs.
func (s *sidecar) killProcess(p *process) {
	s.mu.Lock()
	p.killed = true
	s.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.exited
}
