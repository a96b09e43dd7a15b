package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// TestMain lets the test binary be the program, so that tests can start it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("PINELB_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	if to := os.Getenv(proxyTo); to != "" {
		plainProxy(to)
		os.Exit(0)
	}
	runHelperProcess()
	os.Exit(m.Run())
}

// settings has deadlines that no test reaches unless it wants to, however slow the machine.
const settings = `{"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":5000000000,"max_retry_after":1500000000,
 "most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"n_instances":1,
 "classes":[{"name":"order-status","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},
  {"name":"place-order","aim":30000000000,"deadline":60000000000,"idempotency":"idempotency_key","key_scope":"all","memory_span":90000000000,"worth":10},
  {"name":"remake-charge","aim":30000000000,"deadline":60000000000,"idempotency":"non_idempotent","worth":3}],
 "kinds":["front-std"],"zones":["moonah"],"quantum":2000000,
 "rules":{"answer_slack":8000000,"cold":9000000000,"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`

// program is a running sidecar.
type program struct {
	cmd  *exec.Cmd
	addr string
	file string // its configuration
	log  *bufio.Scanner
}

func configFile(t testing.TB, config map[string]any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, config)
	return path
}

func write(t testing.TB, path string, config map[string]any) {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func environment(path string) []string {
	return append(os.Environ(), "PINELB_TEST_RUN=1", "LB_CONFIG="+path, "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
}

func configFor(discovery string, known ...string) map[string]any {
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1", "limits": map[string]any{"sockets": 2048},
		"known":    json.RawMessage(`{"revision":0,"complete":true,"members":[` + strings.Join(known, ",") + `]}`),
		"settings": json.RawMessage(settings)}
}

// start starts a sidecar that knows so many members already.
func start(t *testing.T, discovery string, known ...string) *program {
	t.Helper()
	p := launch(t, exec.Command(os.Args[0]), discovery, known...)
	p.addr = p.await(t, "listening").Get("addr").Str
	return p
}

// launch starts a sidecar by that command.
func launch(t testing.TB, cmd *exec.Cmd, discovery string, known ...string) *program {
	t.Helper()
	return launchOn(t, cmd, configFile(t, configFor(discovery, known...)), "LB_DISCOVERY="+discovery) // as the platform gives it, in both places
}

// launchOn starts one on that configuration, with more of an environment.
func launchOn(t testing.TB, cmd *exec.Cmd, file string, env ...string) *program {
	t.Helper()
	p := &program{cmd: cmd, file: file}
	p.cmd.Env = append(environment(p.file), env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	p.log = bufio.NewScanner(stderr)
	return p
}

// await reads the log up to a message.
func (p *program) await(t testing.TB, message string) gjson.Result {
	t.Helper()
	for p.log.Scan() {
		if line := gjson.Parse(p.log.Text()); line.Get("message").Str == message {
			return line
		}
	}
	t.Fatalf("the log ended without %q", message)
	return gjson.Result{}
}

// call sends one request on a connection of its own and returns the answer with its body read. It may
// be called by any goroutine of a test.
func (p *program) call(t *testing.T, method, target, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	res, got, err := p.send(context.Background(), method, target, body, headers...)
	if err != nil {
		t.Errorf("%s %s: %v", method, target, err)
		return &http.Response{}, ""
	}
	return res, got
}

func (p *program) send(ctx context.Context, method, target, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addr+target, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Close = true
	req.Header.Set("X-Txn", "9b1f03aa5c7e2d41")
	req.Header.Set("X-Remaining-Ms", "60000")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return res, string(got), err
}

// site plays discovery and the upstream hosts.
type testSite struct {
	mu       sync.Mutex
	revision int
	members  string // the last change, as JSON
	changed  chan struct{}
	addr     string
}

func listen(t testing.TB, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func newTestSite(t testing.TB, members ...string) *testSite {
	s := &testSite{revision: 1, members: strings.Join(members, ","), changed: make(chan struct{})}
	s.addr = listen(t, s)
	return s
}

func host(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"moonah","flavor":"front-std","phase":%q,"size":1,"up_since_ms":0}`, id, addr, phase)
}

func (s *testSite) change(members ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.members = strings.Join(members, ",")
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	since, changed := r.URL.Query().Get("since"), s.changed
	if since == fmt.Sprint(s.revision) {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	fmt.Fprintf(w, `{"revision":%d,"complete":%v,"members":[%s]}`, s.revision, since == "", s.members)
}

// box is an upstream host: it tells the test of every request and answers as told.
type testHost struct {
	addr   string
	visits chan string // what came, in short
	answer func(w http.ResponseWriter, r *http.Request)
}

func newTestHost(t testing.TB, answer func(w http.ResponseWriter, r *http.Request)) *testHost {
	b := &testHost{visits: make(chan string, 1000), answer: answer}
	b.addr = listen(t, b)
	return b
}

func (b *testHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.visits <- fmt.Sprintf("%s %s %s key=%s body=%s", r.Method, r.RequestURI, r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key"), body)
	b.answer(w, r)
}

func serve(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

func TestServesEveryClass(t *testing.T) {
	b := newTestHost(t, serve("a pair\x00\r\nof lenses"))
	p := start(t, newTestSite(t, host("s-1", b.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	for _, c := range []struct{ method, target, body, key, want string }{
		{"GET", "/order-status/7?q=%20a", "", "", "GET /order-status/7?q=%20a 9b1f03aa5c7e2d41 key= body="},
		{"POST", "/place-order/7", "two", "k7", "POST /place-order/7 9b1f03aa5c7e2d41 key=k7 body=two"},
		{"POST", "/remake-charge/7", "", "", "POST /remake-charge/7 9b1f03aa5c7e2d41 key= body="},
	} {
		var headers []string
		if c.key != "" {
			headers = []string{"Idempotency-Key", c.key}
		}
		res, body := p.call(t, c.method, c.target, c.body, headers...)
		if res.StatusCode != 200 || body != "a pair\x00\r\nof lenses" {
			t.Errorf("%s: %d %q", c.target, res.StatusCode, body)
		}
		if got := <-b.visits; got != c.want {
			t.Errorf("the host got %q, want %q", got, c.want)
		}
	}
	if res, _ := p.call(t, "GET", "/_health", ""); res.StatusCode != 200 {
		t.Errorf("health is %d", res.StatusCode)
	}
	for _, c := range []struct {
		target, method string
		want           int
	}{{"/order-status/7", "PUT", 400}, {"/unheard-of/7", "GET", 404}} {
		if res, _ := p.call(t, c.method, c.target, ""); res.StatusCode != c.want || len(b.visits) != 0 {
			t.Errorf("%s %s: %d after %d visits, want %d unseen", c.method, c.target, res.StatusCode, len(b.visits), c.want)
		}
	}
}

// Guards against an unsafe request running twice, and against one that never ran being failed.
func TestUnsafeRunsOnce(t *testing.T) {
	broken := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	p := start(t, newTestSite(t, host("s-1", broken.addr, "Ready"), host("s-2", broken.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	if res, _ := p.call(t, "POST", "/remake-charge/7", "x"); res.StatusCode != 502 || len(broken.visits) != 1 {
		t.Errorf("an error was answered %d after %d visits, want 502 after 1", res.StatusCode, len(broken.visits))
	}
	away := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(503)
	})
	p = start(t, newTestSite(t, host("s-1", away.addr, "Ready"), host("s-2", away.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	res, _ := p.call(t, "POST", "/remake-charge/7", "x")
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" || len(away.visits) != 2 {
		t.Errorf("turned away: %d, Retry-After %q, %d visits; want 503 with advice after both hosts",
			res.StatusCode, res.Header.Get("Retry-After"), len(away.visits))
	}
}

// Guards against sends to a host that drains, after discovery has said so.
func TestDrainingHostGetsNothingNew(t *testing.T) {
	a, b := newTestHost(t, serve("a")), newTestHost(t, serve("b"))
	s := newTestSite(t, host("s-1", a.addr, "Ready"))
	p := start(t, s.addr)
	p.await(t, "cluster changed")
	if _, body := p.call(t, "GET", "/order-status/1", ""); body != "a" {
		t.Errorf("answer %q", body)
	}
	s.change(host("s-1", a.addr, "Terminating"), host("s-2", b.addr, "Ready"))
	p.await(t, "cluster changed")
	for range 5 {
		if _, body := p.call(t, "GET", "/order-status/1", ""); body != "b" {
			t.Errorf("answer %q", body)
		}
	}
}

// Guards against work for a client that has left: its upstream request is given up at once.
func TestClientDisconnects(t *testing.T) {
	given := make(chan struct{})
	b := newTestHost(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(given)
	})
	p := start(t, newTestSite(t, host("s-1", b.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-b.visits
		cancel()
	}()
	if _, _, err := p.send(ctx, "GET", "/order-status/1", ""); err == nil {
		t.Error("a client that left was answered")
	}
	<-given
}

// Guards against a planned end that loses what was taken.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	b := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	p := start(t, newTestSite(t, host("s-1", b.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	answered := make(chan string)
	go func() {
		_, body := p.call(t, "GET", "/order-status/1", "")
		answered <- body
	}()
	<-b.visits
	p.drain(t, release, answered)
}

// drain has the process shut down while a request is held until release is closed, and checks that this request is answered "whole".
func (p *program) drain(t *testing.T, release chan struct{}, answered <-chan string) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.await(t, "draining")
	close(release)
	if got := <-answered; got != "whole" {
		t.Errorf("what was taken before the end was answered %q", got)
	}
	p.await(t, "drained")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("a planned end: %v", err)
	}
}

// Guards against a sidecar that waits for a silent discovery before it serves with the list it had.
func TestUnresponsiveDiscovery(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never reads
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b := newTestHost(t, serve("known"))
	p := start(t, l.Addr().String(), host("s-1", b.addr, "Ready"))
	if _, body := p.call(t, "GET", "/order-status/1", ""); body != "known" {
		t.Errorf("answer %q", body)
	}
	for res, _ := p.call(t, "GET", "/_health", ""); res.StatusCode != 200; res, _ = p.call(t, "GET", "/_health", "") {
	}
}

// Guards against a sidecar that the front sends to although it knows no host yet.
func TestNotReadyWithoutHosts(t *testing.T) {
	b, release := newTestHost(t, serve("found")), make(chan struct{})
	s := newTestSite(t, host("s-1", b.addr, "Ready"))
	discovery := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		s.ServeHTTP(w, r)
	}))
	p := start(t, discovery)
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); { // twice the time after which a known list has to do
		if res, _ := p.call(t, "GET", "/_health", ""); res.StatusCode != 503 {
			t.Fatalf("health is %d with no host known", res.StatusCode)
		}
	}
	close(release)
	p.await(t, "cluster changed")
	for res, _ := p.call(t, "GET", "/_health", ""); res.StatusCode != 200; res, _ = p.call(t, "GET", "/_health", "") {
	}
	if _, body := p.call(t, "GET", "/order-status/1", ""); body != "found" {
		t.Errorf("answer %q", body)
	}
}

// Guards against a sidecar that starts on a faulty configuration, or doesn't say which key it is.
func TestInvalidConfigNamesKey(t *testing.T) {
	for key, config := range map[string]map[string]any{
		"LB_LISTEN": {"listen": "here", "discovery": "127.0.0.1:1", "settings": json.RawMessage(settings)},
		"Classes": {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": json.RawMessage(
			`{"allowed":{"connect_timeout":1,"most_held":1}}`)},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = environment(configFile(t, config))
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), key) {
			t.Errorf("%s: %v, %s", key, err, out)
		}
	}
}

// Guards against a stream that is lost in a crowd: every one is served or refused.
func TestManyStreamsAtOnce(t *testing.T) {
	const many = 100
	release := make(chan struct{})
	b := newTestHost(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	p := start(t, newTestSite(t, host("s-1", b.addr, "Ready"), host("s-2", b.addr, "Ready")).addr)
	p.await(t, "cluster changed")
	codes := make(chan int, many)
	for i := range many {
		go func() {
			res, _ := p.call(t, "GET", fmt.Sprintf("/order-status/%d", i), "", "X-Txn", fmt.Sprint(i))
			codes <- res.StatusCode
		}()
	}
	<-b.visits
	close(release)
	for range many {
		if code := <-codes; code != 200 && code != 503 { // the decisions refuse what would wait too long
			t.Errorf("answered %d", code)
		}
	}
}

// Guards against a new configuration that ends the program, that is overruled by the environment, or that
// is taken though it is faulty; and against a planned end that it holds up.
func TestReloadedConfiguration(t *testing.T) {
	a, b := newTestHost(t, serve("a")), newTestHost(t, serve("b"))
	first, second := newTestSite(t, host("s-1", a.addr, "Ready")), newTestSite(t, host("s-2", b.addr, "Ready"))
	p := start(t, first.addr)
	p.await(t, "cluster changed")
	signal := func(s os.Signal) {
		t.Helper()
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	write(t, p.file, configFor("nowhere"))
	signal(syscall.SIGHUP)
	if fault := p.await(t, "the new configuration is not taken").Get("error").Str; !strings.Contains(fault, "DISCOVERY") {
		t.Errorf("the log says %q of it", fault)
	}
	for _, c := range []struct {
		site *testSite
		want string
	}{{second, "b"}, {first, "a"}, {second, "b"}} {
		write(t, p.file, configFor(c.site.addr))
		signal(syscall.SIGHUP)
		p.await(t, "cluster changed")
		if res, body := p.call(t, "GET", "/order-status/1", ""); res.StatusCode != 200 || body != c.want {
			t.Errorf("after a new configuration: %d %q, want %q", res.StatusCode, body, c.want)
		}
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	p.await(t, "drained")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("a planned end with a new configuration: %v", err)
	}
}
