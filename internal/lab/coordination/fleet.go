package coordination

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"syscall"

	"pinelb.example/pinelb/internal/lab/ports"
)

const (
	zones     = 3
	seedCount = 3
	lockPort  = 18079 // who listens there has the addresses 127.a.b.*
	lockHost  = 250
	maxDraws  = 200
)

// fleet is the machines of a play.
type fleet struct {
	machines    []*machine // the core first
	core        int
	addressLock net.Listener
}

// newFleet prepares the machines of a script. None is started.
func newFleet(script *Script, options Options) (*fleet, error) {
	f := &fleet{core: script.Core}
	prefix, err := f.lockAddresses()
	if err != nil {
		return nil, err
	}
	controlPort, internalPort, err := drawPorts()
	if err != nil {
		f.close()
		return nil, err
	}
	for i := range script.Core + script.Forwarders {
		m := &machine{name: fmt.Sprint("core-", i), ip: fmt.Sprint(prefix, i+1), folder: options.Folder, program: options.Program}
		m.control, m.internal = fmt.Sprintf("%s:%d", m.ip, controlPort), fmt.Sprintf("%s:%d", m.ip, internalPort)
		if i < script.Core {
			m.disk = filepath.Join(options.Disks, fmt.Sprint("disk-", i))
		} else {
			m.name = fmt.Sprint("forwarder-", i-script.Core)
		}
		f.machines = append(f.machines, m)
	}
	var seeds []string
	for _, m := range f.machines[:seedCount] {
		seeds = append(seeds, m.control)
	}
	for i, m := range f.machines {
		m.settings = machineSettings(m, script, i%zones, seeds, controlPort, internalPort)
	}
	return f, nil
}

// lockAddresses takes a block of addresses that no other play on this machine has, and returns its prefix.
func (f *fleet) lockAddresses() (prefix string, err error) {
	for range maxDraws {
		prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(50), 1+rand.IntN(250))
		if f.addressLock, err = net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, lockHost, lockPort)); err == nil {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("coordination: no free block of loopback addresses: %w", err)
}

func drawPorts() (control, internal int, err error) {
	for control == internal && err == nil {
		var first, second error
		control, first = ports.Free()
		internal, second = ports.Free()
		err = errors.Join(first, second)
	}
	return control, internal, err
}

// startAll starts all machines at once.
func (f *fleet) startAll(bootstrap bool) error {
	errs := make([]error, len(f.machines))
	var starts sync.WaitGroup
	for i, m := range f.machines {
		starts.Go(func() { errs[i] = m.start(bootstrap && m.disk != "") })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// killAll ends all processes at the same moment.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		m.kill()
	}
}

// close ends what the fleet has started.
func (f *fleet) close() {
	f.killAll()
	_ = f.addressLock.Close()
}
