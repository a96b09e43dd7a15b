package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/lab/ports"
)

// fleetWait is how long a test waits at most for what it expects; a machine however busy gets there.
const fleetWait = 60 * time.Second

// routerProcess is one router on a loopback address of its own.
type routerProcess struct {
	ip, dir string
	cmd     *exec.Cmd
	log     *bytes.Buffer
}

// fleetRig is a fleet of real processes.
type fleetRig struct {
	t       *testing.T
	ports   [4]int // front, ready, control, internal
	routers []*routerProcess
}

// newFleetRig starts so many routers with disks, as at the first start of all.
func newFleetRig(t *testing.T, size int) *fleetRig {
	t.Helper()
	rig := &fleetRig{t: t}
	for i := range rig.ports {
		rig.ports[i] = freePort(t)
	}
	for i := range size {
		// Addresses of this process's own, so that tests beside each other don't meet.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+rig.ports[0]%200, 10+i)
		rig.routers = append(rig.routers, &routerProcess{ip: ip, dir: t.TempDir()})
	}
	for _, r := range rig.routers {
		rig.start(r, true)
	}
	t.Cleanup(func() {
		for _, r := range rig.routers {
			rig.kill(r)
		}
	})
	return rig
}

func freePort(t *testing.T) int {
	t.Helper()
	port, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// start starts a router with the disk that it has.
func (rig *fleetRig) start(r *routerProcess, bootstrap bool) {
	rig.t.Helper()
	var seeds []string
	for _, other := range rig.routers {
		seeds = append(seeds, fmt.Sprint(other.ip, ":", rig.ports[2]))
	}
	text := fmt.Sprintf(`nodeName=%s
ip=%s
zone=z
region=r
zones.z=r
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
portRange=%d,%d
seeds=%s
bootstrap=%v
countsForQuorum=true
dataDir=%s
faultTolerance.machines=1
bounds.revocationStrict=true
bounds.graceS=3
`, r.ip, r.ip, r.ip, rig.ports[0], r.ip, rig.ports[1], r.ip, rig.ports[2], rig.ports[3], rig.ports[3], strings.Join(seeds, ","), bootstrap, r.dir)
	path := filepath.Join(r.dir, "settings.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		rig.t.Fatal(err)
	}
	r.log = &bytes.Buffer{}
	r.cmd = exec.Command(os.Args[0], "router")
	r.cmd.Env = append(os.Environ(), "PINELB_TEST_RUN=1", "PINELB_CONFIG="+path)
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		rig.t.Fatal(err)
	}
}

func (rig *fleetRig) kill(r *routerProcess) {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
		r.cmd = nil
	}
}

func (rig *fleetRig) url(r *routerProcess, port int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", r.ip, rig.ports[port], path)
}

// eventually tries until something holds.
func (rig *fleetRig) eventually(what string, holds func() bool) {
	rig.t.Helper()
	for end := time.Now().Add(fleetWait); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, r := range rig.routers {
				rig.t.Logf("%s: %s", r.ip, r.log)
			}
			rig.t.Fatal("not within ", fleetWait, ": ", what)
		}
	}
}

