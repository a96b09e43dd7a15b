package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// beside starts a second process of the same sidecar and waits until it says yes.
func (p *program) beside(t *testing.T, tmp string) (*program, string) {
	t.Helper()
	q, at := startWithControl(t, p.file, tmp)
	for admin(t, "GET", at, "/admin/health") != 200 {
	}
	return q, at
}

// Guards against an upgrade that anybody notices: under load from clients that keep connections and clients that don't,
// two in a row, every request is answered whole, none meets a closed connection that it had not used up, a cordon holds
// at both processes whoever was called, and each old process ends by itself.
func TestUpgradeIsNotNoticed(t *testing.T) {
	tmp := t.TempDir()
	a, b := listen(t, http.HandlerFunc(serve("a"))), listen(t, http.HandlerFunc(serve("b")))
	s := newTestSite(t, host("s-1", a, "Ready"), host("s-2", b, "Ready"))
	p, at := startWithControl(t, configFile(t, configFor(s.addr)), tmp)
	p.await(t, "cluster changed")
	addr := p.addr // of both, and of the third
	var stop, cordoned atomic.Bool
	var clients sync.WaitGroup
	var served, wrong atomic.Int64
	for i := range 8 {
		clients.Go(func() {
			for n := 0; !stop.Load(); n++ {
				without := cordoned.Load()
				body, err := visit(addr, fmt.Sprintf("%d-%d", i, n), i%2 == 0, 20)
				if err != nil || without && cordoned.Load() && body != "b" {
					wrong.Add(1)
					t.Errorf("client %d: %q, %v, cordoned %v", i, body, err, without)
					return
				}
				served.Add(1)
			}
		})
	}
	if got := admin(t, "POST", at, "/admin/cordon?name=s-1"); got != 200 {
		t.Errorf("a cordon is answered %d", got)
	}
	cordoned.Store(true)
	for round := range 2 {
		q, next := p.beside(t, tmp)
		if round == 1 { // the other process is told of a call at one
			cordoned.Store(false)
			if got := admin(t, "POST", at, "/admin/uncordon?name=s-1"); got != 200 {
				t.Errorf("an uncordon at the old process is answered %d", got)
			}
			if got := admin(t, "POST", next, "/admin/cordon?name=s-1"); got != 200 {
				t.Errorf("a cordon at the new process is answered %d", got)
			}
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		p.await(t, "drained")
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("the old process: %v", err)
		}
		p, at = q, next
		for from := served.Load(); served.Load() < from+100 && wrong.Load() == 0; {
		}
	}
	stop.Store(true)
	clients.Wait()
}

// visit makes up to maxRequests requests on one connection, or one where it is not to be kept, and returns the last answer. A
// connection that ends before an answer, or without having said so, is an error.
func visit(addr, txn string, keep bool, maxRequests int) (body string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := range maxRequests {
		last := ""
		if !keep {
			last = "Connection: close\r\n"
		}
		fmt.Fprintf(c, "GET /order-status/1 HTTP/1.1\r\nHost: x\r\nX-Txn: %s-%d\r\nX-Remaining-Ms: 60000\r\n%s\r\n", txn, i, last)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != 200 {
			return "", fmt.Errorf("status %d: %w", res.StatusCode, err)
		}
		if body = string(text); res.Close || !keep {
			break
		}
	}
	return body, nil
}

// Guards against a sidecar that can't be succeeded where there is no place for a Unix socket: the second process shares
// the clients' address, and serves on alone.
func TestUpgradeWithoutASocket(t *testing.T) {
	a := listen(t, http.HandlerFunc(serve("a")))
	s := newTestSite(t, host("s-1", a, "Ready"))
	start := func(listen string) *program {
		config := configFor(s.addr)
		config["listen"] = listen
		p, _ := startWithControl(t, configFile(t, config), "")
		p.await(t, "cluster changed")
		return p
	}
	p := start("127.0.0.1:0")
	q := start(p.addr)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if p.await(t, "draining").Get("followed").Bool() {
		t.Error("the old process takes itself for succeeded")
	}
	p.await(t, "drained")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	if body, err := visit(q.addr, "a", true, 20); body != "a" || err != nil {
		t.Errorf("the new process answers %q, %v", body, err)
	}
}

