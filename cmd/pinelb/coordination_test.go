package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// coordinationAddress serves a script of answers, by method and path, as a router's control address would.
func coordinationAddress(t *testing.T, answers map[string]http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	for pattern, answer := range answers {
		mux.HandleFunc(pattern, answer)
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// says answers with a status and a body.
func says(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// pinelb runs the program and returns its exit status and output.
func pinelb(args ...string) (status int, stdout, stderr string) {
	var out, errors bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "PINELB_TEST_RUN=1")
	cmd.Stdout, cmd.Stderr = &out, &errors
	_ = cmd.Run() // the status is looked at by the caller
	return cmd.ProcessState.ExitCode(), out.String(), errors.String()
}

// Guards against exit statuses and lines that scripts can't rely on.
func TestCoordinationCommands(t *testing.T) {
	address := coordinationAddress(t, map[string]http.HandlerFunc{
		"POST /locks/free/begin":      says(200, `{"fence":41}`),
		"POST /locks/free/heartbeat":  says(200, `{}`),
		"POST /locks/free/finish":     says(200, `{}`),
		"POST /locks/taken/begin":     says(409, `{}`),
		"POST /locks/taken/heartbeat": says(409, `{}`),
		"POST /locks/wrong/begin":     says(400, `{"error":"holdMs is missing"}`),
		"POST /locks/refused/begin":   says(503, "no core machine is known"),
		"POST /locks/unclear/begin":   says(504, "the outcome is not known"),
		"POST /numbers/n":             says(200, `{"value":5120}`),
		"GET /cells/g.k/read":         says(200, `{"value":"v","revision":931}`),
		"GET /cells/g.none/read":      says(404, `{"error":"there is no such key"}`),
		"POST /cells/g.k/replace":     says(200, `{"revision":932}`),
		"POST /cells/g.other/replace": says(412, `{"revision":922}`),
		"GET /watch/g.":               says(200, `{"events":[{"name":"g.k","value":"v","revision":931}],"revision":931}`),
		"GET /watch/old.":             says(410, `{"error":"no longer kept"}`),
		"POST /locks/taken/finish":    says(200, `{}`),
	})
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"lock acquire free --holder h --hold 3s", 0, `"fence":41,"holder":"h"`},
		{"lock acquire taken", 1, "held by another"},
		{"lock acquire wrong", 2, "holdMs is missing"},
		{"lock acquire refused --timeout 300ms", 3, "no core machine is known"},
		{"lock acquire unclear --timeout 300ms", 4, "outcome is not known"},
		{"lock acquire", 2, "accepts 1 arg"},
		{"lock renew free --holder h --fence 41", 0, `"fence":41`},
		{"lock renew taken --holder h --fence 41", 1, "lost"},
		{"lock renew free --fence 41", 2, "holder"},
		{"lock release taken --holder h --fence 41", 0, `"fence":41`},
		{"counter next n", 0, `{"name":"n","value":5120}`},
		{"cell get g.k", 0, `{"name":"g.k","revision":931,"value":"v"}`},
		{"cell get g.none", 1, "no such key"},
		{"cell put g.k w", 0, `{"name":"g.k","revision":932}`},
		{"cell put g.other w --if-revision 907", 1, `{"name":"g.other","presentRevision":922}`},
		{"watch g. --since 930 --count 1", 0, `{"name":"g.k","value":"v","revision":931}`},
		{"watch old. --since 3", 1, "no longer known"},
		{"lock run taken --timeout 300ms -- true", 120, "held by another"},
		{"lock run free", 2, "requires at least 2 arg"},
		{"lock run free -- /nowhere/none", 126, "/nowhere/none"},
		{"lock run free --grace 8s -- true", 2, "margin"},
		{"lock nothing", 0, "Available Commands"},
		{"cell --help", 0, "Available Commands"},
	} {
		t.Run(c.args, func(t *testing.T) {
			t.Parallel()
			command := strings.Fields(c.args)
			args := append([]string{command[0], "--address", address}, command[1:]...)
			status, stdout, stderr := pinelb(args...)
			if status != c.status || !strings.Contains(stdout+stderr, c.says) {
				t.Errorf("status %d, %q and %q; want %d and %q", status, stdout, stderr, c.status, c.says)
			}
		})
	}
	t.Run("no address", func(t *testing.T) {
		if status, _, stderr := pinelb("counter", "next", "n"); status != exitFaulty || !strings.Contains(stderr, "--address") {
			t.Errorf("status %d and %q", status, stderr)
		}
	})
}

