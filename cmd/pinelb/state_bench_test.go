package main

import (
	"bufio"
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
)

// BenchmarkJournal is how long a stream takes through the program with and without a journal of effects, in microseconds.
func BenchmarkJournal(b *testing.B) {
	endpoint := listen(b, http.HandlerFunc(serve("ok")))
	s := newTestSite(b, host("s-1", endpoint, "Ready"))
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
