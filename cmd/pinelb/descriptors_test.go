package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// descriptors is how many a sidecar has.
const descriptors = 128

// crowded starts a sidecar that has so many descriptors, from its start on.
func startWithFewSockets(t *testing.T, addr, discovery string, known ...string) *program {
	t.Helper()
	config := configFor(discovery, known...)
	config["listen"], config["limits"] = addr, map[string]any{"sockets": descriptors}
	p := launchOn(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", descriptors, os.Args[0])), configFile(t, config), "LB_DISCOVERY="+discovery)
	p.addr = p.await(t, "listening").Get("addr").Str
	return p
}

// idlers are clients that open connections, send nothing and come again when they are shut out, to the test's end. It returns
// once so many have been open at once.
func openIdleConnections(t *testing.T, addr string, n int) {
	var all sync.WaitGroup
	var over atomic.Bool
	up := make(chan struct{}, n)
	t.Cleanup(func() {
		over.Store(true)
		all.Wait()
	})
	for range n {
		all.Go(func() {
			for first := true; !over.Load(); {
				conn, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				if first {
					first = false
					up <- struct{}{}
				}
				for !over.Load() {
					_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
					if _, err := conn.Read(make([]byte, 1)); err != nil {
						if fault, ok := err.(net.Error); ok && fault.Timeout() {
							continue
						}
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	for range n {
		<-up
	}
}

// idleSite is a site whose agent stops answering.
type idleSite struct {
	*testSite
	unresponsive atomic.Bool
	received     chan struct{} // one per request that an unresponsive agent receives
}

func (q *idleSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if q.unresponsive.Load() {
		select {
		case q.received <- struct{}{}:
		default:
		}
		<-r.Context().Done() // whatever waits then is never answered
		return
	}
	q.testSite.ServeHTTP(w, r)
}

// Guards against a list that no descriptor is left for: idle clients, twice as many as there are descriptors, come while discovery
// is silent and come again whenever they are shut out. What it has at its return is in force within 6 s, and a process that is
// started into that is ready within 10 s, with a list of before or without.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, known := range []bool{false, true} {
			if known && !killed {
				continue
			}
			t.Run(fmt.Sprintf("killed %v, known %v", killed, known), func(t *testing.T) {
				old, fresh := newTestHost(t, serve("old")), newTestHost(t, serve("new"))
				agent := &idleSite{testSite: newTestSite(t, host("s-1", old.addr, "Ready")), received: make(chan struct{}, 1)}
				addr := listen(t, agent)
				p := startWithFewSockets(t, "127.0.0.1:0", addr)
				p.await(t, "cluster changed")
				agent.unresponsive.Store(true)
				openIdleConnections(t, p.addr, 2*descriptors)
				<-agent.received
				if killed {
					_ = p.cmd.Process.Kill()
					_ = p.cmd.Wait()
					var before []string
					if known {
						before = append(before, host("s-1", old.addr, "Ready"))
					}
					p = startWithFewSockets(t, p.addr, addr, before...)
				}
				agent.change(host("s-1", old.addr, "Gone"), host("s-2", fresh.addr, "Ready"))
				agent.unresponsive.Store(false)
				from := time.Now()
				elapsed := make(chan time.Duration, 1)
				go func() {
					p.await(t, "cluster changed")
					elapsed <- time.Since(from)
				}()
				for ready := false; !ready; {
					res, _, err := p.send(t.Context(), "GET", "/_health", "")
					ready = err == nil && res.StatusCode == 200
				}
				if took := time.Since(from); killed && took > 10*time.Second {
					t.Errorf("ready after %v", took)
				}
				if took := <-elapsed; took > 6*time.Second {
					t.Errorf("the list was taken over after %v", took)
				}
				for {
					_, body, err := p.send(t.Context(), "GET", "/order-status/1", "")
					if err == nil && body == "new" {
						break
					}
					if took := time.Since(from); took > 6*time.Second {
						t.Fatalf("after %v: %q, %v", took, body, err)
					}
				}
				t.Logf("in force after %v", time.Since(from))
			})
		}
	}
}
