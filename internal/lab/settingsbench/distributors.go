package settingsbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/ports"
	"pinelb.example/pinelb/internal/settingsserver"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

const (
	distributorCount = 5
	readyTimeout  = 15 * time.Second
	callTimeout   = 10 * time.Second
)

// regionOf is the region of a distributor or a follower: three of five are in the first.
func regionOf(i int) int { return i % distributorCount / 3 }

// five are the distributors, as processes of their own. Those of different regions reach one another through relays.
type distributorSet struct {
	program string
	env     []string
	dir     string
	addrs   [distributorCount]string // addresses for sidecars
	controlAddrs [distributorCount]string // and for operators
	peers   [distributorCount][]string
	relays  []*relay
	processes [distributorCount]*process
}

func startDistributors(c *Config, dir string, apart *atomic.Bool) (*distributorSet, error) {
	f := &distributorSet{program: c.Pinelb, env: c.Env, dir: dir}
	for i := range distributorCount {
		for _, at := range []*string{&f.addrs[i], &f.controlAddrs[i]} {
			var err error
			if *at, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	for i := range distributorCount {
		for j := range distributorCount {
			if i == j {
				continue
			}
			at := f.addrs[j]
			if regionOf(i) != regionOf(j) {
				r, err := newRelay(at, apart)
				if err != nil {
					f.stop()
					return nil, err
				}
				f.relays, at = append(f.relays, r), r.addr
			}
			f.peers[i] = append(f.peers[i], at)
		}
	}
	for i := range distributorCount {
		if err := f.start(i); err != nil {
			f.stop()
			return nil, err
		}
	}
	for i := range distributorCount {
		if err := f.awaitReady(i); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// freeAddress is one of this machine that nobody listens at now, and that no outgoing connection takes.
func freeAddress() (string, error) {
	port, err := ports.Free()
	if err != nil {
		return "", fmt.Errorf("distributed: %w", err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), nil
}

// start starts one, with what its directory holds.
func (f *distributorSet) start(i int) error {
	dir := filepath.Join(f.dir, fmt.Sprintf("d%d", i))
	peers, err := json.Marshal(f.peers[i])
	if err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	file := dir + ".toml"
	text := fmt.Sprintf("name = \"d%d\"\nregion = \"r%d\"\nlisten = %q\ncontrol = %q\ndir = %q\npeers = %s\n", i, regionOf(i), f.addrs[i], f.controlAddrs[i], dir, peers)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	f.processes[i], err = launch(f.program, []string{"distribute", file}, f.env, nil)
	return err
}

// ready waits until one takes operators' calls and knows what is newest.
func (f *distributorSet) awaitReady(i int) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.processes[i].hasExited() {
			return fmt.Errorf("distributed: distributor %d has ended before it was ready: %s", i, f.processes[i].lastLine())
		}
		res, err := client.Get("http://" + f.controlAddrs[i] + "/admin/health")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("distributed: distributor %d is not ready after %s", i, readyTimeout)
}

// back starts one that was killed, and waits until it is ready.
func (f *distributorSet) restart(i int) error {
	if err := f.start(i); err != nil {
		return err
	}
	return f.awaitReady(i)
}

// publish publishes at one, and returns the edition and when it was called.
func (f *distributorSet) publish(ctx context.Context, at int, settings []byte) (version.Edition, time.Time, error) {
	o := &settingsserver.Operator{At: []string{f.controlAddrs[at]}, Within: callTimeout}
	from := time.Now()
	p, err := o.Publish(ctx, Service, settings)
	if err != nil {
		return version.Edition{}, from, fmt.Errorf("distributed: %w", err)
	}
	return p.Edition, from, nil
}

// status is what one says of the service.
func (f *distributorSet) status(ctx context.Context, at int) (settingsstore.Status, error) {
	o := &settingsserver.Operator{At: []string{f.controlAddrs[at]}, Within: callTimeout}
	all, faults := o.Statuses(ctx, Service)
	if len(faults) > 0 {
		return settingsstore.Status{}, fmt.Errorf("distributed: %w", faults[0])
	}
	return all[0], nil
}

func (f *distributorSet) stop() {
	for _, p := range f.processes {
		if p != nil {
			_ = p.signal(syscall.SIGCONT) // it may be stopped
			p.kill()
		}
	}
	for _, r := range f.relays {
		r.close()
	}
}

// relay carries connections to an address. While regions are apart it carries nothing, and nobody is told.
type relay struct {
	net.Listener
	addr, target string
	partitioned    *atomic.Bool

	mu      sync.Mutex
	conns    map[net.Conn]bool // nil: it is closed
	serving sync.WaitGroup
}

func newRelay(to string, apart *atomic.Bool) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("distributed: %w", err)
	}
	r := &relay{Listener: l, addr: l.Addr().String(), target: to, partitioned: apart, conns: map[net.Conn]bool{}}
	r.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.serving.Go(func() { r.forward(c) })
		}
	})
	return r, nil
}

// keep has a connection be closed with the relay; false: the relay is closed already.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) forward(from net.Conn) {
	if !r.track(from) {
		return
	}
	defer r.untrack(from)
	to, err := net.DialTimeout("tcp", r.target, callTimeout)
	if err != nil || !r.track(to) {
		return
	}
	defer r.untrack(to)
	var back sync.WaitGroup
	back.Go(func() { r.copyOneWay(from, to) })
	r.copyOneWay(to, from)
	back.Wait()
}

// pass passes on what comes, until either end is closed.
func (r *relay) copyOneWay(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	_, _ = io.Copy(partitionedWriter{to, r.partitioned}, from)
}

type partitionedWriter struct {
	to    net.Conn
	partitioned *atomic.Bool
}

func (p partitionedWriter) Write(b []byte) (int, error) {
	if p.partitioned.Load() {
		return len(b), nil
	}
	return p.to.Write(b)
}

func (r *relay) close() {
	_ = r.Close()
	r.mu.Lock()
	open := r.conns
	r.conns = nil
	for c := range open {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.serving.Wait()
}
