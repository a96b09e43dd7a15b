package main

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against what a new agent has being in force more than 4 s after SIGHUP because its first two calls meet silence, with the
// whole of the program between the signal and the host that gets the next request.
func TestNewAgentUnresponsiveAtFirst(t *testing.T) {
	a, b := newTestHost(t, serve("a")), newTestHost(t, serve("b"))
	first, second := newTestSite(t, host("s-1", a.addr, "Ready")), newTestSite(t, host("s-2", b.addr, "Ready"))
	var calls atomic.Int64
	unresponsive := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 {
			<-r.Context().Done()
			return
		}
		second.ServeHTTP(w, r)
	}))
	p := start(t, first.addr)
	p.await(t, "cluster changed")
	write(t, p.file, configFor(unresponsive))
	from := time.Now()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.await(t, "cluster changed")
	if _, body := p.call(t, "GET", "/order-status/1", ""); body != "b" {
		t.Errorf("answer %q", body)
	}
	if took := time.Since(from); took > 4*time.Second {
		t.Errorf("in force after %v", took)
	}
}
