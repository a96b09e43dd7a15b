package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The rig of what the program costs beside a plain proxy: the program, perhaps older builds of it, a plain reverse proxy and the
// hosts run as processes of their own; the load comes from the test's.

// Variables of the environment: the first two make the test binary a part of the rig.
const (
	plainTo  = "PINELB_TEST_REVERSE_PROXY_TO" // hosts' addresses: it is the plain proxy before them
	hostsRun = "PINELB_TEST_HOSTS"            // it is all hosts
	others   = "PINELB_BENCH_PROGRAMS"        // a list of built programs that are measured in the same run, as PATH has one
)

// besideSettings are a site's with so many instances. Its clients wait for what a busy machine takes.
const besideSettings = `{"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":300000000,"max_retry_after":1500000000,
 "most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"n_instances":%d,
 "classes":[{"name":"order-status","aim":20000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},
  {"name":"remake-charge","aim":20000000000,"deadline":60000000000,"idempotency":"non_idempotent","worth":3}],
 "kinds":["front-std"],"zones":["moonah"],"quantum":2000000,
 "rules":{"answer_slack":8000000,"cold":9000000000,"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`

// part runs the test binary as the rig's part that the environment names, if it names one.
func runHelperProcess() {
	switch {
	case os.Getenv(hostsRun) != "":
		runTestHosts()
	case os.Getenv(plainTo) != "":
		runPlainProxy(strings.Split(os.Getenv(plainTo), ","))
	default:
		return
	}
	os.Exit(0)
}

// runTestHosts answers on every address of the loopback's net, so that each is a host.
func runTestHosts() {
	l, err := net.Listen("tcp4", ":0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr().(*net.TCPAddr).Port)
	body := bytes.Repeat([]byte("x"), 200)
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	}))
}

// runPlainProxy is the standard library's reverse proxy, which takes the hosts in turn.
func runPlainProxy(hosts []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	var turn atomic.Uint64
	_ = http.Serve(l, &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: hosts[turn.Add(1)%uint64(len(hosts))]})
		}})
}

// startHelperProcess starts the test binary as a part of the rig, and returns what it says first: where it listens.
func startHelperProcess(t testing.TB, env ...string) (pid int, says string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	if _, err := fmt.Fscan(out, &says); err != nil {
		t.Fatal(err)
	}
	return cmd.Process.Pid, says
}

// path is one way to the hosts: a process between, or none.
type proxyPath struct {
	name string
	pid  int // 0: no process
	addr string
	free chan *testConnection
}

const (
	direct = "direct"
	plain  = "plain"
	this   = "this"
)

// comparisonSite is what the rig stands in.
type comparisonSite struct{ hosts, instances int }

// startPaths starts so many hosts and every way to them: none between, the plain proxy, this build, and the others. Each
// process between has one core, which is the program's default.
func startPaths(t testing.TB, site comparisonSite) []*proxyPath {
	t.Helper()
	_, port := startHelperProcess(t, hostsRun+"=1")
	addrs, members := make([]string, site.hosts), make([]string, site.hosts)
	for i := range site.hosts {
		addrs[i] = fmt.Sprintf("127.1.%d.%d:%s", i/250, 1+i%250, port)
		members[i] = host(fmt.Sprintf("s-%d", i), addrs[i], "Ready")
	}
	paths := []*proxyPath{{name: direct, addr: addrs[0]}}
	pid, addr := startHelperProcess(t, plainTo+"="+strings.Join(addrs, ","), "GOMAXPROCS=1")
	paths = append(paths, &proxyPath{name: plain, pid: pid, addr: addr}, startProgram(t, this, os.Args[0], site, members))
	for _, file := range filepath.SplitList(os.Getenv(others)) {
		paths = append(paths, startProgram(t, filepath.Base(file), file, site, members))
	}
	for _, p := range paths {
		p.free = make(chan *testConnection, 10_000)
	}
	return paths
}

// startProgram starts a build of the program, as the platform does.
func startProgram(t testing.TB, name, file string, site comparisonSite, members []string) *proxyPath {
	t.Helper()
	s := newTestSite(t, members...)
	config := configFor(s.addr)
	config["settings"] = json.RawMessage(fmt.Sprintf(besideSettings, site.instances))
	p := launchOn(t, exec.Command(file, "--config", "../../deploy/platform.toml"), configFile(t, config))
	addr := p.await(t, "listening").Get("addr").Str
	p.await(t, "cluster changed")
	go func() { // whatever it says must not hold it up
		for p.log.Scan() {
		}
	}()
	return &proxyPath{name: name, pid: p.cmd.Process.Pid, addr: addr}
}

