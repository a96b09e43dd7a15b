package loopback

import (
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Intervals of the load balancer's health checks.
const (
	minReadyInterval = 5 * time.Millisecond // after a start; it grows to maxReadyInterval
	maxReadyInterval = 50 * time.Millisecond
	healthInterval   = 300 * time.Millisecond // of sidecars that may report unhealthy while they serve
	drainInterval    = 200 * time.Millisecond // from SIGTERM on: new connections come for 0.2 to 0.4 s more
)

// routingState is a sidecar as the clients' load balancer sees it.
type routingState struct {
	ready     bool          // its health has been 200 since its start
	draining  bool          // its health has been 503 since SIGTERM
	unhealthy bool          // its health is 503
	deadAt    time.Duration // when the load balancer will have noticed that it has died; model.Never while it runs
}

// awaitReady waits until a process is ready and has requests routed to it.
func (s *sidecar) awaitReady(p *process) {
	defer close(p.settled)
	for interval := minReadyInterval; s.sleep(p, interval); interval = min(maxReadyInterval, interval*3/2) {
		if s.fleet.healthStatus(s.id) != http.StatusOK {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running() {
			s.routing.Store(&routingState{ready: true, deadAt: model.Never})
			s.addEvent(trace.SidecarReady, "")
			if s.run.plan.Scenario.Fleet.HasAuditLogs() {
				s.fleet.tasks.Go(func() { s.watchHealth(p) })
			}
		}
		return
	}
}

// watchHealth checks the health of a process that may shut itself out, until it exits: while it is 503, nothing new is routed to the
// sidecar. That a process doesn't answer changes nothing here.
func (s *sidecar) watchHealth(p *process) {
	for s.sleep(p, healthInterval) {
		status := s.fleet.healthStatus(s.id)
		if status == 0 {
			continue
		}
		s.mu.Lock()
		routing := *s.routing.Load()
		if unhealthy := status == http.StatusServiceUnavailable; unhealthy != routing.unhealthy && s.process == p && !p.stopping {
			routing.unhealthy = unhealthy
			s.routing.Store(&routing)
		}
		s.mu.Unlock()
	}
}

// awaitDraining waits until a process reports that it drains, from when on no new connections come to it.
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
