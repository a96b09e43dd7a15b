package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/stream"
)

// operatorFile writes an operator's file.
func operatorFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit statuses and messages that scripts can't rely on.
func TestCommands(t *testing.T) {
	good, bad := operatorFile(t, "[record]\nto = \"log\"\n"), operatorFile(t, "[record]\nto = \"log\"\nfrom = 3\n")
	platform := configFile(t, configFor("127.0.0.1:1"))
	faulty := configFile(t, configFor("nowhere"))
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"check", good}, 0, ""},
		{[]string{"check", "../../deploy/platform.toml"}, 0, ""}, // without it no sidecar on the platform starts
		{[]string{"check", bad}, 2, bad + ":3: record.from: "},
		{[]string{"check", good + "x"}, 2, good + "x"},
		{[]string{"check", good, "--platform", platform}, 0, ""},
		{[]string{"check", good, "--platform", faulty}, 2, "LB_DISCOVERY"},
		{[]string{"version"}, 0, "pinelb"},
		{[]string{"--help"}, 0, "--config=FILE"},
		{[]string{"serve", "--help"}, 0, "--config=FILE"},
		{[]string{"--port", "3"}, 2, "--port"},
		{[]string{"server"}, 2, "server"},
		{[]string{"serve", "--config", bad}, 1, bad + ":3: record.from: "},
		{[]string{"--config", bad}, 1, "pinelb ends"},
		{nil, 1, "pinelb ends"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = environment(platform)
			if c.args == nil {
				cmd.Env = environment("")
			}
			out, _ := cmd.CombinedOutput() // the status is looked at below
			if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.says) {
				t.Errorf("status %d and %q, want %d and %q", got, out, c.status, c.says)
			}
		})
	}
}

// recording starts a sidecar that records into its log, which nobody reads yet and which holds 4 KiB.
func startRecording(t *testing.T, discovery string) (*program, *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const setPipeSize = 1031 // F_SETPIPE_SZ
	if _, _, fault := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, 4096); fault != 0 {
		t.Fatal(fault)
	}
	p := &program{cmd: exec.Command(os.Args[0], "--config", operatorFile(t, "[record]\nto = \"log\"\n"))}
	p.cmd.Env = environment(configFile(t, configFor(discovery)))
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close() // the sidecar has it
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = r.Close()
	})
	return p, r
}

// Guards against a record that can't be read out of the log, or that is not what happened.
func TestAccessLogInLog(t *testing.T) {
	b := newTestHost(t, serve("lens"))
	p, out := startRecording(t, newTestSite(t, host("s-1", b.addr, "Ready")).addr)
	var all bytes.Buffer
	p.log = bufio.NewScanner(io.TeeReader(out, &all))
	p.addr = p.await(t, "listening").Get("addr").Str
	p.await(t, "cluster changed")
	for i := range 3 {
		p.call(t, "POST", "/place-order/7", "two", "Idempotency-Key", fmt.Sprint(i))
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for p.log.Scan() {
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("a planned end: %v", err)
	}
	rec, err := accesslog.Read(&all)
	if err != nil || len(rec.Runs) != 1 || len(rec.Runs[0].Streams) != 3 || rec.Skipped != 0 || rec.Other == 0 {
		t.Fatalf("%+v, %v", rec, err)
	}
	run := rec.Runs[0]
	s := run.Streams[2]
	if run.Header.Name != "n0" || run.Header.Settings.ClassNames[s.Class] != "place-order" || s.Body != 3 || s.Outcome != stream.Served ||
		len(s.Attempts) != 1 || s.Attempts[0].Host != "s-1" || s.Attempts[0].Status != balance.OK || s.Answered < s.Attempts[0].Duration {
		t.Errorf("%+v", s)
	}
	if n := len(run.Lists); n == 0 || run.Lists[n-1].Hosts[0].ID != "s-1" {
		t.Errorf("cluster %+v", run.Lists)
	}
}

// Guards against a log that nobody reads holding up streams or the end, and against one whose reader has gone
// ending the sidecar.
func TestLogWithoutReader(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) {
			t.Parallel()
			b := newTestHost(t, serve("lens"))
			p, out := startRecording(t, newTestSite(t, host("s-1", b.addr, "Ready")).addr)
			p.log = bufio.NewScanner(out)
			p.addr = p.await(t, "listening").Get("addr").Str
			p.await(t, "cluster changed")
			if gone {
				_ = out.Close()
			}
			for range 100 { // their lines are three times what the pipe holds
				if res, _ := p.call(t, "GET", "/order-status/1", ""); res.StatusCode != 200 {
					t.Errorf("answered %d", res.StatusCode)
				}
			}
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Wait(); err != nil {
				t.Errorf("a planned end: %v", err)
			}
		})
	}
}
