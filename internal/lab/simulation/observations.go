package simulation

import (
	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

func (s *simulator) recordSidecarEvent(sidecar int, kind trace.SidecarEventKind, detail string) {
	s.log.SidecarEvents = append(s.log.SidecarEvents, trace.SidecarEvent{At: s.now, Sidecar: sidecar, Kind: kind, Detail: detail})
}

func (s *simulator) recordNotifications(sidecar int, entries []plan.ListEntry) {
	for _, entry := range entries {
		s.log.Notifications = append(s.log.Notifications, trace.Notification{
			At:       s.now,
			Sidecar:  sidecar,
			Endpoint: entry.Endpoint,
			Phase:    entry.Phase,
			UpSince:  entry.StartedAt,
		})
	}
}

// takeSample records every endpoint, closes connections that have been idle for too long, and schedules the next sample.
func (s *simulator) takeSample() {
	for i := range s.endpoints {
		target := &s.endpoints[i]
		s.advanceEndpoint(i)
		load := target.model.Load(s.now)
		s.log.Samples = append(s.log.Samples, trace.Sample{
			At:           s.now,
			Endpoint:     i,
			Running:      load.Running,
			Queued:       load.Queued,
			Connections:  load.Connections,
			Capacity:     load.Capacity,
			SentWork:     load.SentWork,
			PossibleWork: load.PossibleWork,
			DoneWork:     load.DoneWork,
			WarmingUp:    load.WarmingUp,
			Collapsed:    load.Collapsed,
		})
		for pool := range target.idle {
			s.closeExpired(i, pool-1)
		}
	}
	s.recordHealthChanges()
	s.schedule(s.now+sampleInterval, event{kind: eventSample})
}

// recordHealthChanges records the health of endpoints in the sidecars' view, where that has changed.
func (s *simulator) recordHealthChanges() {
	for i := range s.sidecars {
		c := &s.sidecars[i]
		if c.balancer == nil {
			continue
		}
		c.conditions = c.balancer.EndpointHealth(c.conditions[:0])
		for _, condition := range c.conditions {
			endpointIndex, known := c.endpoints[condition.Endpoint]
			now := trace.HealthChange{At: s.now, Sidecar: i, Endpoint: endpointIndex, Grey: condition.Grey, Ejected: condition.Ejected}
			last, seen := c.lastHealth[endpointIndex]
			if known && (!seen || last.Grey != now.Grey || last.Ejected != now.Ejected) {
				c.lastHealth[endpointIndex] = now
				s.log.HealthChanges = append(s.log.HealthChanges, now)
			}
		}
	}
}

// recordObservations records what the sidecars saw. What was pending when a sidecar's process or the run ended, they could
// not report.
func (s *simulator) recordObservations() {
	if s.sidecars == nil {
		return
	}
	s.log.DownstreamRequests = make([]trace.DownstreamRequest, 0, len(s.clientAttempts))
	for i := range s.clientAttempts {
		if attempt := &s.clientAttempts[i]; attempt.accepted && attempt.decided && attempt.status != trace.StatusDisconnected {
			s.log.DownstreamRequests = append(s.log.DownstreamRequests, trace.DownstreamRequest{
				ClientAttempt: i,
				Arrived:       s.log.ClientAttempts[i].Sent + s.delay,
				Ended:         attempt.decidedAt,
				Status:        attempt.status,
				Code:          attempt.code,
				RetryAfter:    attempt.retryAfter,
			})
		}
	}
	s.log.UpstreamRequests = make([]trace.UpstreamRequest, 0, len(s.upstreamAttempts))
	for i := range s.upstreamAttempts {
		if upstream := &s.upstreamAttempts[i]; upstream.duration > 0 || upstream.status != balance.OK {
			s.log.UpstreamRequests = append(s.log.UpstreamRequests, trace.UpstreamRequest{
				ClientAttempt: upstream.clientAttempt,
				Endpoint:      upstream.endpoint,
				Sent:          upstream.sentAt,
				Duration:      upstream.duration,
				Status:        upstream.status,
			})
		}
	}
}
