package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apache/thrift/lib/go/thrift"
	"golang.org/x/sys/unix"
)

// TestClientDisconnectsBeforeSend has a client disconnect as late as can be: the sidecar stands still meanwhile, and finds the disconnect together with
// what lets the request go out. No byte of it is to come to a host, be it its first attempt or a further one, however its
// connection came up, and whether or not a byte hides the disconnect from whoever reads.
func TestClientDisconnectsBeforeSend(t *testing.T) {
	for name, place := range map[string]func(x *disconnectFixture){
		"a first attempt": func(x *disconnectFixture) {
			x.send()
			x.standsStill(func() {
				x.disconnect()
				x.site.change(host("s-1", x.counting(listenTCP(x.t)), "Ready"))
			})
			x.p.await(x.t, "cluster changed")
		},
		"a further attempt": func(x *disconnectFixture) {
			received, reject := make(chan struct{}), make(chan struct{})
			first := host("s-1", startRejectingHost(x.t, received, reject), "Ready")
			x.site.change(first)
			x.p.await(x.t, "cluster changed")
			x.send()
			<-received
			x.site.change(first, host("s-2", x.counting(listenTCP(x.t)), "Ready"))
			x.p.await(x.t, "cluster changed")
			x.standsStill(func() {
				x.disconnect()
				reject <- struct{}{}
				<-reject
			})
		},
		"while its connection comes up": func(x *disconnectFixture) {
			addr, room := newLateListener(x.t)
			x.site.change(host("s-1", addr, "Ready"))
			x.p.await(x.t, "cluster changed")
			x.send()
			awaitSocket(addr, synSent)
			x.standsStill(func() {
				x.disconnect()
				x.counting(room())
				awaitSocket(addr, established)
			})
		},
	} {
		for _, over := range []string{"HTTP", "Thrift"} {
			for _, how := range []struct {
				name           string
				hidden, cancel bool
			}{{"", false, true}, {"behind a byte", true, true}, {"where nothing may be withdrawn", false, false}} {
				if over == "Thrift" && name == "a further attempt" {
					continue // the host that turns it away speaks HTTP
				}
				t.Run(fmt.Sprintf("%s, over %s, %s", name, over, how.name), func(t *testing.T) {
					t.Parallel()
					x := newDisconnectFixture(t, over, how.hidden, how.cancel)
					x.p.await(t, "cluster changed")
					place(x)
					_ = x.client.Close()
					x.p.end(t)
					if n := len(x.begun); n > 0 {
						t.Errorf("%d attempts have begun for a client that had left", n)
					}
				})
			}
		}
	}
}

// disconnectFixture is a client that disconnects, and what is around it.
type disconnectFixture struct {
	t       *testing.T
	site    *testSite
	p       *program
	client  *net.TCPConn
	message []byte
	begun   chan struct{} // one for each connection on which a host gets something
}

// newDisconnectFixture starts a sidecar that takes both protocols and knows no host. It may be one that may not withdraw attempts.
func newDisconnectFixture(t *testing.T, over string, hidden, cancel bool) *disconnectFixture {
	x := &disconnectFixture{t: t, site: newTestSite(t), begun: make(chan struct{}, 100), message: []byte(fmt.Sprintf(disconnectRequest("POST /remake-charge/1", "Content-Length: 0\r\n"), 0))}
	config := configFor(x.site.addr)
	config["settings"] = json.RawMessage(strings.Replace(settings, `"cancel":true`, fmt.Sprintf(`"cancel":%v`, cancel), 1))
	x.p = launchOn(t, exec.Command(os.Args[0], "--config", operatorFile(t, fmt.Sprintf(thriftSection, "framed-binary"))), configFile(t, config))
	addr := x.p.await(t, "listening for Thrift").Get("addr").Str
	x.p.addr = x.p.await(t, "listening").Get("addr").Str
	if over == "Thrift" {
		x.message = thriftMessage(t)
	} else {
		addr = x.p.addr
	}
	if hidden {
		x.message = append(x.message, x.message[0])
	}
	x.client = dial(t, addr).(*net.TCPConn)
	return x
}

func (x *disconnectFixture) send() {
	if _, err := x.client.Write(x.message); err != nil {
		x.t.Fatal(err)
	}
}

// disconnect ends the client's sending, and returns when the sidecar's machine has taken note.
func (x *disconnectFixture) disconnect() {
	if err := x.client.CloseWrite(); err != nil {
		x.t.Fatal(err)
	}
	raw, err := x.client.SyscallConn()
	if err != nil {
		x.t.Fatal(err)
	}
	const finWait2 = 5 // of Linux's TCP states
	for state := uint8(0); state != finWait2; {
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				x.t.Error(err)
				state = finWait2
				return
			}
			state = info.State
		})
	}
}

// standsStill has things happen while the sidecar does not run.
func (x *disconnectFixture) standsStill(happen func()) {
	pid := x.p.cmd.Process.Pid
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = syscall.Kill(pid, syscall.SIGCONT) }()
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		x.t.Fatal("it does not stand still: ", status, err)
	}
	happen()
}

// counting has a host count the connections on which something comes, and returns its address. It answers nothing.
func (x *disconnectFixture) counting(l net.Listener) string {
	x.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := c.Read(make([]byte, 1)); n > 0 {
					x.begun <- struct{}{}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func listenTCP(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startRejectingHost is a host that signals received when a request comes, and rejects it on a signal from reject, over which it then signals that the rejection is on its way.
func startRejectingHost(t *testing.T, received chan<- struct{}, reject chan struct{}) string {
	l := listenTCP(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		received <- struct{}{}
		<-reject
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		reject <- struct{}{}
	}()
	return l.Addr().String()
}

// thriftMessage is a call in the framed binary form.
func thriftMessage(t *testing.T) []byte {
	var b bytes.Buffer
	transport := thrift.NewTFramedTransportConf(&thrift.StreamTransport{Writer: &b}, nil)
	out, ctx := thrift.NewTBinaryProtocolConf(transport, nil), context.Background()
	for _, err := range []error{out.WriteMessageBegin(ctx, "charge", thrift.CALL, 1), (&order{id: 1, key: "fails"}).Write(ctx, out),
		out.WriteMessageEnd(ctx), out.Flush(ctx)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

// States of sockets as /proc/net/tcp shows them.
const (
	established = "01"
	synSent     = "02"
)

// awaitSocket waits for a connection to that address that is in a state.
func awaitSocket(addr, state string) {
	_, port, _ := net.SplitHostPort(addr)
	var n int
	_, _ = fmt.Sscan(port, &n)
	for want := fmt.Sprintf("0100007F:%04X %s ", n, state); ; <-time.After(time.Millisecond) {
		if text, _ := os.ReadFile("/proc/net/tcp"); strings.Contains(string(text), want) {
			return
		}
	}
}
