package accesslog

import (
	"io"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Write writes a recording as a Recorder would have, one run after the other: Read reads the same from it, to 0.1 ms. Lines
// that weren't a recording's, or were cut off, are left out.
func Write(w io.Writer, r *Recording) error {
	var b []byte
	for _, run := range r.Runs {
		h := &run.Header
		b = appendStart(b, h.Start, &config.Config{Name: h.Name, Limits: h.Limits, RawSettings: h.Site})
		for _, c := range run.Lists {
			b = appendCluster(b, c.At, c.Kind, c.Hosts)
		}
		for i := range run.Streams {
			b = appendStream(b, h.Start, run.Streams[i].observed(h), func(n balance.EndpointID) string {
				return run.Streams[i].Attempts[n].Host
			})
		}
		for _, l := range run.Losses {
			b = appendLost(b, l)
		}
		if _, err := w.Write(b); err != nil {
			return err
		}
		b = b[:0]
	}
	return nil
}

// observed returns the stream as an Observer receives it; the endpoints of its attempts are their indexes.
func (s *Stream) observed(h *Header) *stream.Record {
	arrived := h.Start.Add(s.Arrival)
	l := &stream.Record{
		Request: &stream.Request{ClassName: h.Settings.ClassNames[s.Class], Class: s.Class, ClientRetry: s.Retry,
			Body: slices.Repeat([]byte{0}, s.Body), Arrived: arrived, Deadline: arrived.Add(s.TimeLeft)},
		Response: stream.Response{Outcome: s.Outcome, RetryAfter: s.RetryAfter}, AnsweredAt: arrived.Add(s.Answered),
	}
	after := func(d time.Duration) time.Time { return arrived.Add(d) }
	for i, a := range s.Attempts {
		l.Attempts = append(l.Attempts, stream.Attempt{Endpoint: balance.EndpointID(i), StartedAt: after(a.StartedAfter),
			EndedAt: after(a.StartedAfter + a.Duration), Status: a.Status})
	}
	return l
}
