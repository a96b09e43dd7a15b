package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/settingsserver"
	"pinelb.example/pinelb/internal/settingsstore"
)

// footprint is what a process has used: CPU time, and resident memory in bytes.
func footprint(b *testing.B, pid int) (cpu time.Duration, resident int) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var user, system, pages int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		b.Fatal(err)
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 wherever Go runs on Linux
	return time.Duration(user+system) * tick, pages * os.Getpagesize()
}

// watcher follows as a sidecar does, and counts.
type watcher struct {
	bytes, answers atomic.Int64 // of all
	newest         atomic.Uint64
	have           atomic.Int64 // watchers at newest
}

// follow asks again and again, until the connection is closed.
func (w *watcher) follow(c net.Conn, name string) {
	q := settingsstore.Request{Service: "s", Name: name, Wait: 2 * time.Second}
	in := bufio.NewReader(c)
	for {
		text := "GET " + q.Target() + " HTTP/1.1\r\nHost: x\r\n\r\n"
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return
		}
		w.answers.Add(1)
		w.bytes.Add(int64(len(text) + len(body) + 100)) // heads are about so long
		if state, err := settingsstore.Parse(body); err == nil {
			q.Since = state.Edition
			if state.Epoch == w.newest.Load() {
				w.have.Add(1)
			}
		}
	}
}

// What a distributor costs at rest, and each publish, with so many watches open: CPU and memory of its process alone. Watchers ask
// again 2 s after the last answer, as sidecars do at the most. Settings are 4 KiB.
func BenchmarkDistributor(b *testing.B) {
	for _, watches := range []int{170, 340, 680, 1700} {
		b.Run(fmt.Sprintf("watches=%d", watches), func(b *testing.B) { benchDistributor(b, watches) })
	}
}

func benchDistributor(b *testing.B, watches int) {
	dir := b.TempDir()
	file := filepath.Join(dir, "d.toml")
	text := fmt.Sprintf("name = \"d\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"[::1]:0\"\ndir = %q\n", dir)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	p := launchOn(b, exec.Command(os.Args[0], "distribute", file), "")
	listening := p.await(b, "distributor listening")
	pid := p.cmd.Process.Pid
	o := &settingsserver.OperatorClient{Addresses: []string{listening.Get("control").Str}, Timeout: 10 * time.Second}
	body := []byte(strings.TrimSuffix(settings, "}") + `,"fill":"` + strings.Repeat("x", 4096-len(settings)) + `"}`)

	var w watcher
	var all sync.WaitGroup
	_, empty := footprint(b, pid)
	all.Go(func() {
		for p.log.Scan() { // or it would stand still when the pipe is full
		}
	})
	var open []net.Conn
	defer func() {
		_ = p.cmd.Process.Kill()
		for _, c := range open {
			_ = c.Close()
		}
		all.Wait()
	}()
	for i := range watches {
		c, err := net.Dial("tcp", listening.Get("addr").Str)
		if err != nil {
			b.Fatal(err)
		}
		open = append(open, c)
		all.Go(func() { w.follow(c, fmt.Sprint("sidecar-", i)) })
	}
	publish := func() {
		w.have.Store(0)
		w.newest.Add(1)
		if _, err := o.Publish(b.Context(), "s", body); err != nil {
			b.Fatal(err)
		}
		for w.have.Load() < int64(watches) {
			time.Sleep(time.Millisecond)
		}
	}
	publish()

	const rest = 10 * time.Second
	cpu, _ := footprint(b, pid)
	answers, bytes := w.answers.Load(), w.bytes.Load()
	time.Sleep(rest)
	later, resident := footprint(b, pid)
	restCPU, restAnswers, restBytes := later-cpu, w.answers.Load()-answers, w.bytes.Load()-bytes
	perWatch := float64(resident-empty) / float64(watches)

	cpu, _ = footprint(b, pid)
	bytes = w.bytes.Load()
	for b.Loop() {
		publish()
	}
	b.StopTimer()
	later, resident = footprint(b, pid)
	b.ReportMetric(100*float64(restCPU)/float64(rest), "%core-at-rest") // the timer's reset has dropped what was reported before
	b.ReportMetric(float64(restAnswers)/rest.Seconds(), "answers/s-at-rest")
	b.ReportMetric(float64(restBytes)/rest.Seconds(), "B/s-at-rest")
	b.ReportMetric(perWatch, "B-resident/watch")
	b.ReportMetric(float64((later-cpu).Microseconds())/1000/float64(b.N), "ms-CPU/publish")
	b.ReportMetric(float64(w.bytes.Load()-bytes)/float64(b.N), "B/publish")
	b.ReportMetric(float64(resident)/(1<<20), "MB-resident")
}
