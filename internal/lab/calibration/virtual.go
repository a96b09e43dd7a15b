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

// epoch is the Unix time at which a virtual run starts. Any would do: up_since counts from it as well.
const epoch = 500_000 * time.Hour

// Record is what a sidecar would have recorded of a virtual run, had it gone on to the run's end: what was open
// then or when it was killed is missing, as in a record.
func Record(p *plan.Plan, log *trace.Log, sidecar int) (*accesslog.Recording, error) {
	site := p.Settings(sidecar)
	settings, err := config.ParseSettings(site)
	if err != nil {
		return nil, err
	}
	f := &p.Scenario.Fleet
	run := &accesslog.Run{Header: accesslog.Header{Name: p.Sidecars[sidecar].Name, Start: time.Unix(0, int64(epoch)).UTC(),
		Limits: config.Limits{Cores: f.Cores, MemoryMB: f.MemoryMB, Sockets: f.Sockets}, Site: string(site), Settings: settings}}
	run.Lists = lists(p, log, sidecar)
	at := make([]int, len(log.Tries)) // of each try, its stream's place from 1 on
	for _, s := range log.Streams {
		t := &log.Tries[s.Try]
		if t.Sidecar != sidecar {
			continue
		}
		run.Streams = append(run.Streams, accesslog.Stream{Arrival: s.Arrived, Class: t.Class, TimeLeft: t.Left,
			Retry: t.No > 0 || t.Tier == 0 && p.Requests[t.Request].Repeated, Outcome: ending(&s), Answered: s.Answered - s.Arrived,
			RetryAfter: s.Advice})
		at[s.Try] = len(run.Streams)
	}
	for _, a := range log.Attempts {
		i := at[a.Try] - 1
		if i < 0 || a.Box < 0 {
			continue
		}
		s := &run.Streams[i]
		s.Attempts = append(s.Attempts, accesslog.Attempt{Host: p.Boxes[a.Box].Name, StartedAfter: a.Sent - s.Arrival, Duration: a.Took, Status: a.Status})
	}
	return &accesslog.Recording{Runs: []*accesslog.Run{run}}, nil
}

// lists are what discovery told a sidecar: the whole list at its start and then the changes.
func lists(p *plan.Plan, log *trace.Log, sidecar int) (out []accesslog.EndpointList) {
	states := [...]balance.Availability{trace.Ready: balance.Ready, trace.Terminating: balance.Draining, trace.Away: balance.Gone}
	for _, t := range log.Told {
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
		b := &p.Boxes[t.Box]
		m := cluster.Member{ID: b.Name, State: states[t.Phase]}
		if t.Phase != trace.Away {
			m.Kind, m.Zone, m.Weight = b.Kind, plan.Zone, float64(b.Spec.Cores)
			if t.UpSince > 0 {
				m.UpSince = (epoch + t.UpSince).Truncate(time.Millisecond)
			}
		}
		last := &out[len(out)-1]
		last.Hosts = append(last.Hosts, m)
	}
	return out
}

// ending is a stream's outcome in a record's words.
func ending(s *trace.Stream) stream.Outcome {
	switch {
	case s.Status == trace.Served:
		return stream.Served
	case s.Status == trace.Refused:
		return stream.Refused
	case s.Status == trace.Gone:
		return stream.Gone
	case s.Code == 504:
		return stream.Expired
	}
	return stream.Failed
}