// Guards against an old process that stops serving, or takes itself for succeeded, because a successor came and died: it
// serves on, can be succeeded by another, and that one finds all that it knows.
func TestSuccessorDies(t *testing.T) {
	tmp := t.TempDir()
	a, b := listen(t, http.HandlerFunc(serve("a"))), listen(t, http.HandlerFunc(serve("b")))
	s := newTestSite(t, host("s-1", a, "Ready"), host("s-2", b, "Ready"))
	p, at := startWithControl(t, configFile(t, configFor(s.addr)), tmp)
	p.await(t, "cluster changed")
	if got := admin(t, "POST", at, "/admin/cordon?name=s-1"); got != 200 {
		t.Fatalf("a cordon is answered %d", got)
	}
	q, _ := p.beside(t, tmp)
	_ = q.cmd.Process.Kill()
	_ = q.cmd.Wait()
	for { // the path is the old one's again, once it has noticed
		r, err := net.Dial("unix", tmp+"/pinelb-127.0.0.1:0.sock")
		if err == nil {
			r.Close()
			break
		}
	}
	if body, err := visit(p.addr, "a", true, 20); body != "b" || err != nil {
		t.Errorf("after its successor's death the old process answers %q, %v", body, err)
	}
	r, _ := p.beside(t, tmp)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !p.await(t, "draining").Get("followed").Bool() {
		t.Error("the old process does not know its second successor")
	}
	p.await(t, "drained")
	if body, err := visit(r.addr, "b", true, 20); body != "b" || err != nil {
		t.Errorf("the second successor answers %q, %v: the cordon is lost", body, err)
	}
}

// Guards against a request that runs twice because its two tries came to the two processes of an upgrade: an id under way at
// one is turned away at the other, whether it came before the hand-over or after it, and what may have run at the old one
// is not sent by the new one.
func TestUpgradeKnowsEffects(t *testing.T) {
	tmp := t.TempDir()
	fail := make(chan bool)
	b := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" && <-fail {
			panic(http.ErrAbortHandler) // it may have run
		}
	})
	s := newTestSite(t, host("s-1", b.addr, "Ready"))
	p, _ := startWithControl(t, configFile(t, configFor(s.addr)), tmp)
	p.await(t, "cluster changed")
	var conns [2]net.Conn // to the old process: accepted before there is another
	for i := range conns {
		conns[i] = p.dial(t)
	}
	charge := func(c net.Conn, txn string) {
		fmt.Fprintf(c, "POST /remake-charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 60000\r\nContent-Length: 0\r\n\r\n", txn)
		for visit := ""; !strings.HasPrefix(visit, "POST"); visit = <-b.visits {
		}
	}
	charge(conns[0], "early")
	q, _ := p.beside(t, tmp)
	charge(conns[1], "late")
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.await(t, "draining") // it accepts no more
	until := func(method, txn string, want func(status int) bool) (status int) {
		for !want(status) {
			res, _ := q.call(t, method, map[string]string{"GET": "/order-status/1", "POST": "/remake-charge/1"}[method], "", "X-Txn", txn)
			status = res.StatusCode
		}
		return status
	}
	if res, _ := q.call(t, "GET", "/order-status/1", "", "X-Txn", "early"); res.StatusCode != 409 {
		t.Errorf("an id that was under way before the hand-over is answered %d", res.StatusCode)
	}
	until("GET", "late", func(status int) bool { return status == 409 })
	for i, txn := range []string{"early", "late"} {
		fail <- true
		if res, err := http.ReadResponse(bufio.NewReader(conns[i]), nil); err != nil || res.StatusCode != 502 {
			t.Errorf("%s: the old process answers %v, %v", txn, res, err)
		}
		if status := until("POST", txn, func(status int) bool { return status != 0 && status != 409 }); status != 502 {
			t.Errorf("%s: a repeat at the new process is answered %d", txn, status)
		}
	}
	p.await(t, "drained")
	for len(b.visits) > 0 {
		if visit := <-b.visits; strings.HasPrefix(visit, "POST") {
			t.Errorf("the host was asked again: %s", visit)
		}
	}
}

// dial opens a connection and has the program take it.
func (p *program) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return c
}
