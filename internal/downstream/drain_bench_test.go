package downstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// clientResults counts how the requests of a draining sidecar's clients ended.
type clientResults struct{ complete, refused, failed, unanswered, lost atomic.Int64 }

// run is a client that sends its next request as soon as it has a response, on one connection for as long as that stays open,
// until it can't connect. A request without a response is retried once on a new connection, and lost where that fails, too.
func (n *clientResults) run(addr string) {
	again := false
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			if again {
				n.lost.Add(1)
			}
			return
		}
		in := bufio.NewReader(conn)
		for open := true; open; {
			_, _ = io.WriteString(conn, rawRequest) // on a broken connection no response comes
			res, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			open = err == nil && !res.Close
			switch {
			case err != nil && again:
				n.lost.Add(1)
				again = false
				continue
			case err != nil:
				n.unanswered.Add(1)
				again = true
				continue
			case res.StatusCode == http.StatusOK:
				n.complete.Add(1)
			case res.StatusCode == http.StatusServiceUnavailable:
				n.refused.Add(1)
			default:
				n.failed.Add(1)
			}
			again = false
		}
		conn.Close()
	}
}

// BenchmarkDrainAlone drains a sidecar that has no other beside it under 24 clients, and reports how their requests ended from
// its start to its end. Endpoints take 2 ms.
func BenchmarkDrainAlone(b *testing.B) {
	var n clientResults
	set := &config.Settings{ClassNames: []string{"look"}, Settings: balance.Settings{Instances: 1, MaxPending: 100,
		Classes: []balance.Class{{Idempotency: balance.Idempotent, Deadline: 100 * time.Millisecond}}}}
	for b.Loop() {
		s := New(set, NewManager(set, 1<<20, 100, zerolog.Nop()), handlerFunc(func(context.Context, *stream.Request) stream.Response {
			time.Sleep(2 * time.Millisecond)
			return stream.Response{Body: []byte("complete")}
		}), zerolog.Nop())
		l := listen(b)
		ctx, end := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		for range 24 {
			clients.Go(func() { n.run(l.Addr().String()) })
		}
		end()
		if err := s.Run(ctx, s.Frontend(l)); err != nil {
			b.Fatal(err)
		}
		clients.Wait()
	}
	for result, count := range map[string]int64{"complete": n.complete.Load(), "refused": n.refused.Load(), "failed": n.failed.Load(),
		"unanswered": n.unanswered.Load(), "lost": n.lost.Load()} {
		b.ReportMetric(float64(count)/float64(b.N), result+"/end")
	}
}
