package simulation

import (
	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/trace"
)

// seen writes the log's part of what the sidecars saw. What was open when a sidecar died or the run ended, they
// could not tell of.
func (s *simulator) recordObservations() {
	if s.sidecars == nil {
		return
	}
	s.log.DownstreamRequests = make([]trace.DownstreamRequest, 0, len(s.clientAttempts))
	for i := range s.clientAttempts {
		if t := &s.clientAttempts[i]; t.accepted && t.decided && t.status != trace.StatusDisconnected {
			s.log.DownstreamRequests = append(s.log.DownstreamRequests, trace.DownstreamRequest{ClientAttempt: i, Arrived: s.log.ClientAttempts[i].Sent + s.delay, Ended: t.decidedAt,
				Status: t.status, Code: t.code, RetryAfter: t.retryAfter})
		}
	}
	s.log.UpstreamRequests = make([]trace.UpstreamRequest, 0, len(s.upstreamAttempts))
	for k := range s.upstreamAttempts {
		if a := &s.upstreamAttempts[k]; a.duration > 0 || a.status != balance.OK {
			s.log.UpstreamRequests = append(s.log.UpstreamRequests, trace.UpstreamRequest{ClientAttempt: a.clientAttempt, Endpoint: a.endpoint, Sent: a.sentAt, Duration: a.duration, Status: a.status})
		}
	}
}