// used is the processor time of a process so far.
func cpuTime(t testing.TB, pid int) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &ts); err != nil { // the process's clock, as clock_getcpuclockid(3) names it
		t.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// link is a client's connection, which carries one call at a time.
type testConnection struct {
	path *proxyPath
	conn net.Conn
	in   *bufio.Reader
	sent chan time.Time // when the call that is out was due
}

var calls atomic.Uint64

func (p *proxyPath) dial() (*testConnection, error) {
	conn, err := net.Dial("tcp", p.addr)
	return &testConnection{path: p, conn: conn, in: bufio.NewReader(conn), sent: make(chan time.Time, 1)}, err
}

// send writes a call: every second one has a body.
func (l *testConnection) send() error {
	n := calls.Add(1)
	method, class, body := "GET /", "order-status", ""
	if n%2 == 0 {
		method, class, body = "POST /", "remake-charge", strings.Repeat("x", 200)
	}
	b := make([]byte, 0, 512)
	b = append(append(append(b, method...), class...), '/')
	b = append(strconv.AppendUint(b, n, 10), " HTTP/1.1\r\nHost: origin.svc\r\nX-Remaining-Ms: 60000\r\nX-Lane: "...)
	b = append(append(b, class...), "\r\nX-Txn: t"...)
	b = append(strconv.AppendUint(b, n, 10), "\r\n"...)
	if body != "" {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	_, err := l.conn.Write(append(append(b, "\r\n"...), body...))
	return err
}

// receive reads an answer whole.
func (l *testConnection) receive() error {
	res, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, res.Body); err == nil && res.StatusCode != 200 {
		err = fmt.Errorf("%s: status %d", l.path.name, res.StatusCode)
	}
	return err
}

// closedLoop has so many clients call one after another for a while, and returns how many calls they made.
func (p *proxyPath) closedLoop(t testing.TB, clients int, lasts time.Duration) int {
	var made atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			l, err := p.take()
			for end := time.Now().Add(lasts); err == nil && time.Now().Before(end); made.Add(1) {
				if err = l.send(); err == nil {
					err = l.receive()
				}
			}
			if err != nil {
				t.Error(err)
				return
			}
			p.free <- l
		})
	}
	all.Wait()
	return int(made.Load())
}

// take returns a connection that is free, or a new one.
func (p *proxyPath) take() (*testConnection, error) {
	select {
	case l := <-p.free:
		return l, nil
	default:
		return p.dial()
	}
}

// openLoop makes so many calls a second for a while, at random times that the seed draws, whether or not there are answers. It
// returns how long each took from when it was due, and how late each was sent.
func (p *proxyPath) openLoop(t testing.TB, rate float64, lasts time.Duration, seed uint64) (took, late []time.Duration) {
	runtime.LockOSThread() // which sleeps by the kernel's clock: the runtime's timers are 1 ms late
	defer runtime.UnlockOSThread()
	var mu sync.Mutex
	var out sync.WaitGroup
	random := rand.New(rand.NewPCG(seed, 0))
	next := func() time.Duration { return time.Duration(random.ExpFloat64() / rate * float64(time.Second)) }
	from := time.Now()
	for at := next(); at < lasts; at += next() {
		due := from.Add(at)
		if wait := unix.NsecToTimespec(int64(time.Until(due))); wait.Nano() > 0 {
			_ = unix.Nanosleep(&wait, nil) // one that is interrupted sends early by that much
		}
		late = append(late, time.Since(due))
		l, err := p.take()
		if err == nil {
			err = l.send()
		}
		if err != nil {
			t.Error(err)
			break
		}
		out.Go(func() {
			if err := l.receive(); err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			took = append(took, time.Since(due))
			mu.Unlock()
			l.path.free <- l
		})
	}
	out.Wait()
	return took, late
}

func median[T ~int64 | ~float64](of []T) T {
	of = slices.Clone(of)
	slices.Sort(of)
	return of[len(of)/2]
}

