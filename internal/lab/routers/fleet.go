package routers

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/router"
	"pinelb.example/pinelb/internal/fleet/settings"
)

// fleet is a running play. Its goroutines are the routers and the senders of heartbeats; stop waits for them.
type fleet struct {
	config  Config
	folder  string
	routers []*router.Router // nil: crashed
	cancels []context.CancelFunc
	stopped []chan struct{} // closed when a router has stopped
	tasks   sync.WaitGroup
	client  *http.Client
	version int64
}

// start starts all routers.
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

// startRouter starts a router with the disk that it has. bootstrap is true if the whole fleet starts for the first time.
func (f *fleet) startRouter(i int, bootstrap bool) error {
	s, err := settings.Parse([]byte(f.settingsText(i, bootstrap)))
	if err != nil {
		return err
	}
	r := router.New(s, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	f.routers[i], f.cancels[i], f.stopped[i] = r, cancel, stopped
	f.tasks.Go(func() {
		defer close(stopped)
		_ = r.Run(ctx) // a router that cannot start never applies the configuration, which the play reports
	})
	return nil
}

// ip returns the loopback address of a router.
func (f *fleet) ip(i int) string { return fmt.Sprintf("127.9.%d.%d", 1+i/250, 1+i%250) }

// settingsText returns the text of a router's settings.
func (f *fleet) settingsText(i int, bootstrap bool) string {
	zone := i % (regions * zonesPerRegion)
	var b strings.Builder
	ip := f.ip(i)
	fmt.Fprintf(&b, "nodeName=r%d\nip=%s\nzone=z%d\nregion=r%d\nbootstrap=%v\ncountsForQuorum=%v\n", i, ip, zone, zone/zonesPerRegion,
		bootstrap, i < f.config.Core)
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

// stop stops all routers and waits for them.
func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		if cancel != nil { // the start may have failed before this router
			cancel()
		}
	}
	f.tasks.Wait()
}

// sendHeartbeats has endpoints announce themselves until ctx is done, each to a router of its own, evenly over the routers.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	for e := range f.config.Endpoints {
		f.tasks.Go(func() {
			timer := time.NewTimer(heartbeatInterval * time.Duration(e) / time.Duration(f.config.Endpoints))
			defer timer.Stop()
			for sequence := 1; ; sequence++ {
				select {
				case <-ctx.Done():
					return
				case <-timer.C:
				}
				url := fmt.Sprintf("http://%s:%d/instances/e%d/heartbeat", f.ip(e%f.config.Routers), controlPort, e)
				f.post(ctx, url, fmt.Sprintf(`{"service":"m%d","address":"10.0.%d.%d:1","zone":"z0","capacity":64,"state":"ready","sequence":%d}`,
					e%max(1, f.config.Models), e/250, e%250, sequence))
				timer.Reset(heartbeatInterval)
			}
		})
	}
}
