package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apache/thrift/lib/go/thrift"
)

const (
	clientsPerKind  = 8                      // of each kind, at each place
	disconnectedFor = 350 * time.Millisecond // before their wait ends: nothing is to be forwarded 0.3 s after a disconnect
	disconnectedTxn = "gone"                 // begins their ids
)

// disconnectKinds are the ways in which a client disconnects, with what it says before. Not all show to whoever reads one message at a time.
var disconnectKinds = []struct {
	name, more string
	reset      bool
}{{"closes", "", false}, {"closes behind a byte", "G", false}, {"resets behind a line", "\r\n", true}}

// TestClientDisconnectsWhileWaiting counts, for each place where a request can wait, how many are sent on whose clients had left 0.35 s
// before the wait ended. None is to be; the counts are in the log.
func TestClientDisconnectsWhileWaiting(t *testing.T) {
	for name, place := range map[string]func(t *testing.T, disconnect func(addr, message string)) (sentOn int){
		"held by the decisions": func(t *testing.T, disconnect func(addr, message string)) int {
			s := newTestSite(t)
			p := start(t, s.addr)
			disconnect(p.addr, disconnectRequest("GET /order-status/1", ""))
			return forwardedCount(t, p, s)
		},
		"with its body still coming": func(t *testing.T, disconnect func(addr, message string)) int {
			s := newTestSite(t)
			p := start(t, s.addr)
			disconnect(p.addr, disconnectRequest("POST /remake-charge/1", "Content-Length: 100000\r\n")+strings.Repeat("x", 50000))
			return forwardedCount(t, p, s)
		},
		"at the connections' bound, its head not read": func(t *testing.T, disconnect func(addr, message string)) int {
			s := newTestSite(t)
			config := configFor(s.addr)
			config["limits"] = map[string]any{"sockets": 64} // of which 16 are callers'
			p := launchOn(t, exec.Command(os.Args[0]), configFile(t, config))
			p.addr = p.await(t, "listening").Get("addr").Str
			first := make([]net.Conn, 16)
			for i := range first {
				first[i] = dial(t, p.addr)
				_, _ = io.WriteString(first[i], "GET /order-status/1 HTTP/1.1\r\n") // they hold their places as long as a head may
			}
			disconnect(p.addr, disconnectRequest("POST /remake-charge/1", "Content-Length: 0\r\n"))
			b := newTestHost(t, serve("ok"))
			s.change(host("s-1", b.addr, "Ready"))
			p.await(t, "cluster changed")
			p.await(t, "cluster changed")
			for _, c := range first {
				_ = c.Close()
			}
			return endedCount(t, p, b)
		},
		"between two attempts": func(t *testing.T, disconnect func(addr, message string)) int {
			release := make(chan struct{})
			away := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) {
				<-release
				w.Header().Set("X-Turned-Away", "1")
				w.WriteHeader(503)
			})
			b := newTestHost(t, serve("ok"))
			s := newTestSite(t, host("s-1", away.addr, "Ready"))
			p := start(t, s.addr)
			p.await(t, "cluster changed")
			disconnect(p.addr, disconnectRequest("POST /remake-charge/1", "Content-Length: 0\r\n"))
			s.change(host("s-2", b.addr, "Ready"))
			p.await(t, "cluster changed")
			close(release)
			return endedCount(t, p, b)
		},
		"while its connection comes up": func(t *testing.T, disconnect func(addr, message string)) int {
			late := newLateHost(t)
			s := newTestSite(t, host("s-1", late.addr, "Ready"))
			p := start(t, s.addr)
			p.await(t, "cluster changed")
			disconnect(p.addr, disconnectRequest("POST /remake-charge/1", "Content-Length: 0\r\n"))
			late.open()
			return endedCount(t, p, late.testHost)
		},
	} {
		for _, how := range disconnectKinds {
			t.Run(name+", "+how.name, func(t *testing.T) {
				t.Parallel()
				n := place(t, func(addr, message string) {
					var out sync.WaitGroup
					for i := range clientsPerKind {
						out.Go(func() {
							c := dial(t, addr)
							for _, text := range []string{fmt.Sprintf(message, i), how.more} {
								_, _ = io.WriteString(c, text)
								<-time.After(50 * time.Millisecond) // it has been read by now, or waits to be
							}
							if how.reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							_ = c.Close()
						})
					}
					out.Wait()
					<-time.After(disconnectedFor)
				})
				t.Logf("%d of %d are sent on", n, clientsPerKind)
				if n > 0 {
					t.Errorf("%d of %d requests are sent on for clients that had left 0.35 s before", n, clientsPerKind)
				}
			})
		}
	}
}