func quantile(of []time.Duration, q float64) time.Duration {
	of = slices.Clone(of)
	slices.Sort(of)
	return of[int(q*float64(len(of)-1))]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// loads are the ways of calling by which CPU is measured; each returns how many calls were made.
var loads = map[string]func(t testing.TB, p *proxyPath, lasts time.Duration, seed uint64) int{
	"106 a second": openAt(106),
	"400 a second": openAt(400),
	"8 clients":    func(t testing.TB, p *proxyPath, lasts time.Duration, _ uint64) int { return p.closedLoop(t, 8, lasts) },
}

func openAt(rate float64) func(t testing.TB, p *proxyPath, lasts time.Duration, seed uint64) int {
	return func(t testing.TB, p *proxyPath, lasts time.Duration, seed uint64) int {
		took, _ := p.openLoop(t, rate, lasts, seed)
		return len(took)
	}
}

// BenchmarkCPU is what a call costs the program's process, this build's and that of the programs in PINELB_BENCH_PROGRAMS, as a
// ratio to what it costs the standard library's reverse proxy: the median of pairs of short slices in turn. One iteration is one pair:
//
//	go test -run '^$' -bench BenchmarkCPU -benchtime 60x ./cmd/pinelb
func BenchmarkCPU(b *testing.B) {
	for _, hosts := range []int{2, 12} {
		for _, load := range slices.Sorted(maps.Keys(loads)) {
			b.Run(fmt.Sprintf("hosts=%d/load=%s", hosts, strings.ReplaceAll(load, " ", "-")), func(b *testing.B) {
				benchmarkPairs(b, startPaths(b, comparisonSite{hosts, 1})[1:], loads[load]) // no process has the direct way
			})
		}
	}
}

func benchmarkPairs(b *testing.B, paths []*proxyPath, load func(testing.TB, *proxyPath, time.Duration, uint64) int) {
	const slice = 250 * time.Millisecond // what a busy machine does to one it does to the next
	for _, p := range paths {            // connections come up, and what is learned
		load(b, p, time.Second, 0)
	}
	cost := map[string][]float64{}
	for n := range b.N {
		for i := range paths {
			p := paths[(n+i)%len(paths)]
			from := cpuTime(b, p.pid)
			made := load(b, p, slice, uint64(n))
			cost[p.name] = append(cost[p.name], micros(cpuTime(b, p.pid)-from)/float64(made))
		}
	}
	for _, p := range paths {
		ratios := make([]float64, b.N)
		for n := range ratios {
			ratios[n] = cost[p.name][n] / cost[plain][n]
		}
		b.ReportMetric(median(cost[p.name]), p.name+"-µs/call")
		if p.name != plain {
			b.ReportMetric(median(ratios), p.name+"/"+plain)
		}
	}
}

// BenchmarkAdded is what a call takes from when it was due, by no process between, by the plain proxy and by the program, in
// turn: the 50th and 99th percentile of all calls, and what is added to the direct way's, as the median of rounds. Calls that the
// rig itself sends late (rig-late) void a run: the machine was too busy. One iteration is a round of slices of 3 s; 20,000 calls a
// way take 63 rounds at 106 calls a second and 7 at 1,000:
//
//	go test -run '^$' -bench 'BenchmarkAdded/hosts=12/rate=106$' -benchtime 63x -timeout 1h ./cmd/pinelb
func BenchmarkAdded(b *testing.B) {
	for _, site := range []comparisonSite{{12, 1}, {1700, 300}} {
		for _, rate := range []float64{106, 1000} {
			b.Run(fmt.Sprintf("hosts=%d/rate=%.0f", site.hosts, rate), func(b *testing.B) { benchmarkAdded(b, startPaths(b, site), rate) })
		}
	}
}

func benchmarkAdded(b *testing.B, paths []*proxyPath, rate float64) {
	const slice = 3 * time.Second
	for _, p := range paths {
		p.openLoop(b, rate, time.Second, 0)
	}
	var rigLate []time.Duration
	all, tail := map[string][]time.Duration{}, map[string][]time.Duration{}
	for n := range b.N {
		for i := range paths {
			p := paths[(n+i)%len(paths)]
			took, late := p.openLoop(b, rate, slice, uint64(n))
			rigLate = append(rigLate, late...)
			all[p.name] = append(all[p.name], took...)
			tail[p.name] = append(tail[p.name], quantile(took, 0.99))
		}
	}
	b.ReportMetric(float64(len(all[direct])), "calls")
	b.ReportMetric(micros(quantile(rigLate, 0.99)), "rig-late-p99-µs")
	for _, p := range paths {
		b.ReportMetric(micros(quantile(all[p.name], 0.5)), p.name+"-p50-µs")
		b.ReportMetric(micros(quantile(all[p.name], 0.99)), p.name+"-p99-µs")
		added := make([]time.Duration, b.N)
		for n := range added {
			added[n] = tail[p.name][n] - tail[direct][n]
		}
		if p.name != direct {
			b.ReportMetric(micros(median(added)), p.name+"-adds-p99-µs")
		}
	}
}

// Guards against a rig that measures nothing: every way answers each call of both loads, and its process is seen to work.
func TestBeside(t *testing.T) {
	for _, p := range startPaths(t, comparisonSite{3, 1}) {
		took, _ := p.openLoop(t, 200, 200*time.Millisecond, 1)
		if made := p.closedLoop(t, 2, 50*time.Millisecond); len(took) < 10 || made == 0 {
			t.Errorf("%s: %d calls and %d", p.name, len(took), made)
		}
		if p.pid != 0 && cpuTime(t, p.pid) <= 0 {
			t.Errorf("%s: its process has used no processor time", p.name)
		}
	}
}
