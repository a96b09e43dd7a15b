package accesslog

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/stream"
)

type noConnections struct{}

func (noConnections) Probe(balance.EndpointID) balance.Status { return balance.OK }
func (noConnections) CloseUnused(balance.EndpointID)          {}

type served struct{}

func (served) Do(context.Context, balance.EndpointID, time.Time, *stream.Request) (balance.Status, stream.Response) {
	return balance.OK, stream.Response{}
}

// BenchmarkStream is a stream's whole life with recording off and on, without sockets: the difference is what a
// stream pays.
func BenchmarkStream(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run("record="+strconv.FormatBool(on), func(b *testing.B) {
			eng, err := driver.New(balance.Settings{Instances: 1, Classes: []balance.Class{{TargetLatency: time.Second, Deadline: time.Second}},
				MaxAttempts: 4, WarmupInitialShare: 0.3, WarmupDuration: time.Second, CollapseMultiple: 2, CollapseWindow: time.Second}, 1, noConnections{}, zerolog.Nop())
			if err != nil {
				b.Fatal(err)
			}
			eng.Membership(balance.ListFull, []balance.Entry{{Endpoint: 1, State: balance.Ready, Weight: 1}}, 0)
			p := &stream.Proxy{Driver: eng, Upstream: served{}, Log: zerolog.Nop()}
			if on {
				r := newRecorder(b, "log", 0, io.Discard)
				r.Listed(balance.ListFull, []cluster.Member{{ID: "front-0001", Endpoint: 1, State: balance.Ready, Weight: 1}})
				r.Start(zerolog.Nop())
				defer func() { _ = r.Close() }()
				p.Observer = r
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				p.Serve(context.Background(), &stream.Request{Txn: "a", ClassName: "look", Arrived: now, Deadline: now.Add(time.Second)})
			}
		})
	}
}
