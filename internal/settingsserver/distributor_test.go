package settingsserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// contents are settings that a sidecar could start with, told apart by n and filled up to size bytes.
func testSettings(n, size int) string {
	text := fmt.Sprintf(`{"n_instances":3,"n":%d,"classes":[{"name":"a","aim":90000000,"deadline":400000000,"idempotency":"non_idempotent","worth":0.5}],`+
		`"allowed":{"connect_timeout":40000000,"most_held":50,"send_cap":1},"rules":{"cold_share":1,"tip_multiple":1.5,"fall":300000000},"fill":"`, n)
	return text + strings.Repeat("x", max(0, size-len(text)-2)) + `"}`
}

// testDistributor is a distributor on loopback sockets.
type testDistributor struct {
	t           *testing.T
	d           *Distributor
	name        string
	dir         string
	followAddr  string // where sidecars and peers send requests
	controlAddr string // where operators do
	end         func() // as SIGTERM does, and waits
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startDistributor starts a distributor in a directory, which polls peers at those addresses.
func startDistributor(t *testing.T, name, dir string, disk persistence.Disk, peers ...string) *testDistributor {
	t.Helper()
	return startDistributorAt(t, listen(t), name, dir, disk, peers...)
}

func startDistributorAt(t *testing.T, sidecars net.Listener, name, dir string, disk persistence.Disk, peers ...string) *testDistributor {
	t.Helper()
	if disk == nil {
		disk = persistence.Dir(dir)
	}
	d, err := New(Config{Name: name, Region: "r", Peers: peers}, disk, zerolog.New(zerolog.NewTestWriter(t)))
	if err != nil {
		t.Fatal(err)
	}
	operators := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx, sidecars, operators) }()
	r := &testDistributor{t, d, name, dir, sidecars.Addr().String(), operators.Addr().String(), sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})}
	t.Cleanup(r.end)
	return r
}

// call makes one call on a connection of its own.
func call(t *testing.T, method, addr, target, body string) (status int, head http.Header, answer string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, res.Header, string(text)
}

// operate makes an operator's call that publishes, or rolls back where there are no contents.
func (r *testDistributor) operate(service, settings string) version.Edition {
	r.t.Helper()
	path := settingsPath
	if settings == "" {
		path = rollBackPath
	}
	status, _, text := call(r.t, "POST", r.controlAddr, path+"?service="+service, settings)
	var out PublishResult
	if err := json.Unmarshal([]byte(text), &out); status != 200 || err != nil || out.Service != service || out.Distributor != r.name {
		r.t.Fatalf("%s at %s: %d %q, %v", path, r.name, status, text, err)
	}
	return out.Edition
}

// testSidecar polls as a sidecar does, and fails the test when it is sent an older edition.
type testSidecar struct {
	t    *testing.T
	name string
	have settingsstore.State
}

// poll makes one request, and reports whether there was something newer.
func (r *testSidecar) poll(addr string, wait time.Duration) bool {
	r.t.Helper()
	q := settingsstore.Request{Service: "s", Since: r.have.Edition, Wait: wait, Name: r.name}
	status, _, text := call(r.t, "GET", addr, q.Target(), "")
	if status == http.StatusNoContent {
		return false
	}
	got, err := settingsstore.Parse([]byte(text))
	if status != 200 || err != nil || got.Compare(r.have.Edition) <= 0 {
		r.t.Errorf("%s at %s is told %d %.200q, %v", r.name, r.have.Edition, status, text, err)
		return false
	}
	r.have = got
	return true
}

// follow polls until it has that edition.
func (r *testSidecar) follow(addr string, e version.Edition) {
	r.t.Helper()
	for r.have.Compare(e) < 0 {
		if !r.poll(addr, settingsstore.MaxWait) {
			r.t.Errorf("%s at %s is not told %s", r.name, r.have.Edition, e)
			return
		}
	}
}

