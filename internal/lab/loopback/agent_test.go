package loopback

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// memberList is a response of discovery as a sidecar reads it.
type memberList struct {
	Revision int64
	Complete bool
	Members  []struct {
		ID       string
		HostPort string `json:"host_port"`
		Phase    string
		UpSince  int64 `json:"up_since_ms"`
	}
}

// text is the entries in short.
func (m memberList) text() string {
	out := ""
	for _, e := range m.Members {
		out += fmt.Sprintf("%s %s %d;", e.ID, e.Phase, e.UpSince)
	}
	return fmt.Sprint(m.Complete, " ", out)
}

// newAgents are the agents of a fleet, over a tier of two endpoints that nobody runs.
func newAgents(t testing.TB, sidecars int, more string) *run {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := scenario.Parse("agents.toml", []byte(fixtureClasses+oneTier+more))
	if err != nil {
		t.Fatal(err)
	}
	s.Fleet.Sidecars = sidecars
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := &run{plan: p, recorder: &recorder{}}
	if r.addresses, err = newAddresses(); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	r.startTime.Store(&now)
	for i := range sidecars {
		a, err := newAgent(r, i, r.addresses.agent(i, 0))
		if err != nil {
			t.Fatal(err)
		}
		r.agents = append(r.agents, a)
	}
	t.Cleanup(func() {
		for _, a := range r.agents {
			a.close()
		}
		r.addresses.close()
		goleak.VerifyNone(t, leaks)
	})
	return r
}

// poller is a sidecar's connection to its agent.
type poller struct {
	t      testing.TB
	addr   string
	client http.Client
}

func newPoller(t testing.TB, addr string) *poller {
	a := &poller{t: t, addr: addr, client: http.Client{Timeout: testTimeout, Transport: &http.Transport{}}}
	t.Cleanup(a.client.CloseIdleConnections)
	return a
}

func (a *poller) tryPoll(query string) (m memberList, err error) {
	res, err := a.client.Get("http://" + a.addr + "/catalog/members" + query)
	if err != nil {
		return m, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return m, fmt.Errorf("status %d", res.StatusCode)
	}
	return m, json.NewDecoder(res.Body).Decode(&m)
}

func (a *poller) poll(query string) memberList {
	a.t.Helper()
	m, err := a.tryPoll(query)
	if err != nil {
		a.t.Fatal(err)
	}
	return m
}

// watch starts a long poll and returns its response.
func (a *poller) watch(since int64) <-chan memberList {
	out := make(chan memberList, 1)
	go func() {
		defer close(out)
		if m, err := a.tryPoll("?timeout_ms=20000&since=" + strconv.FormatInt(since, 10)); err == nil {
			out <- m
		}
	}()
	return out
}

// notifications are those recorded since the last call, once there are n: a response arrives a moment before they are recorded.
func (r *run) notifications(t *testing.T, n int) string {
	t.Helper()
	out := ""
	await(t, fmt.Sprintf("%d entries are noted", n), func() bool {
		r.recorder.mu.Lock()
		defer r.recorder.mu.Unlock()
		for _, notification := range r.recorder.log.Notifications {
			out += fmt.Sprintf("%d:%d %v;", notification.Sidecar, notification.Endpoint, notification.Phase)
			n--
		}
		r.recorder.log.Notifications = nil
		return n <= 0
	})
	return out
}

func TestAgentSendsChanges(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newPoller(t, r.addresses.agent(0, 0))
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, expected %s", what, got, want)
		}
	}
	first := a.poll("")
	check("the list", first.text(), "true t-1 Ready 0;t-2 Ready 0;")
	if first.Members[1].HostPort != r.addresses.endpoint(1) {
		t.Errorf("t-2 is said to be at %s", first.Members[1].HostPort)
	}
	check("heard", r.notifications(t, 2), "0:0 Ready;0:1 Ready;")

	m := a.poll("?since=1&timeout_ms=10")
	check("nothing new", m.text(), "false ")
	r.agents[0].update(plan.ListEntry{Endpoint: 1, Phase: trace.PhaseTerminating})
	r.agents[0].update(plan.ListEntry{Endpoint: 0, Phase: trace.PhaseReady, StartedAt: time.Second})
	m = a.poll("?timeout_ms=20000&since=" + strconv.FormatInt(m.Revision, 10))
	up := r.startOrNow().Add(time.Second).UnixMilli()
	check("what came in between", m.text(), fmt.Sprintf("false t-1 Ready %d;t-2 Terminating 0;", up))
	next := a.watch(m.Revision)
	r.agents[0].update(plan.ListEntry{Endpoint: 1, Phase: trace.PhaseGone})
	m = <-next
	check("while it waits", m.text(), "false t-2 Gone 0;")
	for _, unknown := range []string{"999", "0", "-1"} {
		m = a.poll("?timeout_ms=20000&since=" + unknown)
		check("revision "+unknown, m.text(), fmt.Sprintf("true t-1 Ready %d;", up))
	}
	if _, err := a.tryPoll("?since=x"); err == nil {
		t.Error("a revision that is no number is taken")
	}
	check("heard", r.notifications(t, 3), "0:0 Ready;0:1 Terminating;0:1 Gone;")
}

