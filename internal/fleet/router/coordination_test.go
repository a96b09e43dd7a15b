package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/settings"
)

const (
	testControlPort  = 24101
	testInternalPort = 24102
	testCallTimeout  = 15 * time.Second // for a call to get the expected status
)

// testCore is a core of routers on loopback addresses that runs the coordination service.
type testCore struct {
	root      string
	size      int
	contracts string
	cancels   []context.CancelFunc
	routers   []*Router
	tasks     sync.WaitGroup
	client    *http.Client
}

// newTestCore returns a core of a number of routers that are not started, with data directories under root.
func newTestCore(root string, size int) *testCore {
	return &testCore{
		root: root, size: size, contracts: "base,coord", cancels: make([]context.CancelFunc, size), routers: make([]*Router, size),
		client: &http.Client{Timeout: time.Second},
	}
}

// ip returns the address of router i.
func (c *testCore) ip(i int) string { return fmt.Sprintf("127.7.1.%d", i+1) }

// settingsText returns the settings file of router i.
func (c *testCore) settingsText(i int, bootstrap bool) string {
	var seeds []string
	for seed := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip(seed), testControlPort))
	}
	return fmt.Sprintf("nodeName=r%d\nip=%s\nzone=z%d\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\nbootstrap=%v\ncountsForQuorum=true\n"+
		"listen.control=%s:%d\nportRange=%d,%d\nseeds=%s\nfaultTolerance.machines=2\nbounds.graceS=1\ncontracts=%s\nbounds.historyS=20\ndataDir=%s\n",
		i, c.ip(i), i%3, bootstrap, c.ip(i), testControlPort, testInternalPort, testInternalPort, strings.Join(seeds, ","), c.contracts, c.directory(i))
}

// directory returns the data directory of router i.
func (c *testCore) directory(i int) string { return filepath.Join(c.root, fmt.Sprint(i)) }

// start starts router i.
func (c *testCore) start(i int, bootstrap bool) {
	So(os.MkdirAll(c.directory(i), 0o750), ShouldBeNil)
	s, err := settings.Parse([]byte(c.settingsText(i, bootstrap)))
	So(err, ShouldBeNil)
	r := New(s, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	c.routers[i], c.cancels[i] = r, cancel
	c.tasks.Go(func() { _ = r.Run(ctx) })
}

func (c *testCore) startAll(bootstrap bool) {
	for i := range c.size {
		c.start(i, bootstrap)
	}
}

// kill simulates a crash of router i, unless it has already been killed. It does not wait until the router has stopped.
func (c *testCore) kill(i int) {
	if c.routers[i] != nil {
		c.routers[i].Kill()
		c.routers[i] = nil
	}
}

// killAll simulates a crash of all routers, and waits until they have stopped.
func (c *testCore) killAll() {
	for i := range c.routers {
		c.kill(i)
	}
	c.tasks.Wait()
	for _, cancel := range c.cancels {
		cancel()
	}
}

// call sends a request to the routers in turn until one replies with the wanted status, and returns the decoded reply. It fails the test
// after testCallTimeout.
func (c *testCore) call(method, path, body string, wanted int) map[string]any {
	deadline := time.Now().Add(testCallTimeout)
	last := ""
	for i := 0; time.Now().Before(deadline); i++ {
		status, answer, err := c.callOnce(i%c.size, method, path, body)
		if err == nil && status == wanted {
			return answer
		}
		last = fmt.Sprint(status, answer, err)
		time.Sleep(50 * time.Millisecond)
	}
	So(fmt.Sprintf("%s %s: %s", method, path, last), ShouldEqual, fmt.Sprint("answered ", wanted))
	return nil
}

// coordinationStatus requests the status of a router over HTTP: reading the router's fields would be a data race while it starts. It
// returns nil if the router does not reply.
func (c *testCore) coordinationStatus(i int) *coordinator.Status {
	response, err := c.client.Get(fmt.Sprintf("http://%s:%d%s", c.ip(i), testInternalPort, statusPath))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var status Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return nil
	}
	return status.Coordination
}

