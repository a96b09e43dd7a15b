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
	requestClass  = "class-000"
	requestMost   = 3 * time.Second // a request may take
	idleMost      = 256             // connections
	requestHosts  = 12
	requestSettle = 2 * time.Second
)

// Requests is one measurement of what requests cost a sidecar, and what it adds to them.
type Requests struct {
	Program string
	Dir     string
	Rate    float64 // requests a second, at times that are drawn
	Window  time.Duration
	Seed    uint64
}

// Requested is what they took. Times are from when a request was due to its answer, through the sidecar and at hosts directly.
type Requested struct {
	CPU        float64 `json:"cpu_ms_per_s"`
	RSS        float64 `json:"rss_mb"`
	Half       float64 `json:"through_ms_p50"`
	P99        float64 `json:"through_ms_p99"`
	DirectHalf float64 `json:"direct_ms_p50"`
	DirectP99  float64 `json:"direct_ms_p99"`
	Added      float64 `json:"added_ms_p99"` // the difference of the two
	Failed     int     `json:"failed"`       // not answered 200
	Requests   int     `json:"requests"`
	Late       float64 `json:"late_ms_p99"` // that the rig itself began a request
}

// Measure takes it.
func (r Requests) Measure(ctx context.Context) (Requested, error) {
	s, err := NewService(requestHosts)
	if err != nil {
		return Requested{}, err
	}
	defer s.Close()
	var direct []string
	for i := range requestHosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Requested{}, fmt.Errorf("gauge: host: %w", err)
		}
		host := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		go func() { _ = host.Serve(l) }() // it ends with the listener
		defer host.Close()
		s.At(i, l.Addr().String())
		direct = append(direct, l.Addr().String())
	}
	p, err := Begin(Start{Program: r.Program, Dir: r.Dir, Name: "requests", Discovery: s.Addr, Classes: 3, Instances: 1})
	if err != nil {
		return Requested{}, err
	}
	defer p.Close()
	if _, err := p.Await("cluster changed"); err != nil {
		return Requested{}, err
	}
	if _, err := r.load(ctx, []string{p.Addr}, requestSettle); err != nil { // its connections are there
		return Requested{}, err
	}
	bare, err := r.load(ctx, direct, r.Window)
	if err != nil {
		return Requested{}, err
	}
	was, from := p.CPU(), time.Now()
	through, err := r.load(ctx, []string{p.Addr}, r.Window)
	if err != nil {
		return Requested{}, err
	}
	spent, took := p.CPU()-was, time.Since(from)
	now, _ := p.Memory()
	out := Requested{CPU: float64(spent) / float64(time.Millisecond) / took.Seconds(), RSS: float64(now) / mb, Failed: through.failed, Requests: len(through.took),
		Half: share(through.took, 0.5), P99: share(through.took, 0.99), DirectHalf: share(bare.took, 0.5), DirectP99: share(bare.took, 0.99),
		Late: share(through.late, 0.99)}
	out.Added = max(0, out.P99-out.DirectP99)
	return out, nil
}

// loaded is what became of a load: milliseconds.
type loaded struct {
	took, late []float64
	failed     int
}

// load sends requests at drawn times to those addresses in turn, whatever became of those before.
func (r *Requests) load(ctx context.Context, to []string, length time.Duration) (out loaded, err error) {
	client := &http.Client{Timeout: requestMost, Transport: &http.Transport{MaxIdleConnsPerHost: idleMost, DisableCompression: true}}
	defer client.CloseIdleConnections()
	draw := rand.New(rand.NewPCG(r.Seed, 1))
	var mu sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	began := time.Now()
	for n, due := 0, time.Duration(0); due < length; n++ {
		if err := rest(ctx, due-time.Since(began)); err != nil {
			return out, err
		}
		at, addr := began.Add(due), to[n%len(to)]
		open.Go(func() {
			late := time.Since(at)
			ok := send(client, addr, n)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			out.took, out.late = append(out.took, float64(took)/float64(time.Millisecond)), append(out.late, float64(late)/float64(time.Millisecond))
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
func send(client *http.Client, addr string, n int) bool {
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
func share(v []float64, part float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[min(len(v)-1, int(part*float64(len(v))))]
}
