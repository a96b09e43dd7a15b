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
	s.log.Streams = make([]trace.Stream, 0, len(s.tries))
	for i := range s.tries {
		if t := &s.tries[i]; t.taken && t.decided && t.result != trace.Broken {
			s.log.Streams = append(s.log.Streams, trace.Stream{Try: i, Arrived: s.log.Tries[i].Sent + s.delay, Answered: t.at,
				Status: t.result, Code: t.code, Advice: t.advice})
		}
	}
	s.log.Attempts = make([]trace.Attempt, 0, len(s.attempts))
	for k := range s.attempts {
		if a := &s.attempts[k]; a.took > 0 || a.status != balance.OK {
			s.log.Attempts = append(s.log.Attempts, trace.Attempt{Try: a.try, Box: a.box, Sent: a.sentAt, Took: a.took, Status: a.status})
		}
	}
}