// awaitAcceptors waits until the acceptors of all routers are ready. Only then may the tolerated number of machines be lost again.
func (c *testCore) awaitAcceptors() {
	deadline := time.Now().Add(testCallTimeout)
	for time.Now().Before(deadline) {
		ready := 0
		for i := range c.routers {
			if status := c.coordinationStatus(i); status != nil && status.Ready && len(status.Acceptors) == c.size {
				ready++
			}
		}
		if ready == c.size {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	So("not all acceptors are ready", ShouldEqual, "all acceptors are ready")
}

// callOnce sends one request to a router.
func (c *testCore) callOnce(router int, method, path, body string) (status int, answer map[string]any, err error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.ip(router), testControlPort, path), bytes.NewBufferString(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	_ = json.Unmarshal(text, &answer) // error replies are not JSON
	return response.StatusCode, answer, nil
}

// Guards against a running coordination service whose calls get the status 404.
func TestApplicationCallsAreAnswered(t *testing.T) {
	Convey("A core of five routers serves calls of applications", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.startAll(true)
		Reset(core.killAll)

		So(core.call("POST", "/locks/l1/begin", `{"holder":"a","holdMs":60000}`, 200)["fence"], ShouldBeGreaterThan, 0)
		core.call("POST", "/locks/l1/begin", `{"holder":"b","holdMs":1000}`, 409)
		So(core.call("POST", "/numbers/n1", `{}`, 200)["value"], ShouldBeGreaterThan, 0)
		revision := core.call("POST", "/cells/g1.a/replace", `{"value":"v1","ifRevision":0}`, 200)["revision"].(float64)
		So(core.call("POST", "/cells/g1.a/replace", `{"value":"v1","ifRevision":0}`, 200)["revision"], ShouldEqual, revision)
		So(core.call("POST", "/cells/g1.a/replace", `{"value":"v2","ifRevision":0}`, 412)["revision"], ShouldEqual, revision)
		next := core.call("POST", "/cells/g1.b/replace", `{"value":"v3"}`, 200)["revision"].(float64)
		So(next, ShouldBeGreaterThan, revision)
	})
}

// Guards against the loss of acknowledged calls of applications when all processes crash and two of five disks are lost.
func TestAcknowledgedApplicationCallsOutliveDisks(t *testing.T) {
	Convey("A core of five routers that tolerates the loss of two keeps acknowledged calls", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.startAll(true)
		Reset(core.killAll)

		fence := core.call("POST", "/locks/l1/begin", `{"holder":"a","holdMs":60000}`, 200)["fence"].(float64)
		number := core.call("POST", "/numbers/n1", `{}`, 200)["value"].(float64)
		revision := core.call("POST", "/cells/g1.a/replace", `{"value":"v1","ifRevision":0}`, 200)["revision"].(float64)
		next := core.call("POST", "/cells/g1.b/replace", `{"value":"v3"}`, 200)["revision"].(float64)

		for wiped := range 3 {
			core.awaitAcceptors()
			core.killAll()
			for _, i := range []int{wiped, wiped + 1} {
				So(os.RemoveAll(core.directory(i)), ShouldBeNil)
			}
			core.startAll(false)

			So(core.call("GET", "/cells/g1.a/read", "", 200)["revision"], ShouldEqual, revision)
			So(core.call("GET", "/cells/g1.b/read", "", 200)["value"], ShouldEqual, "v3")
			core.call("POST", "/locks/l1/begin", `{"holder":"b","holdMs":1000}`, 409)
			nextNumber := core.call("POST", "/numbers/n1", `{}`, 200)["value"].(float64)
			So(nextNumber, ShouldBeGreaterThan, number)
			number = nextNumber
			nextFence := core.call("POST", "/locks/l1/begin", `{"holder":"a","holdMs":60000}`, 200)["fence"].(float64)
			So(nextFence, ShouldBeGreaterThan, fence)
			fence = nextFence
			answer := core.call("GET", fmt.Sprintf("/watch/g1.?sinceRevision=%d&waitMs=100", int(revision)), "", 200)
			So(answer["events"], ShouldHaveLength, 1)
			So(answer["revision"], ShouldEqual, next)
		}
	})
}

// Guards against a recovery procedure in the operators' manual that does not work after the loss of more disks than tolerated.
func TestRegistersBeginAnew(t *testing.T) {
	Convey("A core of five routers that has lost three disks can't confirm the state of any cell", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.startAll(true)
		Reset(core.killAll)
		core.call("POST", "/cells/g1.a/replace", `{"value":"v1"}`, 200)
		core.awaitAcceptors()
		core.killAll()
		for i := range 3 {
			So(os.RemoveAll(core.directory(i)), ShouldBeNil)
		}
		core.startAll(false)
		core.call("GET", "/cells/g1.a/read", "", 504)

		Convey("and serves again, with empty state, after all disks have been wiped and it has been bootstrapped again", func() {
			core.killAll()
			for i := range core.size {
				So(os.RemoveAll(core.directory(i)), ShouldBeNil)
			}
			core.startAll(true)
			core.call("GET", "/cells/g1.a/read", "", 404)
			core.awaitAcceptors()
		})
	})
}

// Guards against a procedure in the operators' manual that does not enable the service in a running fleet.
func TestServiceIsSwitchedOn(t *testing.T) {
	Convey("A core of five routers that was bootstrapped without the service has no acceptors", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.contracts = "base"
		core.startAll(true)
		Reset(core.killAll)
		core.call("POST", "/numbers/n1", `{}`, 404)
		core.killAll()
		core.contracts = "base,coord"
		core.startAll(false)
		core.call("POST", "/numbers/n1", `{}`, 504)

		Convey("and serves after its registers have been wiped and bootstrapped", func() {
			core.killAll()
			for i := range core.size {
				So(os.RemoveAll(filepath.Join(core.directory(i), "registers")), ShouldBeNil)
			}
			core.startAll(true)
			core.call("POST", "/numbers/n1", `{}`, 200)
			core.awaitAcceptors()
		})
	})
}
