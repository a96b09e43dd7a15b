// Package routers is the rig of the router fleet: many routers in one process, each with its own sockets on a loopback
// address, real packets and real disks for the core, but no clients. It measures what control costs and how soon a
// configuration is in force at all of them.
package routers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/router"
	"pinelb.example/pinelb/internal/fleet/settings"
)

const (
	proxyPort, readyPort, controlPort, internalPort = 21080, 21081, 21082, 21083

	regions, zonesPerRegion = 2, 3
	pollInterval               = 2 * time.Millisecond
	heartbeatInterval               = 1200 * time.Millisecond
	settleTimePerRouter              = 30 * time.Millisecond
)

// Config is what a play is made with.
type Config struct {
	Routers   int
	Core      int // of them, with disks; 2 may be lost
	Endpoints int // that send heartbeats
	Tenants   int
	Models    int // services
	Changes   int
	Rest      time.Duration // for which the fleet is measured at rest
	Timeout    time.Duration // that a start or a change may take
	Losses    []Loss        // played one after the other, at the end
	LossTimeout  time.Duration // that a change is tried while routers are gone
}

// Check names the setting that can't be used.
func (c *Config) Check() error {
	switch {
	case c.Routers < 1 || c.Routers > 4000:
		return fmt.Errorf("routers: must be 1 to 4000, not %d", c.Routers)
	case c.Core < 1 || c.Core > c.Routers:
		return fmt.Errorf("core: must be 1 to %d, not %d", c.Routers, c.Core)
	case c.Rest <= 0 || c.Timeout <= 0:
		return fmt.Errorf("rest and within: must be above 0")
	}
	return nil
}

// Result is what a play measured.
type Result struct {
	Routers       int          `json:"Routers"`
	Endpoints     int          `json:"Endpoints"`
	StartMs       int64        `json:"StartMs"`       // until all held the first configuration
	RestCPU       float64      `json:"RestCPU"`       // ms a second a router, the endpoints' heartbeats included
	RestBytes     float64      `json:"RestBytes"`     // sent a second a router
	RestDatagrams float64      `json:"RestDatagrams"` // sent a second a router
	MemoryMB      float64      `json:"MemoryMB"`      // resident, a router
	ChangeP50Ms   int64        `json:"ChangeP50Ms"`   // of all routers and changes, from the acknowledgement
	ChangeP99Ms   int64        `json:"ChangeP99Ms"`
	ChangeLastMs  int64        `json:"ChangeLastMs"`
	AcknowledgeMs int64        `json:"AcknowledgeMs"` // the median, of the operator's calls
	Failed        int          `json:"Failed"`        // changes that were not in force at all in time
	Losses        []LossResult `json:"Losses"`
}

// fleet is a play under way.
type fleet struct {
	config  Config
	folder  string
	routers []*router.Router // nil: lost
	cancels []context.CancelFunc
	stopped   []chan struct{} // closed when a router has ended
	tasks   sync.WaitGroup
	client  *http.Client
	version int64
}

// Play starts a fleet, measures it, and ends it.
func Play(ctx context.Context, c Config) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "pinelab-routers-")
	if err != nil {
		return nil, fmt.Errorf("routers: %w", err)
	}
	defer os.RemoveAll(folder)
	f := &fleet{config: c, folder: folder, client: &http.Client{Timeout: 5 * time.Second}}
	defer f.stop()
	result := &Result{Routers: c.Routers, Endpoints: c.Endpoints}
	return result, f.play(ctx, result)
}

func (f *fleet) play(ctx context.Context, result *Result) error {
	if err := f.start(); err != nil {
		return err
	}
	began := time.Now()
	if _, err := f.submitConfig(ctx, "/config/replace", f.firstConfiguration()); err != nil {
		return err
	}
	if _, late := f.awaitVersion(ctx, time.Now()); late > 0 {
		return fmt.Errorf("routers: %d of %d do not hold the first configuration", late, f.config.Routers)
	}
	result.StartMs = time.Since(began).Milliseconds()
	beating, stop := context.WithCancel(ctx)
	defer stop()
	f.sendHeartbeats(beating)
	f.measureRest(ctx, result)
	if err := f.measureChanges(ctx, result); err != nil {
		return err
	}
	return f.playLosses(ctx, result)
}