// TestAgentSendsCompleteLists checks that, where every change sends the complete list, what is missing from it is recorded as gone, once.
func TestAgentSendsCompleteLists(t *testing.T) {
	r := newAgents(t, 1, "[discovery]\nwhole = true\n")
	a := newPoller(t, r.addresses.agent(0, 0))
	m := a.poll("")
	for range 2 {
		next := a.watch(m.Revision)
		r.agents[0].update(plan.ListEntry{Endpoint: 0, Phase: trace.PhaseGone})
		m = <-next
		if got := m.text(); got != "true t-2 Ready 0;" {
			t.Errorf("the list is %s", got)
		}
	}
	a.poll("") // as a sidecar that starts anew
	if got, want := r.notifications(t, 4), "0:0 Ready;0:1 Ready;0:0 Gone;0:1 Ready;"; got != want {
		t.Errorf("heard %s, expected %s", got, want)
	}
}

func TestAgentUnresponsive(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newPoller(t, r.addresses.agent(0, 0))
	revision := a.poll("").Revision
	waits := a.watch(revision)
	r.agents[0].setUnresponsive(true)
	r.agents[0].update(plan.ListEntry{Endpoint: 0, Phase: trace.PhaseGone})
	late := newPoller(t, r.addresses.agent(0, 0))
	late.client.Timeout = 100 * time.Millisecond
	for _, query := range []string{"", "?since=1&timeout_ms=1"} {
		if m, err := late.tryPoll(query); err == nil {
			t.Errorf("%q is answered: %s", query, m.text())
		}
	}
	select {
	case m := <-waits:
		t.Errorf("the call that waits is answered: %s", m.text())
	default:
	}
	r.agents[0].setUnresponsive(false)
	if m := <-waits; m.text() != "false t-1 Gone 0;" {
		t.Errorf("afterwards it is answered %s", m.text())
	}
}

func TestAgentMovesAddress(t *testing.T) {
	r := newAgents(t, 1, "")
	old := newPoller(t, r.addresses.agent(0, 0))
	revision := old.poll("").Revision
	if err := r.agents[0].moveTo(r.addresses.agent(0, 1)); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", r.addresses.agent(0, 0), testTimeout); !isRefused(err) {
		t.Errorf("the old address still takes connections: %v %v", c, err)
	}
	waits := old.watch(revision) // on the connection that it has
	if got := newPoller(t, r.addresses.agent(0, 1)).poll("").text(); got != "true t-1 Ready 0;t-2 Ready 0;" {
		t.Errorf("the new one says %s", got)
	}
	if m, answered := <-waits; answered {
		t.Errorf("the old one says %s", m.text())
	}
	if err := r.agents[0].moveTo(r.addresses.agent(0, 1)); err == nil {
		t.Error("it moves to an address that is taken")
	}
}

// BenchmarkAgents measures what 200 agents cost with a long poll waiting at each, and how long a change takes.
func BenchmarkAgents(b *testing.B) {
	const agents = 200
	before := runtime.NumGoroutine()
	r := newAgents(b, agents, "")
	all := make([]*poller, agents)
	for i := range all {
		all[i] = newPoller(b, r.addresses.agent(i, 0))
		all[i].poll("")
	}
	revision := int64(1)
	for b.Loop() {
		var told sync.WaitGroup
		for _, a := range all {
			waits := a.watch(revision)
			told.Go(func() { <-waits })
		}
		for _, a := range r.agents {
			a.update(plan.ListEntry{Endpoint: 0, Phase: trace.PhaseReady})
		}
		told.Wait()
		revision++
	}
	b.ReportMetric(float64(runtime.NumGoroutine()-before)/agents, "goroutines/agent,client")
}
