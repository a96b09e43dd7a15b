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

// tally is what clients of a sidecar that ends have met.
type tally struct{ whole, refused, failed, unanswered, lost atomic.Int64 }

// ask has a client ask again as soon as it is answered, on one connection for as long as that stays open, until it can't
// connect. A request without an answer goes once more on a new connection, and is lost where it finds none there either.
func (n *tally) ask(addr string) {
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
			_, _ = io.WriteString(conn, raw) // a connection that is broken brings no answer
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
				n.whole.Add(1)
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

// BenchmarkLoneEnd ends a sidecar that has no other beside it under 24 clients, and reports what they met from its start to
// its end, by planned end. Endpoints take 2 ms.
func BenchmarkLoneEnd(b *testing.B) {
	var n tally
	set := &config.Settings{ClassNames: []string{"look"}, Settings: balance.Settings{Instances: 1, MaxHeld: 100,
		Classes: []balance.Class{{Effect: balance.Safe, Deadline: 100 * time.Millisecond}}}}
	for b.Loop() {
		s := New(set, NewManager(set, 1<<20, 100, zerolog.Nop()), handlerFunc(func(context.Context, *stream.Request) stream.Response {
			time.Sleep(2 * time.Millisecond)
			return stream.Response{Body: []byte("whole")}
		}), zerolog.Nop())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ctx, end := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		for range 24 {
			clients.Go(func() { n.ask(l.Addr().String()) })
		}
		end()
		if err := s.Run(ctx, s.Frontend(l)); err != nil {
			b.Fatal(err)
		}
		clients.Wait()
	}
	for what, count := range map[string]int64{"whole": n.whole.Load(), "refused": n.refused.Load(), "failed": n.failed.Load(),
		"unanswered": n.unanswered.Load(), "lost": n.lost.Load()} {
		b.ReportMetric(float64(count)/float64(b.N), what+"/end")
	}
}
