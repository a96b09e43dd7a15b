package footprint

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	requestClass    = "class-000"
	requestClasses  = 3 // of the sidecar's settings
	requestTimeout  = 3 * time.Second
	remainingHeader = "3000" // milliseconds: requestTimeout
	requestHosts    = 12
	requestWarmUp   = 2 * time.Second // of load, until the sidecar has its connections
	maxIdleConns    = 256             // of the load's client to a host
)

// RequestMeasurement measures what requests cost a sidecar, and how much latency it adds.
type RequestMeasurement struct {
	Program string
	Dir     string
	Rate    float64 // requests a second, with exponential intervals
	Window  time.Duration
	Seed    uint64 // of the intervals
}

// RequestCosts are the sidecar's. Latencies are in milliseconds from when a request was due until its response, through the
// sidecar and directly from the hosts.
type RequestCosts struct {
	CPU         float64 `json:"cpu_ms_per_s"`
	RSS         float64 `json:"rss_mb"` // MiB
	P50         float64 `json:"through_ms_p50"`
	P99         float64 `json:"through_ms_p99"`
	DirectP50   float64 `json:"direct_ms_p50"`
	DirectP99   float64 `json:"direct_ms_p99"`
	AddedP99    float64 `json:"added_ms_p99"` // P99 less DirectP99, 0 at least
	Failed      int     `json:"failed"`       // requests without response 200
	Count       int     `json:"requests"`
	LatenessP99 float64 `json:"late_ms_p99"` // by which the test harness sent requests later than due
}

// Measure takes the measurement. An error is that of the sidecar or the hosts, or ctx's.
func (m RequestMeasurement) Measure(ctx context.Context) (RequestCosts, error) {
	service, err := NewDiscoveryService(requestHosts)
	if err != nil {
		return RequestCosts{}, err
	}
	defer service.Close()
	hosts, closeHosts, err := startHosts(requestHosts)
	defer closeHosts()
	if err != nil {
		return RequestCosts{}, err
	}
	for i, addr := range hosts {
		service.SetAddr(i, addr)
	}
	process, err := StartSidecar(SidecarOptions{
		Program:       m.Program,
		Dir:           m.Dir,
		Name:          "requests",
		DiscoveryAddr: service.Addr,
		Classes:       requestClasses,
		Instances:     1,
	})
	if err != nil {
		return RequestCosts{}, err
	}
	defer process.Close()
	if _, err := process.AwaitLog("cluster changed"); err != nil {
		return RequestCosts{}, err
	}
	sidecar := []string{process.Addr}
	if _, err := m.sendLoad(ctx, sidecar, requestWarmUp); err != nil {
		return RequestCosts{}, err
	}
	direct, err := m.sendLoad(ctx, hosts, m.Window)
	if err != nil {
		return RequestCosts{}, err
	}
	cpuBefore, start := process.CPU(), time.Now()
	through, err := m.sendLoad(ctx, sidecar, m.Window)
	if err != nil {
		return RequestCosts{}, err
	}
	cpu, elapsed := process.CPU()-cpuBefore, time.Since(start)
	rss, _ := process.Memory()
	costs := RequestCosts{
		CPU:         milliseconds(cpu) / elapsed.Seconds(),
		RSS:         float64(rss) / mebibyte,
		P50:         quantile(through.latencies, 0.5),
		P99:         quantile(through.latencies, 0.99),
		DirectP50:   quantile(direct.latencies, 0.5),
		DirectP99:   quantile(direct.latencies, 0.99),
		Failed:      through.failed,
		Count:       len(through.latencies),
		LatenessP99: quantile(through.latenesses, 0.99),
	}
	costs.AddedP99 = max(0, costs.P99-costs.DirectP99)
	return costs, nil
}

// startHosts starts HTTP servers that answer 200, and returns their addresses. closeAll closes those that were started, also
// in case of an error.
func startHosts(n int) (addrs []string, closeAll func(), err error) {
	var hosts []*http.Server
	closeAll = func() {
		for _, host := range hosts {
			_ = host.Close()
		}
	}
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, closeAll, fmt.Errorf("footprint: host: %w", err)
		}
		host := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		go func() { _ = host.Serve(listener) }() // until Close
		hosts = append(hosts, host)
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, closeAll, nil
}

// loadResult is how the requests of a load ended, in milliseconds.
type loadResult struct {
	latencies  []float64 // from when they were due
	latenesses []float64 // from when they were due until they were sent
	failed     int
}

// sendLoad sends requests at random times to the addresses in turn, without waiting for responses (an open-loop load), and
// returns when all have ended.
func (m *RequestMeasurement) sendLoad(ctx context.Context, addrs []string, length time.Duration) (out loadResult, err error) {
	client := &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
	}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(m.Seed, 1))
	var mu sync.Mutex // guards out
	var open sync.WaitGroup
	defer open.Wait()
	start := time.Now()
	for n, due := 0, time.Duration(0); due < length; n++ {
		if err := sleep(ctx, due-time.Since(start)); err != nil {
			return out, err
		}
		dueAt, addr := start.Add(due), addrs[n%len(addrs)]
		open.Go(func() {
			lateness := time.Since(dueAt)
			ok := sendRequest(client, addr, n)
			latency := time.Since(dueAt)
			mu.Lock()
			defer mu.Unlock()
			out.latencies = append(out.latencies, milliseconds(latency))
			out.latenesses = append(out.latenesses, milliseconds(lateness))
			if !ok {
				out.failed++
			}
		})
		due += time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second))
	}
	open.Wait()
	return out, nil
}

// sendRequest sends a request and reports whether its response was a complete 200.
func sendRequest(client *http.Client, addr string, n int) bool {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/%d", addr, requestClass, n), nil)
	if err != nil {
		return false
	}
	req.Header.Set("X-Txn", fmt.Sprintf("%016x", n+1))
	req.Header.Set("X-Remaining-Ms", remainingHeader)
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
