package crowds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
	"pinelb.example/pinelb/internal/lab/ports"
)

// Limits of the router of each test. They are a third of the operators' smallest machine in memory, a quarter in descriptors.
const (
	routerMemoryMB    = 96
	routerDescriptors = 1000
	routerDiskMB      = 64
)

const (
	startTimeout      = 30 * time.Second
	tryTimeout        = 8 * time.Second // of an ordinary request: one that hangs so long has no answer
	requestTries      = 3
	retryPause        = 200 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	slowAnswerTime    = 4 * time.Second
	largeAnswerBytes  = 8 << 20
	largeEventBytes   = 200 << 10 // below the size from which on an event is relayed as it comes
)

// router is a fleet of one router on real sockets, with an endpoint.
type router struct {
	*machines.Machine
	front, ready, control, internal string
}

// startRouter starts a router, gives it a configuration and an endpoint, and waits until it answers.
func startRouter(t *testing.T) *router {
	t.Helper()
	addresses, err := machines.LockAddresses()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(addresses.Unlock)
	drawn, err := ports.FreeSet(4)
	if err != nil {
		t.Fatal(err)
	}
	limits := machines.Limits{MemoryMB: routerMemoryMB, DiskMB: routerDiskMB, Descriptors: routerDescriptors}
	ip := addresses.Address(0)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, drawn[i]) }
	r := &router{
		Machine: &machines.Machine{Name: "router", IP: ip, Folder: t.TempDir(), Program: program, Limits: limits},
		front:   at(0), ready: at(1), control: at(2), internal: at(3),
	}
	r.Disk = filepath.Join(t.TempDir(), "disk")
	r.Settings = fmt.Sprintf("nodeName=router\nip=%s\nzone=z\nregion=r\nzones.z=r\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nportRange=%d,%d\n"+
		"seeds=%s\ncountsForQuorum=true\ndataDir=%s\nbounds.historyS=20\ncontracts=base,coord\n%s", ip, r.front, r.ready, r.control, drawn[3], drawn[3], r.control, r.Disk,
		limits.Settings())
	if err := r.Start(true); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	r.configure(t)
	startEndpoint(t, r.control)
	r.requireOrdinaryRequest(t, startTimeout)
	return r
}

const configuration = `{"version":1,"routes":[
{"name":"plain","host":"h","pathPrefix":"/plain/","type":"unsafe","timeoutMs":5000,"targetLatencyMs":500,"service":"s","maxAttempts":2},
{"name":"slow","host":"h","pathPrefix":"/slow/","type":"unsafe","timeoutMs":8000,"targetLatencyMs":500,"service":"s","maxAttempts":1},
{"name":"stream","host":"h","pathPrefix":"/stream/","type":"streaming","timeoutMs":8000,"targetLatencyMs":500,"service":"s","maxAttempts":1,"streamResume":true}],
"services":[{"name":"s","maxConnections":2000}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// configure submits the configuration until it is acknowledged.
func (r *router) configure(t *testing.T) {
	t.Helper()
	until := time.Now().Add(startTimeout)
	for {
		status, err := send(t.Context(), http.MethodPost, "http://"+r.control+"/config/replace", "", http.Header{"X-Base-Version": {"0"}}, configuration)
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("the configuration is not acknowledged: %d, %v", status, err)
		}
		time.Sleep(retryPause)
	}
}

// send sends one request on a connection of its own, and reads the whole answer.
func send(ctx context.Context, method, url, host string, header http.Header, body string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = host, true
	for name, values := range header {
		request.Header[name] = values
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendOrdinary sends a request inside all limits, as a client of the operators would.
func (r *router) sendOrdinary(ctx context.Context) (status int, err error) {
	return send(ctx, http.MethodPost, "http://"+r.front+"/plain/x", "h", http.Header{"X-Request-Id": {"ordinary"}, "X-Deadline-Ms": {"5000"}}, "an order")
}

// requireOrdinaryRequest sends ordinary requests until one is answered.
func (r *router) requireOrdinaryRequest(t *testing.T, timeout time.Duration) {
	t.Helper()
	for until := time.Now().Add(timeout); ; time.Sleep(retryPause) {
		status, err := r.sendOrdinary(t.Context())
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("an ordinary request is not answered: %d, %v", status, err)
		}
	}
}

// requireWithinLimits checks that the process lives and has kept its limits, and that each listener answers: one ordinary request in requestTries.
func (r *router) requireWithinLimits(t *testing.T) {
	t.Helper()
	requireAnswer(t, "client's request", func() (int, error) { return r.sendOrdinary(t.Context()) })
	for name, url := range map[string]string{
		"operator's read": "http://" + r.control + "/config/read", "readiness probe": "http://" + r.ready + "/ready", "router's status": "http://" + r.internal + "/status",
	} {
		requireAnswer(t, name, func() (int, error) { return send(t.Context(), http.MethodGet, url, "", nil, "") })
	}
	t.Logf("peak of memory %d MB of %d", r.PeakMemory()>>20, routerMemoryMB)
	for _, fault := range r.Faults() {
		t.Error(fault)
	}
}

// requireAnswer checks that one of requestTries calls is answered with 200.
func requireAnswer(t *testing.T, name string, call func() (int, error)) {
	t.Helper()
	var status int
	var err error
	for range requestTries {
		if status, err = call(); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(retryPause)
	}
	t.Errorf("%s: status %d, %v", name, status, err)
}

// startEndpoint starts an endpoint that announces itself at a control address until the test's end.
func startEndpoint(t *testing.T, control string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(serveEndpoint))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		announce(ctx, control, server.Listener.Addr().String())
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
}

// announce sends heartbeats until ctx ends.
func announce(ctx context.Context, control, address string) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		beat := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":500,"state":"ready","sequence":%d}`, address, sequence)
		_, _ = send(ctx, http.MethodPost, "http://"+control+"/instances/e-1/heartbeat", "", nil, beat) // a lost one is followed by another
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// serveEndpoint answers at once, slowly, with much, or with an event that doesn't end, by the request's path.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Response-Signature", "s")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch r.URL.Path {
	case "/slow/late":
		wait(r.Context(), slowAnswerTime)
		_, _ = io.WriteString(w, "late")
	case "/slow/large", "/remake-charge/large":
		_, _ = w.Write(make([]byte, largeAnswerBytes))
	case "/stream/event":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(append([]byte("id: 1\ndata: first\n\ndata: "), bytes.Repeat([]byte("x"), largeEventBytes)...))
		_ = http.NewResponseController(w).Flush()
		wait(r.Context(), slowAnswerTime)
	default:
		_, _ = io.WriteString(w, "done")
	}
}

// wait waits for d, or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
