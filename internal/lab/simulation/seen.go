package simulation

import (
	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/lab/trace"
)

// seen writes the log's part of what the sidecars saw. What was open when a sidecar died or the run ended, they
// could not tell of.
func (s *sim) seen() {
	if s.sidecars == nil {
		return
	}
	s.log.DownstreamRequests = make([]trace.DownstreamRequest, 0, len(s.tries))
	for i := range s.tries {
		if t := &s.tries[i]; t.taken && t.decided && t.result != trace.StatusDisconnected {
			s.log.DownstreamRequests = append(s.log.DownstreamRequests, trace.DownstreamRequest{ClientAttempt: i, Arrived: s.log.ClientAttempts[i].Sent + s.delay, Ended: t.at,
				Status: t.result, Code: t.code, RetryAfter: t.advice})
		}
	}
	s.log.UpstreamRequests = make([]trace.UpstreamRequest, 0, len(s.attempts))
	for k := range s.attempts {
		if a := &s.attempts[k]; a.took > 0 || a.status != balance.OK {
			s.log.UpstreamRequests = append(s.log.UpstreamRequests, trace.UpstreamRequest{ClientAttempt: a.try, Endpoint: a.box, Sent: a.sentAt, Duration: a.took, Status: a.status})
		}
	}
}