// TestClientDisconnectsOverThrift is the same for calls: more than are taken of a connection at once wait, and nobody reads on.
func TestClientDisconnectsOverThrift(t *testing.T) {
	s := newTestSite(t)
	p := launch(t, exec.Command(os.Args[0], "--config", operatorFile(t, fmt.Sprintf(thriftSection, "framed-binary"))), s.addr)
	addr := p.await(t, "listening for Thrift").Get("addr").Str
	p.addr = p.await(t, "listening").Get("addr").Str
	out, transport := thriftClient(t, "framed-binary", addr)
	ctx := context.Background()
	for i := range 20 {
		for _, err := range []error{out.WriteMessageBegin(ctx, "charge", thrift.CALL, int32(i)), (&order{id: int64(i), key: "fails"}).Write(ctx, out),
			out.WriteMessageEnd(ctx), out.Flush(ctx)} {
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	<-time.After(50 * time.Millisecond)
	_ = transport.Close()
	<-time.After(disconnectedFor)
	h := &orders{notes: make(chan string, 100)}
	s.change(host("s-1", thriftHost(t, "framed-binary", h), "Ready"))
	p.await(t, "cluster changed")
	p.await(t, "cluster changed")
	p.end(t)
	t.Logf("%d of 20 are sent on", len(h.notes))
	if len(h.notes) > 0 {
		t.Errorf("%d of 20 calls are sent on for a client that had left 0.35 s before", len(h.notes))
	}
}

func disconnectRequest(line, headers string) string {
	return line + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + disconnectedTxn + "%d\r\nX-Remaining-Ms: 60000\r\n" + headers + "\r\n"
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return &net.TCPConn{}
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// forwardedCount lists a first host to a sidecar that has none, and counts whose requests come there.
func forwardedCount(t *testing.T, p *program, s *testSite) int {
	b := newTestHost(t, serve("ok"))
	s.change(host("s-1", b.addr, "Ready"))
	p.await(t, "cluster changed") // the first list
	p.await(t, "cluster changed")
	return endedCount(t, p, b)
}

// ended has the sidecar end when all that it has is answered, and counts the disconnected clients' requests that reached a host.
func endedCount(t *testing.T, p *program, b *testHost) (n int) {
	p.end(t)
	for len(b.visits) > 0 {
		if strings.Contains(<-b.visits, disconnectedTxn) {
			n++
		}
	}
	return n
}

// end ends a sidecar as planned, and waits for it.
func (p *program) end(t *testing.T) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.await(t, "drained")
	_ = p.cmd.Wait()
}

// lateHost is a host whose connections come up late: its machine has no room for them until open.
type lateHost struct {
	*testHost
	open func()
}

func newLateHost(t *testing.T) *lateHost {
	addr, room := newLateListener(t)
	b := &testHost{addr: addr, visits: make(chan string, 1000), answer: serve("ok")}
	return &lateHost{b, sync.OnceFunc(func() {
		server := &http.Server{Handler: b}
		go func() { _ = server.Serve(room()) }()
		t.Cleanup(func() { _ = server.Close() })
	})}
}

// newLateListener returns an address at which no connection comes up until there is room, which makes it a listener's.
func newLateListener(t *testing.T) (addr string, room func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, _ := syscall.Getsockname(fd)
	addr = fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	var fill []net.Conn
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return addr, func() net.Listener {
		for _, c := range fill {
			_ = c.Close()
		}
		f := osFile(fd)
		l, err := net.FileListener(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
}

func osFile(fd int) *os.File {
	_ = syscall.SetNonblock(fd, true)
	return os.NewFile(uintptr(fd), "listener")
}