// until watches the distributor as another one does, until what it holds of the service is as it should be.
func (r *testDistributor) until(what string, is func(*settingsstore.Record) bool) *settingsstore.Record {
	r.t.Helper()
	q := settingsstore.PeerRequest{Name: "test", Wait: settingsstore.Millis(settingsstore.MaxWait.Milliseconds())}
	for {
		r.d.mu.Lock()
		current := r.d.store.Record("s")
		r.d.mu.Unlock()
		if current != nil && is(current) {
			return current
		}
		status, _, text := call(r.t, "GET", r.followAddr, q.Target(), "")
		update, err := settingsstore.ParseUpdate([]byte(text))
		if status != 200 || err != nil {
			r.t.Fatalf("%s never %s: %d, %v", r.name, what, status, err)
		}
		q.Incarnation, q.Since = update.Incarnation, update.Sequence
	}
}

func (r *testDistributor) has(e version.Edition) {
	r.t.Helper()
	r.until("has "+e.String(), func(current *settingsstore.Record) bool { return current.Edition == e })
}

// link is the way to a distributor, which can be cut and stalled.
type testLink struct {
	net.Listener
	to string

	mu    sync.Mutex
	state string // "", "cut", or "stalled": bytes are not passed on
	again *sync.Cond
	open  map[net.Conn]bool
	all   sync.WaitGroup
}

func newTestLink(t *testing.T) *testLink {
	l := &testLink{Listener: listen(t), open: map[net.Conn]bool{}}
	l.again = sync.NewCond(&l.mu)
	l.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			l.all.Go(func() { l.carry(c) })
		}
	})
	t.Cleanup(func() {
		l.set("cut")
		_ = l.Close()
		l.all.Wait()
	})
	return l
}

func (l *testLink) addr() string { return l.Listener.Addr().String() }

// set cuts, stalls or mends the link.
func (l *testLink) set(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	l.again.Broadcast()
	for c := range l.open {
		if state == "cut" {
			_ = c.Close()
		}
	}
}

// leads has the link lead to an address.
func (l *testLink) leads(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

// hold takes a connection in; false where the link is cut.
func (l *testLink) hold(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == "cut" {
		_ = c.Close()
		return false
	}
	l.open[c] = true
	return true
}

func (l *testLink) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}

func (l *testLink) carry(from net.Conn) {
	if !l.hold(from) {
		return
	}
	defer l.drop(from)
	l.mu.Lock()
	addr := l.to
	l.mu.Unlock()
	to, err := net.Dial("tcp", addr)
	if err != nil || !l.hold(to) {
		return
	}
	defer l.drop(to)
	back := make(chan struct{})
	go func() {
		defer close(back)
		l.pass(from, to)
	}()
	l.pass(to, from)
	<-back
}

// pass passes bytes on as long as the link carries.
func (l *testLink) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		for l.state == "stalled" {
			l.again.Wait()
		}
		l.mu.Unlock()
		if _, failed := to.Write(buf[:n]); err != nil || failed != nil {
			return
		}
	}
}

// Guards against regions that don't come to one state after they were apart with changes on both sides, against a loser that is
// not named at both, and against sidecars that go back to an older state, or miss what was published on their side meanwhile.
func TestPartitionAndHeal(t *testing.T) {
	east, west := newTestLink(t), newTestLink(t)
	a := startDistributor(t, "a", t.TempDir(), nil, west.addr())
	b := startDistributor(t, "b", t.TempDir(), nil, east.addr())
	east.leads(a.followAddr)
	west.leads(b.followAddr)
	a.begun()
	b.begun()
	before := a.operate("s", testSettings(0, 0))
	b.has(before)

	east.set("cut")
	west.set("cut")
	readers := []*testSidecar{{t: t, name: "at a"}, {t: t, name: "at b"}}
	atA := a.operate("s", testSettings(1, 0))
	b.operate("s", testSettings(2, 0))
	atB := b.operate("s", testSettings(3, 0))
	readers[0].follow(a.followAddr, atA)
	readers[1].follow(b.followAddr, atB)
	if readers[0].have.Edition != atA || readers[1].have.Edition != atB {
		t.Fatalf("apart, readers have %s and %s", readers[0].have.Edition, readers[1].have.Edition)
	}

	east.set("")
	west.set("")
	for _, r := range []*testDistributor{a, b} {
		current := r.until("names the loser", func(current *settingsstore.Record) bool { return current.Overruled != nil })
		if current.Edition != atB || current.Overruled.Edition != atA || string(current.Overruled.Settings) != testSettings(1, 0) {
			t.Errorf("%s holds %s and names %s; of %s and %s the second wins", r.name, current.Edition, current.Overruled.Edition, atA, atB)
		}
		_, _, text := call(t, "GET", r.controlAddr, settingsPath+"?service=s", "")
		var status settingsstore.Status
		if err := json.Unmarshal([]byte(text), &status); err != nil || status.Overruled == nil || status.Overruled.Edition != atA {
			t.Errorf("%s: status %s, %v", r.name, text, err)
		}
	}
	readers[0].follow(a.followAddr, atB)
	readers[1].follow(a.followAddr, atB)
	// PublishResult anew, nothing is named any more, and rolling back is the same at both.
	after := a.operate("s", testSettings(4, 0))
	b.until("names nobody", func(current *settingsstore.Record) bool { return current.Edition == after && current.Overruled == nil })
	back := b.operate("s", "")
	a.has(back)
	readers[1].follow(a.followAddr, back)
	if string(readers[1].have.Settings) != testSettings(3, 0) {
		t.Errorf("rolled back to %s", readers[1].have.Settings)
	}
}

