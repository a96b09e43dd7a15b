package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

// proxyTo is the environment's variable that makes the test binary a plain proxy, for comparison.
const proxyTo = "PINELB_TEST_PROXY_TO"

// plainProxy copies bytes between its connections and that address, and does nothing else.
func plainProxy(to string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				return
			}
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			_, _ = io.Copy(near, far)
			_ = near.Close()
		}()
	}
}

// cpu is what a process has used so far, in ms: its ticks are of 10 ms, as the kernel shows them.
func cpu(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
	user, _ := strconv.Atoi(f[12])
	system, _ := strconv.Atoi(f[13])
	return float64(user+system) * 10
}

// resident is the memory of a process, in KiB.
func resident(b *testing.B, pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	n, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		b.Fatal(err)
	}
	return float64(n)
}

// benchmarkCalls makes b.N calls by eight clients and reports what each cost the process.
func benchmarkCalls(b *testing.B, pid int, connect func() (call func() error)) {
	const clients = 8
	work := make(chan struct{})
	var all sync.WaitGroup
	for range clients {
		call := connect()
		all.Go(func() {
			for range work {
				if err := call(); err != nil {
					b.Error(err)
				}
			}
		})
	}
	b.ResetTimer()
	from := cpu(b, pid)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	all.Wait()
	b.ReportMetric((cpu(b, pid)-from)*1000/float64(b.N), "cpu-µs/call")
}

func thriftCall(b *testing.B, form, addr string) func() (call func() error) {
	return func() func() error {
		protocol, _ := thriftClient(b, form, addr)
		client, args := thrift.NewTStandardClient(protocol, protocol), &order{id: 1, lens: make([]byte, 100)}
		return func() error {
			_, err := client.Call(context.Background(), "charge", args, &result{})
			return err
		}
	}
}

// BenchmarkSidecar is what a call costs the sidecar's process over Thrift and over HTTP, and a process that only
// copies the bytes of a Thrift connection. Each call has its answer before the client's next.
func BenchmarkSidecar(b *testing.B) {
	for _, form := range []string{"framed-binary", "compact"} {
		b.Run(form, func(b *testing.B) {
			p, addr := startThrift(b, fmt.Sprintf(thriftSection, "any"), thriftHost(b, form, &orders{}), thriftHost(b, form, &orders{}))
			benchmarkCalls(b, p.cmd.Process.Pid, thriftCall(b, form, addr))
		})
	}
	b.Run("plain", func(b *testing.B) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), proxyTo+"="+thriftHost(b, "framed-binary", &orders{}))
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		var addr string
		if _, err := fmt.Fscan(out, &addr); err != nil {
			b.Fatal(err)
		}
		benchmarkCalls(b, cmd.Process.Pid, thriftCall(b, "framed-binary", addr))
	})
	for _, name := range []string{"http", "http-control", "http-audit"} { // an audit needs operators' address, which has its own cost
		b.Run(name, func(b *testing.B) {
			section := ""
			if name == "http-audit" {
				section = "[audit]\n"
			}
			if name != "http" {
				b.Setenv("LB_CONTROL", "127.0.0.1:0")
			}
			endpoint := func() string {
				return listen(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
			}
			p, _ := startThrift(b, section+fmt.Sprintf(thriftSection, "any"), endpoint(), endpoint())
			id := 0
			benchmarkCalls(b, p.cmd.Process.Pid, func() func() error {
				client, of := &http.Client{Transport: &http.Transport{}}, id
				id++
				n := 0
				return func() error {
					n++
					req, err := http.NewRequest("POST", "http://"+p.addr+"/remake-charge/1", strings.NewReader(strings.Repeat("x", 100)))
					if err != nil {
						return err
					}
					req.Header.Set("X-Txn", fmt.Sprintf("%d-%d", of, n))
					req.Header.Set("X-Remaining-Ms", "60000")
					res, err := client.Do(req)
					if err != nil {
						return err
					}
					defer res.Body.Close()
					_, err = io.Copy(io.Discard, res.Body)
					if res.StatusCode != 200 {
						return fmt.Errorf("status %d", res.StatusCode)
					}
					return err
				}
			})
		})
	}
}

// BenchmarkOpenConnections is the memory of a sidecar that has no callers, and of one with so many Thrift
// connections each of which has had a call. It is no measure of time.
func BenchmarkOpenConnections(b *testing.B) {
	const many = 500
	for b.Loop() {
		host := thriftHost(b, "framed-binary", &orders{})
		p, addr := startThrift(b, fmt.Sprintf(thriftSection, "any"), host)
		before := resident(b, p.cmd.Process.Pid)
		for range many {
			if err := thriftCall(b, "framed-binary", addr)()(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(before, "KiB-before")
		b.ReportMetric(resident(b, p.cmd.Process.Pid), "KiB-after")
	}
}
