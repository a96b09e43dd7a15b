package router

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	readinessNoticeTime = 2500 * time.Millisecond // until the platform has noticed that this router is not ready
	shutdownMargin      = 250 * time.Millisecond  // between the end of the drain and that of the platform's grace period
)

// drain shuts the router down gracefully: another router becomes primary, clients are sent elsewhere, and requests in flight are
// finished, at most until the deadline. Until it returns, this router goes on to take part in the dissemination.
func (r *Router) drain(ticks <-chan time.Time) {
	deadline := time.Now().Add(r.settings.Bounds.Grace - shutdownMargin)
	r.stopAcceptingClients(deadline)
	if r.replica != nil {
		r.replica.Resign()
	}
	r.tickUntil(ticks, time.After(readinessNoticeTime))
	r.gossip.step(r.gossip.node.Leave)
	r.tickUntil(ticks, r.finishRequests(deadline))
	r.awaitReplicaRelease(ticks, deadline)
}

// stopAcceptingClients makes the router unready and has clients take their next connection elsewhere.
func (r *Router) stopAcceptingClients(deadline time.Time) {
	r.draining.Store(true)
	r.proxy.BeginDrain(deadline)
	if r.proxyServer != nil {
		r.proxyServer.SetKeepAlivesEnabled(false)
	}
	r.log.Info("draining")
}

// finishRequests closes the clients' listener. The channel that it returns is closed when the requests in flight have been finished,
// or the deadline has passed.
func (r *Router) finishRequests(deadline time.Time) <-chan time.Time {
	finished := make(chan time.Time)
	go func() {
		defer close(finished)
		if r.proxyServer == nil {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		r.log.Info("drained", zap.Error(r.proxyServer.Shutdown(ctx)))
	}()
	return finished
}

// awaitReplicaRelease ticks until this router's replica may stop, or the deadline has passed.
func (r *Router) awaitReplicaRelease(ticks <-chan time.Time, deadline time.Time) {
	for r.replica != nil && !r.replica.CanStop() && time.Now().Before(deadline) {
		<-ticks
		r.tick()
	}
}

// tickUntil ticks until done is closed or receives.
func (r *Router) tickUntil(ticks, done <-chan time.Time) {
	for {
		select {
		case <-done:
			return
		case <-ticks:
			r.tick()
		}
	}
}
