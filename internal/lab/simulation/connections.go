package simulation

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

// idleConns are a pool's idle connections, the last one used last.
type idleConns []idleConn

type idleConn struct {
	since time.Duration
	id    uint64
}

// releaseConnection puts an attempt's connection into its pool, or closes it.
func (s *simulator) releaseConnection(upstreamIndex int, keep bool) {
	upstream := &s.upstreamAttempts[upstreamIndex]
	if upstream.state != awaitingResponse {
		return
	}
	upstream.state = finished
	target := &s.endpoints[upstream.endpoint]
	if keep && target.model.Phase(s.now) == model.Up && (upstream.connectionPool < 0 || s.sidecars[upstream.connectionPool].balancer != nil) {
		target.idle[upstream.connectionPool+1] = append(target.idle[upstream.connectionPool+1], idleConn{s.now, upstream.connectionID})
		return
	}
	target.model.Disconnect(s.now)
	s.advanceEndpoint(upstream.endpoint)
}

// closeExpired closes the connections of a pool that have been idle for too long.
func (s *simulator) closeExpired(endpointIndex, pool int) {
	target := &s.endpoints[endpointIndex]
	idle := target.idle[pool+1]
	maxIdle := time.Duration(idleTimeoutShare * float64(s.plan.Scenario.Rules.ConnIdleTimeout))
	expired := 0
	for expired < len(idle) && s.now-idle[expired].since > maxIdle {
		target.model.Disconnect(s.now)
		expired++
	}
	if expired > 0 {
		target.idle[pool+1] = append(idle[:0], idle[expired:]...)
	}
}

// closeIdleConnections closes a pool's idle connections to an endpoint.
func (s *simulator) closeIdleConnections(endpointIndex, pool int) {
	target := &s.endpoints[endpointIndex]
	for range target.idle[pool+1] {
		target.model.Disconnect(s.now)
	}
	target.idle[pool+1] = target.idle[pool+1][:0]
}
