package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/durable"
	"pinelb.example/pinelb/internal/engine"
	"pinelb.example/pinelb/internal/upstream"
)

// heir is a succession of that many hosts, all of which it has been taught.
func heir(b *testing.B, hosts int) *succession {
	set, err := config.ParseSettings([]byte(settings))
	if err != nil {
		b.Fatal(err)
	}
	pool := upstream.NewPool(time.Second, time.Second, 10)
	eng, err := engine.New(set.Settings, 1, pool, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	s := &succession{classes: func() []string { return set.ClassNames }, table: cluster.NewTable(set.ZoneNames, set.KindNames, pool, eng), eng: eng, log: zerolog.Nop()}
	list := cluster.List{Complete: true}
	for i := range hosts {
		list.Members = append(list.Members, cluster.Member{ID: fmt.Sprintf("front-std-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i),
			Zone: "moonah", Kind: "front-std", State: balance.Ready, Weight: 1})
	}
	s.table.Apply(balance.ListFull, list)
	h := s.held()
	for i := range h.Engine.Learned.Hosts {
		of := &h.Engine.Learned.Hosts[i]
		of.Delay = balance.Sample{N: 3.123456789, Sum: 0.987654321}
		of.Seen.Lately.N, of.Seen.Suspect = 1.23456789, 0.123456789
	}
	s.eng.Take(h.Engine)
	return s
}

// BenchmarkSnapshot is what a snapshot costs, by the number of hosts: its bytes, and the microseconds that it takes to be put
// together, to come to the disk, and to be read and taken over.
func BenchmarkSnapshot(b *testing.B) {
	for _, hosts := range []int{14, 100, 1000} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			s, d := heir(b, hosts), durable.Dir(b.TempDir())
			var put, save, load time.Duration
			size := 0
			for b.Loop() {
				from := time.Now()
				state, err := json.Marshal(s.held())
				put += time.Since(from)
				from = time.Now()
				if err == nil {
					size, err = durable.Save(d, &durable.Snapshot{Saved: durable.Now(), Site: "x", State: state})
				}
				save += time.Since(from)
				if err != nil {
					b.Fatal(err)
				}
				from = time.Now()
				got, _, err := durable.Load(d, durable.Now(), "x", time.Minute)
				if err == nil {
					_, err = s.adopt(got.State, 0, cluster.List{})
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

// BenchmarkJournal is how long a stream takes through the program with and without a journal of effects, in microseconds.
func BenchmarkJournal(b *testing.B) {
	box := listen(b, http.HandlerFunc(serve("ok")))
	s := newSite(b, host("s-1", box, "Ready"))
	for _, clients := range []int{1, 16} {
		for _, journal := range []bool{false, true} {
			b.Run(fmt.Sprintf("clients=%d/journal=%v", clients, journal), func(b *testing.B) {
				dir := filepath.Join(b.TempDir(), "state")
				op := operatorFile(b, fmt.Sprintf("[state]\ndir = %q\njournal = %v\n", dir, journal))
				p := launchOn(b, exec.Command(os.Args[0], "--config", op), configFile(b, configFor(s.addr)))
				p.addr = p.await(b, "listening").Get("addr").Str
				p.await(b, "cluster changed")
				var mu sync.Mutex
				var took []time.Duration
				var wait sync.WaitGroup
				for c := range clients {
					wait.Go(func() {
						conn, err := net.Dial("tcp", p.addr)
						if err != nil {
							b.Error(err)
							return
						}
						defer conn.Close()
						in := bufio.NewReader(conn)
						var own []time.Duration
						for n := range b.N/clients + 1 {
							from := time.Now()
							fmt.Fprintf(conn, "POST /remake-charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: %d-%d\r\nX-Remaining-Ms: 60000\r\nContent-Length: 0\r\n\r\n", c, n)
							res, err := http.ReadResponse(in, nil)
							if err != nil || res.StatusCode != 200 {
								b.Error(res, err)
								return
							}
							_, _ = in.Discard(int(res.ContentLength))
							own = append(own, time.Since(from))
						}
						mu.Lock()
						defer mu.Unlock()
						took = append(took, own...)
					})
				}
				wait.Wait()
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
				_ = p.cmd.Process.Kill()
				_ = p.cmd.Wait()
			})
		}
	}
}
