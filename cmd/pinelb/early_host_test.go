package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against the promise that a request has not run (503), and against a second run, where a host has run an unsafe request before it has read
// the whole body: the sidecar can't tell.
func TestHostRunsUploadAtItsHead(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"resets the connection at once": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"reads a part and resets": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 256<<10)
			_ = c.SetLinger(0)
		},
		"reads a part and closes": func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 256<<10) },
		"responds 200 and resets": func(c *net.TCPConn) { respondAndReset(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") },
		"responds 500 and resets": func(c *net.TCPConn) { respondAndReset(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") },
		"never reads on":          func(*net.TCPConn) { time.Sleep(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			h := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				end(c.(*net.TCPConn))
				_ = c.Close()
			}))
			p := start(t, newTestSite(t, host("s-1", h, "Ready"), host("s-2", h, "Ready")).addr)
			p.await(t, "cluster changed")
			res, _ := p.call(t, "POST", "/remake-charge/7", strings.Repeat("0123456789abcdef", 6<<20/16))
			if res.StatusCode != 502 && res.StatusCode != 504 || runs.Load() != 1 {
				t.Errorf("answered %d after %d runs, want 502 or 504 after 1", res.StatusCode, runs.Load())
			}
		})
	}
}

func respondAndReset(c *net.TCPConn, text string) {
	_, _ = io.WriteString(c, text)
	time.Sleep(50 * time.Millisecond)
	_ = c.SetLinger(0)
}