// testMesh is some distributors that all poll all, each reached by the others over a link of its own.
type testMesh struct {
	t     *testing.T
	links []*testLink
	all   []*testDistributor
}

// newTestMesh starts so many distributors, whose links are cut yet.
func newTestMesh(t *testing.T, n int) *testMesh {
	m := &testMesh{t: t}
	for range n {
		m.links = append(m.links, newTestLink(t))
	}
	m.set("cut")
	for i := range m.links {
		m.all = append(m.all, m.begin(i, t.TempDir()))
	}
	return m
}

// begin starts one, in a directory.
func (m *testMesh) begin(i int, dir string) *testDistributor {
	m.t.Helper()
	var peers []string
	for other, l := range m.links {
		if other != i {
			peers = append(peers, l.addr())
		}
	}
	r := startDistributor(m.t, fmt.Sprint("d", i), dir, nil, peers...)
	m.links[i].leads(r.followAddr)
	return r
}

func (m *testMesh) set(state string) {
	for _, l := range m.links {
		l.set(state)
	}
}

// Guards against a change that the loss of two of five distributors holds up, for sidecars that were at one of those too, and
// against the two bringing back what they had.
func TestTwoOfFiveLost(t *testing.T) {
	m := newTestMesh(t, 5)
	m.set("")
	for _, r := range m.all {
		r.begun()
	}
	first := m.all[0].operate("s", testSettings(0, 0))
	sidecar := &testSidecar{t: t, name: "n"}
	sidecar.follow(m.all[3].followAddr, first)
	for _, r := range m.all {
		r.has(first)
	}
	for _, i := range []int{3, 4} {
		m.links[i].set("cut")
		m.all[i].end()
	}
	second := m.all[1].operate("s", testSettings(1, 0))
	for _, r := range m.all[:3] {
		r.has(second)
	}
	sidecar.follow(m.all[0].followAddr, second)
	for _, i := range []int{3, 4} {
		back := m.begin(i, m.all[i].dir)
		if sidecar.poll(back.followAddr, 0) {
			t.Errorf("back with its old state it tells a sidecar %s", sidecar.have.Edition)
		}
		m.links[i].set("")
		back.has(second)
	}
	if last := m.all[2].operate("s", testSettings(2, 0)); last.Compare(second) <= 0 || m.all[0].until("has the last", func(current *settingsstore.Record) bool { return current.Edition == last }).Overruled != nil {
		t.Errorf("%s after %s", last, second)
	}
}

