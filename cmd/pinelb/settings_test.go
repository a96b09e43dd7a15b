package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pinelb.example/pinelb/internal/settingsstore"
)

// distributorFile writes a distributor's file.
func distributorFile(t *testing.T, name, dir, peers string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf("name = %q\nregion = \"east\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\ndir = %q\npeers = [%s]\n", name, dir, peers)
	text = strings.Replace(text, `control = "127.0.0.1:0"`, `control = "[::1]:0"`, 1) // it has to be another address
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// distributing starts a distributor's process.
func startDistributor(t *testing.T, file string) (p *program, followAddr, controlAddr string) {
	t.Helper()
	p = launchOn(t, exec.Command(os.Args[0], "distribute", file), "")
	listening := p.await(t, "distributor listening")
	return p, listening.Get("addr").Str, listening.Get("control").Str
}

// get makes a call, and returns the answer's status, 0 where there is none, and its body.
func get(t *testing.T, addr, target string) (status int, body string) {
	t.Helper()
	res, err := http.Get("http://" + addr + target)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Error(err)
	}
	return res.StatusCode, string(text)
}

// acknowledge polls as a sidecar does that waits for an update, until the distributor has received the request.
func acknowledge(t *testing.T, followAddr, controlAddr string, q settingsstore.Request) {
	t.Helper()
	c, err := net.Dial("tcp", followAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", q.Target())
	for {
		var s settingsstore.Status
		if _, text := get(t, controlAddr, "/admin/settings?service="+q.Service); json.Unmarshal([]byte(text), &s) != nil {
			t.Fatalf("status: %s", text)
		}
		if slices.ContainsFunc(s.Sidecars, func(c settingsstore.Sidecar) bool {
			return c.Name == q.Name && c.InForce == q.Since && c.Rejected == q.Rejected
		}) {
			return
		}
	}
}

// run runs a command as a process of its own.
func run(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = environment("")
	text, _ := cmd.CombinedOutput() // the status says
	return cmd.ProcessState.ExitCode(), string(text)
}

// Guards against a distributor's process that can't be relied on, and against exit statuses that say something else than what is in
// force where.
func TestDistributeAndSettings(t *testing.T) {
	dir := t.TempDir()
	file := distributorFile(t, "d1", dir, "")
	p, followAddr, controlAddr := startDistributor(t, file)
	published := filepath.Join(dir, "published")
	if err := os.WriteFile(published, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	faulty := filepath.Join(dir, "faulty")
	if err := os.WriteFile(faulty, []byte(strings.Replace(settings, `"n_instances":1`, `"n_instances":0`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	acknowledgeAs := func(name string, epoch, refused uint64) {
		q := settingsstore.Request{Service: "orders", Name: name, Wait: settingsstore.MaxWait}
		if epoch > 0 {
			q.Since.Epoch, q.Since.By = epoch, "d1"
		}
		if refused > 0 {
			q.Rejected.Epoch, q.Rejected.By, q.Reason = refused, "d1", "settings.aim\x1b is odd"
		}
		acknowledge(t, followAddr, controlAddr, q)
	}
	both := "127.0.0.1:1," + controlAddr
	for _, c := range []struct {
		what   func()
		args   string
		status int
		says   string
	}{
		{nil, "status --at " + controlAddr, 1, "edition none"},
		{nil, "publish --at " + controlAddr + " " + faulty, 2, "settings.n_instances"},
		{nil, "publish --at " + controlAddr + " " + faulty + "x", 2, "faultyx"},
		{nil, "rollback --at " + controlAddr, 2, "no former settings"},
		{nil, "publish --at " + both + " " + published, 0, "orders: published as edition 1 by d1\n"},
		{func() { acknowledgeAs("n0", 1, 0) }, "status --at " + controlAddr, 0, "of 1 sidecars 1 in force"},
		{nil, "status --at " + both, 1, "not reached"}, // who knows what its sidecars have
		{nil, "status --at " + both, 1, "of 1 sidecars 1 in force"},
		{func() { acknowledgeAs("n1", 0, 0) }, "status --at " + both, 1, "1 behind"},
		{nil, "publish --json --at " + controlAddr + " " + published, 0, `"epoch":2`},
		{func() { acknowledgeAs("n0", 2, 0); acknowledgeAs("n1", 1, 2) }, "status --at " + controlAddr, 1, "1 refused"},
		{nil, "status --at " + controlAddr, 1, "settings.aim? is odd"},
		{nil, "status --json --at " + both, 1, `"in_force":1,"behind":0,"ahead":0,"refused":1,"silent":0,"unreached":["distributor: Get`},
		{func() { acknowledgeAs("n1", 2, 0) }, "status --json --at " + controlAddr + "," + controlAddr, 0, `"sidecars":2,"in_force":2`},
		{nil, "rollback --at " + controlAddr, 2, "no former settings"}, // the same was published twice
		{func() {
			other := filepath.Join(dir, "other")
			_ = os.WriteFile(other, []byte(strings.Replace(settings, `"send_cap":4`, `"send_cap":3`, 1)), 0o600)
			if status, out := run(t, "settings", "publish", "--service", "orders", "--within", "10s", "--at", controlAddr, other); status != 0 {
				t.Errorf("%d %s", status, out)
			}
		}, "rollback --wait 1ms --at " + controlAddr, 1, "edition 4 by d1"},
		{nil, "status --at 127.0.0.1:1", 3, "not reached"},
		{nil, "publish --at 127.0.0.1:1 " + published, 3, "nobody was reached"},
		{nil, "rollback --at 127.0.0.1:1", 3, "nobody was reached"},
		{nil, "status --at nowhere", 2, "--at"},
		{nil, "status --wait -1s --at " + controlAddr, 2, "--wait"},
		{nil, "status --service .x --at " + controlAddr, 2, "--service"},
	} {
		if c.what != nil {
			c.what()
		}
		args := append([]string{"settings"}, strings.Fields(c.args)...)
		if !strings.Contains(c.args, "--service") {
			args = append(args, "--service", "orders")
		}
		if status, out := run(t, append(args, "--within", "10s")...); status != c.status || !strings.Contains(out, c.says) || strings.ContainsRune(out, '\x1b') {
			t.Errorf("%s: status %d and %q, want %d and %q", c.args, status, out, c.status, c.says)
		}
	}
	if status, out := run(t, "distribute", distributorFile(t, "d2", dir, "")); status != 1 || !strings.Contains(out, "another process") {
		t.Errorf("two in one directory: %d %s", status, out)
	}
	if status, out := run(t, "distribute", distributorFile(t, "d 2", dir, "")); status != 2 || !strings.Contains(out, ":1: name: ") {
		t.Errorf("a faulty file: %d %s", status, out)
	}
	if status, _ := run(t, "distribute", file+"x"); status != 2 {
		t.Errorf("no file: %d", status)
	}

	// A watch is answered at the end, and what was published is there in the next process.
	answered := make(chan int, 1)
	go func() {
		q := settingsstore.Request{Service: "orders", Name: "n9", Wait: settingsstore.MaxWait}
		q.Since.Epoch, q.Since.By = 9, "d1"
		status, _ := get(t, followAddr, q.Target())
		answered <- status
	}()
	for status, text := 200, ""; status == 200 && !strings.Contains(text, `"n9"`); { // until it waits
		status, text = get(t, controlAddr, "/admin/settings?service=orders")
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if status := <-answered; status != http.StatusNoContent {
		t.Errorf("at the end a watch is answered %d", status)
	}
	p.await(t, "distributor ends")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
	_, _, controlAddr = startDistributor(t, file)
	status, out := run(t, "settings", "status", "--json", "--at", controlAddr, "--service", "orders", "--within", "10s")
	var last struct{ Epoch uint64 }
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil || last.Epoch != 4 || status != 0 {
		t.Errorf("after a restart: %d %s, %v", status, out, err)
	}
}