// Guards against a command that runs without the lock's fencing token, whose exit status is lost, or whose lock stays taken.
func TestLockRunPassesStatusOn(t *testing.T) {
	var released atomic.Int64
	address := coordinationAddress(t, map[string]http.HandlerFunc{
		"POST /locks/l/begin":     says(200, `{"fence":41}`),
		"POST /locks/l/heartbeat": says(200, `{}`),
		"POST /locks/l/finish": func(w http.ResponseWriter, _ *http.Request) {
			released.Add(1)
			_, _ = io.WriteString(w, "{}")
		},
	})
	for script, want := range map[string]int{"echo fence $PINELB_FENCE": 0, "echo fence $PINELB_FENCE; exit 37": 37, "echo fence $PINELB_FENCE; kill -TERM $$": 143} {
		before := released.Load()
		status, stdout, stderr := pinelb("lock", "run", "l", "--address", address, "--", "sh", "-c", script)
		if status != want || stdout != "fence 41\n" || released.Load() != before+1 {
			t.Errorf("%s: status %d, %q and %q, released %d times", script, status, stdout, stderr, released.Load()-before)
		}
	}
}

// Guards against a command that goes on after its lock is lost, also where it ignores SIGTERM and has children of its own.
func TestLockRunEndsCommandWhenLost(t *testing.T) {
	var heartbeats atomic.Int64
	address := coordinationAddress(t, map[string]http.HandlerFunc{
		"POST /locks/l/begin": says(200, `{"fence":41}`),
		"POST /locks/l/heartbeat": func(w http.ResponseWriter, _ *http.Request) {
			heartbeats.Add(1)
			w.WriteHeader(http.StatusConflict)
		},
		"POST /locks/l/finish": says(200, `{}`),
	})
	file := filepath.Join(t.TempDir(), "pid")
	script := fmt.Sprintf("trap '' TERM; sleep 1000 & echo $! >%s; wait; wait; sleep 1000", file)
	status, _, stderr := pinelb("lock", "run", "l", "--address", address, "--hold", "300ms", "--grace", "50ms", "--", "sh", "-c", script)
	if status != exitLost || !strings.Contains(stderr, "lost") || heartbeats.Load() == 0 {
		t.Errorf("status %d and %q after %d heartbeats", status, stderr, heartbeats.Load())
	}
	awaitProcessEnd(t, file)
}

// Guards against a command that stays behind when "pinelb lock run" is told to end.
func TestLockRunPassesSignalsOn(t *testing.T) {
	address := coordinationAddress(t, map[string]http.HandlerFunc{
		"POST /locks/l/begin":     says(200, `{"fence":41}`),
		"POST /locks/l/heartbeat": says(200, `{}`),
		"POST /locks/l/finish":    says(200, `{}`),
	})
	file := filepath.Join(t.TempDir(), "pid")
	cmd := exec.Command(os.Args[0], "lock", "run", "l", "--address", address, "--", "sh", "-c", fmt.Sprintf("echo $$ >%s.new; mv %s.new %s; sleep 1000", file, file, file))
	cmd.Env = append(os.Environ(), "PINELB_TEST_RUN=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitFile(t, file)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait() // the status is looked at below
	if status := cmd.ProcessState.ExitCode(); status != exitSignal+int(syscall.SIGTERM) {
		t.Errorf("status %d", status)
	}
	awaitProcessEnd(t, file)
}

func awaitFile(t *testing.T, path string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), fleetWait)
	defer cancel()
	for ctx.Err() == nil {
		if text, err := os.ReadFile(path); err == nil && len(text) > 0 {
			return strings.TrimSpace(string(text))
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no ", path)
	return ""
}

// awaitProcessEnd waits until the process whose number a file holds has ended, or is about to be collected.
func awaitProcessEnd(t *testing.T, file string) {
	t.Helper()
	stat := "/proc/" + awaitFile(t, file) + "/stat"
	for end := time.Now().Add(fleetWait); ; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(stat)
		if err != nil || strings.Contains(string(text), ") Z ") {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("still there: %s", text)
		}
	}
}
