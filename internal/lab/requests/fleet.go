package requests

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
	"pinelb.example/pinelb/internal/lab/ports"
)

const (
	zones          = 3
	seedCount      = 3
	endpointOffset = 100 // of the endpoints' addresses in the block
	readyTimeout   = 500 * time.Millisecond
	readyInterval  = 100 * time.Millisecond
)

// router is a router of the fleet with its addresses.
type router struct {
	*machines.Machine
	front, ready, control string
}

// machineLimits are those of the operators' smallest deployments.
var machineLimits = machines.Limits{MemoryMB: 284, DiskMB: 64, Descriptors: 4100}

// fleet is the routers of a play.
type fleet struct {
	routers   []*router // the core first
	core      int
	addresses *machines.AddressBlock
}

// newFleet prepares the routers of a script. None is started.
func newFleet(script *Script, options *Options) (*fleet, error) {
	f := &fleet{core: script.Core}
	var err error
	if f.addresses, err = machines.LockAddresses(); err != nil {
		return nil, err
	}
	drawn, err := ports.FreeSet(4)
	if err != nil {
		f.close()
		return nil, err
	}
	var seeds []string
	for i := range script.Core + script.Edge {
		r := &router{Machine: &machines.Machine{
			Name: fmt.Sprint("router-", i), IP: f.addresses.Address(i), Folder: options.Folder, Program: options.Program,
			Limits: machineLimits,
		}}
		r.front, r.ready, r.control = fmt.Sprintf("%s:%d", r.IP, drawn[0]), fmt.Sprintf("%s:%d", r.IP, drawn[1]), fmt.Sprintf("%s:%d", r.IP, drawn[2])
		if i < script.Core {
			r.Disk = filepath.Join(options.Disks, fmt.Sprint("disk-", i))
		}
		if i < seedCount {
			seeds = append(seeds, r.control)
		}
		f.routers = append(f.routers, r)
	}
	for i, r := range f.routers {
		r.Settings = routerSettings(r, script, i%zones, seeds, drawn[3])
	}
	return f, nil
}

// routerSettings returns the settings of a router but for "bootstrap".
func routerSettings(r *router, script *Script, zone int, seeds []string, internalPort int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nip=%s\nzone=z%d\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\n", r.Name, r.IP, zone)
	fmt.Fprintf(&b, "listen.front=%s\nlisten.ready=%s\nlisten.control=%s\nportRange=%d,%d\nseeds=%s\n", r.front, r.ready, r.control, internalPort,
		internalPort, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "faultTolerance.machines=%d\nbounds.graceS=%d\nbounds.revocationStrict=true\nbounds.revokeMs=%d\nbounds.configApplyMs=%d\n", tolerated,
		script.GraceS, revokeBound.Milliseconds(), applyBound.Milliseconds())
	b.WriteString(machineLimits.Settings())
	if r.Disk != "" {
		fmt.Fprintf(&b, "countsForQuorum=true\ndataDir=%s\n", r.Disk)
	}
	return b.String()
}

func (f *fleet) fronts() (addresses []string) {
	for _, r := range f.routers {
		addresses = append(addresses, r.front)
	}
	return addresses
}

func (f *fleet) controls() (addresses []string) {
	for _, r := range f.routers {
		addresses = append(addresses, r.control)
	}
	return addresses
}

// startAll starts all routers at once.
func (f *fleet) startAll(bootstrap bool) error {
	errs := make([]error, len(f.routers))
	var starts sync.WaitGroup
	for i, r := range f.routers {
		starts.Go(func() { errs[i] = r.Start(bootstrap) })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// killAll ends all processes at the same moment.
func (f *fleet) killAll() {
	for _, r := range f.routers {
		r.Signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		r.Kill()
	}
}

// awaitReady waits until some routers say that they are ready, and reports whether they did before ctx ended.
func awaitReady(ctx context.Context, routers ...*router) bool {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, r := range routers {
		for {
			response, err := client.Get("http://" + r.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if !machines.Pause(ctx, readyInterval) {
				return false
			}
		}
	}
	return true
}

// faults returns the processes that ended by themselves or exceeded their limits.
func (f *fleet) faults() (all []string) {
	for _, m := range f.routers {
		all = append(all, m.Faults()...)
	}
	return all
}

// peakMemory returns the highest resident memory of any process, in bytes.
func (f *fleet) peakMemory() (peak uint64) {
	for _, m := range f.routers {
		peak = max(peak, m.PeakMemory())
	}
	return peak
}

// close ends what the fleet has started.
func (f *fleet) close() {
	f.killAll()
	f.addresses.Unlock()
}
