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

// members is an answer of discovery's as a sidecar reads it.
type members struct {
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
func (m members) text() string {
	out := ""
	for _, e := range m.Members {
		out += fmt.Sprintf("%s %s %d;", e.ID, e.Phase, e.UpSince)
	}
	return fmt.Sprint(m.Complete, " ", out)
}

// newAgents are those of a fleet, over a tier of two boxes that nobody plays.
func newAgents(t testing.TB, sidecars int, more string) *run {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := scenario.Parse("agents.toml", []byte(standClasses+oneTier+more))
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

// asks is a sidecar's connection to its agent.
type asks struct {
	t      testing.TB
	addr   string
	client http.Client
}

func newAsks(t testing.TB, addr string) *asks {
	a := &asks{t: t, addr: addr, client: http.Client{Timeout: ample, Transport: &http.Transport{}}}
	t.Cleanup(a.client.CloseIdleConnections)
	return a
}

func (a *asks) try(query string) (m members, err error) {
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

func (a *asks) get(query string) members {
	a.t.Helper()
	m, err := a.try(query)
	if err != nil {
		a.t.Fatal(err)
	}
	return m
}

// watch is a call that waits, under way.
func (a *asks) watch(since int64) <-chan members {
	out := make(chan members, 1)
	go func() {
		defer close(out)
		if m, err := a.try("?timeout_ms=20000&since=" + strconv.FormatInt(since, 10)); err == nil {
			out <- m
		}
	}()
	return out
}

// heard is what has been noted as told since the last time, once that is n entries: an answer is there a moment
// before it is noted.
func (r *run) heard(t *testing.T, n int) string {
	t.Helper()
	out := ""
	await(t, fmt.Sprintf("%d entries are noted", n), func() bool {
		r.recorder.mu.Lock()
		defer r.recorder.mu.Unlock()
		for _, told := range r.recorder.log.Notifications {
			out += fmt.Sprintf("%d:%d %v;", told.Sidecar, told.Endpoint, told.Phase)
			n--
		}
		r.recorder.log.Notifications = nil
		return n <= 0
	})
	return out
}

func TestAgentTells(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newAsks(t, r.addresses.agent(0, 0))
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, expected %s", what, got, want)
		}
	}
	first := a.get("")
	check("the list", first.text(), "true t-1 Ready 0;t-2 Ready 0;")
	if first.Members[1].HostPort != r.addresses.endpoint(1) {
		t.Errorf("t-2 is said to be at %s", first.Members[1].HostPort)
	}
	check("heard", r.heard(t, 2), "0:0 Ready;0:1 Ready;")

	m := a.get("?since=1&timeout_ms=10")
	check("nothing new", m.text(), "false ")
	r.agents[0].update(plan.Listed{Box: 1, Phase: trace.PhaseTerminating})
	r.agents[0].update(plan.Listed{Box: 0, Phase: trace.PhaseReady, UpSince: time.Second})
	m = a.get("?timeout_ms=20000&since=" + strconv.FormatInt(m.Revision, 10))
	up := r.startOrNow().Add(time.Second).UnixMilli()
	check("what came in between", m.text(), fmt.Sprintf("false t-1 Ready %d;t-2 Terminating 0;", up))
	next := a.watch(m.Revision)
	r.agents[0].update(plan.Listed{Box: 1, Phase: trace.PhaseGone})
	m = <-next
	check("while it waits", m.text(), "false t-2 Gone 0;")
	for _, unknown := range []string{"999", "0", "-1"} {
		m = a.get("?timeout_ms=20000&since=" + unknown)
		check("revision "+unknown, m.text(), fmt.Sprintf("true t-1 Ready %d;", up))
	}
	if _, err := a.try("?since=x"); err == nil {
		t.Error("a revision that is no number is taken")
	}
	check("heard", r.heard(t, 3), "0:0 Ready;0:1 Terminating;0:1 Gone;")
}

// Where every change brings the whole list, what is missing from it is heard as gone, once.
func TestAgentTellsTheWholeList(t *testing.T) {
	r := newAgents(t, 1, "[discovery]\nwhole = true\n")
	a := newAsks(t, r.addresses.agent(0, 0))
	m := a.get("")
	for range 2 {
		next := a.watch(m.Revision)
		r.agents[0].update(plan.Listed{Box: 0, Phase: trace.PhaseGone})
		m = <-next
		if got := m.text(); got != "true t-2 Ready 0;" {
			t.Errorf("the list is %s", got)
		}
	}
	a.get("") // as a sidecar that starts anew
	if got, want := r.heard(t, 4), "0:0 Ready;0:1 Ready;0:0 Gone;0:1 Ready;"; got != want {
		t.Errorf("heard %s, expected %s", got, want)
	}
}

func TestAgentIsSilent(t *testing.T) {
	r := newAgents(t, 1, "")
	a := newAsks(t, r.addresses.agent(0, 0))
	revision := a.get("").Revision
	waits := a.watch(revision)
	r.agents[0].setUnresponsive(true)
	r.agents[0].update(plan.Listed{Box: 0, Phase: trace.PhaseGone})
	late := newAsks(t, r.addresses.agent(0, 0))
	late.client.Timeout = 100 * time.Millisecond
	for _, query := range []string{"", "?since=1&timeout_ms=1"} {
		if m, err := late.try(query); err == nil {
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

func TestAgentMoves(t *testing.T) {
	r := newAgents(t, 1, "")
	old := newAsks(t, r.addresses.agent(0, 0))
	revision := old.get("").Revision
	if err := r.agents[0].moveTo(r.addresses.agent(0, 1)); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", r.addresses.agent(0, 0), ample); !refused(err) {
		t.Errorf("the old address still takes connections: %v %v", c, err)
	}
	waits := old.watch(revision) // on the connection that it has
	if got := newAsks(t, r.addresses.agent(0, 1)).get("").text(); got != "true t-1 Ready 0;t-2 Ready 0;" {
		t.Errorf("the new one says %s", got)
	}
	if m, answered := <-waits; answered {
		t.Errorf("the old one says %s", m.text())
	}
	if err := r.agents[0].moveTo(r.addresses.agent(0, 1)); err == nil {
		t.Error("it moves to an address that is taken")
	}
}

// Many agents cost little: what 200 of them take with a call waiting at each, and how long a change needs.
func BenchmarkAgents(b *testing.B) {
	const agents = 200
	before := runtime.NumGoroutine()
	r := newAgents(b, agents, "")
	all := make([]*asks, agents)
	for i := range all {
		all[i] = newAsks(b, r.addresses.agent(i, 0))
		all[i].get("")
	}
	revision := int64(1)
	for b.Loop() {
		var told sync.WaitGroup
		for _, a := range all {
			waits := a.watch(revision)
			told.Go(func() { <-waits })
		}
		for _, a := range r.agents {
			a.update(plan.Listed{Box: 0, Phase: trace.PhaseReady})
		}
		told.Wait()
		revision++
	}
	b.ReportMetric(float64(runtime.NumGoroutine()-before)/agents, "goroutines/agent,client")
}
