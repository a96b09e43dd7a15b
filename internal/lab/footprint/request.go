package footprint

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	requestClass   = "class-000"
	requestTimeout = 3 * time.Second // a request may take
	maxIdleConns   = 256             // connections
	requestHosts   = 12
	requestWarmUp  = 2 * time.Second
)

// Count is one measurement of what requests cost a sidecar, and what it adds to them.
type RequestMeasurement struct {
	Program string
	Dir     string
	Rate    float64 // requests a second, at times that are drawn
	Window  time.Duration
	Seed    uint64
}

// RequestCosts is what they took. Times are from when a request was due to its answer, through the sidecar and at hosts directly.
type RequestCosts struct {
	CPU         float64 `json:"cpu_ms_per_s"`
	RSS         float64 `json:"rss_mb"`
	P50         float64 `json:"through_ms_p50"`
	P99         float64 `json:"through_ms_p99"`
	DirectP50   float64 `json:"direct_ms_p50"`
	DirectP99   float64 `json:"direct_ms_p99"`
	AddedP99    float64 `json:"added_ms_p99"` // the difference of the two
	Failed      int     `json:"failed"`       // not answered 200
	Count       int     `json:"requests"`
	LatenessP99 float64 `json:"late_ms_p99"` // that the rig itself began a request
}

// Measure takes it.
func (r RequestMeasurement) Measure(ctx context.Context) (RequestCosts, error) {
	s, err := NewDiscoveryService(requestHosts)
	if err != nil {
		return RequestCosts{}, err
	}
	defer s.Close()
	var direct []string
	for i := range requestHosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return RequestCosts{}, fmt.Errorf("gauge: host: %w", err)
		}
		host := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		go func() { _ = host.Serve(l) }() // it ends with the listener
		defer host.Close()
		s.SetAddr(i, l.Addr().String())
		direct = append(direct, l.Addr().String())
	}
	p, err := StartSidecar(SidecarOptions{Program: r.Program, Dir: r.Dir, Name: "requests", DiscoveryAddr: s.Addr, Classes: 3, Instances: 1})
	if err != nil {
		return RequestCosts{}, err
	}
	defer p.Close()
	if _, err := p.AwaitLog("cluster changed"); err != nil {
		return RequestCosts{}, err
	}
	if _, err := r.sendLoad(ctx, []string{p.Addr}, requestWarmUp); err != nil { // its connections are there
		return RequestCosts{}, err
	}
	bare, err := r.sendLoad(ctx, direct, r.Window)
	if err != nil {
		return RequestCosts{}, err
	}
	was, from := p.CPU(), time.Now()
	through, err := r.sendLoad(ctx, []string{p.Addr}, r.Window)
	if err != nil {
		return RequestCosts{}, err
	}
	spent, took := p.CPU()-was, time.Since(from)
	now, _ := p.Memory()
	out := RequestCosts{CPU: float64(spent) / float64(time.Millisecond) / took.Seconds(), RSS: float64(now) / mebibyte, Failed: through.failed, Count: len(through.latencies),
		P50: quantile(through.latencies, 0.5), P99: quantile(through.latencies, 0.99), DirectP50: quantile(bare.latencies, 0.5), DirectP99: quantile(bare.latencies, 0.99),
		LatenessP99: quantile(through.latenesses, 0.99)}
	out.AddedP99 = max(0, out.P99-out.DirectP99)
	return out, nil
}

// loaded is what became of a load: milliseconds.
type loadResult struct {
	latencies, latenesses []float64
	failed                int
}

// load sends requests at drawn times to those addresses in turn, whatever became of those before.
func (r *RequestMeasurement) sendLoad(ctx context.Context, to []string, length time.Duration) (out loadResult, err error) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
	defer client.CloseIdleConnections()
	draw := rand.New(rand.NewPCG(r.Seed, 1))
	var mu sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	began := time.Now()
	for n, due := 0, time.Duration(0); due < length; n++ {
		if err := sleep(ctx, due-time.Since(began)); err != nil {
			return out, err
		}
		at, addr := began.Add(due), to[n%len(to)]
		open.Go(func() {
			late := time.Since(at)
			ok := sendRequest(client, addr, n)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			out.latencies, out.latenesses = append(out.latencies, float64(took)/float64(time.Millisecond)), append(out.latenesses, float64(late)/float64(time.Millisecond))
			if !ok {
				out.failed++
			}
		})
		due += time.Duration(draw.ExpFloat64() / r.Rate * float64(time.Second))
	}
	open.Wait()
	return out, nil
}

// send makes a request and tells whether it was answered 200.
func sendRequest(client *http.Client, addr string, n int) bool {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/%d", addr, requestClass, n), nil)
	if err != nil {
		return false
	}
	req.Header.Set("X-Txn", fmt.Sprintf("%016x", n+1))
	req.Header.Set("X-Remaining-Ms", "3000")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// share is the value that such a part of all is not above; 0 of none.
func quantile(v []float64, part float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[min(len(v)-1, int(part*float64(len(v))))]
}
