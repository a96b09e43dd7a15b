package settingsbench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
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
	readyTimeout     = 15 * time.Second
	callTimeout      = 10 * time.Second
)

// regionOf returns the region of a distributor or a follower: three of five are in the first.
func regionOf(i int) int { return i % distributorCount / 3 }

// distributorSet is the distributors, as processes of their own. Those of different regions reach each other through relays.
type distributorSet struct {
	program      string
	env          []string
	dir          string
	addrs        [distributorCount]string // for followers
	controlAddrs [distributorCount]string // for operators
	peers        [distributorCount][]string
	relays       []*relay
	processes    [distributorCount]*process
}

// startDistributors starts all distributors and waits until they are ready.
func startDistributors(c *Config, dir string, partitioned *atomic.Bool) (*distributorSet, error) {
	d := &distributorSet{program: c.Pinelb, env: c.Env, dir: dir}
	for i := range distributorCount {
		for _, addr := range []*string{&d.addrs[i], &d.controlAddrs[i]} {
			var err error
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	for i := range distributorCount {
		for j := range distributorCount {
			if i == j {
				continue
			}
			peer := d.addrs[j]
			if regionOf(i) != regionOf(j) {
				r, err := newRelay(peer, partitioned)
				if err != nil {
					d.stop()
					return nil, err
				}
				d.relays, peer = append(d.relays, r), r.addr
			}
			d.peers[i] = append(d.peers[i], peer)
		}
	}
	for i := range distributorCount {
		if err := d.start(i); err != nil {
			d.stop()
			return nil, err
		}
	}
	for i := range distributorCount {
		if err := d.awaitReady(i); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// freeAddress returns an address of this machine that is not in use, and that no outgoing connection takes.
func freeAddress() (string, error) {
	port, err := ports.Free()
	if err != nil {
		return "", fmt.Errorf("settingsbench: %w", err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), nil
}

// start starts a distributor with what its directory holds.
func (d *distributorSet) start(i int) error {
	dir := filepath.Join(d.dir, fmt.Sprintf("d%d", i))
	peers, err := json.Marshal(d.peers[i])
	if err != nil {
		return fmt.Errorf("settingsbench: %w", err)
	}
	file := dir + ".toml"
	text := fmt.Sprintf("name = \"d%d\"\nregion = \"r%d\"\nlisten = %q\ncontrol = %q\ndir = %q\npeers = %s\n", i, regionOf(i), d.addrs[i], d.controlAddrs[i], dir, peers)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settingsbench: %w", err)
	}
	d.processes[i], err = launch(d.program, []string{"distribute", file}, d.env, nil)
	return err
}

// awaitReady waits until a distributor accepts operators' calls and knows the newest edition.
func (d *distributorSet) awaitReady(i int) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d.processes[i].hasExited() {
			return fmt.Errorf("settingsbench: distributor %d has exited before it was ready: %s", i, d.processes[i].lastLine())
		}
		res, err := client.Get("http://" + d.controlAddrs[i] + "/admin/health")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("settingsbench: distributor %d is not ready after %s", i, readyTimeout)
}

// restart starts a distributor that was killed, and waits until it is ready.
func (d *distributorSet) restart(i int) error {
	if err := d.start(i); err != nil {
		return err
	}
	return d.awaitReady(i)
}

// publish publishes at a distributor, and returns the edition and the time before the call.
func (d *distributorSet) publish(ctx context.Context, at int, settings []byte) (version.Edition, time.Time, error) {
	o := &settingsserver.OperatorClient{Addresses: []string{d.controlAddrs[at]}, Timeout: callTimeout}
	from := time.Now()
	p, err := o.Publish(ctx, Service, settings)
	if err != nil {
		return version.Edition{}, from, fmt.Errorf("settingsbench: %w", err)
	}
	return p.Edition, from, nil
}

// status returns the status of the service at a distributor.
func (d *distributorSet) status(ctx context.Context, at int) (settingsstore.Status, error) {
	o := &settingsserver.OperatorClient{Addresses: []string{d.controlAddrs[at]}, Timeout: callTimeout}
	statuses, errs := o.Statuses(ctx, Service)
	if len(errs) > 0 {
		return settingsstore.Status{}, fmt.Errorf("settingsbench: %w", errs[0])
	}
	return statuses[0], nil
}

// stop kills the distributors and closes the relays.
func (d *distributorSet) stop() {
	for _, p := range d.processes {
		if p != nil {
			_ = p.signal(syscall.SIGCONT) // it may be stopped
			p.kill()
		}
	}
	for _, r := range d.relays {
		r.close()
	}
}
