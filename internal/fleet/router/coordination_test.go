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
	testPatience     = 15 * time.Second // for a call to be answered with the wanted status
)

// testCore is a core of routers on loopback addresses that serves applications.
type testCore struct {
	folder    string
	size      int
	contracts string
	cancels   []context.CancelFunc
	routers   []*Router
	tasks     sync.WaitGroup
	client    *http.Client
}

func newTestCore(folder string, size int) *testCore {
	return &testCore{
		folder: folder, size: size, contracts: "base,coord", cancels: make([]context.CancelFunc, size), routers: make([]*Router, size),
		client: &http.Client{Timeout: time.Second},
	}
}

func (c *testCore) ip(i int) string { return fmt.Sprintf("127.7.1.%d", i+1) }

func (c *testCore) settingsText(i int, bootstrap bool) string {
	var seeds []string
	for seed := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip(seed), testControlPort))
	}
	return fmt.Sprintf("nodeName=r%d\nip=%s\nzone=z%d\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\nbootstrap=%v\ncountsForQuorum=true\n"+
		"listen.control=%s:%d\nportRange=%d,%d\nseeds=%s\nfaultTolerance.machines=2\nbounds.graceS=1\ncontracts=%s\nbounds.historyS=20\ndataDir=%s\n",
		i, c.ip(i), i%3, bootstrap, c.ip(i), testControlPort, testInternalPort, testInternalPort, strings.Join(seeds, ","), c.contracts, c.directory(i))
}

func (c *testCore) directory(i int) string { return filepath.Join(c.folder, fmt.Sprint(i)) }

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

// kill ends a router as a crash would, unless it was killed before. It may still be ending.
func (c *testCore) kill(i int) {
	if c.routers[i] != nil {
		c.routers[i].Kill()
		c.routers[i] = nil
	}
}

// killAll ends all routers as a crash would.
func (c *testCore) killAll() {
	for i := range c.routers {
		c.kill(i)
	}
	c.tasks.Wait()
	for _, cancel := range c.cancels {
		cancel()
	}
}

// call calls a router, and the next ones where it does not answer clearly, until the answer has a status.
func (c *testCore) call(method, path, body string, wanted int) map[string]any {
	deadline := time.Now().Add(testPatience)
	last := ""
	for i := 0; time.Now().Before(deadline); i++ {
		status, answer, err := c.try(i%c.size, method, path, body)
		if err == nil && status == wanted {
			return answer
		}
		last = fmt.Sprint(status, answer, err)
		time.Sleep(50 * time.Millisecond)
	}
	So(fmt.Sprintf("%s %s: %s", method, path, last), ShouldEqual, fmt.Sprint("answered ", wanted))
	return nil
}

// coordinationStatus asks a router, as an operator would: its own fields are set while it starts. nil: it does not answer.
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

// awaitAcceptors waits until each router's acceptor takes part: so many may be lost again as are tolerated.
func (c *testCore) awaitAcceptors() {
	deadline := time.Now().Add(testPatience)
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
	So("all acceptors", ShouldEqual, "ready")
}

func (c *testCore) try(router int, method, path, body string) (status int, answer map[string]any, err error) {
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
	_ = json.Unmarshal(text, &answer) // an error's text is no JSON
	return response.StatusCode, answer, nil
}

// Guards against calls of applications that are answered 404.
func TestApplicationCallsAreAnswered(t *testing.T) {
	Convey("A core of five answers the calls of applications", t, func() {
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

// Guards against acknowledged calls of applications that are lost with two disks and all processes.
func TestAcknowledgedApplicationCallsOutliveDisks(t *testing.T) {
	Convey("A core of five of which two may be lost", t, func() {
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

// Guards against an operators' page that is wrong where more disks are lost than may be.
func TestRegistersBeginAnew(t *testing.T) {
	Convey("A core of five that has lost three disks is not sure of anything", t, func() {
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

		Convey("and serves again, without what it had, once all its disks are empty and it starts as at first", func() {
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

// Guards against an operators' page that is wrong on how the service is switched on.
func TestServiceIsSwitchedOn(t *testing.T) {
	Convey("A core of five that was started without the service has no acceptors", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.contracts = "base"
		core.startAll(true)
		Reset(core.killAll)
		core.call("POST", "/numbers/n1", `{}`, 404)
		core.killAll()
		core.contracts = "base,coord"
		core.startAll(false)
		core.call("POST", "/numbers/n1", `{}`, 504)

		Convey("and serves once its registers begin anew", func() {
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
