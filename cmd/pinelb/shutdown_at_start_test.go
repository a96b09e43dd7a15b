package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// Guards against SIGTERM ending a sidecar at once that listens already and has not begun to serve: what the kernel has
// accepted for it would be reset.
func TestTerminatedAtStart(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	log, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	defer func() { _ = stderr.Close() }()
	if err := stderr.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := stderr.Write(make([]byte, 4<<20)); err == nil { // full, so that the sidecar stops as it logs that it listens
		t.Fatalf("a pipe takes %d bytes", n)
	}
	config := configFor("127.0.0.1:1")
	config["listen"] = addr
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = environment(configFile(t, config)), stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	var conn net.Conn
	for conn == nil {
		if conn, err = net.Dial("tcp", addr); err != nil {
			runtime.Gosched()
		}
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	go func() { // and goes on
		buf := make([]byte, 4096)
		for {
			if _, err := log.Read(buf); err != nil {
				return
			}
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("what had come was not answered: %v", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a sidecar that ends says %d of its health", res.StatusCode)
	}
}
