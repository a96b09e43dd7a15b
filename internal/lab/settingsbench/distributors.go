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
	distributors = 5
	readyWithin  = 15 * time.Second
	callWithin   = 10 * time.Second
)

// regionOf is the region of a distributor or a follower: three of five are in the first.
func regionOf(i int) int { return i % distributors / 3 }

// five are the distributors, as processes of their own. Those of different regions reach one another through relays.
type five struct {
	program string
	env     []string
	dir     string
	asked   [distributors]string // addresses for sidecars
	control [distributors]string // and for operators
	peers   [distributors][]string
	relays  []*relay
	running [distributors]*process
}

func startFive(c *Config, dir string, apart *atomic.Bool) (*five, error) {
	f := &five{program: c.Pinelb, env: c.Env, dir: dir}
	for i := range distributors {
		for _, at := range []*string{&f.asked[i], &f.control[i]} {
			var err error
			if *at, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	for i := range distributors {
		for j := range distributors {
			if i == j {
				continue
			}
			at := f.asked[j]
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
	for i := range distributors {
		if err := f.start(i); err != nil {
			f.stop()
			return nil, err
		}
	}
	for i := range distributors {
		if err := f.ready(i); err != nil {
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
func (f *five) start(i int) error {
	dir := filepath.Join(f.dir, fmt.Sprintf("d%d", i))
	peers, err := json.Marshal(f.peers[i])
	if err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	file := dir + ".toml"
	text := fmt.Sprintf("name = \"d%d\"\nregion = \"r%d\"\nlisten = %q\ncontrol = %q\ndir = %q\npeers = %s\n", i, regionOf(i), f.asked[i], f.control[i], dir, peers)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	f.running[i], err = launch(f.program, []string{"distribute", file}, f.env, nil)
	return err
}

// ready waits until one takes operators' calls and knows what is newest.
func (f *five) ready(i int) error {
	client := &http.Client{Timeout: callWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.running[i].hasEnded() {
			return fmt.Errorf("distributed: distributor %d has ended before it was ready: %s", i, f.running[i].lastLine())
		}
		res, err := client.Get("http://" + f.control[i] + "/admin/health")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("distributed: distributor %d is not ready after %s", i, readyWithin)
}

// back starts one that was killed, and waits until it is ready.
func (f *five) back(i int) error {
	if err := f.start(i); err != nil {
		return err
	}
	return f.ready(i)
}

// publish publishes at one, and returns the edition and when it was called.
func (f *five) publish(ctx context.Context, at int, settings []byte) (version.Edition, time.Time, error) {
	o := &settingsserver.OperatorClient{Addresses: []string{f.control[at]}, Timeout: callWithin}
	from := time.Now()
	p, err := o.Publish(ctx, Service, settings)
	if err != nil {
		return version.Edition{}, from, fmt.Errorf("distributed: %w", err)
	}
	return p.Edition, from, nil
}

// status is what one says of the service.
func (f *five) status(ctx context.Context, at int) (settingsstore.Status, error) {
	o := &settingsserver.OperatorClient{Addresses: []string{f.control[at]}, Timeout: callWithin}
	all, faults := o.Statuses(ctx, Service)
	if len(faults) > 0 {
		return settingsstore.Status{}, fmt.Errorf("distributed: %w", faults[0])
	}
	return all[0], nil
}

func (f *five) stop() {
	for _, p := range f.running {
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
	addr, to string
	apart    *atomic.Bool

	mu      sync.Mutex
	open    map[net.Conn]bool // nil: it is closed
	serving sync.WaitGroup
}

func newRelay(to string, apart *atomic.Bool) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("distributed: %w", err)
	}
	r := &relay{Listener: l, addr: l.Addr().String(), to: to, apart: apart, open: map[net.Conn]bool{}}
	r.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.serving.Go(func() { r.carry(c) })
		}
	})
	return r, nil
}

// keep has a connection be closed with the relay; false: the relay is closed already.
func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		_ = c.Close()
		return false
	}
	r.open[c] = true
	return true
}

func (r *relay) leave(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	_ = c.Close()
}

func (r *relay) carry(from net.Conn) {
	if !r.keep(from) {
		return
	}
	defer r.leave(from)
	to, err := net.DialTimeout("tcp", r.to, callWithin)
	if err != nil || !r.keep(to) {
		return
	}
	defer r.leave(to)
	var back sync.WaitGroup
	back.Go(func() { r.pass(from, to) })
	r.pass(to, from)
	back.Wait()
}

// pass passes on what comes, until either end is closed.
func (r *relay) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	_, _ = io.Copy(passing{to, r.apart}, from)
}

type passing struct {
	to    net.Conn
	apart *atomic.Bool
}

func (p passing) Write(b []byte) (int, error) {
	if p.apart.Load() {
		return len(b), nil
	}
	return p.to.Write(b)
}

func (r *relay) close() {
	_ = r.Close()
	r.mu.Lock()
	open := r.open
	r.open = nil
	for c := range open {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.serving.Wait()
}
