package loopback

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// BenchmarkEndpoint measures the requests a second that 32 connections, each with one request at a time, get from an endpoint whose work
// takes next to no time. Clients and endpoint share the process and its cores.
func BenchmarkEndpoint(b *testing.B) {
	for name, newRequester := range map[string]func(s *fixture) func(clientRequest) bool{
		"callers": func(s *fixture) func(clientRequest) bool {
			return func(q clientRequest) bool {
				t := s.transport.roundTrip(b.Context(), q)
				return t.Status == trace.StatusServed && !t.Forged
			}
		},
		"raw": func(s *fixture) func(clientRequest) bool {
			c := s.dial(0)
			return func(q clientRequest) bool {
				s.send(c, q)
				res, _, err := c.readResponse()
				return err == nil && res.StatusCode == http.StatusOK
			}
		},
	} {
		b.Run(name, func(b *testing.B) {
			s := newFixture(b, fixtureClasses+"[[tier]]\nname = \"t\"\n[[tier.kind]]\ncores = 64\nspeed = 1000.0\nslots = 1000\n[fleet]\npolicy = \"plain\"\n")
			q := s.nextRequest("quick")
			q.directEndpoint, q.cancelAt = 0, time.Hour
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var clients sync.WaitGroup
			for range 32 {
				do := newRequester(s)
				clients.Go(func() {
					for remaining.Add(-1) >= 0 {
						if !do(q) {
							b.Error("a request is not served")
							return
						}
					}
				})
			}
			clients.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
