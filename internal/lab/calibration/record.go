package calibration

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/stream"
)

// startTime is the Unix time at which a virtual run starts. Any would do: up_since counts from it as well.
const startTime = 500_000 * time.Hour

// Record returns what a sidecar would have recorded of a virtual run that it took part in to the end. Requests that were
// pending then, or when it was killed, are missing, as in a record.
func Record(p *plan.Plan, log *trace.Log, sidecar int) (*accesslog.Recording, error) {
	site := p.Settings(sidecar)
	settings, err := config.ParseSettings(site)
	if err != nil {
		return nil, err
	}
	f := &p.Scenario.Fleet
	run := &accesslog.Run{Header: accesslog.Header{Name: p.Sidecars[sidecar].Name, Start: time.Unix(0, int64(startTime)).UTC(),
		Limits: config.Limits{Cores: f.Cores, MemoryMB: f.MemoryMB, Sockets: f.Sockets}, Site: string(site), Settings: settings}}
	run.Lists = clusterUpdates(p, log, sidecar)
	at := make([]int, len(log.ClientAttempts)) // of each client attempt, the index of its request from 1 on
	for _, s := range log.DownstreamRequests {
		t := &log.ClientAttempts[s.ClientAttempt]
		if t.Sidecar != sidecar {
			continue
		}
		run.Streams = append(run.Streams, accesslog.Stream{
			Arrival:    s.Arrived,
			Class:      t.Class,
			TimeLeft:   t.Timeout,
			Retry:      t.Number > 0 || t.Tier == 0 && p.Requests[t.Request].IsRetry,
			Outcome:    outcomeOf(&s),
			Answered:   s.Ended - s.Arrived,
			RetryAfter: s.RetryAfter,
		})
		at[s.ClientAttempt] = len(run.Streams)
	}
	for _, a := range log.UpstreamRequests {
		i := at[a.ClientAttempt] - 1
		if i < 0 || a.Endpoint < 0 {
			continue
		}
		s := &run.Streams[i]
		s.Attempts = append(s.Attempts, accesslog.Attempt{
			Host:         p.Endpoints[a.Endpoint].Name,
			StartedAfter: a.Sent - s.Arrival,
			Duration:     a.Duration,
			Status:       a.Status,
		})
	}
	return &accesslog.Recording{Runs: []*accesslog.Run{run}}, nil
}

// clusterUpdates returns a sidecar's notifications: the full list at its start and then the changes.
func clusterUpdates(p *plan.Plan, log *trace.Log, sidecar int) (out []accesslog.EndpointList) {
	states := [...]balance.Availability{
		trace.PhaseReady:       balance.Ready,
		trace.PhaseTerminating: balance.Draining,
		trace.PhaseGone:        balance.Removed,
	}
	for _, t := range log.Notifications {
		if t.Sidecar != sidecar {
			continue
		}
		if n := len(out); n == 0 || out[n-1].At != t.At {
			list := accesslog.ListDelta
			if n == 0 {
				list = accesslog.ListFull
			}
			out = append(out, accesslog.EndpointList{At: t.At, Kind: list})
		}
		b := &p.Endpoints[t.Endpoint]
		m := cluster.Member{ID: b.Name, State: states[t.Phase]}
		if t.Phase != trace.PhaseGone {
			m.Kind, m.Zone, m.Weight = b.Kind, plan.Zone, float64(b.Spec.Cores)
			if t.UpSince > 0 {
				m.UpSince = (startTime + t.UpSince).Truncate(time.Millisecond)
			}
		}
		last := &out[len(out)-1]
		last.Hosts = append(last.Hosts, m)
	}
	return out
}

// outcomeOf returns a request's outcome as a record has it.
func outcomeOf(s *trace.DownstreamRequest) stream.Outcome {
	switch {
	case s.Status == trace.StatusServed:
		return stream.Served
	case s.Status == trace.StatusRejected:
		return stream.RejectedLocally
	case s.Status == trace.StatusCanceled:
		return stream.ClientGone
	case s.Code == 504:
		return stream.DeadlineExceeded
	}
	return stream.Failed
}