// Guards against a change that waits for a distributor that is dead or silent, and against one that comes back with less than the
// others hold, or answers before it knows better.
func TestDeadSlowAndDisklessPeer(t *testing.T) {
	m := newTestMesh(t, 3)
	links, all := m.links, m.all
	// All are new, and wait for each other's word.
	if status, _, text := call(t, "POST", all[0].controlAddr, settingsPath+"?service=s", testSettings(0, 0)); status != http.StatusServiceUnavailable {
		t.Fatalf("publishing before anybody was reached: %d %s", status, text)
	}
	for _, l := range links {
		l.set("")
	}
	for _, r := range all {
		r.begun()
	}
	first := all[0].operate("s", testSettings(0, 0))
	all[2].has(first)

	links[2].set("stalled") // slow, and not dead
	second := all[0].operate("s", testSettings(1, 0))
	all[1].has(second)
	links[2].set("cut") // dead
	third := all[1].operate("s", testSettings(2, 0))
	all[0].has(third)

	all[2].end()
	for _, l := range links {
		l.set("cut")
	}
	lost := m.begin(2, t.TempDir())
	reader := &testSidecar{t: t, name: "n"}
	q := settingsstore.Request{Service: "s", Wait: time.Second}
	if status, head, _ := call(t, "GET", lost.followAddr, q.Target(), ""); status != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
		t.Errorf("without its disk, and alone, it answers %d", status)
	}
	for _, target := range []string{settingsPath, rollBackPath} {
		if status, _, _ := call(t, "POST", lost.controlAddr, target+"?service=s", testSettings(9, 0)); status != http.StatusServiceUnavailable {
			t.Errorf("without its disk, and alone, %s is answered %d", target, status)
		}
	}
	if status, _, _ := call(t, "GET", lost.controlAddr, healthPath, ""); status != http.StatusServiceUnavailable {
		t.Errorf("without its disk, and alone, it is well: %d", status)
	}
	links[0].set("")
	lost.has(third)
	lost.begun()
	reader.follow(lost.followAddr, third)
	if next := lost.operate("s", testSettings(3, 0)); next.Compare(third) <= 0 {
		t.Errorf("published as %s after %s", next, third)
	}
	if status, _, _ := call(t, "GET", lost.controlAddr, healthPath, ""); status != http.StatusOK {
		t.Errorf("it is not well: %d", status)
	}
}

// begun waits until the distributor is starting no more.
func (r *testDistributor) begun() {
	r.t.Helper()
	q := settingsstore.PeerRequest{Name: "test", Wait: 0}
	for status := 0; status != http.StatusNoContent; {
		var text string
		status, _, text = call(r.t, "GET", r.followAddr, q.Target(), "")
		if update, err := settingsstore.ParseUpdate([]byte(text)); err == nil {
			q.Incarnation, q.Since = update.Incarnation, update.Sequence
		}
	}
}