func (f *fleet) start() error {
	n := f.config.Routers
	f.routers, f.cancels, f.stopped = make([]*router.Router, n), make([]context.CancelFunc, n), make([]chan struct{}, n)
	for i := range n {
		if err := f.startRouter(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startRouter starts one with the disk that it has; first says that the whole fleet starts for the first time.
func (f *fleet) startRouter(i int, first bool) error {
	s, err := settings.Parse([]byte(f.settingsText(i, first)))
	if err != nil {
		return err
	}
	r := router.New(s, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f.routers[i], f.cancels[i], f.stopped[i] = r, cancel, ended
	f.tasks.Go(func() {
		defer close(ended)
		_ = r.Run(ctx) // one that can't start shows as one that never holds the configuration
	})
	return nil
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.9.%d.%d", 1+i/250, 1+i%250) }

func (f *fleet) settingsText(i int, first bool) string {
	zone := i % (regions * zonesPerRegion)
	var b strings.Builder
	ip := f.ip(i)
	fmt.Fprintf(&b, "nodeName=r%d\nip=%s\nzone=z%d\nregion=r%d\nbootstrap=%v\ncountsForQuorum=%v\n", i, ip, zone, zone/zonesPerRegion,
		first, i < f.config.Core)
	for z := range regions * zonesPerRegion {
		fmt.Fprintf(&b, "zones.z%d=r%d\n", z, z/zonesPerRegion)
	}
	fmt.Fprintf(&b, "listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\nportRange=%d,%d\n", ip, proxyPort, ip, readyPort, ip,
		controlPort, internalPort, internalPort)
	var seeds []string
	for seed := range min(3, f.config.Core) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.ip(seed), controlPort))
	}
	fmt.Fprintf(&b, "seeds=%s\nfaultTolerance.machines=%d\nbounds.graceS=1\nbounds.revocationStrict=true\n", strings.Join(seeds, ","),
		min(2, (f.config.Core-1)/2))
	if i < f.config.Core {
		fmt.Fprintf(&b, "dataDir=%s\n", filepath.Join(f.folder, fmt.Sprint(i)))
	}
	return b.String()
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.tasks.Wait()
}

// firstConfiguration has a route and a service a model, and a key a tenant.
func (f *fleet) firstConfiguration() string {
	f.version = 1
	var routes, services, tenants []string
	for m := range f.config.Models {
		services = append(services, fmt.Sprintf(`{"name":"m%d","maxConnections":500}`, m))
		routes = append(routes, fmt.Sprintf(
			`{"name":"r%d","host":"h","pathPrefix":"/m%d/","type":"streaming","timeoutMs":15000,"targetLatencyMs":1300,"service":"m%d"}`, m, m, m))
	}
	for n := range f.config.Tenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","apiKeys":["key-%d-a","key-%d-b"],"ratePerS":100000,"burst":100000}`, n, n, n))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"tenants":[%s]}`, strings.Join(routes, ","),
		strings.Join(services, ","), strings.Join(tenants, ","))
}

// order has the core take an order and returns how long that took.
func (f *fleet) submitConfig(ctx context.Context, path, body string) (time.Duration, error) {
	began := time.Now()
	for end := began.Add(f.config.Timeout); time.Now().Before(end) && ctx.Err() == nil; {
		for core := range f.config.Core {
			url := fmt.Sprintf("http://%s:%d%s", f.ip(core), controlPort, path)
			if f.post(ctx, url, body, "X-Base-Version", fmt.Sprint(f.version-1)) == http.StatusOK {
				return time.Since(began), nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("routers: the core did not take version %d within %v", f.version, f.config.Timeout)
}

func (f *fleet) post(ctx context.Context, url, body string, headers ...string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status says all
	return response.StatusCode
}

// spread waits until all routers hold the version, and returns how long each took from a moment on.
func (f *fleet) awaitVersion(ctx context.Context, from time.Time) (took []time.Duration, late int) {
	waiting := slices.DeleteFunc(slices.Clone(f.routers), func(r *router.Router) bool { return r == nil })
	for end := time.Now().Add(f.config.Timeout); len(waiting) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		waiting = slices.DeleteFunc(waiting, func(r *router.Router) bool {
			table, _ := r.Table()
			if table == nil || table.Version < f.version {
				return false
			}
			took = append(took, time.Since(from))
			return true
		})
	}
	return took, len(waiting)
}

// beat has endpoints announce themselves, spread over the routers.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	for e := range f.config.Endpoints {
		f.tasks.Go(func() {
			pause := time.NewTimer(heartbeatInterval * time.Duration(e) / time.Duration(f.config.Endpoints))
			defer pause.Stop()
			for sequence := 1; ; sequence++ {
				select {
				case <-ctx.Done():
					return
				case <-pause.C:
				}
				url := fmt.Sprintf("http://%s:%d/instances/e%d/heartbeat", f.ip(e%f.config.Routers), controlPort, e)
				f.post(ctx, url, fmt.Sprintf(`{"service":"m%d","address":"10.0.%d.%d:1","zone":"z0","capacity":64,"state":"ready","sequence":%d}`,
					e%max(1, f.config.Models), e/250, e%250, sequence))
				pause.Reset(heartbeatInterval)
			}
		})
	}
}

// usage is what the process has used so far.
type usage struct {
	cpu              time.Duration
	bytes, datagrams uint64
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // it can't fail with this argument
	u := usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, one := range f.routers { // none is lost yet
		sent, datagrams := one.Sent()
		u.bytes += sent
		u.datagrams += datagrams
	}
	return u
}

func (f *fleet) measureRest(ctx context.Context, result *Result) {
	sleep(ctx, 3*heartbeatInterval+time.Duration(f.config.Routers)*settleTimePerRouter) // what is new has spread by then
	before, began := f.usage(), time.Now()
	sleep(ctx, f.config.Rest)
	after, each := f.usage(), time.Since(began).Seconds()*float64(f.config.Routers)
	result.RestCPU = float64((after.cpu - before.cpu).Microseconds()) / 1000 / each
	result.RestBytes = float64(after.bytes-before.bytes) / each
	result.RestDatagrams = float64(after.datagrams-before.datagrams) / each
	result.MemoryMB = residentMB() / float64(f.config.Routers)
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// residentMB is the process's resident memory.
func residentMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	var size, resident float64
	if err == nil {
		_, err = fmt.Sscan(string(text), &size, &resident)
	}
	if err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

func (f *fleet) measureChanges(ctx context.Context, result *Result) error {
	var all, acknowledged []time.Duration
	for change := range f.config.Changes {
		f.version++
		took, err := f.submitConfig(ctx, "/config/modify", fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"m0","maxConnections":%d}]}}`,
			f.version, 600+change))
		if err != nil {
			return err
		}
		acknowledged = append(acknowledged, took)
		spread, late := f.awaitVersion(ctx, time.Now())
		if late > 0 {
			result.Failed++
		}
		all = append(all, spread...)
	}
	slices.Sort(all)
	slices.Sort(acknowledged)
	if len(all) > 0 {
		result.ChangeP50Ms = all[len(all)/2].Milliseconds()
		result.ChangeP99Ms = all[len(all)*99/100].Milliseconds()
		result.ChangeLastMs = all[len(all)-1].Milliseconds()
	}
	if len(acknowledged) > 0 {
		result.AcknowledgeMs = acknowledged[len(acknowledged)/2].Milliseconds()
	}
	return nil
}