// call makes a call and returns the status and body; 0 where there was no answer.
func call(method, url, body string, headers ...string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		if headers[i] == "Host" {
			request.Host = headers[i+1]
		}
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// order sends an order to one router after another until one acknowledges it.
func (rig *fleetRig) order(path, base, body string) {
	rig.t.Helper()
	rig.eventually("an acknowledgement", func() bool {
		for _, r := range rig.routers {
			if status, _ := call("POST", rig.url(r, 2, path), body, "X-Base-Version", base); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// primary is the router that leads now.
func (rig *fleetRig) primary() *routerProcess {
	var found *routerProcess
	rig.eventually("a primary", func() bool {
		for _, r := range rig.routers {
			_, text := call("GET", rig.url(r, 3, "/status"), "")
			var status struct {
				Replica struct{ Leading bool }
			}
			if json.Unmarshal([]byte(text), &status) == nil && status.Replica.Leading {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

const fleetConfiguration = `{"version":1,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","type":"unsafe","timeoutMs":5000,"service":"s"}],
	"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["k"]}]}`

func TestFleetOfProcesses(t *testing.T) {
	Convey("Three routers that have acknowledged a configuration", t, func() {
		rig := newFleetRig(t, 3)
		rig.order("/config/replace", "0", fleetConfiguration)

		Convey("give it back after the one that leads was killed right after an acknowledgement", func() {
			first := rig.primary()
			rig.order("/config/modify", "1", `{"version":3,"upsert":{"services":[{"name":"added"}]}}`)
			rig.kill(first)
			rig.eventually("the configuration, read back", func() bool {
				for _, r := range rig.routers {
					if r == first {
						continue
					}
					status, text := call("GET", rig.url(r, 2, "/config/read"), "")
					if status == http.StatusOK {
						So(text, ShouldContainSubstring, `"version":3`)
						So(text, ShouldContainSubstring, `"added"`)
						return true
					}
				}
				return false
			})
			Convey("and acknowledge the same order again, but not another one on the old version", func() {
				rig.order("/config/modify", "1", `{"version":3,"upsert":{"services":[{"name":"added"}]}}`)
				rig.eventually("a refusal", func() bool {
					for _, r := range rig.routers {
						if status, _ := call("POST", rig.url(r, 2, "/config/modify"), `{"version":4}`, "X-Base-Version", "1"); status == 412 {
							return true
						}
					}
					return false
				})
			})
		})
		Convey("know it after all were killed and the disk of one was lost", func() {
			for _, r := range rig.routers {
				rig.kill(r)
			}
			So(os.RemoveAll(filepath.Join(rig.routers[0].dir, "control")), ShouldBeNil)
			for _, r := range rig.routers {
				rig.start(r, false)
			}
			rig.eventually("the configuration, read back", func() bool {
				status, text := call("GET", rig.url(rig.routers[1], 2, "/config/read"), "")
				return status == http.StatusOK && strings.Contains(text, `"version":1`)
			})
		})
		Convey("serve a request once an endpoint has announced itself, and end in the planned way", func() {
			endpoint := newFleetEndpoint(t)
			beat := fmt.Sprintf(`{"service":"s","address":"%s","zone":"z","capacity":8,"state":"ready","sequence":1}`, endpoint)
			rig.eventually("a heartbeat's answer", func() bool {
				status, _ := call("POST", rig.url(rig.routers[0], 2, "/instances/i-1/heartbeat"), beat)
				return status == http.StatusOK
			})
			for _, r := range rig.routers {
				rig.eventually("readiness", func() bool {
					status, _ := call("GET", rig.url(r, 1, "/ready"), "")
					return status == http.StatusOK
				})
				status, text := call("POST", rig.url(r, 0, "/a/x"), "", "Host", "h", "Api-Key", "k", "X-Request-Id", "1")
				So(status, ShouldEqual, http.StatusOK)
				So(text, ShouldEqual, "i-1 t")
				status, _ = call("POST", rig.url(r, 0, "/a/x"), "", "Host", "h", "Api-Key", "wrong")
				So(status, ShouldEqual, http.StatusUnauthorized)
			}
			last := rig.routers[2]
			So(last.cmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			So(last.cmd.Wait(), ShouldBeNil)
			last.cmd = nil
		})
	})
}

// newFleetEndpoint is an endpoint that answers with what it was told of the request.
func newFleetEndpoint(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		fmt.Fprint(w, r.Header.Get("X-Expected-Instance"), " ", r.Header.Get("X-Tenant-Id"))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against exit statuses and messages that scripts can't rely on.
func TestRouterCommands(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.conf")
	text := "nodeName=n\nip=127.0.0.1\nzone=z\nportRange=1000,1001\n"
	if err := os.WriteFile(good, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte(strings.Replace(text, "zone=z", "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	configuration := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(configuration, []byte(strings.Replace(fleetConfiguration, `"service":"s"`, `"service":"x"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"router", "--help"}, 0, "check-config"},
		{[]string{"router", "check", good}, 0, ""},
		{[]string{"router", "check", bad}, 2, "zone is missing"},
		{[]string{"router", "check", bad + "x"}, 2, bad + "x"},
		{[]string{"router", "check-config", configuration}, 2, "unknown service x"},
		{[]string{"router", "check-config", good}, 2, "can't be read"},
		{[]string{"router", "odd"}, 2, "odd"},
		{[]string{"router"}, 2, "zone is missing"},
		{[]string{"router", "status", "127.0.0.1:1"}, 2, "127.0.0.1:1"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = append(os.Environ(), "PINELB_TEST_RUN=1", "PINELB_CONFIG="+bad)
			out, _ := cmd.CombinedOutput() // the status is looked at below
			if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.says) {
				t.Errorf("status %d and %q, want %d and %q", got, out, c.status, c.says)
			}
		})
	}
}
