package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/upstream"
)

// settings are a site's, as small as can be.
const testSettings = `{"n_instances":1,"allowed":{"connect_timeout":5000000000,"most_held":20000,"send_cap":4},"kinds":["front-std"],"zones":["moonah"],
 "classes":[{"name":"order-status","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},
  {"name":"place-order","aim":30000000000,"deadline":60000000000,"idempotency":"idempotency_key","memory_span":90000000000,"worth":10},
  {"name":"remake-charge","aim":30000000000,"deadline":60000000000,"idempotency":"non_idempotent","worth":3}],
 "rules":{"cold":9000000000,"cold_share":0.3,"fall":1000000000,"tip_multiple":2.5}}`

// newLearnedSuccession returns a succession with so many endpoints, about each of which something was learned.
func newLearnedSuccession(b *testing.B, hosts int) *succession {
	set, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		b.Fatal(err)
	}
	pool := upstream.NewPool(time.Second, time.Second, 10)
	eng, err := driver.New(set.Settings, 1, pool, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	s := &succession{classNames: func() []string { return set.ClassNames }, table: cluster.NewTable(set.ZoneNames, set.KindNames, pool, eng), engine: eng, log: zerolog.Nop()}
	list := cluster.List{Complete: true}
	for i := range hosts {
		list.Members = append(list.Members, cluster.Member{ID: fmt.Sprintf("front-std-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i),
			Zone: "moonah", Kind: "front-std", State: balance.Ready, Weight: 1})
	}
	s.table.Apply(balance.ListFull, list)
	h := s.snapshot()
	for i := range h.Engine.Learned.Endpoints {
		of := &h.Engine.Learned.Endpoints[i]
		of.Latency = balance.MeanState{N: 3.123456789, Sum: 0.987654321}
		of.Evidence.Recent.Attempts, of.Evidence.Suspicion = 1.23456789, 0.123456789
	}
	s.engine.Restore(h.Engine)
	return s
}

// BenchmarkSnapshot is what a snapshot costs, by the number of hosts: its bytes, and the microseconds that it takes to be put
// together, to come to the disk, and to be read and taken over.
func BenchmarkSnapshot(b *testing.B) {
	for _, hosts := range []int{14, 100, 1000} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, d := newLearnedSuccession(b, hosts), persistence.Dir(b.TempDir())
			var put, save, load time.Duration
			size := 0
			for b.Loop() {
				from := time.Now()
				state, err := json.Marshal(s.snapshot())
				put += time.Since(from)
				from = time.Now()
				if err == nil {
					size, err = persistence.SaveSnapshot(d, &persistence.Snapshot{Saved: persistence.Now(), Site: "x", State: state})
				}
				save += time.Since(from)
				if err != nil {
					b.Fatal(err)
				}
				from = time.Now()
				got, _, err := persistence.LoadSnapshot(d, persistence.Now(), "x", time.Minute)
				if err == nil {
					_, err = s.adopt(got.State, "snapshot", 0, cluster.List{})
				}
				load += time.Since(from)
				if err != nil {
					b.Fatal(err)
				}
			}
			for name, took := range map[string]time.Duration{"put-µs": put, "save-µs": save, "load-µs": load} {
				b.ReportMetric(float64(took.Microseconds())/float64(b.N), name)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
