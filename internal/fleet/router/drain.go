package router

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	readinessPropagationDelay = 2500 * time.Millisecond // time for the platform's readiness probe to detect that this router is not ready
	shutdownMargin            = 250 * time.Millisecond  // between the end of the drain and the end of the platform's grace period
)

// drain shuts the router down gracefully: it resigns as primary, directs clients to other routers, and finishes requests in flight, until
// the deadline at the latest. Until drain returns, the router continues to take part in the dissemination.
func (r *Router) drain(ticks <-chan time.Time) {
	deadline := time.Now().Add(r.settings.Bounds.Grace - shutdownMargin)
	r.stopAcceptingClients(deadline)
	if r.replica != nil {
		r.replica.Resign()
	}
	r.tickUntil(ticks, time.After(readinessPropagationDelay))
	r.gossip.step(r.gossip.node.Leave)
	r.tickUntil(ticks, r.finishRequests(deadline))
	r.awaitReplicaRelease(ticks, deadline)
}

// stopAcceptingClients makes the router unready and ends keep-alive, so that clients connect to other routers for their next requests.
func (r *Router) stopAcceptingClients(deadline time.Time) {
	r.draining.Store(true)
	r.proxy.BeginDrain(deadline)
	if r.proxyServer != nil {
		r.proxyServer.SetKeepAlivesEnabled(false)
	}
	r.log.Info("draining")
}

// finishRequests closes the clients' listener. It returns a channel that is closed once all requests in flight have finished or the
// deadline has passed.
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

// awaitReplicaRelease calls tick until this router's replica may stop or the deadline has passed.
func (r *Router) awaitReplicaRelease(ticks <-chan time.Time, deadline time.Time) {
	for r.replica != nil && !r.replica.CanStop() && time.Now().Before(deadline) {
		<-ticks
		r.tick()
	}
}

// tickUntil calls tick on each of the ticks until done is closed or delivers a value.
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