// Guards against a queue: of 1,000 changes in a row readers see some, in order and the last one; who reads nothing meanwhile is
// told one that it asked for and then the last, another distributor has the last one too, and none of this is held.
func TestBurst(t *testing.T) {
	const many, size, pollers = 1000, 4 << 10, 3
	a := startDistributor(t, "a", t.TempDir(), newMemoryDisk())
	b := startDistributor(t, "b", t.TempDir(), newMemoryDisk(), a.followAddr)
	b.begun()
	a.operate("s", testSettings(0, size))
	slow, err := net.Dial("tcp", a.followAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	q := settingsstore.Request{Service: "s", Name: "slow", Wait: settingsstore.MaxWait}
	fmt.Fprintf(slow, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", q.Target()) // is answered at once, and not read

	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	last := version.Edition{Epoch: many + 1, By: "a"}
	var all sync.WaitGroup
	var received atomic.Int64
	for i := range pollers {
		all.Go(func() {
			r := &testSidecar{t: t, name: fmt.Sprint("n", i)}
			for r.have.Edition != last && r.poll(a.followAddr, settingsstore.MaxWait) {
				received.Add(1)
			}
			if r.have.Edition != last {
				t.Errorf("a reader stays at %s", r.have.Edition)
			}
		})
	}
	for i := range many {
		if _, err := a.d.publish(func() (*settingsstore.Record, error) { return a.d.store.Next("s", []byte(testSettings(i+1, size))) }); err != nil {
			t.Fatal(err)
		}
	}
	all.Wait()
	b.has(last)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > many*size/2 {
		t.Errorf("%d bytes are held after %d changes of %d bytes", grown, many, size)
	}
	t.Logf("%d readers were told %d states of %d changes", pollers, received.Load(), many)
	in := bufio.NewReader(slow)
	for n, have := 1, (version.Edition{}); have != last; n++ {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		state, bad := settingsstore.Parse(text)
		if err != nil || bad != nil || n > 2 {
			t.Fatalf("answer %d to a slow reader: %v, %v", n, err, bad)
		}
		have, q.Since = state.Edition, state.Edition
		if n == 1 {
			fmt.Fprintf(slow, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", q.Target())
		}
	}
	b.end()
	a.end()
	if sidecars, peers := a.d.store.Watches(); sidecars != 0 || peers != 0 {
		t.Errorf("%d and %d watches are left", sidecars, peers)
	}
}

// awaitWatches waits until so many sidecars' watches are open.
func (r *testDistributor) awaitWatches(want int) {
	for open := -1; open != want; {
		runtime.Gosched()
		r.d.mu.Lock()
		open, _ = r.d.store.Watches()
		r.d.mu.Unlock()
	}
}

// Guards against a watch beyond the bound that waits all the same, and against watches that are left open by those who are gone, or at the distributor's end.
func TestWatchLimits(t *testing.T) {
	a := startDistributor(t, "a", t.TempDir(), nil)
	q := settingsstore.Request{Service: "s", Wait: settingsstore.MaxWait}
	answered := make(chan int, 1)
	go func() {
		res, err := http.Get("http://" + a.followAddr + q.Target())
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		defer res.Body.Close()
		answered <- res.StatusCode
	}()
	a.awaitWatches(1)
	left, err := net.Dial("tcp", a.followAddr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(left, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", q.Target())
	a.awaitWatches(2)
	_ = left.Close() // whoever leaves holds none
	a.awaitWatches(1)
	a.d.mu.Lock()
	for range settingsstore.MaxWatches - 1 {
		if _, id, err := a.d.store.Poll(0, q); id == 0 || err != nil {
			t.Fatal(err)
		}
	}
	a.d.mu.Unlock()
	began := time.Now()
	status, head, _ := call(t, "GET", a.followAddr, q.Target(), "")
	if took := time.Since(began); status != http.StatusNoContent || head.Get("Retry-After") == "" || took >= settingsstore.MaxWait {
		t.Errorf("one more is answered %d, Retry-After %q, after %s", status, head.Get("Retry-After"), took)
	}
	a.end()
	if status := <-answered; status != http.StatusNoContent || time.Since(began) >= settingsstore.MaxWait {
		t.Errorf("at the end a watch is answered %d after %s", status, time.Since(began))
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against settings that no sidecar could use and that are told all the same, and against calls that are misread.
func TestInvalidCalls(t *testing.T) {
	a := startDistributor(t, "a", t.TempDir(), nil)
	good := testSettings(0, 0)
	for _, c := range []struct {
		method, target, body string
		status               int
		names                string
	}{
		{"POST", settingsPath + "?service=s", `{"n_instances":"3"}`, 400, "settings.n_instances"},
		{"POST", settingsPath + "?service=s", strings.Replace(good, `"aim":90000000,`, "", 1), 400, "classes[0].aim"},
		{"POST", settingsPath + "?service=s", good[:len(good)-1], 400, "settings"},
		{"POST", settingsPath + "?service=s", testSettings(0, settingsstore.MaxSettingsBytes+1), 400, "settings has 65537 bytes"},
		{"POST", settingsPath + "?service=s", testSettings(0, maxBodyBytes+1), 413, "settings"},
		{"POST", settingsPath + "?service=.s", good, 400, "service"},
		{"POST", settingsPath + "?service=s&service=t", good, 400, "service"},
		{"POST", settingsPath + "?service=s&other=t", good, 400, "service"},
		{"POST", settingsPath, good, 400, "service"},
		{"POST", settingsPath + "?%2", good, 400, "malformed"},
		{"POST", rollBackPath + "?service=s", "", 409, "former"},
		{"PUT", settingsPath + "?service=s", good, 405, "POST"},
		{"GET", rollBackPath + "?service=s", "", 405, "POST"},
		{"GET", "/admin", "", 404, rollBackPath},
		{"GET", settingsPath + "?service=s", "", 200, `"epoch":0`},
		{"GET", settingsPath, "", 200, "[]"},
	} {
		status, _, text := call(t, c.method, a.controlAddr, c.target, c.body)
		if status != c.status || !strings.Contains(text, c.names) {
			t.Errorf("%s %s %.60s: %d %.200q, want %d and %q", c.method, c.target, c.body, status, text, c.status, c.names)
		}
	}
	for _, c := range []struct {
		method, target, body string
		status               int
	}{
		{"GET", "/settings/s?since=x", "", 400}, {"GET", "/settings/.s", "", 400}, {"GET", "/list", "", 400}, {"GET", "/settings?name=", "", 400},
		{"POST", "/settings/s", "", 405}, {"GET", "/settings/s", "x", 400},
	} {
		if status, _, text := call(t, c.method, a.followAddr, c.target, c.body); status != c.status {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.target, status, text, c.status)
		}
	}
	// A body that is cut off on its way.
	c, err := net.Dial("tcp", a.controlAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s?service=s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", settingsPath, len(good)+1, good)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); err != nil || !strings.Contains(string(text), "400") || !strings.Contains(string(text), "cut off") {
		t.Errorf("a body that is cut off: %q, %v", text, err)
	}
	if _, _, text := call(t, "GET", a.controlAddr, settingsPath, ""); text != "[]\n" {
		t.Errorf("was published: %s", text)
	}
	a.operate("s", strings.ReplaceAll(good, ",", " ,\n ")) // blanks are no contents
	if _, _, text := call(t, "GET", a.controlAddr, settingsPath, ""); !strings.Contains(text, fmt.Sprintf("%016x", uint64(settingsstore.DigestOf([]byte(good))))) {
		t.Errorf("was published: %s", text)
	}
}

// Guards against a peer's word that was cut, spoilt or mixed up and is taken, and against giving that peer up for it.
func TestFaultyPeers(t *testing.T) {
	state := func(service string, epoch uint64) settingsstore.State {
		return settingsstore.NewState(service, version.Edition{Epoch: epoch, By: "p"}, json.RawMessage(testSettings(int(epoch), 0)))
	}
	encodeUpdate := func(name string, records ...*settingsstore.Record) string {
		return string((&settingsstore.Update{Name: name, Incarnation: "l", Sequence: 1, Records: records}).Encode())
	}
	good := encodeUpdate("p", &settingsstore.Record{State: state("s", 7)})
	other := state("other", 6)
	answers := []string{
		good[:len(good)-7], strings.Replace(good, `"n":7`, `"n":8`, 1), encodeUpdate("a", &settingsstore.Record{State: state("s", 9)}),
		encodeUpdate("p", &settingsstore.Record{State: state("s", 8), Previous: &other}), `{}`, strings.Repeat(" ", settingsstore.MaxUpdateBytes) + good, good,
	}
	requests := 0
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > len(answers) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.WriteString(w, answers[requests-1])
	}))
	defer peer.Close()
	a := startDistributor(t, "a", t.TempDir(), nil, peer.Listener.Addr().String())
	a.until("has anything", func(current *settingsstore.Record) bool { return true })
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if r := a.d.store.Record("s"); r.Epoch != 7 || len(a.d.store.Services()) != 1 || r.Previous != nil {
		t.Errorf("%+v of %v", r, a.d.store.Services())
	}
}

// failing is a disk that has no room from some time on.
type failingDisk struct {
	persistence.Disk
	full atomic.Bool
}

func (f *failingDisk) Create(name string) (persistence.File, error) {
	if f.full.Load() {
		return nil, errors.New("no room")
	}
	return f.Disk.Create(name)
}

// Guards against an edition that is told and then given once more, for its distributor had not kept it; and against kept settings
// that are lost, or believed though they were spoilt.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	disk := &failingDisk{Disk: persistence.Dir(dir)}
	a := startDistributor(t, "a", dir, disk)
	first := a.operate("s", testSettings(0, 0))
	second := a.operate("s", testSettings(1, 0))
	disk.full.Store(true)
	if status, _, text := call(t, "POST", a.controlAddr, settingsPath+"?service=s", testSettings(2, 0)); status != 500 || !strings.Contains(text, "no room") {
		t.Errorf("without room: %d %s", status, text)
	}
	a.has(second)
	a.end()

	other := startDistributor(t, "b", t.TempDir(), nil, newTestLink(t).addr()) // of a peer that is not there
	again := startDistributor(t, "a", dir, nil, other.followAddr)
	again.has(second)
	if back := again.operate("s", ""); back.Compare(second) <= 0 {
		t.Errorf("rolled back as %s after %s and %s", back, first, second)
	}
	again.end()
	if again, err := New(Config{Name: "a"}, persistence.Dir(dir), zerolog.Nop()); err != nil || string(again.store.Record("s").Settings) != testSettings(0, 0) {
		t.Errorf("%v", err)
	}

	file := filepath.Join(dir, "s"+fileSuffix)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, spoilt := range map[string]string{"cut": string(text[:len(text)-1]), "changed": strings.Replace(string(text), `"epoch":3`, `"epoch":4`, 1), "empty": ""} {
		if err := os.WriteFile(file, []byte(spoilt), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New(Config{Name: "a"}, persistence.Dir(dir), zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "s.settings") {
			t.Errorf("a file that was %s, and nobody to ask: %v", name, err)
		}
		d, err := New(Config{Name: "a", Peers: []string{"127.0.0.1:1"}}, persistence.Dir(dir), zerolog.Nop())
		if err != nil || !d.store.Starting() || d.store.Record("s") != nil {
			t.Errorf("a file that was %s: %v", name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "t"+fileSuffix), text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Name: "a"}, persistence.Dir(dir), zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "t.settings") {
		t.Errorf("another service's file: %v", err)
	}
}

// Guards against what others told being lost with the process, and against a disk that is slow holding up what is told.
func TestPeerUpdatesAreWritten(t *testing.T) {
	a := startDistributor(t, "a", t.TempDir(), nil)
	dir := t.TempDir()
	disk := &failingDisk{Disk: persistence.Dir(dir)}
	disk.full.Store(true)
	b := startDistributor(t, "b", dir, disk, a.followAddr)
	e := a.operate("s", testSettings(0, 0))
	b.has(e)
	(&testSidecar{t: t, name: "n"}).follow(b.followAddr, e)
	disk.full.Store(false)
	b.end()
	if again, err := New(Config{Name: "b"}, persistence.Dir(dir), zerolog.Nop()); err != nil || again.store.Record("s") == nil || again.store.Record("s").Edition != e {
		t.Errorf("%v", err)
	}
}

// Guards against connections without bound, and against ones that are never given back.
func TestConnectionLimits(t *testing.T) {
	l := &limitedListener{Listener: listen(t), slots: make(chan struct{}, 1)}
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	first := <-accepted
	if _, err := dial().Read(make([]byte, 1)); err == nil {
		t.Error("one more is held")
	}
	_ = first.Close()
	_ = first.Close()
	dial()
	_ = (<-accepted).Close()
	_ = l.Close()
	<-accepted
}

// Guards against a file that is misread, and an operator who isn't told which key is at fault.
func TestConfig(t *testing.T) {
	good := "name = \"d1\"\nregion = \"east\"\nlisten = \"127.0.0.1:8600\"\ncontrol = \"127.0.0.1:8601\"\ndir = \"/d\"\npeers = [\"10.0.0.2:8600\"]\n"
	if c, err := ParseConfig("f", []byte(good)); err != nil || c.Name != "d1" || len(c.Peers) != 1 {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"d1"`, `"d 1"`, "f:1: name: "}, {"name = \"d1\"\n", "", "f:1: name: "}, {`"east"`, `"-"`, "f:2: region: "}, {"127.0.0.1:8600", "host:8600", "f:3: listen: "},
		{"8601", "x", "f:4: control: "}, {"8601", "8600", "f:4: control: "}, {"/d", "d", "f:5: dir: "}, {"10.0.0.2:8600", "10.0.0.2:0", "f:6: peers: [0]"},
		{"10.0.0.2:8600", "127.0.0.1:8600", "f:6: peers: [0]"}, {`["10.0.0.2:8600"]`, `["10.0.0.2:8600", "10.0.0.2:8600"]`, "f:6: peers: [1]"},
		{"peers", "peer", "f:6: peer: "}, {`["10.0.0.2:8600"]`, "[" + strings.Repeat(`"10.0.0.2:8600",`, 64) + "]", "f:6: peers: names 64"},
	} {
		if _, err := ParseConfig("f", []byte(strings.Replace(good, c.from, c.to, 1))); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s for %s: %v, want %s", c.to, c.from, err, c.want)
		}
	}
}
