package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"
)

// operated starts a sidecar that operators can call, and returns where. Processes with the same tmp are of one sidecar.
func startWithControl(t *testing.T, file, tmp string) (*program, string) {
	t.Helper()
	p := launchOn(t, exec.Command(os.Args[0]), file, "LB_CONTROL=127.0.0.1:0", "TMPDIR="+tmp)
	p.addr = p.await(t, "listening").Get("addr").Str
	return p, p.await(t, "listening for operators").Get("addr").Str
}

func admin(t *testing.T, method, at, path string) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// Guards against a host that is sent to after the yes to its cordon, through lists that have it ready, SIGHUP and its own
// absence; and against one that is not sent to after its return.
func TestCordonedHostGetsNothing(t *testing.T) {
	a, b := newTestHost(t, serve("a")), newTestHost(t, serve("b"))
	s := newTestSite(t, host("s-1", a.addr, "Ready"), host("s-2", b.addr, "Ready"))
	p, at := startWithControl(t, configFile(t, configFor(s.addr)), t.TempDir())
	p.await(t, "cluster changed")
	for until := time.Now().Add(time.Minute); admin(t, "GET", at, "/admin/health") != 200; { // it is ready a moment after that
		if time.Now().After(until) {
			t.Fatal("health never says yes")
		}
	}
	if got := admin(t, "POST", at, "/admin/cordon?name=s-9"); got != 404 {
		t.Errorf("a cordon of what nobody has is answered %d", got)
	}
	only := func(when string) {
		t.Helper()
		for range 10 {
			if _, body := p.call(t, "GET", "/order-status/1", ""); body != "b" {
				t.Errorf("%s: answer %q", when, body)
			}
		}
	}
	if got := admin(t, "POST", at, "/admin/cordon?name=s-1"); got != 200 {
		t.Fatalf("a cordon is answered %d", got)
	}
	only("after the yes")
	s.change(host("s-1", a.addr, "Gone"))
	p.await(t, "cluster changed")
	s.change(host("s-1", a.addr, "Ready"))
	p.await(t, "cluster changed")
	only("after it was away")
	if got := admin(t, "POST", at, "/admin/uncordon?name=s-1"); got != 200 {
		t.Fatalf("its return is answered %d", got)
	}
	for body := ""; body != "a"; { // cold, it gets its first request after a while
		_, body = p.call(t, "GET", "/order-status/1", "")
	}
	if got := admin(t, "GET", at, "/order-status/1"); got != 404 {
		t.Errorf("a client's request at the operators' address is answered %d", got)
	}
}

// Guards against operators who wait while clients flood the sidecar: its descriptors are used up by connections that stop
// half-way, callers hold operators' connections, and it ends; each call is answered all the same.
func TestControlDuringOverload(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	config := configFor(newTestSite(t, host("s-1", b.addr, "Ready")).addr)
	config["limits"] = map[string]any{"sockets": 160}
	p, at := startWithControl(t, configFile(t, config), t.TempDir())
	p.await(t, "cluster changed")
	for admin(t, "GET", at, "/admin/health") != 200 { // it is ready a moment after it knows its hosts
		time.Sleep(time.Millisecond)
	}
	var took []time.Duration
	expectHealth := func(want int) {
		from := time.Now()
		if got := admin(t, "GET", at, "/admin/health"); got != want {
			t.Errorf("health is %d, want %d", got, want)
		}
		took = append(took, time.Since(from))
	}
	half := func(addr string) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_, _ = io.WriteString(c, "GET /order-sta")
	}
	for range 40 {
		for range 15 {
			half(p.addr)
		}
		half(at)
		expectHealth(200)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.await(t, "draining")
	expectHealth(503)
	if got := admin(t, "POST", at, "/admin/cordon?name=s-1"); got != 200 {
		t.Errorf("a cordon while it ends is answered %d", got)
	}
	slices.Sort(took)
	t.Logf("of %d calls among 600 clients: median %v, 39th of 41 %v, worst %v", len(took), took[len(took)/2], took[len(took)-3], took[len(took)-1])
}
